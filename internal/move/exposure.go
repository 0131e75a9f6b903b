package move

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// exposureDelay is how long daemons send calls by an earlier share after the calls
	// that a decision counts.
	exposureDelay = time.Second
	// minProofTime is how long a share must be in effect before the version can be
	// proven at it, because slow calls are counted late.
	minProofTime = 1200 * time.Millisecond
	// minVerdictTime is how long a version may remain at a trial step when its calls there
	// are used up and it is not proven, and maxVerdictTime how long if more speaks for it
	// than against it.
	minVerdictTime = 2500 * time.Millisecond
	maxVerdictTime = 4500 * time.Millisecond
	// usedUpFraction is the fraction of an allowance that counts as used up: daemons use
	// up their parts one after the other, and report them late.
	usedUpFraction = 0.9
	// verdictCalls is the number of calls at a share that are enough for a verdict.
	verdictCalls = 25
)

// judge selects the calls by which the new version is judged, all of them or those of
// its hosts but a bad one, and notes whether it has been proven at the present share.
func (a *Analyzer) judge(now time.Time, result assessment) {
	a.judged = a.all
	if result == assessedBadHost {
		route, k, _ := a.worst()
		host, _ := a.mostSuspectHost(route, k)
		a.judged = a.withoutHost[host]
	}
	a.proven = a.proven || now.Sub(a.stepStart) >= minProofTime && a.judged.proven()
}

// mayAdvance reports whether the evidence allows the next step. At a share above
// Policy.ExposedFraction the version must have been proven once and not be suspected
// since.
func (a *Analyzer) mayAdvance(m config.Move) bool {
	if a.policy.ExposedFraction == 0 {
		return true
	}
	if a.policy.isExposed(m.Share) && !a.policy.hasClosing() {
		return a.proven && !a.judged.suspected()
	}
	return a.judged.proven()
}

// isOverexposed reports whether the new version has got, or will have got before a
// rollback is in force, as many calls as the policy allows a version that is not proven,
// and either has not been proven at a trial step, or is disproven since.
func (a *Analyzer) isOverexposed(now time.Time, m config.Move, calls int64) bool {
	if a.policy.ExposedFraction == 0 || !a.policy.isExposed(m.Share) || a.policy.isClosing(m) {
		return false
	}
	trial := !a.policy.isProven(m.Share)
	unproven := trial && (!a.proven || a.judged.suspected())
	if !unproven && !a.judged.disproven() {
		return false
	}
	verdictTime := minVerdictTime
	if a.judged.proof > 0 {
		verdictTime = maxVerdictTime
	}
	if unproven && calls-a.stepStartCalls >= verdictCalls && now.Sub(a.stepStart) >= verdictTime {
		sum := a.all.total(allRoutes)
		allowance := a.policy.allowance(now, m, float64(sum[oldSide].calls+sum[newSide].calls))
		if float64(calls) >= usedUpFraction*allowance {
			return true
		}
	}
	expected, known := a.expectedCalls(now, m)
	foreseen := float64(calls)
	if !trial { // At a trial, the daemons do not go on beyond the allowance.
		perSecond := expected / m.By.Sub(m.Start).Seconds()
		foreseen += perSecond * float64(m.Share) / config.FullShare * exposureDelay.Seconds()
	}
	return known && foreseen >= a.policy.ExposedFraction*expected+float64(a.policy.ExposedCalls)
}

// Exposure returns, for the log, the calls of the service and of the new version so far,
// and how many of them the policy allows the new version up to the deadline.
func (a *Analyzer) Exposure(now time.Time, m config.Move) string {
	sum := a.all.total(allRoutes)
	calls, limit := sum[oldSide].calls+sum[newSide].calls, "not known"
	if expected, known := a.expectedCalls(now, m); known {
		limit = fmt.Sprintf("%.0f", a.policy.ExposedFraction*expected+float64(a.policy.ExposedCalls))
	}
	return fmt.Sprintf("%d of %d calls, limit %s", sum[newSide].calls, calls, limit)
}

// Evidence returns, for the log, the log odds by which Decide judges the new version: the
// proof, the suspicion, and the proof on each route.
func (a *Analyzer) Evidence() string {
	g := a.judged
	if g == nil {
		g = a.all
	}
	parts := []string{fmt.Sprintf("proof %.1f doubt %.1f suspicion %.1f proven %v", g.proof, g.doubt, g.suspicion, a.proven)}
	for _, name := range slices.Sorted(maps.Keys(g.routes)) {
		c := g.routes[name]
		parts = append(parts, fmt.Sprintf("%s %.1f doubt %.1f (%d new, %d old, base %.3f)", name, c.proof, c.doubt,
			c.total[newSide].calls, c.total[oldSide].calls, c.badBase.fraction()))
	}
	return strings.Join(parts, ", ")
}
