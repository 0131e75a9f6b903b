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

// A replay runs the queue's decisions on arrivals in virtual time.
type replay struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	queue   queue
	pending pending
	kinds   map[string]*kind
}

// kind is one kind of call in a replay, and how its calls fared.
type kind struct {
	rate      float64 // Arrivals in a second.
	work      time.Duration
	spread    float64 // Sigma of the logarithm of the work.
	objective time.Duration
	deadline  time.Duration
	nested    bool
	priority  int
	returns   bool // Callers come back once after a refusal.

	asked, early, late, refused, held int
}

func (k *kind) served() float64 { return float64(k.early+k.late) / float64(k.asked) }

type moment struct {
	at time.Time
	do func()
}

type pending []moment

func (e pending) Len() int           { return len(e) }
func (e pending) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e pending) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pending) Push(x any)        { *e = append(*e, x.(moment)) }
func (e *pending) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newReplay(t *testing.T, seed uint64, slots int, kinds map[string]*kind) *replay {
	r := &replay{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), queue: newQueue(slots), kinds: kinds}
	r.queue.limiter.fixed = true
	return r
}

func (r *replay) at(d time.Duration, do func()) {
	heap.Push(&r.pending, moment{at: r.now.Add(d), do: do})
}

// run lets calls of all kinds come for a time, and then waits for the last.
func (r *replay) run(span time.Duration) {
	for name, k := range r.kinds {
		for at := time.Duration(0); at < span; at += time.Duration(r.random.ExpFloat64() / k.rate * float64(time.Second)) {
			r.at(at, func() { r.arrive(name, k, r.now, false) })
		}
	}
	for r.pending.Len() > 0 {
		e := heap.Pop(&r.pending).(moment)
		r.now = e.at
		e.do()
	}
}

func (r *replay) arrive(name string, k *kind, first time.Time, again bool) {
	if !again {
		k.asked++
	}
	w := request{
		route: name, nested: k.nested, priority: k.priority, retry: again,
		objective: first.Add(k.objective), deadline: first.Add(k.deadline),
	}
	if !r.now.Before(w.deadline) {
		k.refused++
		return
	}
	for _, t := range r.queue.unservable(r.now) {
		r.refuse(t, call.ReasonDeadline, 0)
	}
	reason, after := r.queue.admit(r.now, w)
	if reason != "" {
		r.comeBack(name, k, first, again, after)
		return
	}
	t := &waiter{request: w, granted: make(chan *call.Error, 1)}
	r.queue.waiting = append(r.queue.waiting, t)
	r.grant()
	if last := r.queue.overflow(r.now); last != nil {
		r.refuse(last, call.ReasonShed, 0)
	}
}

func (r *replay) comeBack(name string, k *kind, first time.Time, again bool, after time.Duration) {
	if again || !k.returns {
		k.refused++
		return
	}
	after = min(after, first.Add(k.deadline).Sub(r.now)/3)
	r.at(after, func() { r.arrive(name, k, first, true) })
}

// refuse ends a call that waited.
func (r *replay) refuse(t *waiter, _ call.Reason, _ time.Duration) {
	k := r.kinds[t.request.route]
	k.refused++
	k.held++
}

func (r *replay) grant() {
	for r.queue.running < r.queue.limiter.limit() {
		t := r.queue.next(r.now)
		if t == nil {
			return
		}
		r.queue.running++
		r.queue.admissionRates.grant(r.now, t.request)
		k := r.kinds[t.request.route]
		work := time.Duration(float64(k.work) * math.Exp(k.spread*r.random.NormFloat64()-k.spread*k.spread/2))
		r.at(work, func() { r.finish(t, k, work) })
	}
}

func (r *replay) finish(t *waiter, k *kind, work time.Duration) {
	switch {
	case !r.now.After(t.request.objective):
		k.early++
	case !r.now.After(t.request.deadline):
		k.late++
	default:
		k.refused++
	}
	r.queue.observe(r.now, t.request.route, work, false)
	r.queue.running--
	for _, t := range r.queue.unservable(r.now) {
		r.refuse(t, call.ReasonDeadline, 0)
	}
	r.grant()
}

