// Package caller is a daemon's side towards callers: the entry, which routes
// each call to an upstream by way of that upstream's own daemon.
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Config describes a Proxy.
type Config struct {
	Host      string
	Zone      string
	Clock     func() time.Time
	Random    func() float64 // A random number in [0, 1).
	Ready     func() bool    // Whether the configuration may be served.
	Hub       *feed.Hub
	Inbound   *upstream.Proxy // The gate of this daemon.
	CallStats *callstats.Counter
	Counters  *count.Set
	// TakeQuota takes units of a team's contract and returns false if they are
	// used up.
	TakeQuota func(now time.Time, l *expand.Limit, team string, cost int) bool
	// Blocked reports whether this daemon has stopped sending calls to the new
	// version of a move.
	Blocked func(m config.Move) bool
	// Claims asks for the claims of keyed calls that must not be repeated.
	// Without it, their keys are passed on to the upstream and nothing more.
	Claims  *claim.Client
	Retries RetryPolicy
	CallLog *logs.Calls    // Nil means that calls are not logged.
	Balance balance.Config // Zone is filled in.
	// OnUnresponsive is told of a host that acknowledged nothing of a call. It may be nil.
	OnUnresponsive func(host string)
}

// Proxy routes calls. It is safe for concurrent use. Make one with New.
type Proxy struct {
	config    Config
	balancer  *balance.Balancer
	retries   retryBudgets
	splits    splitter
	timeouts  timeoutTracker
	pools     *connPools
	prunedFor atomic.Pointer[feed.View]
}

// New returns an entry.
func New(c Config) *Proxy {
	c.Retries = c.Retries.withDefaults()
	c.Balance.Zone = c.Zone
	return &Proxy{config: c, balancer: balance.New(c.Balance), pools: newConnPools(c.Counters)}
}

// Close closes the connections to other daemons.
func (e *Proxy) Close() { e.pools.keep(nil) }

// PruneConnections closes the idle connections to daemons that leave or have gone. A
// daemon that leaves waits for that, since only this side can close an idle
// connection without cutting off a call.
func (e *Proxy) PruneConnections(v *feed.View) {
	if e.prunedFor.Swap(v) == v {
		return
	}
	staying := map[string]bool{}
	for _, r := range v.Staying() {
		staying[r.Gate] = true
	}
	e.pools.keep(staying)
}

// routedCall is a call on its way.
type routedCall struct {
	request  *http.Request
	route    *expand.Route
	service  string
	state    *feed.State // The configuration that the call began with.
	started  time.Time
	elapsed  time.Duration // Of the caller's time, before this attempt.
	deadline time.Time
	depth    int
	key      string
	expiry   time.Time // When the claim of a keyed call may be forgotten.
	body     *callBody
	caller   string // The service beside which the call began.
	urgency  call.Urgency
	parent   *Parent
	id       string // Of the caller's attempt.
}

// ServeHTTP answers a call.
func (e *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.config.Counters.Add("calls", 1)
	c, refusal := e.admit(r)
	if refusal != nil {
		e.refuse(w, e.unconfirmed(r, refusal))
		return
	}
	defer c.body.release()
	if c.key != "" && !c.route.Retryable() && e.config.Claims != nil {
		e.serveKeyed(w, c)
		return
	}
	answer, err := e.serve(c)
	if err != nil {
		e.refuse(w, call.AsError(err))
		return
	}
	e.config.Counters.Add("calls_answered", 1)
	writeResponse(w, answer)
}

// unconfirmed returns a refusal of a call whose claim has not been asked for. With
// a key the call may be a resend of one that ran, also by the caller's client
// library on its own account, so that "not run" would be too much said.
func (e *Proxy) unconfirmed(r *http.Request, refusal *call.Error) *call.Error {
	if e.config.Claims == nil || r.Header.Get(call.HeaderKey) == "" {
		return refusal
	}
	return call.UnknownError(refusal.Reason)
}

func (e *Proxy) refuse(w http.ResponseWriter, r *call.Error) {
	e.config.Counters.Add("calls_refused_"+string(r.Reason), 1)
	outside := *r
	outside.Load = call.Load{}
	outside.Write(w)
}

// writeResponse writes an answer for the caller, who learns nothing of loads.
func writeResponse(w http.ResponseWriter, a *upstream.Response) {
	defer a.Body.Close()
	h := w.Header()
	call.CopyHeader(h, a.Header)
	h.Set(call.HeaderRun, string(call.Executed))
	w.WriteHeader(a.Status)
	if err := call.CopyBody(w, a.Body, a.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// admit finds the route of a call and charges its team.
func (e *Proxy) admit(r *http.Request) (*routedCall, *call.Error) {
	if !e.config.Ready() {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	now := e.config.Clock()
	state := e.config.Hub.State()
	team := r.Header.Get(call.HeaderTeam)
	if !state.Table().HasTeam(team) {
		return nil, call.NotExecutedError(call.ReasonNoTeam)
	}
	route, ok := state.Table().Match(team, r.Method, r.URL.Path)
	if !ok {
		return nil, call.NotExecutedError(call.ReasonNoRoute)
	}
	timeout, refusal := timeoutOf(r, route)
	if refusal != nil {
		return nil, refusal
	}
	body, err := newCallBody(r)
	if err != nil {
		return nil, call.NotExecutedError(call.ReasonBadCall)
	}
	limit, limited := state.Table().Limit(team)
	if limited && !e.config.TakeQuota(now, limit, team, limit.Cost(route.Name())) {
		return nil, call.NotExecutedError(call.ReasonLimit)
	}
	return &routedCall{
		request: r, route: route, service: route.Service(), state: state, started: now, deadline: now.Add(timeout),
		depth: call.Depth(r.Header), key: r.Header.Get(call.HeaderKey), body: body,
	}, nil
}

// timeoutOf returns how long a call may take: what the route says, or less if
// the caller says so.
func timeoutOf(r *http.Request, route *expand.Route) (time.Duration, *call.Error) {
	asked := r.Header.Get(call.HeaderTimeout)
	if asked == "" {
		return route.Timeout(), nil
	}
	d, err := time.ParseDuration(asked)
	if err != nil {
		return 0, call.NotExecutedError(call.ReasonBadCall)
	}
	if d <= 0 {
		return 0, call.NotExecutedError(call.ReasonDeadline)
	}
	return min(d, route.Timeout()), nil
}
