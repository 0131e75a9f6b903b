package standin

import (
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// FaultKind is the effect of a fault on a call.
type FaultKind string

// The kinds of faults.
const (
	FaultNone     FaultKind = ""
	FaultFail     FaultKind = "fail"     // Responds with status 500.
	FaultSlow     FaultKind = "slow"     // The work takes Factor times as long.
	FaultLate     FaultKind = "late"     // The work takes its usual time, but the response is delayed by Delay.
	FaultTruncate FaultKind = "truncate" // The connection breaks in the middle of the response.
)

// Fault is a fault that can be switched on. It affects the calls that meet all
// of its conditions: Route, After, Load and Fraction.
type Fault struct {
	Kind       FaultKind       `json:"kind"`
	Route      string          `json:"route,omitempty"`  // Only calls whose path has this prefix.
	After      config.Duration `json:"after,omitempty"`  // Only from this long after it was switched on.
	Load       int             `json:"load,omitempty"`   // Only while at least this many calls run.
	Fraction   float64         `json:"part,omitempty"`   // Fraction of the calls, 0 to 1; 0 means all.
	Factor     float64         `json:"factor,omitempty"` // Factor on the time of the work, for FaultSlow.
	Delay      config.Duration `json:"delay,omitempty"`  // Delay of the response, for FaultLate.
	activeFrom time.Time       // Set by Standin.SetFaults.
}

// Check returns an error if the kind is unknown or a value is out of range.
func (f Fault) Check() error {
	switch f.Kind {
	case FaultFail, FaultSlow, FaultLate, FaultTruncate:
	default:
		return errs.New("standin: unknown kind of fault %q", f.Kind)
	}
	if f.Fraction < 0 || f.Fraction > 1 || f.Load < 0 || (f.Kind == FaultSlow && f.Factor <= 0) {
		return errs.New("standin: part, load or factor is out of range")
	}
	return nil
}

// activeFault returns the first fault that affects a call at now, or a Fault of
// kind FaultNone. For a fault with a Fraction it draws a random number, so that two
// calls of activeFault for the same call may differ.
func (s *Standin) activeFault(now time.Time, r *http.Request) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, f := range s.faults {
		switch {
		case now.Before(f.activeFrom):
		case !strings.HasPrefix(r.URL.Path, f.Route):
		case len(s.slots) < f.Load:
		case f.Fraction > 0 && s.config.Random() >= f.Fraction:
		default:
			return f
		}
	}
	return Fault{}
}
