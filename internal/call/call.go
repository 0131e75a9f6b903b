// Package call holds what the two halves of the call path share: the headers,
// the outcome of a call, and the rules for copying messages.
package call

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Headers of the call path. Those that a caller may send are Team, Timeout and
// Key; all others are set by the system and removed from what callers send.
const (
	HeaderTeam     = "Endivewalk-Team"
	HeaderTimeout  = "Endivewalk-Timeout" // A time span such as "250ms".
	HeaderKey      = "Idempotency-Key"
	HeaderRun      = "Endivewalk-Run"
	HeaderReason   = "Endivewalk-Reason"
	HeaderUpstream = "Endivewalk-Upstream"
	HeaderBudget   = "Endivewalk-Budget" // Microseconds left, between daemons.
	HeaderRepeat   = "Endivewalk-Repeat"
	HeaderLoad     = "Endivewalk-Load"
	HeaderInnerKey = "Endivewalk-Key" // The caller's key, between daemons.
	HeaderRoute    = "Endivewalk-Route"
	HeaderDepth    = "Endivewalk-Depth"   // Calls that this one is nested in.
	HeaderTook     = "Endivewalk-Took"    // Microseconds that the upstream needed.
	HeaderUntil    = "Endivewalk-Until"   // When a keyed call must not be run any more: milliseconds since 1970.
	HeaderHost     = "Endivewalk-Host"    // The daemon that sends the call.
	HeaderCaller   = "Endivewalk-Caller"  // The service beside which the call began.
	HeaderRank     = "Endivewalk-Rank"    // How urgent the call is; see Urgency.
	HeaderAfter    = "Endivewalk-After"   // Microseconds after which a refused caller may find room.
	HeaderReached  = "Endivewalk-Reached" // The refusal is the upstream's own.
)

// Execution tells whether a call was run by an upstream.
type Execution string

// The three outcomes. NotExecuted is only said when no byte of the call has gone to
// an upstream.
const (
	Executed         Execution = "ran"
	NotExecuted      Execution = "not"
	ExecutionUnknown Execution = "unknown"
)

// Reason is why the system itself answered a call.
type Reason string

// The reasons.
const (
	ReasonNoTeam      Reason = "no-team"        // The team header is missing or unknown.
	ReasonNoRoute     Reason = "no-route"       // No route of the team matches.
	ReasonNotReady    Reason = "not-ready"      // The daemon has no confirmed configuration.
	ReasonNoUpstream  Reason = "no-upstream"    // Nothing serves the route at the moment.
	ReasonLimit       Reason = "limit"          // The team's contract is used up.
	ReasonShed        Reason = "shed"           // The upstream's queue is full.
	ReasonDeadline    Reason = "deadline"       // The call can't be answered in time.
	ReasonDraining    Reason = "draining"       // The upstream takes no new work.
	ReasonUnreachable Reason = "unreachable"    // No connection to the upstream.
	ReasonBroken      Reason = "broken"         // The upstream broke off.
	ReasonBadCall     Reason = "bad-call"       // A header or the body is malformed.
	ReasonKeyReused   Reason = "key-reused"     // The key came with another call.
	ReasonKeyUnproved Reason = "key-unproved"   // Too few claim keepers answered.
	ReasonKeyPending  Reason = "key-pending"    // The first run has not ended.
	ReasonKeyLost     Reason = "key-lost"       // The first run's answer is not known.
	ReasonTooLarge    Reason = "body-too-big"   // A keyed call's body is over the limit.
	ReasonLeaving     Reason = "daemon-leaving" // This daemon takes no new calls.
	ReasonYield       Reason = "yield"          // A service that the call needs has no room for it.
)

