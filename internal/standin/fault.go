package standin

import (
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// FaultKind names what a fault does to a call.
type FaultKind string

// The kinds of fault.
const (
	FaultNone     FaultKind = ""
	FaultFail     FaultKind = "fail"     // Answers 500.
	FaultSlow     FaultKind = "slow"     // Takes Factor times as long.
	FaultLate     FaultKind = "late"     // Works in time but answers after Delay.
	FaultTruncate FaultKind = "truncate" // Breaks off in the middle of the answer.
)

// Fault is a fault that can be switched on.
type Fault struct {
	Kind   FaultKind       `json:"kind"`
	Route  string          `json:"route,omitempty"`  // Only calls whose path has this prefix.
	After  config.Duration `json:"after,omitempty"`  // Only this long after it was switched on.
	Load   int             `json:"load,omitempty"`   // Only with at least this many calls running.
	Part   float64         `json:"part,omitempty"`   // Of the calls, 0 to 1; 0 means all.
	Factor float64         `json:"factor,omitempty"` // Of FaultSlow.
	Delay  config.Duration `json:"delay,omitempty"`  // Of FaultLate.
	begins time.Time
}

// Check returns an error that says what is wrong with the fault.
func (f Fault) Check() error {
	switch f.Kind {
	case FaultFail, FaultSlow, FaultLate, FaultTruncate:
	default:
		return errs.New("standin: unknown kind of fault %q", f.Kind)
	}
	if f.Part < 0 || f.Part > 1 || f.Load < 0 || (f.Kind == FaultSlow && f.Factor <= 0) {
		return errs.New("standin: part, load or factor is out of range")
	}
	return nil
}

// fault returns the first fault that concerns a call.
func (s *Standin) fault(now time.Time, r *http.Request) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, f := range s.faults {
		switch {
		case now.Before(f.begins):
		case !strings.HasPrefix(r.URL.Path, f.Route):
		case len(s.slots) < f.Load:
		case f.Part > 0 && s.config.Random() >= f.Part:
		default:
			return f
		}
	}
	return Fault{}
}
