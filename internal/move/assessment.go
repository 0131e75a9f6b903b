package move

import (
	"fmt"
	"math"
	"slices"

	"github.com/endivewalk/endivewalk/internal/callstats"
)

// assessment is the result of comparing the new version with the old one.
type assessment uint8

const (
	assessedOK      assessment = iota // No evidence against the new version.
	assessedBad                       // The new version is worse than the old one.
	assessedUnclear                   // Either the new version or one of its hosts is bad.
	assessedBadHost                   // One host is bad; the version is not.
)

const (
	// minRemainingFraction decides between the version and its most suspect
	// host. If the calls of that host are left out and at least this fraction
	// of the strongest log wealth remains, but not less than callGainBound, the
	// version is blamed. It is also blamed if the rest reaches
	// otherHostsThreshold.
	minRemainingFraction = 0.45
	// otherHostsFalsePositiveRate is approximately the probability that the
	// other hosts of a good version look bad while one of its hosts is bad.
	otherHostsFalsePositiveRate = 0.02
	// clearThresholdFactor is the multiple of the threshold that the evidence
	// must reach to blame a single host, or to blame the version while only one
	// of its hosts has been seen.
	clearThresholdFactor = 2
	// minOtherHostsCalls is the number of calls that the other hosts must have
	// received before a single host is blamed.
	minOtherHostsCalls = 30
)

// threshold returns the log odds at which a comparison counts as evidence
// against the new version. It rises with the number of comparisons, because
// each of them may reach a fixed threshold by chance.
func (a *Analyzer) threshold() float64 {
	comparisons := max(1, len(a.all.comparisonNames()))
	return math.Log(float64(comparisons) / a.policy.FalsePositiveRate)
}

// assess combines the comparisons into an assessment and, unless it is
// assessedOK, a reason. If the version is bad, most of the evidence remains
// when the calls of any one host are left out, or at least more than chance
// explains. If almost none remains without some host, that host is bad.
func (a *Analyzer) assess(threshold float64) (assessment, string) {
	route, k, discounted := a.worst()
	if discounted < threshold {
		return assessedOK, ""
	}
	strongest := a.all.wealth(route, k).maxLogWealth()
	host, remaining := a.mostSuspectHost(route, k)
	otherCalls := a.callsWithoutHost(host, route)
	isClear := discounted >= clearThresholdFactor*threshold
	// Without a good call on any other host, nothing says that only this host is bad.
	singleHost := len(a.withoutHost) < 2 || a.goodCallsWithoutHost(host, route, k) == 0
	switch {
	case singleHost && isClear:
		return assessedBad, a.describe(route, k)
	case !singleHost && remaining >= min(otherHostsThreshold(otherCalls), max(callGainBound, minRemainingFraction*strongest)):
		return assessedBad, a.describe(route, k)
	case singleHost || !isClear || otherCalls < minOtherHostsCalls:
		return assessedUnclear, waitsPrefix + " for more evidence: " + describeRoute(route) + " " + string(k) + ", mostly on host " + host
	default:
		return assessedBadHost, "only host " + host + " of the new version is " + string(k)
	}
}

// callGainBound is more log wealth than a single bad call can add: a bad call
// multiplies the wealth by less than the largest odds ratio.
var callGainBound = math.Log(slices.Max(oddsRatios) + 1)

// otherHostsThreshold returns the log wealth that the given number of calls to
// good hosts is unlikely to reach by chance. The evidence may start at each of
// the calls and at each of the odds ratios, so each combination counts as a
// comparison.
func otherHostsThreshold(calls int64) float64 {
	return math.Log(float64(1+calls) * float64(len(oddsRatios)) / otherHostsFalsePositiveRate)
}

// worst returns the comparison with the strongest evidence against the new
// version, and that evidence as log odds less the discount for restarts.
func (a *Analyzer) worst() (route string, worstKind kind, strongest float64) {
	strongest = math.Inf(-1)
	for _, candidate := range a.all.comparisonNames() {
		for _, k := range []kind{kindFailing, kindSlow} {
			w := a.all.wealth(candidate, k)
			logOdds := w.logOdds() - w.discount()
			if logOdds > strongest || (logOdds == strongest && candidate < route) {
				route, worstKind, strongest = candidate, k, logOdds
			}
		}
	}
	return route, worstKind, strongest
}

// mostSuspectHost returns the host without whose calls the least evidence
// remains in a comparison, and the log wealth that remains.
func (a *Analyzer) mostSuspectHost(route string, k kind) (host string, remaining float64) {
	remaining = math.Inf(1)
	for candidate, g := range a.withoutHost {
		if logWealth := g.wealth(route, k).maxLogWealth(); logWealth < remaining || (logWealth == remaining && candidate < host) {
			host, remaining = candidate, logWealth
		}
	}
	return host, remaining
}

// callsWithoutHost returns how many calls of the new version on a route went to
// hosts other than host.
func (a *Analyzer) callsWithoutHost(host, route string) int64 {
	return a.withoutHost[host].total(route)[newSide].calls
}

// goodCallsWithoutHost returns how many calls of the new version on a route went to
// hosts other than host and were not bad in the sense of k.
func (a *Analyzer) goodCallsWithoutHost(host, route string, k kind) int64 {
	g := a.withoutHost[host]
	total := g.total(route)[newSide]
	if k == kindFailing || route == allRoutes {
		return total.calls - total.failed
	}
	responses, slow := total.responsesOver(g.routes[route].slowBucket)
	return responses - slow
}

// describeRoute returns the subject and the verb of a reason about a route.
func describeRoute(route string) string {
	if route == allRoutes {
		return "the service is"
	}
	return "route " + route + " is"
}

// describe returns the reason of an assessment, with the counts behind it.
func (a *Analyzer) describe(route string, k kind) string {
	total := a.all.total(route)
	if k == kindFailing {
		return fmt.Sprintf("%s failing: %d of %d calls of the new version, %d of %d of the old",
			describeRoute(route), total[newSide].failed, total[newSide].calls, total[oldSide].failed, total[oldSide].calls)
	}
	if route == allRoutes {
		return describeRoute(route) + " slow on all its routes together"
	}
	slowBucket := a.all.routes[route].slowBucket
	newResponses, newSlow := total[newSide].responsesOver(slowBucket)
	oldResponses, oldSlow := total[oldSide].responsesOver(slowBucket)
	return fmt.Sprintf("%s slow: over %v in %d of %d calls of the new version, %d of %d of the old",
		describeRoute(route), callstats.BucketLimit(slowBucket), newSlow, newResponses, oldSlow, oldResponses)
}
