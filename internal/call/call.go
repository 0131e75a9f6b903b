// Package call holds what the outbound and the inbound proxy share: the headers
// of a call, its outcome, and the rules for forwarding HTTP messages.
package call

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Headers of the call path. Callers may send HeaderTeam, HeaderTimeout and
// HeaderKey. All others are set by the proxies, and are removed from the
// requests of callers and the responses of upstreams.
const (
	HeaderTeam     = "Endivewalk-Team"     // The team that makes the call.
	HeaderTimeout  = "Endivewalk-Timeout"  // How long the caller waits: a duration such as "250ms".
	HeaderKey      = "Idempotency-Key"     // The idempotency key of the caller.
	HeaderRun      = "Endivewalk-Run"      // The Execution of the call.
	HeaderReason   = "Endivewalk-Reason"   // The Reason of an error response.
	HeaderUpstream = "Endivewalk-Upstream" // The ID of the upstream that is to execute the call.
	HeaderBudget   = "Endivewalk-Budget"   // The remaining time of the call, in microseconds.
	HeaderRepeat   = "Endivewalk-Repeat"   // "safe" if the call may be executed more than once.
	HeaderLoad     = "Endivewalk-Load"     // The Load of the upstream.
	HeaderInnerKey = "Endivewalk-Key"      // The caller's idempotency key, between daemons.
	HeaderRoute    = "Endivewalk-Route"    // The name of the route of the call.
	HeaderDepth    = "Endivewalk-Depth"    // The number of calls of the mesh that this one is nested in.
	HeaderTook     = "Endivewalk-Took"     // How long the upstream took, in microseconds.
	HeaderUntil    = "Endivewalk-Until"    // When a call with an idempotency key must no longer be executed, in milliseconds since 1970.
	HeaderHost     = "Endivewalk-Host"     // The host of the daemon that sends the call.
	HeaderCaller   = "Endivewalk-Caller"   // The service beside whose daemon the caller runs.
	HeaderRank     = "Endivewalk-Rank"     // The Urgency of the call.
	HeaderOpens    = "Endivewalk-Opens"    // Microseconds for which the upstream would reject such calls.
	HeaderAfter    = "Endivewalk-After"    // Microseconds after which the upstream may have room for a rejected call.
	HeaderReached  = "Endivewalk-Reached"  // Set if the error response is that of the upstream itself.
	// HeaderAccess is the access.Grant of a call, between daemons. A process of an older
	// build neither sends nor reads it: the inbound proxy then decides by HeaderCredential.
	HeaderAccess = "Endivewalk-Access"
)

// Execution states whether an upstream executed a call.
type Execution string

// The execution states. NotExecuted is used only if no byte of the call was sent
// to an upstream, or if the upstream itself reported that it did not execute the
// call; see Error.FromUpstream.
const (
	Executed         Execution = "ran"
	NotExecuted      Execution = "not"
	ExecutionUnknown Execution = "unknown"
)

// Reason states why a proxy, rather than an upstream, answered a call.
type Reason string

// The reasons of error responses.
const (
	ReasonNoTeam      Reason = "no-team"        // The team header is missing or names no team.
	ReasonNoRoute     Reason = "no-route"       // No route of the team matches the call.
	ReasonNotReady    Reason = "not-ready"      // The daemon has no configuration yet that it may serve.
	ReasonNoUpstream  Reason = "no-upstream"    // No upstream serves the route at the moment.
	ReasonLimit       Reason = "limit"          // The quota of the team's contract is used up.
	ReasonShed        Reason = "shed"           // The wait for a slot would be too long, the queue is too full, or the upstream itself did not execute the call.
	ReasonDeadline    Reason = "deadline"       // The call cannot be answered before its deadline.
	ReasonDraining    Reason = "draining"       // The upstream accepts no new calls, or is no longer registered at its daemon.
	ReasonUnreachable Reason = "unreachable"    // The upstream cannot be connected to, or another one responds at its address.
	ReasonBroken      Reason = "broken"         // The connection broke before the response arrived.
	ReasonBadCall     Reason = "bad-call"       // A header or the body is malformed.
	ReasonKeyReused   Reason = "key-reused"     // The key was used for another request.
	ReasonKeyUnproved Reason = "key-unproved"   // Fewer than a majority of the claim replicas granted the claim.
	ReasonKeyPending  Reason = "key-pending"    // The first call with the key has not ended.
	ReasonKeyLost     Reason = "key-lost"       // The response of the first call with the key is not stored.
	ReasonTooLarge    Reason = "body-too-big"   // The body of the call exceeds the size limit.
	ReasonLeaving     Reason = "daemon-leaving" // This daemon is shutting down and accepts no new calls.
	ReasonCallerLeft  Reason = "caller-left"    // The caller closed its connection before it got a response.
	ReasonNoKey       Reason = "no-key"         // The call shows no API key, and its route needs one.
	ReasonUnknownKey  Reason = "unknown-key"    // No team holds the API key of the call.
	// ReasonLimitUnknown means that this daemon cannot tell whether the limit of the team is
	// reached, because it has no lease of a share of it.
	ReasonLimitUnknown Reason = "limit-unknown"
	ReasonYield        Reason = "yield" // Shed by priority, because a service that the call needs has no room for it.
	// ReasonKeysUnconfirmed means that this daemon cannot tell whether the API key of the
	// call is still held, because its configuration was not confirmed recently enough.
	ReasonKeysUnconfirmed Reason = "keys-unconfirmed"
)

