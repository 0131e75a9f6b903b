// Package directory implements the list of daemons and their upstreams, of which
// each process holds a copy.
//
// Each daemon owns one record, which lists the upstreams that registered with
// it. Records merge by incarnation and sequence, so that loss, repetition and
// reordering of messages do no harm. The package reads no clock and does no
// I/O: callers pass the current time.
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
	StateDraining       // Gets no new calls.
)

// String returns "ready" or "draining".
func (s State) String() string {
	if s == StateDraining {
		return "draining"
	}
	return "ready"
}

// Upstream is one back end, as announced to the daemon on its host.
type Upstream struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Version     string    `json:"version"`
	Slots       int       `json:"slots"`       // At least 1.
	Connections int       `json:"connections"` // At least Slots.
	State       State     `json:"state"`
	Since       time.Time `json:"since"` // Time of its first announcement.
}

// Record describes one daemon and its upstreams. Only the daemon itself raises
// Incarnation, when it starts, and Sequence, when its record changes. Other
// processes may only set Gone.
type Record struct {
	Host        string     `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	Sequence    uint64     `json:"sequence"`
	Gone        bool       `json:"gone,omitempty"`    // The daemon has failed or stopped, as another process has found.
	Leaving     bool       `json:"leaving,omitempty"` // A graceful shutdown has begun.
	Stopped     bool       `json:"stopped,omitempty"` // The daemon's final record, at the end of a graceful shutdown. Its next incarnation may resume with the upstreams.
	Zone        string     `json:"zone"`
	Peer        string     `json:"peer"`  // Address for RPC from other processes.
	Gate        string     `json:"gate"`  // Address of the inbound proxy.
	Local       string     `json:"local"` // Address for counters, events and announcements.
	Upstreams   []Upstream `json:"upstreams,omitempty"`
	// Features are those that the daemon carries out. Daemons of older builds declare none,
	// and drop the field from the records that they pass on, so a missing feature does not
	// prove that the daemon lacks it.
	Features []config.Feature `json:"features,omitempty"`
}

// ErrInvalid means that a record is malformed or exceeds a limit. Check returns
// it.
var ErrInvalid = errs.New("directory: invalid record")

// maxUpstreams is how many upstreams a record may list. It bounds the size of a
// record, of which every process holds a copy.
const maxUpstreams = 64

// Check returns ErrInvalid unless the record and all its upstreams are valid.
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

// Check returns an error that names the first invalid field of the upstream. Its
// text is part of the response to an invalid announcement.
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

// The highest values of Slots and Connections that Upstream.Check accepts.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
)

// supersedes reports whether r replaces old, a record of the same host: it has a
// higher incarnation, or a higher sequence in the same incarnation, or is
// otherwise equal and newly marked as gone.
func (r Record) supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.Gone && !old.Gone
}
