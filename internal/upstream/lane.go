// Package upstream is a daemon's side towards the upstreams beside it: it
// takes their announcements and is the gate that every call to them passes.
package upstream

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// queuePerSlot bounds the calls that wait for each slot.
const queuePerSlot = 4

// lane lets a bounded number of calls run at one upstream and a bounded number
// wait. It is safe for concurrent use.
type lane struct {
	mutex    sync.Mutex
	limiter  limiter
	running  int
	queue    []*ticket
	draining bool
	closed   bool
}

// ticket is a call that waits.
type ticket struct {
	deadline time.Time
	granted  chan *call.Refusal // Buffered; nil means that the call may run.
	left     bool
}

func newLane(slots int) *lane {
	return &lane{limiter: newLimiter(slots)}
}

// enter asks for a call to run. It returns a refusal, or a ticket to wait on.
func (l *lane) enter(now, deadline time.Time) (*ticket, *call.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.draining || l.closed:
		return nil, l.refuse(call.ReasonDraining)
	case !l.inTime(now, deadline):
		return nil, l.refuse(call.ReasonDeadline)
	}
	t := &ticket{deadline: deadline, granted: make(chan *call.Refusal, 1)}
	if l.running < l.limiter.limit() {
		l.running++
		t.granted <- nil
		return t, nil
	}
	if len(l.queue) >= queuePerSlot*l.limiter.slots || !l.queueInTime(now, deadline) {
		return nil, l.refuse(call.ReasonShed)
	}
	l.queue = append(l.queue, t)
	return t, nil
}

// inTime reports whether a call that begins now is likely to end in time.
func (l *lane) inTime(now, deadline time.Time) bool {
	return now.Add(l.limiter.typical()).Before(deadline)
}

// queueInTime reports whether a call at the end of the queue is likely to end
// in time.
func (l *lane) queueInTime(now, deadline time.Time) bool {
	rounds := 1 + len(l.queue)/l.limiter.limit()
	wait := time.Duration(rounds) * l.limiter.typical()
	return l.inTime(now.Add(wait), deadline)
}

func (l *lane) refuse(reason call.Reason) *call.Refusal {
	r := call.Refuse(reason)
	r.Load = l.load()
	return r
}

func (l *lane) load() call.Load {
	return call.Load{Running: l.running, Queued: len(l.queue), Limit: l.limiter.limit(), Service: l.limiter.typical()}
}

// leave ends a call that ran. took is how long the upstream needed, or 0 if
// that says nothing.
func (l *lane) leave(now time.Time, took time.Duration, failed bool) call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.observe(now, took, l.running, failed)
	l.running--
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

// grant lets waiting calls run. Deadlines are looked at here, at the head of
// the queue: a call that can't make its deadline any more is not run.
func (l *lane) grant(now time.Time) {
	for len(l.queue) > 0 && l.running < l.limiter.limit() {
		t := l.queue[0]
		l.queue = l.queue[1:]
		switch {
		case t.left:
		case l.draining || l.closed:
			t.granted <- l.refuse(call.ReasonDraining)
		case !l.inTime(now, t.deadline):
			t.granted <- l.refuse(call.ReasonDeadline)
		default:
			l.running++
			t.granted <- nil
		}
	}
}

// drain lets no new call run; those that wait are refused as not run.
func (l *lane) drain(closed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.draining = true
	l.closed = l.closed || closed
	for _, t := range l.queue {
		if !t.left {
			t.granted <- l.refuse(call.ReasonDraining)
		}
	}
	l.queue = nil
}

// idle reports whether no call runs or waits.
func (l *lane) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.running == 0 && len(l.queue) == 0
}

// Load returns what the lane tells with each answer.
func (l *lane) Load() call.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.load()
}
