package upstream

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
)

// simulation runs the queue's decisions on random arrivals in virtual time.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	queue   queue
	events  eventHeap
	classes map[string]*callClass
}

// callClass describes one class of calls in a simulation and counts their
// outcomes.
type callClass struct {
	arrivalRate float64 // Arrivals per second.
	meanWork    time.Duration
	workSigma   float64 // Standard deviation of the logarithm of the work.
	objective   time.Duration
	deadline    time.Duration
	nested      bool
	priority    int
	retries     bool // A rejected caller retries once.

	// Counts of outcomes. Retries are not counted in arrived.
	arrived, onTime, late, rejected, rejectedQueued int
}

// servedFraction returns the share of callers that were served by their deadline.
func (c *callClass) servedFraction() float64 { return float64(c.onTime+c.late) / float64(c.arrived) }

// timedEvent is a function to run at a virtual time.
type timedEvent struct {
	at  time.Time
	run func()
}

// eventHeap implements heap.Interface; the earliest event is first.
type eventHeap []timedEvent

func (q eventHeap) Len() int           { return len(q) }
func (q eventHeap) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(t *testing.T, seed uint64, slots int, classes map[string]*callClass) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), queue: newQueue(slots), classes: classes}
	s.queue.limiter.fixed = true
	return s
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, timedEvent{at: s.now.Add(delay), run: run})
}

// run generates arrivals of all classes for duration, and returns after the last
// call has ended.
func (s *simulation) run(duration time.Duration) {
	for name, c := range s.classes {
		for at := time.Duration(0); at < duration; at += time.Duration(s.random.ExpFloat64() / c.arrivalRate * float64(time.Second)) {
			s.schedule(at, func() { s.arrive(name, c, s.now, false) })
		}
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.run()
	}
}

// arrive handles one attempt of a call whose first attempt was at first.
func (s *simulation) arrive(name string, c *callClass, first time.Time, retry bool) {
	if !retry {
		c.arrived++
	}
	req := request{
		route: name, nested: c.nested, priority: c.priority, retry: retry,
		objective: first.Add(c.objective), deadline: first.Add(c.deadline),
	}
	if !s.now.Before(req.deadline) {
		c.rejected++
		return
	}
	for _, w := range s.queue.removeUnservable(s.now) {
		s.rejectQueued(w, call.ReasonDeadline, 0)
	}
	if rejected := s.queue.admit(s.now, req); rejected.reason != "" {
		s.retryOrReject(name, c, first, retry, rejected.retryAfter)
		return
	}
	w := &waiter{request: req, result: make(chan *call.Error, 1)}
	s.queue.waiting = append(s.queue.waiting, w)
	s.grantSlots()
	if evicted := s.queue.evictExcess(s.now); evicted != nil {
		s.rejectQueued(evicted, call.ReasonShed, 0)
	}
}

// retryOrReject schedules the retry of a rejected call, or counts it as rejected
// if there is none.
func (s *simulation) retryOrReject(name string, c *callClass, first time.Time, retry bool, retryAfter time.Duration) {
	if retry || !c.retries {
		c.rejected++
		return
	}
	retryAfter = min(retryAfter, first.Add(c.deadline).Sub(s.now)/3)
	s.schedule(retryAfter, func() { s.arrive(name, c, first, true) })
}

// rejectQueued ends a call that was queued.
func (s *simulation) rejectQueued(w *waiter, _ call.Reason, _ time.Duration) {
	c := s.classes[w.request.route]
	c.rejected++
	c.rejectedQueued++
}

func (s *simulation) grantSlots() {
	for s.queue.running < s.queue.limiter.limit() {
		w := s.queue.dequeue(s.now)
		if w == nil {
			return
		}
		s.queue.running++
		s.queue.admissionRates.recordGranted(s.now, w.request)
		c := s.classes[w.request.route]
		work := time.Duration(float64(c.meanWork) * math.Exp(c.workSigma*s.random.NormFloat64()-c.workSigma*c.workSigma/2))
		s.schedule(work, func() { s.finish(w, c, work) })
	}
}

func (s *simulation) finish(w *waiter, c *callClass, work time.Duration) {
	switch {
	case !s.now.After(w.request.objective):
		c.onTime++
	case !s.now.After(w.request.deadline):
		c.late++
	default:
		c.rejected++
	}
	s.queue.observe(s.now, w.request.route, work, false)
	s.queue.running--
	for _, w := range s.queue.removeUnservable(s.now) {
		s.rejectQueued(w, call.ReasonDeadline, 0)
	}
	s.grantSlots()
}

