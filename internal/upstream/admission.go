package upstream

import (
	"math"
	"time"
)

// admissionRates follows which part of the calls of each priority find a slot. It reads
// no clock and is not safe for concurrent use. The zero value is ready.
//
// It answers the load of a service that callers use directly and that other
// services call while they work. The calls of those go first, since their
// parents hold slots; if the callers' own calls are turned away meanwhile, the
// parents must be admitted less, in the same proportion.
type admissionRates struct {
	at     time.Time
	counts map[int]*admissionCount
}

type admissionCount struct {
	offered float64
	granted float64
}

const (
	// admissionDecay is the time in which a count falls to 1/e.
	admissionDecay = 2 * time.Second
	// minAdmissionCalls is how many calls a part must be of to be told.
	minAdmissionCalls = 8.0
	thousand          = 1000
)

func (g *admissionRates) decay(now time.Time) {
	passed := now.Sub(g.at)
	if passed <= 0 {
		return
	}
	g.at = now
	left := math.Exp(-passed.Seconds() / admissionDecay.Seconds())
	for _, c := range g.counts {
		c.offered *= left
		c.granted *= left
	}
}

func (g *admissionRates) count(priority int) *admissionCount {
	if g.counts == nil {
		g.counts = map[int]*admissionCount{}
	}
	c := g.counts[priority]
	if c == nil {
		c = &admissionCount{}
		g.counts[priority] = c
	}
	return c
}

// offer counts a call that asks its first gate for the first time.
func (g *admissionRates) offer(now time.Time, w request) {
	if w.nested || w.retry {
		return
	}
	g.decay(now)
	g.count(w.priority).offered++
}

// grant counts a call that got a slot.
func (g *admissionRates) grant(now time.Time, w request) {
	if w.nested {
		return
	}
	g.decay(now)
	g.count(w.priority).granted++
}

// part returns which part of the calls that are at least as urgent as priority
// got a slot lately, in thousandths, or 0 if there were too few.
func (g *admissionRates) part(priority int) int {
	offered, granted := 0.0, 0.0
	for p, c := range g.counts {
		if p <= priority {
			offered += c.offered
			granted += c.granted
		}
	}
	if offered < minAdmissionCalls {
		return 0
	}
	return max(1, int(thousand*min(1, granted/offered)))
}

// shedder lets only a part of the calls of some routes through, spread evenly.
// It reads no clock and is not safe for concurrent use. The zero value lets all
// through.
//
// The part is one of callers, not of their attempts: a caller that was turned
// away comes back, and if each attempt had the same chance, two thirds of the
// callers would pass where a third may.
type shedder struct {
	routes map[string]*routeShedding
}

type routeShedding struct {
	part   float64 // A running mean of what was told.
	at     time.Time
	credit float64
}

const (
	// minShedWeight is the least weight of a newly told part. It is more after a
	// pause, by shedDecay, up to maxShedWeight.
	minShedWeight = 0.1
	maxShedWeight = 0.5
	shedDecay     = 1500 * time.Millisecond
	// shedLifetime is how long a told part holds. Calls that are held back far
	// bring word only now and then: while a gate waits for it, it must not let
	// all through again.
	shedLifetime = 4 * time.Second
	// shedSlack is the part that may lack without any effect, so that a part
	// that is nearly whole costs nothing.
	shedSlack = 0.04
	// shedMargin is by how much less passes than found room among the more
	// urgent calls, whose part is only measured: they must not come off worse.
	shedMargin = 0.05
	// minAdmitted is the part that is always let through, by which it is seen
	// when there is room again.
	minAdmitted = 0.1
)

// tell takes in which part of the calls that are at least as urgent find a slot
// at a service that calls of a route need.
func (y *shedder) tell(now time.Time, route string, part float64) {
	if y.routes == nil {
		y.routes = map[string]*routeShedding{}
	}
	r := y.routes[route]
	if r == nil || now.Sub(r.at) > shedLifetime {
		r = &routeShedding{part: 1, at: now}
		y.routes[route] = r
	}
	weight := min(maxShedWeight, max(minShedWeight, now.Sub(r.at).Seconds()/shedDecay.Seconds()))
	r.at = now
	r.part += weight * (part - r.part)
}

// admits reports whether a call of a route that comes at now is let through.
// again is whether its caller was counted before.
func (y *shedder) admits(now time.Time, route string, again bool) bool {
	r := y.routes[route]
	if r == nil || now.Sub(r.at) > shedLifetime || r.part+shedSlack >= 1 {
		return true
	}
	if !again {
		r.credit += max(minAdmitted, r.part-shedMargin)
	}
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
