// Package ledger is the state machine of the source: it decides which changes
// are accepted, in the order of the replicated log.
//
// Every replica applies the same commands in the same order and so reaches the
// same state. Nothing here reads a clock; commands carry the time at which
// their leader took them.
package ledger

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Command is one entry of the log. Exactly one of Change, Begin, Step, Replace
// and Pin is set.
type Command struct {
	Request  string // Makes the command idempotent.
	Operator string
	At       time.Time
	Change   *Change
	Begin    *Begin
	Step     *Step
	Replace  *Replace `cbor:",omitempty"`
	Pin      *Pin     `cbor:",omitempty"`
}

// Change puts and removes objects. It is refused as a conflict if any of them
// was changed after revision Replaces.
type Change struct {
	Replaces config.Revision
	Put      []config.Object
	Remove   []config.Key
}

// Begin starts a move of a service to another version.
type Begin struct {
	Service string
	To      string
	By      time.Time
}

// Step changes a running move. Replaces is the revision of the move that the
// step was decided upon; a step that crossed another one is a conflict. Zero
// means whatever step is newest.
type Step struct {
	Service  string
	Replaces config.Revision
	Share    int
	State    config.MoveState
	Reason   string
	Touched  int64
	Failed   int64
}

// Encode returns the bytes of a command for the log.
func (c Command) Encode() ([]byte, error) {
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, errs.New("ledger: encode: %v", err)
	}
	return data, nil
}

// DecodeCommand reads what Encode returned.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return c, errs.New("ledger: decode: %v", err)
	}
	return c, nil
}

// fingerprint identifies what a command asks for. A resent command may have
// been taken at another time and may name a newer revision that it replaces.
func (c Command) fingerprint() uint64 {
	c.At = time.Time{}
	if c.Change != nil {
		change := *c.Change
		change.Replaces = 0
		c.Change = &change
	}
	if c.Replace != nil {
		replace := *c.Replace
		replace.Put, replace.Remove = nil, nil
		c.Replace = &replace
	}
	data, err := c.Encode()
	if err != nil {
		return 0
	}
	return xxh3.Hash(data)
}

// Status tells how a command ended.
type Status string

// The ways in which a command can end.
const (
	StatusAccepted Status = "accepted"
	StatusConflict Status = "conflict"
	StatusRefused  Status = "refused"
)

// Outcome is the answer to a command. A resent command gets the first answer.
type Outcome struct {
	Request  string          `json:"request"`
	Status   Status          `json:"status"`
	Revision config.Revision `json:"revision"` // The accepted one, or the newest.
	At       time.Time       `json:"at"`
	Reason   string          `json:"reason,omitempty"`
	Faults   []expand.Fault  `json:"faults,omitempty"`
	Winner   *Writer         `json:"winner,omitempty"` // Set on a conflict.
	Resent   bool            `json:"resent,omitempty"`
}

// Writer tells who last changed an object.
type Writer struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	Request  string          `json:"request"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
}