const simulatedTime = 60 * time.Second

// Under overload by a service's own calls, nested calls are still served. If they
// were rejected, their parents would fail after having held slots.
func TestNestedCallsAreServedUnderOverload(t *testing.T) {
	for seed := range uint64(10) {
		nested := &callClass{arrivalRate: 60, meanWork: 40 * time.Millisecond, workSigma: 0.5, objective: 150 * time.Millisecond, deadline: 500 * time.Millisecond, nested: true}
		own := &callClass{arrivalRate: 60, meanWork: 210 * time.Millisecond, workSigma: 0.5, objective: 600 * time.Millisecond, deadline: 4 * time.Second, priority: 1, retries: true}
		newSimulation(t, seed, 6, map[string]*callClass{"nested": nested, "own": own}).run(simulatedTime)
		require.Greater(t, nested.servedFraction(), 0.97, "seed %d", seed)
		require.Less(t, own.servedFraction(), 0.9, "the load exceeds the capacity; seed %d", seed)
	}
}

// Under a load of 1.5 times the capacity, most responses meet their objective,
// since calls that would be late are rejected when they arrive.
func TestOverloadedQueueMeetsObjectives(t *testing.T) {
	for seed := range uint64(10) {
		c := &callClass{arrivalRate: 1.5 * 9 / 0.12, meanWork: 120 * time.Millisecond, workSigma: 0.8, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, retries: true}
		newSimulation(t, seed, 9, map[string]*callClass{"look": c}).run(simulatedTime)
		require.Greater(t, float64(c.onTime)/float64(c.arrived), 0.5, "seed %d", seed)
		require.Greater(t, c.servedFraction(), 0.6, "seed %d", seed)
		require.Less(t, float64(c.rejectedQueued)/float64(c.arrived), 0.02, "few calls are queued and then rejected; seed %d", seed)
	}
}

// First come, first served without rejections is the baseline that the queue must
// beat: under the same load almost no response meets its objective.
func TestOverloadedFIFOMissesObjectives(t *testing.T) {
	c := &callClass{arrivalRate: 1.5 * 9 / 0.12, meanWork: 120 * time.Millisecond, workSigma: 0.8, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
	s := newSimulation(t, 1, 9, map[string]*callClass{"look": c})
	freeAt := make([]time.Time, 9)
	now := s.now
	for end := now.Add(simulatedTime); now.Before(end); now = now.Add(time.Duration(s.random.ExpFloat64() / c.arrivalRate * float64(time.Second))) {
		c.arrived++
		earliest := 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[earliest]) {
				earliest = i
			}
		}
		start := freeAt[earliest]
		if start.Before(now) {
			start = now
		}
		if start.Sub(now) > c.deadline {
			continue
		}
		work := time.Duration(float64(c.meanWork) * math.Exp(c.workSigma*s.random.NormFloat64()-c.workSigma*c.workSigma/2))
		freeAt[earliest] = start.Add(work)
		if freeAt[earliest].Sub(now) <= c.objective {
			c.onTime++
		}
	}
	require.Less(t, float64(c.onTime)/float64(c.arrived), 0.1)
}

// A more urgent route is served more often than a less urgent route of the same
// service, although the service is overloaded.
func TestUrgentRoutesAreServedMoreOften(t *testing.T) {
	for seed := range uint64(10) {
		urgent := &callClass{arrivalRate: 40, meanWork: 160 * time.Millisecond, workSigma: 0.5, objective: 500 * time.Millisecond, deadline: 2 * time.Second, priority: 1, retries: true}
		other := &callClass{arrivalRate: 60, meanWork: 120 * time.Millisecond, workSigma: 0.5, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 2, retries: true}
		newSimulation(t, seed, 9, map[string]*callClass{"urgent": urgent, "other": other}).run(simulatedTime)
		require.Greater(t, urgent.servedFraction(), other.servedFraction(), "seed %d", seed)
		require.Greater(t, urgent.servedFraction(), 0.9, "seed %d", seed)
	}
}

// At half the capacity, no call is rejected.
func TestNoCallIsRejectedBelowCapacity(t *testing.T) {
	for seed := range uint64(10) {
		c := &callClass{arrivalRate: 0.5 * 9 / 0.12, meanWork: 120 * time.Millisecond, workSigma: 0.5, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
		newSimulation(t, seed, 9, map[string]*callClass{"look": c}).run(simulatedTime)
		require.Zero(t, c.rejected, "seed %d", seed)
	}
}
