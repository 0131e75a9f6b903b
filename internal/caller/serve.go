package caller

import (
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/evidence"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// attemptLimit is how many upstreams a call may reach where its route does
	// not say.
	attemptLimit = 3
	// triesMost is how many gates are asked for one call.
	triesMost = 4
)

// serve sends a call to upstreams until one answers or no other may be tried.
func (e *Entry) serve(c *routed) (*upstream.Answer, error) {
	e.retries.earn(c.service, e.config.Retries.Part, e.retriesSaved())
	version, move := e.pickVersion(c)
	skip := map[string]bool{}
	refusal := call.Refuse(call.ReasonNoUpstream)
	var passed *upstream.Answer // A failure that was passed over.
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
		if err == nil && byHost(c.route) && keepAnswer(answer) != nil {
			err = call.Unknown(call.ReasonBroken)
		}
		e.finish(c, now, target, move, answer, err)
		c.rank.Again = true
		if err == nil {
			reached++
			if !e.shouldPassOver(c, answer) || reached >= c.attempts() || !e.mayRetry(c) {
				passed.Drop()
				return answer, nil
			}
			e.noteTry(c, target, e.config.Clock(), answer.Status, false)
			passed.Drop()
			passed = answer
			continue
		}
		refusal = earlier(refusal, call.AsRefusal(err))
		if refusal.Run != call.RunNot || refusal.Reached {
			reached++
		}
		if !e.mayRepeat(c, refusal) || reached >= c.attempts() || try == triesMost {
			return instead(passed, refusal)
		}
		if !e.costsNobody(c, refusal) && !e.mayRetry(c) {
			return instead(passed, refusal)
		}
		e.noteTry(c, target, e.config.Clock(), refusal.Reason, refusal.Silent)
	}
}

// instead returns an upstream's failure that was passed over, if there is one,
// rather than a refusal: the call has run, whatever became of later tries.
func instead(passed *upstream.Answer, r *call.Refusal) (*upstream.Answer, error) {
	if passed != nil {
		return passed, nil
	}
	return nil, r
}

// earlier returns the refusal to go on with after a try: the new one, with the
// earlier of the times at which there may be room. A call that may have run
// stays one.
func earlier(old, r *call.Refusal) *call.Refusal {
	if old.Run == call.RunUnknown && r.Run == call.RunNot {
		return old
	}
	if old.After > 0 && (r.After == 0 || old.After < r.After) {
		r.After = old.After
	}
	return r
}

// costsNobody reports whether an attempt ended without work for any upstream:
// nobody was there, or a target takes no new work and is not asked again soon.
// Nor does a call by host that a gate turns away, whose routes bound what may
// reach upstreams and not what gates may be asked.
func (e *Entry) costsNobody(c *routed, r *call.Refusal) bool {
	if r.Run != call.RunNot || r.Reached {
		return false
	}
	return byHost(c.route) || r.Reason == call.ReasonDraining || r.Reason == call.ReasonUnreachable
}

// worse keeps "unknown" if an earlier attempt may have run.
func worse(r *call.Refusal, reason call.Reason) *call.Refusal {
	if r.Run == call.RunUnknown {
		return r
	}
	return call.Refuse(reason)
}

// pickVersion decides which version of the service gets the call, and returns
// the move under way, if any.
func (e *Entry) pickVersion(c *routed) (string, *config.Move) {
	table := c.state.Table()
	split := table.Split(c.service)
	if split.To == "" {
		return split.From, nil
	}
	move, _ := table.Move(c.service)
	if e.config.Braked(move) {
		return split.From, &move
	}
	draw := int(e.config.Draw() * config.FullShare)
	if draw < split.Share && e.hasReady(c.service, split.To) {
		return split.To, &move
	}
	if !e.hasReady(c.service, split.From) && split.Share > 0 {
		return split.To, &move
	}
	return split.From, &move
}

func (e *Entry) hasReady(service, version string) bool {
	for _, t := range e.config.Hub.View().Targets(service, version) {
		if t.State == 0 {
			return true
		}
	}
	return false
}

func (e *Entry) pickTarget(now time.Time, c *routed, version string, skip map[string]bool) (feed.Target, bool) {
	targets := e.config.Hub.View().Targets(c.service, version)
	query := balance.Query{Skip: skip, Repeat: e.mayRunAgain(c)}
	if until := c.objective(); !until.IsZero() {
		query.Objective, query.Bound = until.Sub(now), true
	}
	return e.balancer.Pick(now, query, targets, e.config.Draw)
}

// shouldPassOver reports whether an upstream's own shedding should be answered
// by trying another one.
func (e *Entry) shouldPassOver(c *routed, a *upstream.Answer) bool {
	if byHost(c.route) {
		return a.Status >= http.StatusInternalServerError && e.mayRunAgain(c)
	}
	return a.Status == http.StatusServiceUnavailable && e.mayRunAgain(c)
}

// mayRepeat reports whether a call may be sent again after a refusal.
func (e *Entry) mayRepeat(c *routed, r *call.Refusal) bool {
	if r.Reason == call.ReasonYield {
		return false // Other gates let calls through in the same proportion.
	}
	if r.Run == call.RunNot {
		return c.body.rewindable()
	}
	return e.mayRunAgain(c)
}

// mayRunAgain reports whether a call that may have run can be run once more.
// Only the outermost call of a chain does that, since each level that did
// would multiply the calls below it.
func (e *Entry) mayRunAgain(c *routed) bool {
	return c.route.Repeatable() && c.depth == 0 && c.body.rewindable()
}

// retriesSaved returns how many retries this daemon may save up for a service.
func (e *Entry) retriesSaved() float64 {
	return e.config.Retries.saved(len(e.config.Hub.View().Live()))
}

// mayRetry takes a retry from the budget.
func (e *Entry) mayRetry(c *routed) bool {
	if !e.retries.spend(c.service, e.retriesSaved()) {
		e.config.Counters.Add("retries_denied", 1)
		return false
	}
	e.config.Counters.Add("retries", 1)
	return true
}

// finish tells the balancer and the evidence how an attempt went.
func (e *Entry) finish(c *routed, start time.Time, t feed.Target, move *config.Move, a *upstream.Answer, err error) {
	now := e.config.Clock()
	result := balance.Result{}
	failed := false
	took := now.Sub(start)
	if err != nil {
		r := call.AsRefusal(err)
		result.Load = r.Load
		result.Failed = r.Run == call.RunUnknown || r.Reason == call.ReasonUnreachable
		result.Closed = r.Reason == call.ReasonDraining
		result.Silent = r.Silent
		if r.Silent && e.config.Silent != nil {
			e.config.Silent(t.Host)
		}
		failed = r.Run == call.RunUnknown
	} else {
		result.Load = a.Load
		took = a.Took
		failed = a.Status >= http.StatusInternalServerError
	}
	e.balancer.Done(now, t, result)
	if c.parent != nil && result.Load.Granted > 0 {
		e.config.Gate.Tell(now, c.parent.Upstream, c.parent.Route, float64(result.Load.Granted)/config.FullShare)
	}
	if move == nil || (err != nil && !failed) {
		return
	}
	key := evidence.Key{
		Service: t.Service, Move: move.Start.UnixMilli(), Version: t.Version,
		Route: c.route.Name(), Host: t.Host,
	}
	warm := now.Sub(t.Since) >= warmUp
	if failed || warm {
		e.config.Evidence.Add(key, took, failed)
	}
}

// warmUp is how long answers of a new upstream say nothing about its speed.
const warmUp = 3 * time.Second
