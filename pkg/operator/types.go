// Package operator is the client that operators' programs use to talk to the
// source.
package operator

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Change asks the source to put and remove objects. Replaces is the newest
// revision that the operator has seen; the change is a conflict if one of the
// objects has been changed since. Request makes the change idempotent: sent
// again, also to another replica, it gets the first answer.
type Change struct {
	Request  string          `json:"request"`
	Replaces config.Revision `json:"replaces"`
	Put      []config.Object `json:"put,omitempty"`
	Remove   []config.Key    `json:"remove,omitempty"`
}

// BeginMove asks the source to move a service's traffic to another version by
// a time.
type BeginMove struct {
	Request string    `json:"request"`
	Service string    `json:"service"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
}

// RollBackMove asks the source to take a running move back.
type RollBackMove struct {
	Request string `json:"request"`
	Service string `json:"service"`
}

// The values of Outcome.Status.
const (
	Accepted = "accepted"
	Conflict = "conflict"
	Refused  = "refused"
)

// Outcome is the source's answer to a change or a move.
type Outcome struct {
	Request  string          `json:"request"`
	Status   string          `json:"status"`
	Revision config.Revision `json:"revision"` // The accepted one, or else the newest.
	At       time.Time       `json:"at"`
	Reason   string          `json:"reason,omitempty"`
	Faults   []Fault         `json:"faults,omitempty"`
	Winner   *Writer         `json:"winner,omitempty"` // Set on a conflict.
	Resent   bool            `json:"resent,omitempty"` // The request had been answered before.
}

// Fault is one reason why a change was refused.
type Fault struct {
	Key    config.Key `json:"key"`
	Path   string     `json:"path,omitempty"`
	Reason string     `json:"reason"`
}

// Writer tells who last changed an object.
type Writer struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	Request  string          `json:"request"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
}

// Configuration is every object in force at a revision.
type Configuration struct {
	Revision config.Revision `json:"revision"`
	Objects  []Object        `json:"objects"`
}

// Object is an object in force and who wrote it.
type Object struct {
	config.Object
	Revision config.Revision `json:"revision"`
	Operator string          `json:"operator"`
	Request  string          `json:"request"`
	At       time.Time       `json:"at"`
}

// Status tells how the source and the fleet are, as one replica knows it.
type Status struct {
	Replica   string          `json:"replica"`
	Zone      string          `json:"zone"` // The replica's data centre.
	Role      string          `json:"role"`
	Leader    string          `json:"leader"` // Empty if none is known.
	Term      uint64          `json:"term"`
	Revision  config.Revision `json:"revision"`
	AgeMillis int64           `json:"ageMillis"` // Since the leader was heard of; -1 if never.
	Replicas  []Replica       `json:"replicas"`
	Fleet     Fleet           `json:"fleet"`
	Upstreams []Upstream      `json:"upstreams"`
}

// Replica is one member of the source. Synced is the log position that it has
// on disk, which only the leader knows of others.
type Replica struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Voter  bool   `json:"voter"`
	Synced uint64 `json:"synced,omitempty"`
}

// Fleet sums up the daemons.
type Fleet struct {
	Known     int             `json:"known"`     // In the directory.
	Reporting int             `json:"reporting"` // Heard of through the tree.
	Low       config.Revision `json:"low"`       // The lowest revision in force.
	Behind    []string        `json:"behind,omitempty"`
	InForce   bool            `json:"inForce"` // The newest revision is in force on every live daemon.
}

// Upstream is one back end.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"`
	Host    string `json:"host"`
	Zone    string `json:"zone"`
}

// Move is a move of traffic and the revision of its last step.
type Move struct {
	config.Move
	Revision config.Revision `json:"revision"`
}

// Process is one process of the system, and where it shows its events and
// counters.
type Process struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "source" or "daemon".
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Event is one entry of the time line.
type Event struct {
	Time     time.Time       `json:"time"`
	Process  string          `json:"process"`
	Zone     string          `json:"zone"`
	Sequence uint64          `json:"sequence"`
	Kind     string          `json:"kind"`
	Subject  string          `json:"subject,omitempty"`
	Request  string          `json:"request,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
	Text     string          `json:"text"`
}
