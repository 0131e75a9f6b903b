package move

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Policy holds the parameters of an Analyzer. Zero fields get defaults, except
// SoakTime and AlarmRate, which may be 0.
type Policy struct {
	// Steps holds the shares of the new version, in thousandths, rising; the
	// default is DefaultSteps. The last one must leave the old version some
	// calls to compare with. A move completes from the last step.
	Steps []int
	// FalsePositiveRate is approximately the highest probability of rolling
	// back a good version. The default is 0.004.
	FalsePositiveRate float64
	// RampFraction is the fraction of the time up to the deadline in which the
	// share rises. After that the new version is observed at the last share.
	// The default is 0.7.
	RampFraction float64
	// MinCalls is how many calls of the new version a step requires before the
	// next step. A service with little traffic requires fewer. The default is
	// 50.
	MinCalls int64
	// DoneFraction is the fraction of the time after which a move that has
	// reached the last share completes. The rest of the time must suffice for
	// the change to be in force everywhere before the deadline. The default is
	// 0.97.
	DoneFraction float64
	// SoakTime is how long the last share must have been in effect before a
	// move completes.
	SoakTime time.Duration
	// AlarmRate is the fraction of failures among its recent calls at which a
	// new version is rolled back at once. 0 leaves the decision to the
	// comparison of both versions at the same time, which is slower at large
	// shares.
	AlarmRate float64
	// ExposedFraction and ExposedCalls limit the calls of a new version that is not
	// proven to be as good as the old one: a fraction of the service's calls in the
	// time of the move, plus a number of calls. The share stays below the fraction
	// until the version is proven. At the steps above it but the last, it must be
	// proven again under load, and gets no more calls than the limit leaves. A move
	// that reaches the limit without proof is rolled back. With a Closing, the limit holds up
	// to the deadline whatever is proven. If ExposedFraction is 0, a version needs no proof:
	// each step only needs that nothing speaks against the version.
	ExposedFraction float64
	ExposedCalls    int64
	// HoldFraction is the fraction of the time up to the deadline for which the first
	// share is held. 0 means that the steps are spread evenly.
	HoldFraction float64
	// Closing ends moves whose exposure is limited. With it, Steps are not used.
	Closing Closing
}

// DefaultSteps are the default shares of a move, in thousandths. Most are
// small, so that a version that is bad from the start or on one route gets few
// calls.
var DefaultSteps = []int{5, 10, 50, 200, 500, 900}

const (
	defaultDoneFraction = 0.97
	// stepCallsFraction is the fraction of a service's expected calls during a
	// move that a step may require.
	stepCallsFraction = 0.01
	// minStepCalls is the lowest number of calls that a step may require
	// because of little traffic.
	minStepCalls = 8
)

func (p Policy) withDefaults() Policy {
	if len(p.Steps) == 0 {
		p.Steps = DefaultSteps
	}
	if p.FalsePositiveRate == 0 {
		p.FalsePositiveRate = 0.004
	}
	if p.RampFraction == 0 {
		p.RampFraction = 0.7
	}
	if p.MinCalls == 0 {
		p.MinCalls = 50
	}
	if p.DoneFraction == 0 {
		p.DoneFraction = defaultDoneFraction
	}
	return p
}

// Decision is the result of Decide: the state that the move should be in.
type Decision struct {
	State   config.MoveState
	Share   int    // Of the new version, in thousandths.
	Reason  string // Shown to operators.
	Touched int64  // Calls of the new version since the start of the move.
	Failed  int64  // Failed calls among them.
}

// Analyzer evaluates the call statistics of one move. It is not safe for
// concurrent use. Create one with NewAnalyzer.
type Analyzer struct {
	policy Policy
	all    *group
	// withoutHost holds, for each host of the new version, the comparisons with
	// the calls of that host left out.
	withoutHost    map[string]*group
	alarm          alarm
	stepStartCalls int64     // Calls of the new version when Decide was first called with the present share.
	stepStart      time.Time // When Decide was first called with the present share.
	share          int       // The share at the last call of Decide; -1 before the first.
	judged         *group    // The comparisons by which the version is judged: all, or those without a bad host.
	late           bool      // The share has been raised before the closing.
	stepped        bool      // beginStep was called before.
	proven         bool      // The new version has been proven at the present share.
}

// NewAnalyzer returns an analyzer without observations.
func NewAnalyzer(p Policy) *Analyzer {
	return &Analyzer{policy: p.withDefaults(), all: newGroup(), withoutHost: map[string]*group{}, share: -1}
}

