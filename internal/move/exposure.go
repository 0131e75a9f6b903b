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
	// maxVerdictTime is how long a share may be in effect without enough calls for a
	// verdict on the version.
	maxVerdictTime = 2500 * time.Millisecond
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

// isExposed reports whether the new version has a larger share than
// Policy.ExposedFraction.
func (a *Analyzer) isExposed(m config.Move) bool {
	return float64(m.Share) > a.policy.ExposedFraction*config.FullShare
}

// mayAdvance reports whether the evidence allows the next step. At a share above
// Policy.ExposedFraction the version must have been proven once and not be suspected
// since.
func (a *Analyzer) mayAdvance(m config.Move) bool {
	if a.policy.ExposedFraction == 0 {
		return true
	}
	if a.isExposed(m) {
		return a.proven && !a.judged.suspected()
	}
	return a.judged.proven()
}

// isOverexposed reports whether the new version has got, or will have got before a
// rollback is in force, as many calls as the policy allows a version that is not proven,
// and either has not been proven at the first share above Policy.ExposedFraction, or is
// disproven since.
func (a *Analyzer) isOverexposed(now time.Time, m config.Move, calls int64) bool {
	limit := int(a.policy.ExposedFraction * config.FullShare)
	first := slices.IndexFunc(a.policy.Steps, func(share int) bool { return share > limit })
	if limit == 0 || first < 0 || m.Share < a.policy.Steps[first] {
		return false
	}
	unproven := m.Share == a.policy.Steps[first] && (!a.proven || a.judged.suspected()) &&
		(calls-a.stepStartCalls >= verdictCalls || now.Sub(a.stepStart) >= maxVerdictTime)
	if !unproven && !a.judged.disproven() {
		return false
	}
	expected, known := a.expectedCalls(now, m)
	perSecond := expected / m.By.Sub(m.Start).Seconds()
	foreseen := float64(calls) + perSecond*float64(m.Share)/config.FullShare*exposureDelay.Seconds()
	return known && foreseen >= a.policy.ExposedFraction*expected+float64(a.policy.ExposedCalls)
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
