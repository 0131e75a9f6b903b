// Package caller is the outbound proxy of a daemon. It takes the calls of
// callers, and routes each call to an upstream through the inbound proxy of
// that upstream's daemon.
//
// Calls enter a Proxy in one of two ways. Proxy.ServeHTTP matches the route of a
// call by its team, method and path, as for routes that come from templates.
// Proxy.Dispatch matches the route by host and path, as for host routes, and
// leaves it to its caller to write the response.
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/http1"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Config configures a Proxy.
type Config struct {
	Host      string // The name of this daemon's host.
	Zone      string // The data centre of this daemon.
	Clock     func() time.Time
	Random    func() float64 // Returns a random number in [0, 1).
	Ready     func() bool    // Reports whether the configuration in force may be used for calls.
	Hub       *feed.Hub
	Inbound   *upstream.Proxy // The inbound proxy of this daemon, for calls to local upstreams.
	CallStats *callstats.Counter
	Counters  *count.Set
	// TakeQuota takes cost units from the quota of a team. It returns false if
	// the quota is used up.
	TakeQuota func(now time.Time, l *expand.Limit, team string, cost int) bool
	// Blocked reports whether the circuit breaker of this daemon has stopped
	// calls to the new version of a move.
	Blocked func(m config.Move) bool
	// Moves is the policy by which new versions get calls while a move is running.
	Moves move.Policy
	// Claims acquires the claims of calls with an idempotency key whose route
	// is not retryable. If it is nil, keys are only forwarded to the upstream.
	Claims  *claim.Client
	Retries RetryPolicy
	CallLog *logs.Calls    // Calls are not logged if it is nil.
	Balance balance.Config // New sets its Zone.
	// KeysValid reports whether the configuration in force was the newest one recently enough
	// to accept and refuse API keys by it. Nil means that it always is.
	KeysValid func() bool
	// TeamHeader is the header in which upstreams get the name of the team that makes a call.
	// It is set on calls to other daemons as well: an inbound proxy of an older build
	// forwards it to the upstream and sets none. Empty means that there is none.
	TeamHeader string
	// Limiter enforces the limits of teams in a keyed configuration.
	Limiter TeamLimiter
	// OnUnresponsive is called with a host that acknowledged nothing of a
	// call. It may be nil.
	OnUnresponsive func(host string)
}

// Proxy is an outbound proxy. It is safe for concurrent use. Create one with
// New.
type Proxy struct {
	config         Config
	balancer       *balance.Balancer
	retries        retryBudgets
	splitter       splitter
	callerTimeouts timeoutTracker
	connPools      *connPools
	fullServices   fullServices
	routeBytes     routeBytes
	exposure       *move.Exposure
	prunedView     atomic.Pointer[feed.View] // The latest argument of PruneConnections.
}

// New returns an outbound proxy. Its owner calls Close when no more calls
// arrive.
func New(c Config) *Proxy {
	c.Retries = c.Retries.withDefaults()
	if c.KeysValid == nil {
		c.KeysValid = func() bool { return true }
	}
	c.Balance.Zone = c.Zone
	return &Proxy{
		config: c, balancer: balance.New(c.Balance), connPools: newConnPools(c.Clock, c.Counters),
		exposure: move.NewExposure(c.Moves, c.Random),
	}
}

// Close closes the idle connections to other daemons.
func (p *Proxy) Close() { p.connPools.retain(nil) }

// PruneConnections closes the idle connections to daemons that are leaving or
// gone according to v. A leaving daemon waits until its clients have closed
// their connections, since only the side that sends requests can close an idle
// connection without cutting off a call.
func (p *Proxy) PruneConnections(v *feed.View) {
	if p.prunedView.Swap(v) == v {
		return
	}
	staying := map[string]bool{}
	for _, r := range v.Staying() {
		staying[r.Gate] = true
	}
	p.connPools.retain(staying)
}

// routedCall is a call whose route is known. One goroutine uses it.
type routedCall struct {
	request  *http.Request
	route    *expand.Route
	service  string      // The service that gets the call.
	state    *feed.State // The configuration at the start of the call; later changes don't affect it.
	started  time.Time
	elapsed  time.Duration // The time that earlier attempts of the caller took.
	deadline time.Time
	depth    int       // The number of calls of the mesh that this one is nested in.
	key      string    // The caller's idempotency key, or empty.
	expiry   time.Time // From when the call must not be executed any more; zero without a claim.
	body     *callBody
	caller   string // The service beside whose daemon the caller runs.
	urgency  call.Urgency
	parent   *Parent     // Set if a local upstream makes the call while it executes another one.
	id       string      // The ID of the caller's attempt.
	choice   move.Reason // Why the call was given its version; empty without a running move.
	reached  bool        // An attempt has reached an upstream.
	grant    access.Grant
}

