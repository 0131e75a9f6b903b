package upstream

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// maxQueuedPerSlot bounds the queued calls, per slot of the upstream.
const maxQueuedPerSlot = 8

// scheduler bounds the running and the queued calls of one upstream and orders the
// queued ones. It is safe for concurrent use.
type scheduler struct {
	mutex    sync.Mutex
	queue    queue
	health   health
	draining bool
	closed   bool
}

// waiter is a queued call.
type waiter struct {
	request request
	// result receives one value: nil if the call holds a slot, else the rejection.
	// It is buffered, so that sending does not block.
	result chan *call.Error
	// abandoned means that nobody receives from result any more.
	abandoned bool
}

// newScheduler returns a scheduler of an upstream with the given number of slots.
func newScheduler(slots int) *scheduler {
	return &scheduler{queue: newQueue(slots)}
}

// submit requests a slot. It returns a waiter whose result must be received or
// abandoned, or an error if the call is rejected at once.
func (s *scheduler) submit(now time.Time, r request) (*waiter, *call.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining || s.closed {
		return nil, s.reject(call.ReasonDraining, 0)
	}
	s.rejectUnservable(now)
	if rejected := s.queue.admit(now, r); rejected.reason != "" {
		return nil, s.rejectRequest(r, rejected)
	}
	w := &waiter{request: r, result: make(chan *call.Error, 1)}
	s.queue.waiting = append(s.queue.waiting, w)
	s.grantSlots(now)
	if evicted := s.queue.evictExcess(now); evicted != nil && !evicted.abandoned {
		evicted.result <- s.rejectRequest(evicted.request, s.queue.shed(now, evicted.request, s.queue.expectedWait(now, evicted.request)))
	}
	return w, nil
}

// reject returns the error for a call that is not executed. The caller must hold
// s.mutex.
func (s *scheduler) reject(reason call.Reason, retryAfter time.Duration) *call.Error {
	e := call.NotExecutedError(reason)
	e.Load = s.load()
	e.RetryAfter = retryAfter
	return e
}

// rejectRequest is like reject and adds when the queue opens again and what loadFor
// reports for the call. The caller must hold s.mutex.
func (s *scheduler) rejectRequest(r request, rejected rejection) *call.Error {
	e := s.reject(rejected.reason, rejected.retryAfter)
	e.Opens = rejected.opens
	e.Load = s.loadFor(r)
	return e
}

// loadFor returns the load and, for a nested call, the admission rate of calls at
// least as urgent as its parent. The caller must hold s.mutex.
func (s *scheduler) loadFor(r request) call.Load {
	load := s.load()
	if r.nested {
		load.Granted = s.queue.admissionRates.grantedPermille(r.parentPriority)
	}
	return load
}

// reportAdmission records a report for a route; see Proxy.ReportAdmission.
func (s *scheduler) reportAdmission(now time.Time, route string, fraction float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue.shedder.reportAdmission(now, route, fraction)
}

// load returns the current load. The caller must hold s.mutex.
func (s *scheduler) load() call.Load {
	q := &s.queue
	return call.Load{Running: q.running, Queued: len(q.waiting), Limit: q.limiter.limit(), Service: q.limiter.meanTime(), Failing: s.health.failedPermille()}
}

// observe counts a call for the upstream's failure rate.
func (s *scheduler) observe(now time.Time, failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.health.observe(now, failed)
}

// finish releases the slot of a call. duration is how long the upstream needed, or
// 0 if the call was not sent. It returns the load afterwards.
func (s *scheduler) finish(now time.Time, route string, duration time.Duration, failed bool) call.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue.observe(now, route, duration, failed)
	s.queue.running--
	s.rejectUnservable(now)
	s.grantSlots(now)
	return s.load()
}

// abandon stops waiting for a slot. If it returns true, the call has been granted
// a slot meanwhile, and the caller must release it with finish.
func (s *scheduler) abandon(w *waiter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.abandoned = true
	select {
	case callErr := <-w.result:
		return callErr == nil
	default:
		return false
	}
}

// rejectUnservable rejects queued calls that cannot end by their deadlines. The
// caller must hold s.mutex.
func (s *scheduler) rejectUnservable(now time.Time) {
	for _, w := range s.queue.removeUnservable(now) {
		w.result <- s.reject(call.ReasonDeadline, 0)
	}
}

// grantSlots grants free slots to queued calls. The caller must hold s.mutex.
func (s *scheduler) grantSlots(now time.Time) {
	for s.queue.running < s.queue.limiter.limit() {
		w := s.queue.dequeue(now)
		if w == nil {
			return
		}
		if w.abandoned {
			continue
		}
		s.queue.running++
		s.queue.admissionRates.recordGranted(now, w.request)
		w.result <- nil
	}
}

// drain rejects all queued calls as not executed, and all new calls from now on. It
// cannot be undone. closing states that the registration is being removed; this is
// recorded in closed and changes nothing else.
func (s *scheduler) drain(closing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	s.closed = s.closed || closing
	for _, w := range s.queue.waiting {
		if !w.abandoned {
			w.result <- s.reject(call.ReasonDraining, 0)
		}
	}
	s.queue.waiting = nil
}

// idle reports whether no call runs or is queued.
func (s *scheduler) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.queue.running == 0 && len(s.queue.waiting) == 0
}

// Load returns the current load.
func (s *scheduler) Load() call.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.load()
}

// LoadFor returns the load to report with the response to a call.
func (s *scheduler) LoadFor(r request) call.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loadFor(r)
}
