// Package ledger implements the replicated state machine of the source. It
// decides which configuration changes are accepted, in the order of the
// replicated log.
//
// Every replica applies the same commands in the same order and so reaches the
// same state. No code in this package reads a clock: each command carries the
// time at which the leader received it.
package ledger

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Command is one command of the replicated log. Exactly one of Change, Begin,
// Step, Replace, Pin and Retire is set. Its fields, and those of the types it contains,
// are stored under their Go names.
type Command struct {
	Request  string    // Identifies the request. A request that was decided before is not applied again.
	Operator string    // Who sent the request.
	At       time.Time // When the leader received the request.
	Change   *Change
	Begin    *BeginMove
	Step     *MoveStep
	Replace  *Replace    `cbor:",omitempty"`
	Pin      *PinVersion `cbor:",omitempty"`
	Retire   *Retire     `cbor:",omitempty"` // Older builds refuse it.
	// Rules is the version of the checks that Apply makes. The leader sets it to
	// CurrentRules; entries of older builds have 0 and are decided as then.
	Rules uint8 `cbor:",omitempty"`
}

// CurrentRules is the value of Command.Rules in new entries. From 1 on, Apply
// makes the checks of Command.Check.
const CurrentRules uint8 = 1

// Change puts and removes objects. It is rejected as a conflict if any of them
// was changed after revision Replaces.
type Change struct {
	Replaces config.Revision
	Put      []config.Object
	Remove   []config.Key
}

// BeginMove starts a move, the gradual rollout of another version of a service.
type BeginMove struct {
	Service string
	To      string    // The new version.
	By      time.Time // The time by which the move must be finished.
}

// MoveStep changes the share of a running move or ends it. Replaces is the revision
// of the move on which the step is based. The step is a conflict if the move
// has changed since. If Replaces is zero, the step is based on the newest
// revision.
type MoveStep struct {
	Service  string
	Replaces config.Revision
	Share    int // The new version's share of the traffic in thousandths, 0 to config.FullShare.
	State    config.MoveState
	Reason   string
	Touched  int64 // Calls that the new version has received.
	Failed   int64 // How many of them failed.
}

// Encode returns c as canonical CBOR, for an entry of the log.
func (c Command) Encode() ([]byte, error) {
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, errs.New("ledger: encode command: %v", err)
	}
	return data, nil
}

// DecodeCommand decodes a command that Encode returned.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return c, errs.New("ledger: decode command: %v", err)
	}
	return c, nil
}

// fingerprint returns a hash of what a command asks for, to recognize a resent
// request. It leaves out the time, the rules, the replaced revision and the
// planned objects of a Replace, because a resent request may arrive later, at
// another build, and be planned against a newer state.
func (c Command) fingerprint() uint64 {
	c.At, c.Rules = time.Time{}, 0
	if c.Change != nil {
		change := *c.Change
		change.Replaces = 0
		c.Change = &change
	}
	if c.Replace != nil {
		replace := *c.Replace
		replace.Put, replace.Remove, replace.Planned = nil, nil, 0
		c.Replace = &replace
	}
	data, err := c.Encode()
	if err != nil {
		return 0
	}
	return xxh3.Hash(data)
}

// Status is the result of a command, as stored and shown to operators.
type Status string

// The values of Status.
const (
	StatusAccepted Status = "accepted" // The change is in force.
	StatusConflict Status = "conflict" // An object was changed after the revision on which the command is based.
	StatusRefused  Status = "refused"  // The command was rejected, because it is invalid in the present state.
)

// Outcome is the result of a command. It is stored by request, so that a resent
// command gets the outcome of the first one.
type Outcome struct {
	Request  string          `json:"request"`
	Status   Status          `json:"status"`
	Revision config.Revision `json:"revision"` // The accepted revision, or the newest one if the command was not accepted.
	At       time.Time       `json:"at"`
	Reason   string          `json:"reason,omitempty"`
	Faults   []expand.Fault  `json:"faults,omitempty"` // Validation errors of the resulting configuration.
	Winner   *Writer         `json:"winner,omitempty"` // The conflicting change; set only for StatusConflict.
	Resent   bool            `json:"resent,omitempty"` // The command was decided before, and this is the stored outcome.
}

// ReasonNothing is the reason with which a command is refused that asks for nothing. A
// build refuses the commands of later ones with it, since it does not know their fields.
const ReasonNothing = "the request asks for nothing"

// Writer describes the last change of an object.
type Writer struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	Request  string          `json:"request"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
}
