// Package caller is a daemon's side towards callers: the entry, which routes
// each call to an upstream by way of that upstream's own daemon.
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/evidence"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Config describes an Entry.
type Config struct {
	Host     string
	Zone     string
	Clock    func() time.Time
	Draw     func() float64 // A random number in [0, 1).
	Ready    func() bool    // Whether the configuration may be served.
	Hub      *feed.Hub
	Gate     *upstream.Gate // The gate of this daemon.
	Evidence *evidence.Counter
	Counters *count.Set
	// Charge takes units of a team's contract and returns false if they are
	// used up.
	Charge func(now time.Time, l *expand.Limit, team string, cost int) bool
	// Braked reports whether this daemon has stopped sending calls to the new
	// version of a move.
	Braked func(m config.Move) bool
	// Claims asks for the claims of keyed calls that must not be repeated.
	// Without it, their keys are passed on to the upstream and nothing more.
	Claims  *claim.Taker
	Retries RetryPolicy
	Calls   *logs.Calls    // Nil means that calls are not logged.
	Balance balance.Config // Zone is filled in.
	// Silent is told of a host that acknowledged nothing of a call. It may be nil.
	Silent func(host string)
}

// Entry routes calls. It is safe for concurrent use. Make one with New.
type Entry struct {
	config   Config
	balancer *balance.Balancer
	retries  retryBudgets
	splits   splitter
	patience patience
	gates    *gates
	keptFor  atomic.Pointer[feed.View]
}

// New returns an entry.
func New(c Config) *Entry {
	c.Retries = c.Retries.withDefaults()
	c.Balance.Zone = c.Zone
	return &Entry{config: c, balancer: balance.New(c.Balance), gates: newGates(c.Counters)}
}

// Close closes the connections to other daemons.
func (e *Entry) Close() { e.gates.keep(nil) }

// KeepGates closes the idle connections to daemons that leave or have gone. A
// daemon that leaves waits for that, since only this side can close an idle
// connection without cutting off a call.
func (e *Entry) KeepGates(v *feed.View) {
	if e.keptFor.Swap(v) == v {
		return
	}
	staying := map[string]bool{}
	for _, r := range v.Staying() {
		staying[r.Gate] = true
	}
	e.gates.keep(staying)
}

// routed is a call on its way.
type routed struct {
	request  *http.Request
	route    *expand.Route
	service  string
	state    *feed.State // The configuration that the call began with.
	began    time.Time
	elapsed  time.Duration // Of the caller's time, before this attempt.
	deadline time.Time
	depth    int
	key      string
	until    time.Time // When the claim of a keyed call may be forgotten.
	body     *callBody
	caller   string // The service beside which the call began.
	rank     call.Rank
	parent   *Parent
	id       string // Of the caller's attempt.
}

// ServeHTTP answers a call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.config.Counters.Add("calls", 1)
	c, refusal := e.admit(r)
	if refusal != nil {
		e.refuse(w, e.unproved(r, refusal))
		return
	}
	defer c.body.release()
	if c.key != "" && !c.route.Repeatable() && e.config.Claims != nil {
		e.serveClaimed(w, c)
		return
	}
	answer, err := e.serve(c)
	if err != nil {
		e.refuse(w, call.AsRefusal(err))
		return
	}
	e.config.Counters.Add("calls_answered", 1)
	passOn(w, answer)
}

// unproved returns a refusal of a call whose claim has not been asked for. With
// a key the call may be a resend of one that ran, also by the caller's client
// library on its own account, so that "not run" would be too much said.
func (e *Entry) unproved(r *http.Request, refusal *call.Refusal) *call.Refusal {
	if e.config.Claims == nil || r.Header.Get(call.HeaderKey) == "" {
		return refusal
	}
	return call.Unknown(refusal.Reason)
}

func (e *Entry) refuse(w http.ResponseWriter, r *call.Refusal) {
	e.config.Counters.Add("calls_refused_"+string(r.Reason), 1)
	outside := *r
	outside.Load = call.Load{}
	outside.Write(w)
}

// passOn writes an answer for the caller, who learns nothing of loads.
func passOn(w http.ResponseWriter, a *upstream.Answer) {
	defer a.Body.Close()
	h := w.Header()
	call.CopyHeader(h, a.Header)
	h.Set(call.HeaderRun, string(call.RunRan))
	w.WriteHeader(a.Status)
	if err := call.CopyBody(w, a.Body, a.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// admit finds the route of a call and charges its team.
func (e *Entry) admit(r *http.Request) (*routed, *call.Refusal) {
	if !e.config.Ready() {
		return nil, call.Refuse(call.ReasonNotReady)
	}
	now := e.config.Clock()
	state := e.config.Hub.State()
	team := r.Header.Get(call.HeaderTeam)
	if !state.Table().KnowsTeam(team) {
		return nil, call.Refuse(call.ReasonNoTeam)
	}
	route, ok := state.Table().Match(team, r.Method, r.URL.Path)
	if !ok {
		return nil, call.Refuse(call.ReasonNoRoute)
	}
	timeout, refusal := timeoutOf(r, route)
	if refusal != nil {
		return nil, refusal
	}
	body, err := newCallBody(r)
	if err != nil {
		return nil, call.Refuse(call.ReasonBadCall)
	}
	limit, limited := state.Table().Limit(team)
	if limited && !e.config.Charge(now, limit, team, limit.Cost(route.Name())) {
		return nil, call.Refuse(call.ReasonLimit)
	}
	return &routed{
		request: r, route: route, service: route.Service(), state: state, began: now, deadline: now.Add(timeout),
		depth: call.Depth(r.Header), key: r.Header.Get(call.HeaderKey), body: body,
	}, nil
}

// timeoutOf returns how long a call may take: what the route says, or less if
// the caller says so.
func timeoutOf(r *http.Request, route *expand.Route) (time.Duration, *call.Refusal) {
	asked := r.Header.Get(call.HeaderTimeout)
	if asked == "" {
		return route.Timeout(), nil
	}
	d, err := time.ParseDuration(asked)
	if err != nil {
		return 0, call.Refuse(call.ReasonBadCall)
	}
	if d <= 0 {
		return 0, call.Refuse(call.ReasonDeadline)
	}
	return min(d, route.Timeout()), nil
}