// httpStatuses maps reasons to HTTP status codes. Reasons that it lacks have
// status 503.
var httpStatuses = map[Reason]int{
	ReasonNoTeam:      http.StatusBadRequest,
	ReasonNoRoute:     http.StatusNotFound,
	ReasonNoKey:       http.StatusUnauthorized,
	ReasonUnknownKey:  http.StatusUnauthorized,
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

// Status returns the HTTP status code of an error response with this reason.
func (r Reason) Status() int {
	if s, ok := httpStatuses[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Challenge is the value of the header WWW-Authenticate of responses with status 401.
const Challenge = `Token realm="endivewalk"`

// IsAccess reports whether a call was rejected for its API key. Other upstreams would not
// be allowed to execute it either.
func (r Reason) IsAccess() bool {
	return r == ReasonNoKey || r == ReasonUnknownKey || r == ReasonKeysUnconfirmed
}

// Error is an error response made by a proxy rather than by an upstream. It
// implements error, so that the functions of the call path can return it.
type Error struct {
	Execution  Execution
	Reason     Reason
	Load       Load
	RetryAfter time.Duration // How long until the upstream may have room again; 0 if unknown.
	// Opens is how long the inbound proxy would reject calls like this one if no
	// others arrived. Unlike RetryAfter it is not spread over callers. 0 if unknown.
	Opens        time.Duration
	FromUpstream bool // The upstream itself reported that it did not execute the call.
	// Unresponsive means that the host of the inbound proxy acknowledged
	// nothing at TCP level. Only the outbound proxy sets it.
	Unresponsive bool
}

// Error returns the reason and the execution state.
func (e *Error) Error() string { return "call: " + string(e.Reason) + " (" + string(e.Execution) + ")" }

// NotExecutedError returns an error for a call that was not executed.
func NotExecutedError(reason Reason) *Error { return &Error{Execution: NotExecuted, Reason: reason} }

// UnknownError returns an error for a call that may have been executed.
func UnknownError(reason Reason) *Error { return &Error{Execution: ExecutionUnknown, Reason: reason} }

// AsError returns the *Error in the chain of err. If there is none, it returns
// an error with ExecutionUnknown and ReasonBroken.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return UnknownError(ReasonBroken)
}

// Write sends the error as the response to a call.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderRun, string(e.Execution))
	h.Set(HeaderReason, string(e.Reason))
	h.Set("Content-Type", "application/json")
	if e.Reason.Status() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", Challenge)
	}
	if e.Load.Limit > 0 {
		h.Set(HeaderLoad, e.Load.String())
	}
	if e.RetryAfter > 0 {
		h.Set(HeaderAfter, strconv.FormatInt(e.RetryAfter.Microseconds(), 10))
	}
	if e.Opens > 0 {
		h.Set(HeaderOpens, strconv.FormatInt(e.Opens.Microseconds(), 10))
	}
	if e.FromUpstream {
		h.Set(HeaderReached, "1")
	}
	w.WriteHeader(e.Reason.Status())
	io.WriteString(w, `{"run":"`+string(e.Execution)+`","reason":"`+string(e.Reason)+`"}`+"\n")
}

// Load is the load of an upstream, which its inbound proxy reports with each
// response. The zero value means that no load was reported.
type Load struct {
	Running int           // The number of calls that the upstream is executing.
	Queued  int           // The number of calls that wait for a slot.
	Limit   int           // The maximum number of concurrent calls; at least 1 in a report.
	Service time.Duration // A running mean of the time that one call takes.
	// Granted is reported for a nested call: of the recent direct calls with
	// the priority of its parent or a more urgent one, how many thousandths got
	// a slot. It is 0 if it is not reported.
	Granted int
	// Failing is the fraction, in thousandths, of the upstream's recent calls
	// that failed.
	Failing int
}

// numLoadFields is the number of fields in a load header.
const numLoadFields = 6

// String returns the load as the value of HeaderLoad, which ParseLoad reads.
// Durations have a resolution of one microsecond.
func (l Load) String() string {
	buf := make([]byte, 0, 32)
	for i, field := range [numLoadFields]int64{int64(l.Running), int64(l.Queued), int64(l.Limit), l.Service.Microseconds(), int64(l.Granted), int64(l.Failing)} {
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = strconv.AppendInt(buf, field, 10)
	}
	return string(buf)
}

// ErrBadLoad is returned for a load header that is not a list of six
// non-negative 32-bit integers.
var ErrBadLoad = errs.New("call: malformed load header, want six non-negative 32-bit integers")

// ParseLoad parses the value of HeaderLoad. It returns ErrBadLoad if the value
// is malformed.
func ParseLoad(s string) (Load, error) {
	var fields [numLoadFields]int64
	rest := s
	for i := range fields {
		end := 0
		for end < len(rest) && rest[end] != ' ' {
			end++
		}
		v, err := strconv.ParseInt(rest[:end], 10, 32)
		if err != nil || v < 0 {
			return Load{}, ErrBadLoad
		}
		fields[i] = v
		rest = rest[min(end+1, len(rest)):]
	}
	if rest != "" {
		return Load{}, ErrBadLoad
	}
	return Load{Running: int(fields[0]), Queued: int(fields[1]), Limit: int(fields[2]), Service: time.Duration(fields[3]) * time.Microsecond, Granted: int(fields[4]), Failing: int(fields[5])}, nil
}
