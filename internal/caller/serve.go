package caller

import (
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// defaultMaxAttempts is how many upstreams a call may reach where its route does
	// not say.
	defaultMaxAttempts = 3
	// maxTries is how many gates are asked for one call.
	maxTries = 4
)

// serve sends a call to upstreams until one answers or no other may be tried.
func (e *Proxy) serve(c *routedCall) (*upstream.Response, error) {
	e.retries.deposit(c.service, e.config.Retries.Ratio, e.retryBurst())
	version, move := e.pickVersion(c)
	skip := map[string]bool{}
	refusal := call.NotExecutedError(call.ReasonNoUpstream)
	var passed *upstream.Response // A failure that was passed over.
	reached := 0
	for try := 1; ; try++ {
		now := e.config.Clock()
		if !now.Before(c.deadline) {
			return instead(passed, worse(refusal, call.ReasonDeadline))
		}
		target, ok := e.pickTarget(now, c, version, skip)
		if !ok {
			return instead(passed, refusal)
		}
		skip[target.Host+"/"+target.ID] = true
		answer, err := e.send(c, target)
		if err == nil && byHost(c.route) && bufferResponse(answer) != nil {
			err = call.UnknownError(call.ReasonBroken)
		}
		e.finish(c, now, target, move, answer, err)
		c.urgency.Retry = true
		if err == nil {
			reached++
			if !e.shouldPassOver(c, answer) || reached >= c.attempts() || !e.mayRetry(c) {
				passed.Discard()
				return answer, nil
			}
			e.logAttempt(c, target, e.config.Clock(), answer.Status, false)
			passed.Discard()
			passed = answer
			continue
		}
		refusal = earlier(refusal, call.AsError(err))
		if refusal.Execution != call.NotExecuted || refusal.FromUpstream {
			reached++
		}
		if !e.mayRepeat(c, refusal) || reached >= c.attempts() || try == maxTries {
			return instead(passed, refusal)
		}
		if !e.isFree(c, refusal) && !e.mayRetry(c) {
			return instead(passed, refusal)
		}
		e.logAttempt(c, target, e.config.Clock(), refusal.Reason, refusal.Unresponsive)
	}
}

// instead returns an upstream's failure that was passed over, if there is one,
// rather than a refusal: the call has run, whatever became of later tries.
func instead(passed *upstream.Response, r *call.Error) (*upstream.Response, error) {
	if passed != nil {
		return passed, nil
	}
	return nil, r
}

// earlier returns the refusal to go on with after a try: the new one, with the
// earlier of the times at which there may be room. A call that may have run
// stays one.
func earlier(old, r *call.Error) *call.Error {
	if old.Execution == call.ExecutionUnknown && r.Execution == call.NotExecuted {
		return old
	}
	if old.RetryAfter > 0 && (r.RetryAfter == 0 || old.RetryAfter < r.RetryAfter) {
		r.RetryAfter = old.RetryAfter
	}
	return r
}

// isFree reports whether an attempt ended without work for any upstream:
// nobody was there, or a target takes no new work and is not asked again soon.
// Nor does a call by host that a gate turns away, whose routes bound what may
// reach upstreams and not what gates may be asked.
func (e *Proxy) isFree(c *routedCall, r *call.Error) bool {
	if r.Execution != call.NotExecuted || r.FromUpstream {
		return false
	}
	return byHost(c.route) || r.Reason == call.ReasonDraining || r.Reason == call.ReasonUnreachable
}

// worse keeps "unknown" if an earlier attempt may have run.
func worse(r *call.Error, reason call.Reason) *call.Error {
	if r.Execution == call.ExecutionUnknown {
		return r
	}
	return call.NotExecutedError(reason)
}

// pickVersion decides which version of the service gets the call, and returns
// the move under way, if any.
func (e *Proxy) pickVersion(c *routedCall) (string, *config.Move) {
	table := c.state.Table()
	split := table.Split(c.service)
	if split.To == "" {
		return split.From, nil
	}
	move, _ := table.Move(c.service)
	if e.config.Blocked(move) {
		return split.From, &move
	}
	draw := int(e.config.Random() * config.FullShare)
	if draw < split.Share && e.hasReady(c.service, split.To) {
		return split.To, &move
	}
	if !e.hasReady(c.service, split.From) && split.Share > 0 {
		return split.To, &move
	}
	return split.From, &move
}

