package upstream

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// request describes a call that wants to run at an upstream.
type request struct {
	route          string
	nested         bool // Made by an upstream while it works on another call.
	parentPriority int  // The priority of that other call.
	priority       int  // 0 is the most urgent.
	retry          bool // Another gate was asked before, or the caller comes back.
	objective      time.Time
	deadline       time.Time
}

// queue decides which call runs next at an upstream, and which are refused. It
// reads no clock and does no I/O, and is not safe for concurrent use.
//
// The load that it is made for is a service that gets more calls than its
// upstreams can run, from callers that come back after a refusal. Calls that
// can still make their objective go first, or all would be late by the same
// time; calls of upstreams that are at work go before them, since their
// parents hold slots meanwhile. A call that would wait beyond its deadline is
// refused when it comes, while its caller can still go elsewhere, and one that
// waits is not given up for newer ones.
type queue struct {
	limiter        limiter
	times          map[string]*workTime
	running        int
	waiting        []*waiter // In the order of their arrival.
	retrySpacing   retrySpacing
	admissionRates admissionRates
	shedder        shedder
}

// workTime is a running mean of what the calls of a route take, in seconds.
type workTime struct {
	mean  float64
	calls int
}

const (
	// timeWeight is the weight of a new call in the mean of its route.
	timeWeight = 0.05
	// chanceMargin is how many times its mean a call must have left to go on
	// waiting behind those that can make their objectives.
	chanceMargin = 1.5
	// admitMargin and keepMargin are how many times its mean a call is taken to
	// need, when it is decided whether it can make its objective: when it comes,
	// and while it waits. A call that was let wait and falls a little short must
	// not lose its turn to newer ones.
	admitMargin = 1.7
	keepMargin  = 0.8
)

func newQueue(slots int) queue {
	return queue{limiter: newLimiter(slots), times: map[string]*workTime{}}
}

// work returns how long a call of a route is likely to take.
func (q *queue) work(route string) time.Duration {
	if t := q.times[route]; t != nil {
		return time.Duration(t.mean * float64(time.Second))
	}
	return q.limiter.typical()
}

// observe learns from a call that ended at now.
func (q *queue) observe(now time.Time, route string, took time.Duration, failed bool) {
	q.limiter.observe(now, took, q.running, failed)
	if took <= 0 || failed {
		return
	}
	t := q.times[route]
	if t == nil {
		t = &workTime{}
		q.times[route] = t
	}
	t.calls++
	weight := max(timeWeight, 1/float64(t.calls))
	t.mean += weight * (took.Seconds() - t.mean)
}

// inTime reports whether a call that starts at start is likely to make its
// objective, if it needs margin times the mean of its route.
func (q *queue) inTime(start time.Time, w request, margin float64) bool {
	need := time.Duration(margin * float64(q.work(w.route)))
	return !start.Add(need).After(w.objective)
}

// lastChance reports whether a call must run soon to be answered by its
// deadline. A call that has been let wait is not given up for newer ones.
func (q *queue) lastChance(now time.Time, w request) bool {
	need := time.Duration(chanceMargin * float64(q.work(w.route)))
	return !now.Add(need).Before(w.deadline)
}

// before reports whether a goes before b at now.
func (q *queue) before(now time.Time, a, b request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if last := q.lastChance(now, a); last != q.lastChance(now, b) {
		return last
	}
	early := q.inTime(now, a, keepMargin)
	if early != q.inTime(now, b, keepMargin) {
		return early
	}
	if early {
		return a.objective.Before(b.objective)
	}
	return a.deadline.Before(b.deadline)
}

// wait returns how long a call that comes at now is likely to wait.
func (q *queue) wait(now time.Time, w request) time.Duration {
	limit := q.limiter.limit()
	if q.running < limit && len(q.waiting) == 0 {
		return 0
	}
	ahead := q.limiter.typical()
	for _, t := range q.waiting {
		if !t.left && !q.before(now, w, t.request) {
			ahead += q.work(t.request.route)
		}
	}
	return ahead / time.Duration(limit)
}

// admit decides whether a call that comes at now may run or wait. If not, it
// returns the reason and when the caller should come back. A call that would
// miss its objective by waiting runs only if a slot is free.
func (q *queue) admit(now time.Time, w request) (call.Reason, time.Duration) {
	q.admissionRates.offer(now, w)
	if !w.nested && !q.shedder.admits(now, w.route, w.retry) {
		return call.ReasonYield, q.retrySpacing.after(now, shedRetryAfter, q.spacing())
	}
	wait := q.wait(now, w)
	work := q.work(w.route)
	if wait == 0 && now.Before(w.deadline) {
		if !now.Add(work / 2).Before(w.deadline) {
			return call.ReasonDeadline, 0
		}
		return "", 0
	}
	if (w.nested || q.inTime(now.Add(wait), w, admitMargin)) && now.Add(wait+work).Before(w.deadline) {
		return "", 0
	}
	if !now.Add(work).Before(w.deadline) {
		return call.ReasonDeadline, 0
	}
	return call.ReasonShed, q.retrySpacing.after(now, wait, q.spacing())
}

// overflow takes out the call that is the last to run, if more wait than may.
func (q *queue) overflow(now time.Time) *waiter {
	if len(q.waiting) <= queuePerSlot*q.limiter.slots {
		return nil
	}
	worst := 0
	for i, t := range q.waiting {
		if !q.before(now, t.request, q.waiting[worst].request) {
			worst = i
		}
	}
	t := q.waiting[worst]
	q.waiting = append(q.waiting[:worst], q.waiting[worst+1:]...)
	return t
}

// spacing is the time in which the upstream has room for one more call.
func (q *queue) spacing() time.Duration {
	return q.limiter.typical() / time.Duration(q.limiter.limit())
}

// next takes the call out that is to run next at now, or nil.
func (q *queue) next(now time.Time) *waiter {
	best := -1
	for i, t := range q.waiting {
		if best < 0 || q.before(now, t.request, q.waiting[best].request) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	t := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	return t
}

// unservable takes out the calls that can't be answered by their deadlines any
// more.
func (q *queue) unservable(now time.Time) []*waiter {
	var out []*waiter
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		switch {
		case t.left:
		case !now.Add(q.work(t.request.route)).Before(t.request.deadline):
			out = append(out, t)
		default:
			kept = append(kept, t)
		}
	}
	q.waiting = kept
	return out
}

// retrySpacing spreads the callers that were refused over the time in which there
// will be room, in the order in which they were refused.
type retrySpacing struct {
	next time.Time // When the next refused caller should come back.
}

const (
	// minRetryAfter keeps callers from coming back within a round trip.
	minRetryAfter = 20 * time.Millisecond
	// shedRetryAfter is when a caller should come back whose call gave way to more
	// urgent ones.
	shedRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds how far refused callers are spread: beyond that, most
	// have given up.
	maxRetryAfter = time.Second
)

// after returns how long a caller should stay away that could be served in
// wait, given that one more can be served in each spacing.
func (r *retrySpacing) after(now time.Time, wait, spacing time.Duration) time.Duration {
	at := now.Add(max(wait, minRetryAfter))
	if r.next.After(at) {
		at = r.next
	}
	r.next = at.Add(spacing)
	if most := now.Add(maxRetryAfter); r.next.After(most) {
		r.next = most
	}
	return at.Sub(now)
}
