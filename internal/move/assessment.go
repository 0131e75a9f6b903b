package move

import (
	"fmt"
	"math"
	"slices"

	"github.com/endivewalk/endivewalk/internal/callstats"
)

// assessment is what the evidence says of the new version.
type assessment uint8

const (
	assessedOK assessment = iota // Nothing speaks against it.
	assessedBad
	assessedUnclear // It is bad, or one of its hosts is.
	assessedOneHost // One of its hosts is bad, not the version.
)

const (
	// maxShareWithoutHost is the part of the evidence that must be left without a host
	// for that host not to stand alone.
	maxShareWithoutHost = 0.45
	// othersDoubt is about the probability that hosts of a good version look
	// bad when one of them is.
	othersDoubt = 0.02
	// clearFactor is how many times the bound it takes to blame one host, or
	// the version if only one host has been seen.
	clearFactor = 2
	// othersProof is how many calls the other hosts must have taken for that.
	othersProof = 30
)

// threshold returns the evidence, as the logarithm of odds, at which a comparison speaks
// against the new version. It rises with the number of comparisons, each of which
// may do so by chance.
func (j *Analyzer) threshold() float64 {
	trials := max(1, len(j.all.hypotheses()))
	return math.Log(float64(trials) / j.policy.FalsePositiveRate)
}

// assess weighs the comparisons. Were the version bad, most of the evidence would be
// left if one of its hosts did not exist, or more than chance can explain; if
// hardly any is left without some host, it is that host.
func (j *Analyzer) assess(bound float64) (assessment, string) {
	route, what, discounted := j.worst()
	if discounted < bound {
		return assessedOK, ""
	}
	strongest := j.all.wealth(route, what).best()
	host, left := j.weakestWithout(route, what)
	others := j.callsWithout(host, route)
	clear := discounted >= clearFactor*bound
	single := len(j.without) < 2 // Or others have not been seen yet.
	switch {
	case single && clear:
		return assessedBad, j.describe(route, what)
	case !single && left >= min(othersThreshold(others), max(oneCall, maxShareWithoutHost*strongest)):
		return assessedBad, j.describe(route, what)
	case single || !clear || others < othersProof:
		return assessedUnclear, waits + " for more evidence: " + place(route) + " " + string(what) + ", mostly on host " + host
	default:
		return assessedOneHost, "only host " + host + " of the new version is " + string(what)
	}
}

// oneCall is more than a single bad call can bring.
var oneCall = math.Log(slices.Max(ratios) + 1)

// othersThreshold returns the evidence that a number of calls of good hosts don't
// bring by chance. Each call may be the beginning of it, at each of the ratios.
func othersThreshold(calls int64) float64 {
	return math.Log(float64(1+calls) * float64(len(ratios)) / othersDoubt)
}

// worst returns the comparison with the strongest evidence, discounted for new
// beginnings, and how strong that is.
func (j *Analyzer) worst() (route string, what kind, strongest float64) {
	strongest = math.Inf(-1)
	for _, name := range j.all.hypotheses() {
		for _, k := range []kind{kindFailing, kindSlow} {
			w := j.all.wealth(name, k)
			s := w.strength() - w.discount()
			if s > strongest || (s == strongest && name < route) {
				route, what, strongest = name, k, s
			}
		}
	}
	return route, what, strongest
}

// weakestWithout returns the host without which the least evidence is left in a
// comparison, and how much that is.
func (j *Analyzer) weakestWithout(route string, what kind) (host string, left float64) {
	left = math.Inf(1)
	for name, g := range j.without {
		if s := g.wealth(route, what).best(); s < left || (s == left && name < host) {
			host, left = name, s
		}
	}
	return host, left
}

// callsWithout returns the calls of the new version on a route that went to
// other hosts.
func (j *Analyzer) callsWithout(host, route string) int64 {
	return j.without[host].total(route)[newSide].calls
}

// place names where a comparison looks.
func place(route string) string {
	if route == allRoutes {
		return "the service is"
	}
	return "route " + route + " is"
}

func (j *Analyzer) describe(route string, what kind) string {
	t := j.all.total(route)
	if what == kindFailing {
		return fmt.Sprintf("%s failing: %d of %d calls of the new version, %d of %d of the old",
			place(route), t[newSide].failed, t[newSide].calls, t[oldSide].failed, t[oldSide].calls)
	}
	if route == allRoutes {
		return place(route) + " slow on all its routes together"
	}
	gate := j.all.routes[route].slowBucket
	newAnswered, newSlow := t[newSide].over(gate)
	oldAnswered, oldSlow := t[oldSide].over(gate)
	return fmt.Sprintf("%s slow: over %v in %d of %d calls of the new version, %d of %d of the old",
		place(route), callstats.BucketLimit(gate), newSlow, newAnswered, oldSlow, oldAnswered)
}
