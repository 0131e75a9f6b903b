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

// lane lets a bounded number of calls run at one upstream and a bounded number
// wait. It is safe for concurrent use.
type lane struct {
	mutex    sync.Mutex
	queue    queue
	health   health
	draining bool
	closed   bool
}

// ticket is a call that waits.
type ticket struct {
	want    want
	granted chan *call.Refusal // Buffered; nil means that the call may run.
	left    bool
}

func newLane(slots int) *lane {
	return &lane{queue: newQueue(slots)}
}

// enter asks for a call to run. It returns a refusal, or a ticket to wait on.
func (l *lane) enter(now time.Time, w want) (*ticket, *call.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.draining || l.closed {
		return nil, l.refuse(call.ReasonDraining, 0)
	}
	l.dropHopeless(now)
	if reason, after := l.queue.admit(now, w); reason != "" {
		return nil, l.refuseTo(w, reason, after)
	}
	t := &ticket{want: w, granted: make(chan *call.Refusal, 1)}
	l.queue.waiting = append(l.queue.waiting, t)
	l.grant(now)
	if last := l.queue.overflow(now); last != nil && !last.left {
		last.granted <- l.refuse(call.ReasonShed, l.queue.refusals.after(now, l.queue.wait(now, last.want), l.queue.spacing()))
	}
	return t, nil
}

func (l *lane) refuse(reason call.Reason, after time.Duration) *call.Refusal {
	r := call.Refuse(reason)
	r.Load = l.load()
	r.After = after
	return r
}

// refuseTo refuses a call and tells what concerns its parent.
func (l *lane) refuseTo(w want, reason call.Reason, after time.Duration) *call.Refusal {
	r := l.refuse(reason, after)
	r.Load = l.loadFor(w)
	return r
}

func (l *lane) loadFor(w want) call.Load {
	load := l.load()
	if w.nested {
		load.Granted = l.queue.grants.part(w.parent)
	}
	return load
}

// tell takes in how calls find room at a service that calls of a route need.
func (l *lane) tell(now time.Time, route string, part float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.yielding.tell(now, route, part)
}

func (l *lane) load() call.Load {
	q := &l.queue
	return call.Load{Running: q.running, Queued: len(q.waiting), Limit: q.limiter.limit(), Service: q.limiter.typical(), Failing: l.health.failing()}
}

// judge counts whether the upstream answered a call soundly.
func (l *lane) judge(now time.Time, failed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.health.observe(now, failed)
}

// leave ends a call that ran. took is how long the upstream needed, or 0 if
// that says nothing.
func (l *lane) leave(now time.Time, route string, took time.Duration, failed bool) call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.observe(now, route, took, failed)
	l.queue.running--
	l.dropHopeless(now)
	l.grant(now)
	return l.load()
}

// abandon gives up waiting. It reports whether the call had been granted
// meanwhile; then the caller must leave.
func (l *lane) abandon(t *ticket) bool {
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

func (l *lane) dropHopeless(now time.Time) {
	for _, t := range l.queue.hopeless(now) {
		t.granted <- l.refuse(call.ReasonDeadline, 0)
	}
}

// grant lets waiting calls run while there are slots.
func (l *lane) grant(now time.Time) {
	for l.queue.running < l.queue.limiter.limit() {
		t := l.queue.next(now)
		if t == nil {
			return
		}
		if t.left {
			continue
		}
		l.queue.running++
		l.queue.grants.grant(now, t.want)
		t.granted <- nil
	}
}

// drain lets no new call run; those that wait are refused as not run.
func (l *lane) drain(closed bool) {
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
func (l *lane) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.running == 0 && len(l.queue.waiting) == 0
}

// Load returns the lane's load.
func (l *lane) Load() call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.load()
}

// LoadFor returns what the lane tells with the answer to a call.
func (l *lane) LoadFor(w want) call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.loadFor(w)
}
