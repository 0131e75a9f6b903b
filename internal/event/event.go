// Package event records what happens in a process, for a timeline of the fleet. Each
// process keeps its newest events in a ring of bounded size.
package event

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/clip"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Event is an entry of the timeline, written as JSON.
type Event struct {
	Time     time.Time       `json:"time"`
	Process  string          `json:"process"`
	Zone     string          `json:"zone"`              // The data centre.
	Sequence uint64          `json:"sequence"`          // Rises by 1 with each event of the process.
	Kind     string          `json:"kind"`              // What happened, such as daemon-started or change-accepted.
	Subject  string          `json:"subject,omitempty"` // Such as a service, an upstream or an idempotency key.
	Request  string          `json:"request,omitempty"` // ID of the operator's request that caused it.
	Revision config.Revision `json:"revision,omitempty"`
	Text     string          `json:"text"`
}

// Mentions reports whether word is the event's request, subject or process, or the
// first element of a subject of the form word/rest.
func (e Event) Mentions(word string) bool {
	return e.Request == word || e.Subject == word || e.Process == word || strings.HasPrefix(e.Subject, word+"/")
}

// Ring holds the newest events of a process. It is safe for concurrent use. Create one
// with New.
type Ring struct {
	process      string
	zone         string
	mutex        sync.Mutex
	events       []Event
	lastSequence uint64
}

// maxEvents is the number of events that a Ring holds. Newer ones replace the oldest.
const maxEvents = 2048

// New returns an empty ring. All its events get the given process and zone.
func New(process, zone string) *Ring {
	return &Ring{process: process, zone: zone}
}

// maxTextBytes is the longest text of an event. A ring that is full of such events
// takes 4 MiB.
const maxTextBytes = 2 << 10

// Add records an event that happened at now. It sets Process, Zone, Time and Sequence
// of e, and shortens a very long Text.
func (r *Ring) Add(now time.Time, e Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastSequence++
	e.Time = now.UTC()
	e.Text = clip.Text(e.Text, maxTextBytes)
	e.Process = r.process
	e.Zone = r.zone
	e.Sequence = r.lastSequence
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[int(r.lastSequence-1)%maxEvents] = e
}

// Since returns the events that are still held and happened at or after t, in the order
// in which they were added.
func (r *Ring) Since(t time.Time) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []Event
	for _, e := range r.events {
		if !e.Time.Before(t) {
			found = append(found, e)
		}
	}
	Sort(found)
	return found
}

// Sort sorts events of several processes by time. Two events of the same process are
// compared by their sequence number instead.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if a.Process == b.Process {
			return int(int64(a.Sequence) - int64(b.Sequence))
		}
		return a.Time.Compare(b.Time)
	})
}