// Observe records the cumulative call statistics of a move at now. The rows are
// the sums over all daemons if the caller uses Decide, and those of one daemon if
// it uses Regressed. Rows of other moves and versions are ignored. The time must
// not decrease between calls.
func (a *Analyzer) Observe(now time.Time, m config.Move, rows []callstats.Row) {
	routes := map[string][2]counts{}
	hosts := map[string]map[string]counts{}
	for _, r := range rows {
		side := sideOf(m, r)
		if side < 0 {
			continue
		}
		c := routes[r.Route]
		c[side].add(r)
		routes[r.Route] = c
		if side != newSide {
			continue
		}
		if hosts[r.Host] == nil {
			hosts[r.Host] = map[string]counts{}
		}
		h := hosts[r.Host][r.Route]
		h.add(r)
		hosts[r.Host][r.Route] = h
	}
	a.all.observe(now, routes)
	a.alarm.observe(now, a.all.routes)
	for host, hostCounts := range hosts {
		if a.withoutHost[host] == nil {
			a.withoutHost[host] = newGroup()
		}
		a.withoutHost[host].observe(now, withoutHostCalls(routes, hostCounts))
	}
}

// withoutHostCalls returns the counts of all routes without a host's calls of
// the new version.
func withoutHostCalls(routes map[string][2]counts, hostCounts map[string]counts) map[string][2]counts {
	rest := make(map[string][2]counts, len(routes))
	for route, c := range routes {
		rest[route] = [2]counts{c[oldSide], c[newSide].minus(hostCounts[route])}
	}
	return rest
}

// Indices of the old and the new version in pairs of counts and slots.
const (
	oldSide = 0
	newSide = 1
)

// sideOf returns oldSide or newSide, or -1 for a row of another move or
// version.
func sideOf(m config.Move, r callstats.Row) int {
	switch {
	case r.Move != m.Start.UnixMilli():
		return -1
	case r.Version == m.From:
		return oldSide
	case r.Version == m.To:
		return newSide
	default:
		return -1
	}
}

// Decide returns what to do with the move m at now. Its evidence is what
// Observe has recorded so far. The readySlots are the call slots of the ready
// upstreams of the old version, at index 0, and of the new one, at index 1.
// deadlineAction is config.DeadlineFinish or config.DeadlineRollBack. The caller
// applies the decision and passes the changed move the next time.
func (a *Analyzer) Decide(now time.Time, m config.Move, readySlots [2]int, deadlineAction string) Decision {
	calls, failed := a.newVersionCalls()
	d := Decision{State: config.MoveRunning, Share: m.Share, Reason: m.Reason, Touched: calls, Failed: failed}
	if a.share < 0 && strings.HasPrefix(m.Reason, waitsPrefix) {
		a.all.distrust()
	}
	if m.Share != a.share {
		a.beginStep(now, m, calls)
	}
	result, reason := a.assess(a.threshold())
	a.judge(now, result)
	pastDeadline := !now.Before(m.By)
	raised, alarmReason := a.alarm.raised(a.policy.AlarmRate)
	switch {
	case raised:
		return a.rollBack(d, alarmReason)
	case result == assessedBad, result == assessedUnclear && pastDeadline:
		return a.rollBack(d, reason)
	case readySlots[newSide] == 0 && m.Share > 0:
		return a.rollBack(d, "no upstream of the new version is left")
	case a.isOverexposed(now, m, calls):
		return a.rollBack(d, fmt.Sprintf("not proven within its limit of calls, by %d calls", calls))
	case pastDeadline:
		return a.atDeadline(now, d, m, deadlineAction)
	case result == assessedUnclear:
		return wait(d, m, reason)
	case a.policy.isClosing(m):
		return a.endClosing(now, d, m)
	case !a.policy.isExposed(m.Share) && m.Share > 0 && a.policy.ExposedFraction > 0 && a.judged.disproven():
		return wait(d, m, waitsPrefix+" for proof: the calls of the new version speak against it")
	default:
		return a.advance(now, d, m, readySlots, deadlineAction, reason)
	}
}

// wait returns d with a reason for which the share waits. Each change of the reason is
// stored as a revision, so the reason is set only once. An analyzer that begins later, after
// an election, learns from it that something speaks against the version.
func wait(d Decision, m config.Move, reason string) Decision {
	if !strings.HasPrefix(m.Reason, waitsPrefix) {
		d.Reason = reason
	}
	return d
}

// beginStep begins to judge the new version anew at the share of m.
func (a *Analyzer) beginStep(now time.Time, m config.Move, calls int64) {
	if a.policy.isExposed(m.Share) {
		rises := a.share >= 0 && !a.policy.isExposed(a.share)
		a.all.beginExposure(m.Share, rises)
		for _, g := range a.withoutHost {
			g.beginExposure(m.Share, rises)
		}
	}
	a.share = m.Share
	a.stepStartCalls = calls
	a.stepStart = now
	if a.policy.hasClosing() && a.stepped {
		if a.policy.isClosing(m) {
			a.limitProof() // Calls under little load are not enough for a verdict.
		}
		return
	}
	a.stepped = true
	// The last trial has proven the version for what follows it.
	a.proven = a.policy.hasTrial() && a.policy.isProven(m.Share)
	a.all.resetOdds()
	for _, g := range a.withoutHost {
		g.resetOdds()
	}
}

