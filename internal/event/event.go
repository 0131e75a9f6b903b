// Package event keeps each process's part of the time line: a bounded ring of
// the newest events.
package event

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Event is one thing that happened in one process.
type Event struct {
	Time     time.Time       `json:"time"`
	Process  string          `json:"process"`
	Zone     string          `json:"zone"` // The data centre.
	Sequence uint64          `json:"sequence"`
	Kind     string          `json:"kind"`
	Subject  string          `json:"subject,omitempty"` // A service, an upstream, a call key.
	Request  string          `json:"request,omitempty"` // The request that caused it.
	Revision config.Revision `json:"revision,omitempty"`
	Text     string          `json:"text"`
}

// Mentions reports whether an event concerns word: a request, service, call
// key or process.
func (e Event) Mentions(word string) bool {
	return e.Request == word || e.Subject == word || e.Process == word || strings.HasPrefix(e.Subject, word+"/")
}

// Ring holds the newest events of a process. It is safe for concurrent use.
// Make one with New.
type Ring struct {
	process string
	zone    string
	mutex   sync.Mutex
	events  []Event
	next    uint64
}

// capacity is how many events a process keeps.
const capacity = 2048

// New returns an empty ring for the named process.
func New(process, zone string) *Ring {
	return &Ring{process: process, zone: zone}
}

// Add records an event that happened at now. Process, Zone, Time and Sequence
// are filled in.
func (r *Ring) Add(now time.Time, e Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	e.Time = now.UTC()
	e.Process = r.process
	e.Zone = r.zone
	e.Sequence = r.next
	if len(r.events) < capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[int(r.next-1)%capacity] = e
}

// Since returns the events at or after t, oldest first.
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

// Sort orders events of any number of processes by time; those of one process
// keep their own order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if a.Process == b.Process {
			return int(int64(a.Sequence) - int64(b.Sequence))
		}
		return a.Time.Compare(b.Time)
	})
}
