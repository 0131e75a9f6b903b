package move

import (
	"maps"
	"math"
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
	// proof is the odds of not spoiling provenFraction of all calls, and suspicion those
	// of not failing minSuspectFraction of them.
	proof     odds
	suspicion odds
}

func newGroup() *group { return &group{routes: map[string]*comparison{}} }

// observe records the cumulative counts of both versions on each route at now.
func (g *group) observe(now time.Time, sums map[string][2]counts) {
	var failing, slow gains
	proof, suspicion := 0.0, 0.0
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		c := g.routes[route]
		if c == nil {
			c = newComparison()
			g.routes[route] = c
		}
		f, s := c.observe(now, sums[route])
		failing, slow = failing.plus(f), slow.plus(s)
		proofGain, suspicionGain := c.addEvidence(now)
		proof, suspicion = proof+proofGain, suspicion+suspicionGain
	}
	g.proof.add(proof)
	g.suspicion.add(suspicion)
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

// resetOdds discards the evidence for the new version.
func (g *group) resetOdds() {
	g.proof, g.suspicion = 0, 0
	for _, c := range g.routes {
		c.proof = 0
		c.evidence = [2]counts{}
	}
}

// proven reports whether the new version is proven on all routes together and nothing
// speaks against it, on any of them. The more routes there are, the more likely one of
// them has a bad call by chance.
func (g *group) proven() bool {
	limit := odds(minRouteOdds - math.Log(float64(max(1, len(g.routes)))))
	for _, c := range g.routes {
		if c.proof < limit {
			return false
		}
	}
	return float64(g.proof) >= proofThreshold && !g.suspected()
}

// suspected reports whether the failures of the new version speak against it.
func (g *group) suspected() bool { return g.suspicion < minSuspicionOdds }

// disproven reports whether the new version surely fails more calls than the old one.
func (g *group) disproven() bool { return float64(g.suspicion) <= -proofThreshold }
