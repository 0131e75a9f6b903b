package upstream

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/retryafter"
)

// request describes a call that asks for a slot at an upstream.
type request struct {
	route          string
	nested         bool // Made by an upstream while it executes another call.
	parentPriority int  // The priority of that other call.
	priority       int  // 0 is the most urgent.
	retry          bool // Another inbound proxy was tried before, or the caller retries.
	objective      time.Time
	deadline       time.Time
}

// queue decides which call runs next at an upstream and which calls are rejected.
// It reads no clock, does no I/O and is not safe for concurrent use.
//
// It is made for services that get more calls than their upstreams can execute,
// from callers that retry after a rejection. Calls that can still meet their
// objective go first; in order of arrival, all calls would be equally late. Nested
// calls go before them, since their parents hold slots meanwhile. A call that would
// wait beyond its deadline is rejected when it arrives, while its caller can still
// try another upstream. A queued call goes before newer calls of the same priority
// once its deadline is near. The queue drops it only if it cannot end by its
// deadline any more, or if more calls are queued than maxQueuedPerSlot allows and it
// would run last.
type queue struct {
	limiter    limiter
	routeTimes map[string]*routeTime
	// running is the number of calls that hold a slot.
	running        int
	waiting        []*waiter // In order of arrival.
	retrySpacing   retryafter.Spacing
	admissionRates admissionRates
	shedder        shedder
}

// routeTime is the running mean of the call time of a route.
type routeTime struct {
	meanSeconds float64
	calls       int
}

const (
	// routeTimeWeight is the weight of a new call in the mean of its route.
	routeTimeWeight = 0.05
	// deadlineMargin is applied to the expected time of a call: a queued call with
	// less time left than that goes before calls that can still meet their
	// objectives.
	deadlineMargin = 1.5
	// objectiveAdmitMargin and objectiveKeepMargin are applied to the expected
	// time of a call to decide whether it can meet its objective: the first when
	// the call arrives, the second while it is queued. The second is smaller, and
	// below 1, so that a queued call that falls slightly short of its expected time
	// does not lose its turn to newer ones.
	objectiveAdmitMargin = 1.7
	objectiveKeepMargin  = 0.8
)

func newQueue(slots int) queue {
	return queue{limiter: newLimiter(slots), routeTimes: map[string]*routeTime{}}
}

// expectedTime returns the expected call time of a route. Without calls of the
// route it is the mean over all routes.
func (q *queue) expectedTime(route string) time.Duration {
	if t := q.routeTimes[route]; t != nil {
		return time.Duration(t.meanSeconds * float64(time.Second))
	}
	return q.limiter.meanTime()
}

// observe records a call that ended at now. Calls that failed, or whose duration
// is 0, do not count.
func (q *queue) observe(now time.Time, route string, duration time.Duration, failed bool) {
	q.limiter.observe(now, duration, q.running, failed)
	if duration <= 0 || failed {
		return
	}
	t := q.routeTimes[route]
	if t == nil {
		t = &routeTime{}
		q.routeTimes[route] = t
	}
	t.calls++
	weight := max(routeTimeWeight, 1/float64(t.calls))
	t.meanSeconds += weight * (duration.Seconds() - t.meanSeconds)
}

// meetsObjective reports whether a call that starts at start is likely to meet its
// objective, if it takes margin times the expected time of its route.
func (q *queue) meetsObjective(start time.Time, r request, margin float64) bool {
	need := time.Duration(margin * float64(q.expectedTime(r.route)))
	return !start.Add(need).After(r.objective)
}

// nearDeadline reports whether a call must run soon to end by its deadline. Such
// calls go before others of the same priority, so that newer calls do not keep a
// queued one waiting beyond its deadline.
func (q *queue) nearDeadline(now time.Time, r request) bool {
	need := time.Duration(deadlineMargin * float64(q.expectedTime(r.route)))
	return !now.Add(need).Before(r.deadline)
}

// precedes reports whether a runs before b, if the next call is chosen at now.
func (q *queue) precedes(now time.Time, a, b request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if near := q.nearDeadline(now, a); near != q.nearDeadline(now, b) {
		return near
	}
	early := q.meetsObjective(now, a, objectiveKeepMargin)
	if early != q.meetsObjective(now, b, objectiveKeepMargin) {
		return early
	}
	if early {
		return a.objective.Before(b.objective)
	}
	return a.deadline.Before(b.deadline)
}

