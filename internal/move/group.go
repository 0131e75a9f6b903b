package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
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
	// proof and doubt are the odds of not spoiling provenFraction of all calls, and
	// suspicion those of not failing minSuspectFraction of them. A doubt takes a proof back.
	proof     odds
	doubt     odds
	suspicion odds
	prior     odds    // At which the proof begins.
	minShare  float64 // Of the calls, below which good ones prove nothing.
}

func newGroup() *group { return &group{routes: map[string]*comparison{}} }

// observe records the cumulative counts of both versions on each route at now.
func (g *group) observe(now time.Time, sums map[string][2]counts) {
	var failing, slow gains
	proof, doubt, suspicion := 0.0, 0.0, 0.0
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		c := g.routes[route]
		if c == nil {
			c = newComparison()
			g.routes[route] = c
		}
		f, s := c.observe(now, sums[route])
		failing, slow = failing.plus(f), slow.plus(s)
		proofGain, doubtGain, suspicionGain := c.addEvidence(now, g.minShare)
		proof, doubt, suspicion = proof+proofGain, doubt+doubtGain, suspicion+suspicionGain
	}
	g.proof.add(proof)
	g.doubt.addDoubt(doubt)
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

// resetOdds discards the evidence for the new version, and keeps what speaks against it.
func (g *group) resetOdds() {
	g.proof, g.doubt, g.suspicion = g.prior, min(g.doubt, 0), 0
	for _, c := range g.routes {
		c.proof, c.doubt = 0, min(c.doubt, 0)
		c.evidence = [2]counts{}
	}
}

// beginExposure begins a share above the limit. If the share was below it before, what the
// new version did then shows what to expect of it under load.
func (g *group) beginExposure(share int, rises bool) {
	g.minShare = minLoadFraction * float64(share) / config.FullShare
	for _, c := range g.routes {
		if rises {
			c.unexposed = reference{c.spoiled, c.failed}
		}
	}
}

// distrust begins with odds against the new version.
func (g *group) distrust() { g.prior = odds(-proofThreshold) }

// routeLimit returns a limit for the odds of each route, given that of a single one. The
// more routes there are, the more likely one of them has a bad call by chance.
func (g *group) routeLimit(limit float64) odds {
	return odds(limit - math.Log(float64(max(1, len(g.routes)))))
}

// proven reports whether the new version is proven on all routes together and nothing
// speaks against it, on any of them.
func (g *group) proven() bool {
	limit := g.routeLimit(minRouteOdds)
	for _, c := range g.routes {
		if c.proof < limit {
			return false
		}
	}
	return float64(g.proof) >= proofThreshold && !g.suspected()
}

// remainsProven reports whether the odds of a new version that was proven before are at
// least a fraction of those of a proof, with nothing against it on any route.
func (g *group) remainsProven(fraction float64) bool {
	limit := g.routeLimit(minRouteOdds)
	for _, c := range g.routes {
		if c.proof < limit {
			return false
		}
	}
	return float64(g.proof) >= fraction*proofThreshold && !g.suspected()
}

// suspected reports whether the failures of the new version, or its bad calls on a route,
// speak against it.
func (g *group) suspected() bool {
	return g.suspicion < minSuspicionOdds || g.lowestDoubt() < g.routeLimit(minDoubtOdds)
}

// disproven reports whether the new version surely fails more calls than the old one, or
// spoils more of them, on a route or on all together.
func (g *group) disproven() bool {
	return float64(min(g.suspicion, g.doubt)) <= -proofThreshold || g.lowestDoubt() <= g.routeLimit(-proofThreshold)
}

// lowestDoubt returns the lowest odds of a doubt of any route.
func (g *group) lowestDoubt() odds {
	lowest := odds(0)
	for _, c := range g.routes {
		lowest = min(lowest, c.doubt)
	}
	return lowest
}
