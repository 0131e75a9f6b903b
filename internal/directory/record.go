// Package directory knows which daemons and upstreams there are.
//
// Each daemon owns one record, which says what announced itself to it. Records
// merge by incarnation and sequence, so that loss, repetition and reordering
// do no harm. The package decides; it reads no clock and does no I/O.
package directory

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// State is the state of an upstream.
type State uint8

// The states of an upstream.
const (
	StateReady    State = iota
	StateDraining       // Takes no new work.
)

// String returns the state in lower case.
func (s State) String() string {
	if s == StateDraining {
		return "draining"
	}
	return "ready"
}

// Upstream is one back end, as its daemon knows it.
type Upstream struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Version     string    `json:"version"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	State       State     `json:"state"`
	Since       time.Time `json:"since"` // When it first announced itself.
}

// Record is what one daemon says of itself. The daemon alone raises
// Incarnation, when it starts, and Sequence, when something changes. Others
// may only set Gone.
type Record struct {
	Host        string     `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	Sequence    uint64     `json:"sequence"`
	Gone        bool       `json:"gone,omitempty"`
	Leaving     bool       `json:"leaving,omitempty"`
	Stopped     bool       `json:"stopped,omitempty"` // The daemon's last word before it stopped in an orderly way.
	Zone        string     `json:"zone"`
	Peer        string     `json:"peer"`  // Where other processes call it.
	Gate        string     `json:"gate"`  // Where entries send calls to.
	Local       string     `json:"local"` // Counters, events, announcements.
	Upstreams   []Upstream `json:"upstreams,omitempty"`
}

// ErrInvalid is returned for a record that no daemon would send.
var ErrInvalid = errs.New("directory: invalid record")

// maxUpstreams bounds what one daemon may say of itself.
const maxUpstreams = 64

// Check returns ErrInvalid unless the record is well formed.
func (r Record) Check() error {
	if !config.ValidName(r.Host) || !config.ValidName(r.Zone) || r.Incarnation == 0 {
		return ErrInvalid
	}
	if r.Peer == "" || r.Gate == "" || len(r.Upstreams) > maxUpstreams {
		return ErrInvalid
	}
	for _, u := range r.Upstreams {
		if u.Check() != nil {
			return ErrInvalid
		}
	}
	return nil
}

// Check returns an error that says what is wrong with an upstream.
func (u Upstream) Check() error {
	switch {
	case !config.ValidName(u.ID):
		return errs.New("id: %q is no valid name", u.ID)
	case !config.ValidName(u.Service):
		return errs.New("service: %q is no valid name", u.Service)
	case !config.ValidName(u.Version):
		return errs.New("version: %q is no valid name", u.Version)
	case u.Slots < 1 || u.Slots > maxSlots:
		return errs.New("slots: want 1 to %d, got %d", maxSlots, u.Slots)
	case u.Connections < u.Slots || u.Connections > maxConnections:
		return errs.New("connections: want at least the %d slots and at most %d, got %d", u.Slots, maxConnections, u.Connections)
	}
	return nil
}

const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
)

// supersedes reports whether r is newer than old.
func (r Record) supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.Gone && !old.Gone
}