// expectedWait returns how long a call that arrives at now is expected to wait.
func (q *queue) expectedWait(now time.Time, r request) time.Duration {
	limit := q.limiter.limit()
	if q.running < limit && len(q.waiting) == 0 {
		return 0
	}
	work := q.limiter.meanTime()
	for _, w := range q.waiting {
		if !w.abandoned && !q.precedes(now, r, w.request) {
			work += q.expectedTime(w.request.route)
		}
	}
	return work / time.Duration(limit)
}

// rejection states why a call is rejected. The zero value means that it is not.
type rejection struct {
	reason     call.Reason
	retryAfter time.Duration // See call.Error.RetryAfter.
	opens      time.Duration // See call.Error.Opens.
}

// admit returns the zero rejection if a call that arrives at now may run or be queued.
// A call that would miss its objective by waiting is admitted only if a slot is free;
// then more than half of its expected time must remain until its deadline.
func (q *queue) admit(now time.Time, r request) rejection {
	q.admissionRates.recordOffered(now, r)
	if !r.nested && !q.shedder.admits(now, r.route, r.retry) {
		return rejection{reason: call.ReasonYield, retryAfter: q.retrySpacing.Delay(now, shedRetryAfter, q.completionInterval())}
	}
	wait := q.expectedWait(now, r)
	work := q.expectedTime(r.route)
	if wait == 0 && now.Before(r.deadline) {
		if !now.Add(work / 2).Before(r.deadline) {
			return rejection{reason: call.ReasonDeadline}
		}
		return rejection{}
	}
	if (r.nested || q.meetsObjective(now.Add(wait), r, objectiveAdmitMargin)) && now.Add(wait+work).Before(r.deadline) {
		return rejection{}
	}
	if !now.Add(work).Before(r.deadline) {
		return rejection{reason: call.ReasonDeadline}
	}
	return q.shed(now, r, wait)
}

// shed returns the rejection of a call that would wait too long. It opens again once
// the wait has become short enough or a slot is free.
func (q *queue) shed(now time.Time, r request, wait time.Duration) rejection {
	latest := r.objective.Add(-time.Duration(objectiveAdmitMargin * float64(q.expectedTime(r.route))))
	if r.nested {
		latest = r.deadline.Add(-q.expectedTime(r.route))
	}
	return rejection{
		reason:     call.ReasonShed,
		retryAfter: q.retrySpacing.Delay(now, wait, q.completionInterval()),
		opens:      max(0, min(wait, now.Add(wait).Sub(latest))),
	}
}

// evictExcess removes and returns the call that would run last, if more calls are
// queued than maxQueuedPerSlot allows. Otherwise it returns nil.
func (q *queue) evictExcess(now time.Time) *waiter {
	if len(q.waiting) <= maxQueuedPerSlot*q.limiter.slots {
		return nil
	}
	last := 0
	for i, w := range q.waiting {
		if !q.precedes(now, w.request, q.waiting[last].request) {
			last = i
		}
	}
	w := q.waiting[last]
	q.waiting = append(q.waiting[:last], q.waiting[last+1:]...)
	return w
}

// completionInterval returns the expected time between two completed calls if all
// slots are in use.
func (q *queue) completionInterval() time.Duration {
	return q.limiter.meanTime() / time.Duration(q.limiter.limit())
}

// dequeue removes and returns the call that runs next at now, or nil if none is
// queued.
func (q *queue) dequeue(now time.Time) *waiter {
	best := -1
	for i, w := range q.waiting {
		if best < 0 || q.precedes(now, w.request, q.waiting[best].request) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	return w
}

// removeUnservable removes abandoned calls and calls that cannot end by their
// deadlines any more. It returns the latter.
func (q *queue) removeUnservable(now time.Time) []*waiter {
	var removed []*waiter
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		switch {
		case w.abandoned:
		case !now.Add(q.expectedTime(w.request.route)).Before(w.request.deadline):
			removed = append(removed, w)
		default:
			kept = append(kept, w)
		}
	}
	q.waiting = kept
	return removed
}

// shedRetryAfter is the delay for callers whose calls were shed by priority.
const shedRetryAfter = 200 * time.Millisecond