func (e *Proxy) hasReady(service, version string) bool {
	for _, t := range e.config.Hub.View().Targets(service, version) {
		if t.State == 0 {
			return true
		}
	}
	return false
}

func (e *Proxy) pickTarget(now time.Time, c *routedCall, version string, skip map[string]bool) (feed.Target, bool) {
	targets := e.config.Hub.View().Targets(c.service, version)
	query := balance.Query{Exclude: skip, Retryable: e.mayRunAgain(c)}
	if until := c.objective(); !until.IsZero() {
		query.Objective, query.HasObjective = until.Sub(now), true
	}
	return e.balancer.Pick(now, query, targets, e.config.Random)
}

// shouldPassOver reports whether an upstream's own shedding should be answered
// by trying another one.
func (e *Proxy) shouldPassOver(c *routedCall, a *upstream.Response) bool {
	if byHost(c.route) {
		return a.Status >= http.StatusInternalServerError && e.mayRunAgain(c)
	}
	return a.Status == http.StatusServiceUnavailable && e.mayRunAgain(c)
}

// mayRepeat reports whether a call may be sent again after a refusal.
func (e *Proxy) mayRepeat(c *routedCall, r *call.Error) bool {
	if r.Reason == call.ReasonYield {
		return false // Other gates let calls through in the same proportion.
	}
	if r.Execution == call.NotExecuted {
		return c.body.rewindable()
	}
	return e.mayRunAgain(c)
}

// mayRunAgain reports whether a call that may have run can be run once more.
// Only the outermost call of a chain does that, since each level that did
// would multiply the calls below it.
func (e *Proxy) mayRunAgain(c *routedCall) bool {
	return c.route.Retryable() && c.depth == 0 && c.body.rewindable()
}

// retryBurst returns how many retries this daemon may save up for a service.
func (e *Proxy) retryBurst() float64 {
	return e.config.Retries.burst(len(e.config.Hub.View().Live()))
}

// mayRetry takes a retry from the budget.
func (e *Proxy) mayRetry(c *routedCall) bool {
	if !e.retries.withdraw(c.service, e.retryBurst()) {
		e.config.Counters.Add("retries_denied", 1)
		return false
	}
	e.config.Counters.Add("retries", 1)
	return true
}

// finish tells the balancer and the evidence how an attempt went.
func (e *Proxy) finish(c *routedCall, start time.Time, t feed.Target, move *config.Move, a *upstream.Response, err error) {
	now := e.config.Clock()
	result := balance.Result{}
	failed := false
	took := now.Sub(start)
	if err != nil {
		r := call.AsError(err)
		result.Load = r.Load
		result.Failed = r.Execution == call.ExecutionUnknown || r.Reason == call.ReasonUnreachable
		result.Draining = r.Reason == call.ReasonDraining
		result.Unresponsive = r.Unresponsive
		if r.Unresponsive && e.config.OnUnresponsive != nil {
			e.config.OnUnresponsive(t.Host)
		}
		failed = r.Execution == call.ExecutionUnknown
	} else {
		result.Load = a.Load
		took = a.Duration
		failed = a.Status >= http.StatusInternalServerError
	}
	e.balancer.Done(now, t, result)
	if c.parent != nil && result.Load.Granted > 0 {
		e.config.Inbound.ReportAdmission(now, c.parent.Upstream, c.parent.Route, float64(result.Load.Granted)/config.FullShare)
	}
	if move == nil || (err != nil && !failed) {
		return
	}
	key := callstats.Key{
		Service: t.Service, Move: move.Start.UnixMilli(), Version: t.Version,
		Route: c.route.Name(), Host: t.Host,
	}
	warm := now.Sub(t.Since) >= warmUp
	if failed || warm {
		e.config.CallStats.Add(key, took, failed)
	}
}

// warmUp is how long answers of a new upstream say nothing about its speed.
const warmUp = 3 * time.Second
