// Package upstream is a daemon's side towards the upstreams beside it: it
// takes their announcements and is the gate that every call to them passes.
package upstream

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// queuePerSlot bounds the calls that wait for each slot.
const queuePerSlot = 8

// scheduler lets a bounded number of calls run at one upstream and a bounded number
// wait. It is safe for concurrent use.
type scheduler struct {
	mutex    sync.Mutex
	queue    queue
	health   health
	draining bool
	closed   bool
}

// waiter is a call that waits.
type waiter struct {
	request request
	granted chan *call.Error // Buffered; nil means that the call may run.
	left    bool
}

func newScheduler(slots int) *scheduler {
	return &scheduler{queue: newQueue(slots)}
}

// enter asks for a call to run. It returns a refusal, or a waiter to wait on.
func (l *scheduler) enter(now time.Time, w request) (*waiter, *call.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.draining || l.closed {
		return nil, l.refuse(call.ReasonDraining, 0)
	}
	l.dropUnservable(now)
	if reason, after := l.queue.admit(now, w); reason != "" {
		return nil, l.refuseNested(w, reason, after)
	}
	t := &waiter{request: w, granted: make(chan *call.Error, 1)}
	l.queue.waiting = append(l.queue.waiting, t)
	l.grant(now)
	if last := l.queue.overflow(now); last != nil && !last.left {
		last.granted <- l.refuse(call.ReasonShed, l.queue.retrySpacing.after(now, l.queue.wait(now, last.request), l.queue.spacing()))
	}
	return t, nil
}

func (l *scheduler) refuse(reason call.Reason, after time.Duration) *call.Error {
	r := call.NotExecutedError(reason)
	r.Load = l.load()
	r.RetryAfter = after
	return r
}

// refuseNested refuses a call and tells what concerns its parent.
func (l *scheduler) refuseNested(w request, reason call.Reason, after time.Duration) *call.Error {
	r := l.refuse(reason, after)
	r.Load = l.loadFor(w)
	return r
}

func (l *scheduler) loadFor(w request) call.Load {
	load := l.load()
	if w.nested {
		load.Granted = l.queue.admissionRates.part(w.parentPriority)
	}
	return load
}

// tell takes in how calls find room at a service that calls of a route need.
func (l *scheduler) tell(now time.Time, route string, part float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.shedder.tell(now, route, part)
}

func (l *scheduler) load() call.Load {
	q := &l.queue
	return call.Load{Running: q.running, Queued: len(q.waiting), Limit: q.limiter.limit(), Service: q.limiter.typical(), Failing: l.health.failing()}
}

// observe counts whether the upstream answered a call soundly.
func (l *scheduler) observe(now time.Time, failed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.health.observe(now, failed)
}

// leave ends a call that ran. took is how long the upstream needed, or 0 if
// that says nothing.
func (l *scheduler) leave(now time.Time, route string, took time.Duration, failed bool) call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.observe(now, route, took, failed)
	l.queue.running--
	l.dropUnservable(now)
	l.grant(now)
	return l.load()
}

// abandon gives up waiting. It reports whether the call had been granted
// meanwhile; then the caller must leave.
func (l *scheduler) abandon(t *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t.left = true
	select {
	case refusal := <-t.granted:
		return refusal == nil
	default:
		return false
	}
}

func (l *scheduler) dropUnservable(now time.Time) {
	for _, t := range l.queue.unservable(now) {
		t.granted <- l.refuse(call.ReasonDeadline, 0)
	}
}

// grant lets waiting calls run while there are slots.
func (l *scheduler) grant(now time.Time) {
	for l.queue.running < l.queue.limiter.limit() {
		t := l.queue.next(now)
		if t == nil {
			return
		}
		if t.left {
			continue
		}
		l.queue.running++
		l.queue.admissionRates.grant(now, t.request)
		t.granted <- nil
	}
}

// drain lets no new call run; those that wait are refused as not run.
func (l *scheduler) drain(closed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.draining = true
	l.closed = l.closed || closed
	for _, t := range l.queue.waiting {
		if !t.left {
			t.granted <- l.refuse(call.ReasonDraining, 0)
		}
	}
	l.queue.waiting = nil
}

// idle reports whether no call runs or waits.
func (l *scheduler) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.running == 0 && len(l.queue.waiting) == 0
}

// Load returns the scheduler's load.
func (l *scheduler) Load() call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.load()
}

// LoadFor returns what the scheduler tells with the answer to a call.
func (l *scheduler) LoadFor(w request) call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.loadFor(w)
}
