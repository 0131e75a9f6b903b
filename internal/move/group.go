package move

import (
	"maps"
	"slices"
	"time"
)

// allRoutes names the comparison over all routes together. No route has an empty
// name.
const allRoutes = ""

// group holds the comparisons of a service's routes. Together they make one more:
// what is won on one route and lost on another adds up, so that a version that
// is bad on every route shows before any single route proves it.
type group struct {
	routes  map[string]*comparison
	failing wealth
	slow    wealth
}

func newGroup() *group { return &group{routes: map[string]*comparison{}} }

// observe takes in the sums of both versions on each route.
func (g *group) observe(now time.Time, sums map[string][2]counts) {
	var failing, slow gains
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		t := g.routes[route]
		if t == nil {
			t = newComparison()
			g.routes[route] = t
		}
		f, s := t.observe(now, sums[route])
		failing, slow = failing.plus(f), slow.plus(s)
	}
	g.failing.add(failing, maxFailing)
	g.slow.add(slow, maxSlow)
}

// wealth returns the bets of a kind on a route.
func (g *group) wealth(route string, k kind) *wealth {
	failing, slow := &g.failing, &g.slow
	if route != allRoutes {
		t := g.routes[route]
		failing, slow = &t.failing, &t.slow
	}
	if k == kindSlow {
		return slow
	}
	return failing
}

// total returns the sums of both versions on a route.
func (g *group) total(route string) [2]counts {
	if route != allRoutes {
		return g.routes[route].total
	}
	var sum [2]counts
	for _, t := range g.routes {
		sum[oldSide].merge(t.total[oldSide])
		sum[newSide].merge(t.total[newSide])
	}
	return sum
}

// hypotheses are the comparisons that the group holds.
func (g *group) hypotheses() []string {
	names := []string{}
	for name := range g.routes {
		names = append(names, name)
	}
	if len(names) > 1 {
		names = append(names, allRoutes)
	}
	return names
}