// statuses maps each reason to the HTTP status it is answered with.
var statuses = map[Reason]int{
	ReasonNoTeam:      http.StatusBadRequest,
	ReasonNoRoute:     http.StatusNotFound,
	ReasonLimit:       http.StatusTooManyRequests,
	ReasonDeadline:    http.StatusGatewayTimeout,
	ReasonBroken:      http.StatusBadGateway,
	ReasonBadCall:     http.StatusBadRequest,
	ReasonKeyReused:   http.StatusUnprocessableEntity,
	ReasonKeyPending:  http.StatusConflict,
	ReasonKeyLost:     http.StatusBadGateway,
	ReasonKeyUnproved: http.StatusServiceUnavailable,
	ReasonTooLarge:    http.StatusRequestEntityTooLarge,
}

// Status returns the HTTP status of an answer with that reason.
func (r Reason) Status() int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Error is an answer of the system's own. It is an error, so that a step of
// the call path can return it.
type Error struct {
	Execution    Execution
	Reason       Reason
	Load         Load
	RetryAfter   time.Duration // When there may be room; 0 if not known.
	FromUpstream bool          // The call reached an upstream, whose word this is.
	// Unresponsive means that the host of the gate acknowledged nothing. It is known at
	// the entry only.
	Unresponsive bool
}

// Error returns the reason and the outcome.
func (r *Error) Error() string { return "call: " + string(r.Reason) + " (" + string(r.Execution) + ")" }

// NotExecutedError returns a refusal of a call that was not run.
func NotExecutedError(reason Reason) *Error { return &Error{Execution: NotExecuted, Reason: reason} }

// UnknownError returns a refusal of a call that may have been run.
func UnknownError(reason Reason) *Error { return &Error{Execution: ExecutionUnknown, Reason: reason} }

// AsError returns the refusal that err is, or one that claims to know
// nothing.
func AsError(err error) *Error {
	var r *Error
	if errors.As(err, &r) {
		return r
	}
	return UnknownError(ReasonBroken)
}

// Write answers a call with a refusal.
func (r *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderRun, string(r.Execution))
	h.Set(HeaderReason, string(r.Reason))
	h.Set("Content-Type", "application/json")
	if r.Load.Limit > 0 {
		h.Set(HeaderLoad, r.Load.String())
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderAfter, strconv.FormatInt(r.RetryAfter.Microseconds(), 10))
	}
	if r.FromUpstream {
		h.Set(HeaderReached, "1")
	}
	w.WriteHeader(r.Reason.Status())
	io.WriteString(w, `{"run":"`+string(r.Execution)+`","reason":"`+string(r.Reason)+`"}`+"\n")
}

// Load is what a gate tells of its upstream with each answer.
type Load struct {
	Running int
	Queued  int
	Limit   int           // How many calls may run at once.
	Service time.Duration // A running mean of the time that one call takes.
	// Granted is, in thousandths, which part of the calls that are at least as
	// urgent as the parent of a nested call found a slot lately; 0 if not told.
	Granted int
	// Failing is, in thousandths, which part of the upstream's calls failed
	// lately.
	Failing int
}

const loadFields = 6

// String returns the load in the form that ParseLoad reads.
func (l Load) String() string {
	b := make([]byte, 0, 32)
	for i, n := range [loadFields]int64{int64(l.Running), int64(l.Queued), int64(l.Limit), l.Service.Microseconds(), int64(l.Granted), int64(l.Failing)} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// ErrBadLoad is returned for a load header that no gate would send.
var ErrBadLoad = errs.New("call: malformed load header")

// ParseLoad reads a load header.
func ParseLoad(s string) (Load, error) {
	var n [loadFields]int64
	rest := s
	for i := range n {
		end := 0
		for end < len(rest) && rest[end] != ' ' {
			end++
		}
		v, err := strconv.ParseInt(rest[:end], 10, 32)
		if err != nil || v < 0 {
			return Load{}, ErrBadLoad
		}
		n[i] = v
		rest = rest[min(end+1, len(rest)):]
	}
	if rest != "" {
		return Load{}, ErrBadLoad
	}
	return Load{Running: int(n[0]), Queued: int(n[1]), Limit: int(n[2]), Service: time.Duration(n[3]) * time.Microsecond, Granted: int(n[4]), Failing: int(n[5])}, nil
}
