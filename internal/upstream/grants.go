package upstream

import (
	"math"
	"time"
)

// grants follows which part of the calls of each priority find a slot. It reads
// no clock and is not safe for concurrent use. The zero value is ready.
//
// It answers the load of a service that callers use directly and that other
// services call while they work. The calls of those go first, since their
// parents hold slots; if the callers' own calls are turned away meanwhile, the
// parents must be admitted less, in the same proportion.
type grants struct {
	at     time.Time
	counts map[int]*grantCount
}

type grantCount struct {
	offered float64
	granted float64
}

const (
	// grantMemory is the time in which a count falls to 1/e.
	grantMemory = 2 * time.Second
	// grantLeast is how many calls a part must be of to be told.
	grantLeast = 8.0
	thousand   = 1000
)

func (g *grants) decay(now time.Time) {
	passed := now.Sub(g.at)
	if passed <= 0 {
		return
	}
	g.at = now
	left := math.Exp(-passed.Seconds() / grantMemory.Seconds())
	for _, c := range g.counts {
		c.offered *= left
		c.granted *= left
	}
}

func (g *grants) count(priority int) *grantCount {
	if g.counts == nil {
		g.counts = map[int]*grantCount{}
	}
	c := g.counts[priority]
	if c == nil {
		c = &grantCount{}
		g.counts[priority] = c
	}
	return c
}

// offer counts a call that asks its first gate for the first time.
func (g *grants) offer(now time.Time, w want) {
	if w.nested || w.again {
		return
	}
	g.decay(now)
	g.count(w.priority).offered++
}

// grant counts a call that got a slot.
func (g *grants) grant(now time.Time, w want) {
	if w.nested {
		return
	}
	g.decay(now)
	g.count(w.priority).granted++
}

// part returns which part of the calls that are at least as urgent as priority
// got a slot lately, in thousandths, or 0 if there were too few.
func (g *grants) part(priority int) int {
	offered, granted := 0.0, 0.0
	for p, c := range g.counts {
		if p <= priority {
			offered += c.offered
			granted += c.granted
		}
	}
	if offered < grantLeast {
		return 0
	}
	return max(1, int(thousand*min(1, granted/offered)))
}

// yielding lets only a part of the calls of some routes through, spread evenly.
// It reads no clock and is not safe for concurrent use. The zero value lets all
// through.
//
// The part is one of callers, not of their attempts: a caller that was turned
// away comes back, and if each attempt had the same chance, two thirds of the
// callers would pass where a third may.
type yielding struct {
	routes map[string]*yield
}

type yield struct {
	part   float64 // A running mean of what was told.
	at     time.Time
	credit float64
}

const (
	// yieldWeight is the least weight of a newly told part. It is more after a
	// pause, by yieldMemory, up to yieldWeightMost.
	yieldWeight     = 0.1
	yieldWeightMost = 0.5
	yieldMemory     = 1500 * time.Millisecond
	// yieldLifetime is how long a told part holds. Calls that are held back far
	// bring word only now and then: while a gate waits for it, it must not let
	// all through again.
	yieldLifetime = 4 * time.Second
	// yieldSlack is the part that may lack without any effect, so that a part
	// that is nearly whole costs nothing.
	yieldSlack = 0.04
	// yieldMargin is by how much less passes than found room among the more
	// urgent calls, whose part is only measured: they must not come off worse.
	yieldMargin = 0.05
	// yieldLeast is the part that is always let through, by which it is seen
	// when there is room again.
	yieldLeast = 0.1
)

// tell takes in which part of the calls that are at least as urgent find a slot
// at a service that calls of a route need.
func (y *yielding) tell(now time.Time, route string, part float64) {
	if y.routes == nil {
		y.routes = map[string]*yield{}
	}
	r := y.routes[route]
	if r == nil || now.Sub(r.at) > yieldLifetime {
		r = &yield{part: 1, at: now}
		y.routes[route] = r
	}
	weight := min(yieldWeightMost, max(yieldWeight, now.Sub(r.at).Seconds()/yieldMemory.Seconds()))
	r.at = now
	r.part += weight * (part - r.part)
}

// passes reports whether a call of a route that comes at now is let through.
// again is whether its caller was counted before.
func (y *yielding) passes(now time.Time, route string, again bool) bool {
	r := y.routes[route]
	if r == nil || now.Sub(r.at) > yieldLifetime || r.part+yieldSlack >= 1 {
		return true
	}
	if !again {
		r.credit += max(yieldLeast, r.part-yieldMargin)
	}
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