// newVersionCalls returns the calls of the new version so far, and the failed
// ones among them.
func (a *Analyzer) newVersionCalls() (calls, failed int64) {
	sum := a.all.total(allRoutes)[newSide]
	return sum.calls, sum.failed
}

// rollBack returns d changed to a rollback.
func (a *Analyzer) rollBack(d Decision, reason string) Decision {
	d.State = config.MoveRolledBack
	d.Share = 0
	d.Reason = reason
	return d
}

// atDeadline ends a move whose deadline has passed. A move that has soaked at
// the last share completes. Otherwise deadlineAction, which is
// config.Service.Deadline, decides between completion and rollback.
func (a *Analyzer) atDeadline(now time.Time, d Decision, m config.Move, deadlineAction string) Decision {
	if a.policy.isClosing(m) {
		return a.endClosing(now, d, m)
	}
	lastShare := a.policy.Steps[len(a.policy.Steps)-1]
	if m.Share >= lastShare && a.soaked(now, m) && a.mayAdvance(m) {
		return finish(d, "in time, and nothing speaks against the new version")
	}
	if deadlineAction == config.DeadlineRollBack {
		return a.rollBack(d, fmt.Sprintf("time ran out at a share of %.1f %% without proof", float64(m.Share)/10))
	}
	return finish(d, fmt.Sprintf("time ran out at a share of %.1f %%; nothing speaks against the new version", float64(m.Share)/10))
}

// finish returns d changed to a completed move.
func finish(d Decision, reason string) Decision {
	d.State = config.MoveDone
	d.Share = config.FullShare
	d.Reason = reason
	return d
}

// advance takes the next step when it is due and the current step has had
// enough calls. With config.DeadlineFinish a step without enough calls is taken
// too, once its step timeout has passed. At the last share it completes the
// move when Policy.DoneFraction and Policy.SoakTime allow it.
func (a *Analyzer) advance(now time.Time, d Decision, m config.Move, readySlots [2]int, deadlineAction, reason string) Decision {
	if readySlots[newSide] == 0 {
		return d
	}
	if a.policy.hasClosing() {
		return a.advanceToClosing(now, d, m)
	}
	schedule := a.schedule(now, m)
	i := slices.IndexFunc(schedule.steps, func(share int) bool { return share > m.Share })
	switch {
	case i < 0 && !now.Before(timeAt(m, a.policy.DoneFraction)) && a.soaked(now, m) && a.mayAdvance(m):
		return finish(d, "in time, and nothing speaks against the new version")
	case i < 0:
		return d
	case i == 0:
		d.Share = schedule.steps[0]
		d.Reason = "begins"
		return d
	case now.Before(schedule.dueTimes[i]):
		return d
	}
	enoughCalls := d.Touched-a.stepStartCalls >= schedule.minCalls && a.mayAdvance(m)
	if !enoughCalls && !(deadlineAction == config.DeadlineFinish && now.After(schedule.dueTimes[i].Add(schedule.stepTimeout))) {
		return d
	}
	d.Share = schedule.steps[i]
	d.Reason = "nothing speaks against the new version"
	switch {
	case !enoughCalls:
		d.Reason = "few calls, but time runs short"
	case reason != "":
		d.Reason = reason
	}
	return d
}

// soaked reports whether the current share has been in effect for
// Policy.SoakTime.
func (a *Analyzer) soaked(now time.Time, m config.Move) bool {
	return now.Sub(m.Since) >= a.policy.SoakTime
}

// timeAt returns the time at which a fraction of the move's time has passed.
func timeAt(m config.Move, fraction float64) time.Time {
	return m.Start.Add(time.Duration(float64(m.By.Sub(m.Start)) * fraction))
}

// Regressed reports whether the call statistics of a single daemon show that
// the new version is bad, and why. It requires stronger evidence than Decide,
// because each of many daemons makes this test.
func (a *Analyzer) Regressed() (bool, string) {
	if raised, alarmReason := a.alarm.raised(a.policy.AlarmRate); raised {
		return true, alarmReason
	}
	result, reason := a.assess(a.threshold() + localThresholdExtra)
	return result == assessedBad, reason
}

// waitsPrefix begins the reason of a move whose evidence is unclear.
const waitsPrefix = "waits"

// localThresholdExtra is what Regressed adds to the threshold, in log odds. As a
// natural logarithm, 4.6 means that the odds must be about 100 times as high as
// for Decide.
const localThresholdExtra = 4.6
