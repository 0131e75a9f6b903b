package move

import (
	"maps"
	"slices"
	"time"
)

// allRoutes stands for the comparison over all routes together. No route has an
// empty name.
const allRoutes = ""

// group holds the comparisons of a service's routes, and one over all routes
// together. That one adds up the gains of the routes, so that a version that is
// worse on every route is detected before any single route has enough evidence.
type group struct {
	routes  map[string]*comparison
	failing wealth // Over all routes.
	slow    wealth // Over all routes.
}

func newGroup() *group { return &group{routes: map[string]*comparison{}} }

// observe records the cumulative counts of both versions on each route at now.
func (g *group) observe(now time.Time, sums map[string][2]counts) {
	var failing, slow gains
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		c := g.routes[route]
		if c == nil {
			c = newComparison()
			g.routes[route] = c
		}
		f, s := c.observe(now, sums[route])
		failing, slow = failing.plus(f), slow.plus(s)
	}
	g.failing.add(failing, maxFailingGain)
	g.slow.add(slow, maxSlowGain)
}

// wealth returns the wealth of one kind on a route or allRoutes.
func (g *group) wealth(route string, k kind) *wealth {
	failing, slow := &g.failing, &g.slow
	if route != allRoutes {
		c := g.routes[route]
		failing, slow = &c.failing, &c.slow
	}
	if k == kindSlow {
		return slow
	}
	return failing
}

// total returns the counts of both versions since the start of the move, on a
// route or allRoutes.
func (g *group) total(route string) [2]counts {
	if route != allRoutes {
		return g.routes[route].total
	}
	var sum [2]counts
	for _, c := range g.routes {
		sum[oldSide].merge(c.total[oldSide])
		sum[newSide].merge(c.total[newSide])
	}
	return sum
}

// comparisonNames returns the names of the compared routes in no fixed order,
// with allRoutes if there is more than one route. On each of them the versions
// are compared once for each kind.
func (g *group) comparisonNames() []string {
	names := []string{}
	for name := range g.routes {
		names = append(names, name)
	}
	if len(names) > 1 {
		names = append(names, allRoutes)
	}
	return names
}
