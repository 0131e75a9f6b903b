// Package operator is a client of the source's HTTP API for operators. It
// applies changes of the configuration, controls moves, and reads the state of
// the source and the fleet. The types are the JSON of that API.
package operator

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Change asks the source to put and remove objects, all of them or none.
// Replaces is the newest revision that the operator has seen: the change is a
// conflict if one of its objects has been changed since. Request is an ID that
// makes the change idempotent: a change resent with the same ID, also to
// another replica, gets the first outcome.
type Change struct {
	Request  string          `json:"request"`
	Replaces config.Revision `json:"replaces"`
	Put      []config.Object `json:"put,omitempty"`
	Remove   []config.Key    `json:"remove,omitempty"`
}

// BeginMove asks the source to move a service's traffic to the version To until
// the time By. Request is as in Change.
type BeginMove struct {
	Request string    `json:"request"`
	Service string    `json:"service"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
}

// RollBackMove asks the source to roll back the running move of a service.
// Request is as in Change.
type RollBackMove struct {
	Request string `json:"request"`
	Service string `json:"service"`
}

// The values of Outcome.Status.
const (
	Accepted = "accepted" // The request took effect as a new revision.
	Conflict = "conflict" // Another change came first; see Outcome.Winner.
	Refused  = "refused"  // The request is rejected because it is not valid; see Outcome.Reason and Outcome.Faults.
)

// Outcome is the source's decision on a Change, BeginMove or RollBackMove.
type Outcome struct {
	Request  string          `json:"request"`
	Status   string          `json:"status"`   // Accepted, Conflict or Refused.
	Revision config.Revision `json:"revision"` // Of the accepted request, or else the newest.
	At       time.Time       `json:"at"`
	Reason   string          `json:"reason,omitempty"` // Set unless the request was accepted.
	Faults   []Fault         `json:"faults,omitempty"` // May be set if it was rejected.
	Winner   *Writer         `json:"winner,omitempty"` // Set on a conflict: who changed the object first.
	Resent   bool            `json:"resent,omitempty"` // The outcome is of an earlier request with the same ID.
}

// Fault is one reason why a change was rejected. Path is the place within the
// object of Key, or empty.
type Fault struct {
	Key    config.Key `json:"key"`
	Path   string     `json:"path,omitempty"`
	Reason string     `json:"reason"`
}

// Writer identifies the last change of an object.
type Writer struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	Request  string          `json:"request"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
}

// Configuration holds all objects in force at a revision.
type Configuration struct {
	Revision config.Revision `json:"revision"`
	Objects  []Object        `json:"objects"`
}

// Object is an object in force, and the change that wrote it.
type Object struct {
	config.Object
	Revision config.Revision `json:"revision"`
	Operator string          `json:"operator"`
	Request  string          `json:"request"`
	At       time.Time       `json:"at"`
}

// Status is the state of the source and the fleet as far as one replica knows
// it.
type Status struct {
	Replica   string          `json:"replica"` // Name of the replica that responded.
	Zone      string          `json:"zone"`    // Data centre of that replica.
	Role      string          `json:"role"`    // Of that replica: "leader", "candidate" or "follower".
	Leader    string          `json:"leader"`  // Name of the leader; empty if it is unknown.
	Term      uint64          `json:"term"`    // Raft term.
	Revision  config.Revision `json:"revision"`
	AgeMillis int64           `json:"ageMillis"` // Milliseconds since the last contact with the leader; -1 if there has been none.
	Replicas  []Replica       `json:"replicas"`
	Fleet     FleetStatus     `json:"fleet"`
	Upstreams []Upstream      `json:"upstreams"` // Of the known daemons.
}

// Replica is one member of the source's Raft group. Synced is the last log
// position that it has on disk; 0 if that is unknown. Only the leader knows
// that of the other members.
type Replica struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Voter  bool   `json:"voter"` // False for a learner.
	Synced uint64 `json:"synced,omitempty"`
}

// FleetStatus summarises the daemons.
type FleetStatus struct {
	Known     int             `json:"known"`            // Daemons that are neither gone nor leaving.
	Reporting int             `json:"reporting"`        // Daemons whose acknowledgements arrived through the tree.
	Low       config.Revision `json:"low"`              // Lowest revision in force on a reporting daemon.
	Behind    []string        `json:"behind,omitempty"` // Some of the hosts at Low; empty if Low is the newest revision.
	InForce   bool            `json:"inForce"`          // Whether the newest revision is in force on all known daemons.
}

// Upstream is one back end.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"` // "ready" or "draining".
	Host    string `json:"host"`  // Host of its daemon.
	Zone    string `json:"zone"`  // Data centre of its daemon.
}

// Move is a move of a service's traffic, and the revision of its last change.
type Move struct {
	config.Move
	Revision config.Revision `json:"revision"`
}

// Process is one process of the system, and the address that serves its events
// and counters.
type Process struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "source" or "daemon".
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Event is one event of a process.
type Event struct {
	Time     time.Time       `json:"time"`
	Process  string          `json:"process"`
	Zone     string          `json:"zone"`
	Sequence uint64          `json:"sequence"` // Rises within a process.
	Kind     string          `json:"kind"`
	Subject  string          `json:"subject,omitempty"` // What it is about, such as a service, an upstream or an idempotency key.
	Request  string          `json:"request,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
	Text     string          `json:"text"`
}