const span = 60 * time.Second

// Calls of upstreams that are at work are not turned away for a queue that is
// full of a service's own calls, or their parents fail after having held slots.
func TestNestedCallsPassAFullQueue(t *testing.T) {
	for seed := range uint64(10) {
		nested := &kind{rate: 60, work: 40 * time.Millisecond, spread: 0.5, objective: 150 * time.Millisecond, deadline: 500 * time.Millisecond, nested: true}
		own := &kind{rate: 60, work: 210 * time.Millisecond, spread: 0.5, objective: 600 * time.Millisecond, deadline: 4 * time.Second, priority: 1, returns: true}
		newReplay(t, seed, 6, map[string]*kind{"nested": nested, "own": own}).run(span)
		require.Greater(t, nested.served(), 0.97, "seed %d", seed)
		require.Less(t, own.served(), 0.9, "the load is beyond the slots; seed %d", seed)
	}
}

// Under a load of 1.5 times what the slots can do, most of the answers come in
// time, since calls that would be late are turned away when they come.
func TestOverloadIsServedInTime(t *testing.T) {
	for seed := range uint64(10) {
		k := &kind{rate: 1.5 * 9 / 0.12, work: 120 * time.Millisecond, spread: 0.8, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, returns: true}
		newReplay(t, seed, 9, map[string]*kind{"look": k}).run(span)
		require.Greater(t, float64(k.early)/float64(k.asked), 0.5, "seed %d", seed)
		require.Greater(t, k.served(), 0.6, "seed %d", seed)
		require.Less(t, float64(k.held)/float64(k.asked), 0.02, "few are held and then refused; seed %d", seed)
	}
}

// First come first served, without turning away, is the baseline that the
// queue must beat: nearly nothing is in time.
func TestOverloadBaselineIsLate(t *testing.T) {
	k := &kind{rate: 1.5 * 9 / 0.12, work: 120 * time.Millisecond, spread: 0.8, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
	r := newReplay(t, 1, 9, map[string]*kind{"look": k})
	free := make([]time.Time, 9)
	now := r.now
	for end := now.Add(span); now.Before(end); now = now.Add(time.Duration(r.random.ExpFloat64() / k.rate * float64(time.Second))) {
		k.asked++
		least := 0
		for i := range free {
			if free[i].Before(free[least]) {
				least = i
			}
		}
		start := free[least]
		if start.Before(now) {
			start = now
		}
		if start.Sub(now) > k.deadline {
			continue
		}
		work := time.Duration(float64(k.work) * math.Exp(k.spread*r.random.NormFloat64()-k.spread*k.spread/2))
		free[least] = start.Add(work)
		if free[least].Sub(now) <= k.objective {
			k.early++
		}
	}
	require.Less(t, float64(k.early)/float64(k.asked), 0.1)
}

// A more urgent route is served at least as often as a less urgent one of the
// same service.
func TestUrgentRoutesGoFirst(t *testing.T) {
	for seed := range uint64(10) {
		urgent := &kind{rate: 40, work: 160 * time.Millisecond, spread: 0.5, objective: 500 * time.Millisecond, deadline: 2 * time.Second, priority: 1, returns: true}
		other := &kind{rate: 60, work: 120 * time.Millisecond, spread: 0.5, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 2, returns: true}
		newReplay(t, seed, 9, map[string]*kind{"urgent": urgent, "other": other}).run(span)
		require.Greater(t, urgent.served(), other.served(), "seed %d", seed)
		require.Greater(t, urgent.served(), 0.9, "seed %d", seed)
	}
}

// With room for all, nothing is refused.
func TestNothingIsRefusedWithRoom(t *testing.T) {
	for seed := range uint64(10) {
		k := &kind{rate: 0.5 * 9 / 0.12, work: 120 * time.Millisecond, spread: 0.5, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
		newReplay(t, seed, 9, map[string]*kind{"look": k}).run(span)
		require.Zero(t, k.refused, "seed %d", seed)
	}
}