// ServeHTTP routes a call by its team, method and path, and writes the response
// of an upstream or an error response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.config.Counters.Add("calls", 1)
	c, callErr := p.admitByTeam(r)
	if callErr != nil {
		p.reject(w, p.errorBeforeClaim(r, callErr))
		return
	}
	defer c.body.release()
	if c.key != "" && !c.route.Retryable() && p.config.Claims != nil {
		p.serveIdempotent(w, c)
		return
	}
	response, err := p.serveLimited(c)
	if err != nil {
		p.reject(w, call.AsError(err))
		return
	}
	p.config.Counters.Add("calls_answered", 1)
	p.writeResponse(w, response)
}

// errorBeforeClaim returns the error for a call that is rejected before its
// claim is requested. A call with a key may be a retry of one that was
// executed, and the HTTP library of the caller may retry without the caller's
// knowledge. The execution state of such a call is therefore unknown.
func (p *Proxy) errorBeforeClaim(r *http.Request, callErr *call.Error) *call.Error {
	if p.config.Claims == nil || r.Header.Get(call.HeaderKey) == "" {
		return callErr
	}
	return call.UnknownError(callErr.Reason)
}

// reject counts an error and writes it without the load of the upstream, which
// callers don't get.
func (p *Proxy) reject(w http.ResponseWriter, callErr *call.Error) {
	p.config.Counters.Add("calls_refused_"+string(callErr.Reason), 1)
	public := *callErr
	public.Load = call.Load{}
	public.Write(w)
}

// writeResponse writes a response for the caller, without the headers that
// proxies exchange. If the body breaks off, it writes an error instead, or aborts the
// response if the caller may have got a part of it.
func (p *Proxy) writeResponse(w http.ResponseWriter, response *upstream.Response) {
	defer response.Body.Close()
	h := w.Header()
	call.CopyHeader(h, response.Header)
	h.Set(call.HeaderRun, string(call.Executed))
	w.WriteHeader(response.Status)
	if err := call.CopyBody(w, response.Body, response.Length < 0); err != nil {
		if !http1.Reset(w) {
			panic(http.ErrAbortHandler)
		}
		p.reject(w, call.AsError(err))
	}
}

// admitByTeam finds the route of a call by its team, and takes the cost of the
// call from the quota of the team.
func (p *Proxy) admitByTeam(r *http.Request) (*routedCall, *call.Error) {
	if !p.config.Ready() {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	now := p.config.Clock()
	state := p.config.Hub.State()
	team := r.Header.Get(call.HeaderTeam)
	if !state.Table().HasTeam(team) {
		return nil, call.NotExecutedError(call.ReasonNoTeam)
	}
	route, ok := state.Table().Match(team, r.Method, r.URL.Path)
	if !ok {
		return nil, call.NotExecutedError(call.ReasonNoRoute)
	}
	grant, callErr := p.decideAccess(state.Table(), r, true)
	if callErr != nil {
		return nil, callErr
	}
	timeout, callErr := timeoutOf(r, route)
	if callErr != nil {
		return nil, callErr
	}
	body, err := newCallBody(r)
	if err != nil {
		return nil, call.NotExecutedError(call.ReasonBadCall)
	}
	limit, limited := state.Table().Limit(team)
	if limited && !p.config.TakeQuota(now, limit, team, limit.Cost(route.Name())) {
		return nil, call.NotExecutedError(call.ReasonLimit)
	}
	return &routedCall{
		request: r, route: route, service: route.Service(), state: state, started: now, deadline: now.Add(timeout),
		depth: call.Depth(r.Header), key: r.Header.Get(call.HeaderKey), body: body, grant: grant,
	}, nil
}

// timeoutOf returns how long a call may take: the timeout of its route, or that
// of the caller if it is shorter.
func timeoutOf(r *http.Request, route *expand.Route) (time.Duration, *call.Error) {
	requested := r.Header.Get(call.HeaderTimeout)
	if requested == "" {
		return route.Timeout(), nil
	}
	d, err := time.ParseDuration(requested)
	if err != nil {
		return 0, call.NotExecutedError(call.ReasonBadCall)
	}
	if d <= 0 {
		return 0, call.NotExecutedError(call.ReasonDeadline)
	}
	return min(d, route.Timeout()), nil
}
