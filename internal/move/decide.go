package move

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Policy holds the bounds of the decision. Zero fields get defaults.
type Policy struct {
	// Steps holds the shares of the new version, in thousandths, rising. The
	// last one leaves the old version some calls to compare with; a move is
	// done from there.
	Steps []int
	// FalsePositiveRate is about the largest probability of taking a good version back.
	FalsePositiveRate float64
	// RampFraction is the part of the time up to the deadline in which the share
	// rises; after that the new version is watched at the last share.
	RampFraction float64
	// MinCalls is how many calls of the new version a step needs before the next.
	// A service with little traffic needs fewer.
	MinCalls int64
	// DoneFraction is the part of the time after which a proved move is done. What is
	// left must do for the change to be in force before the deadline: 0.97.
	DoneFraction float64
	// SoakTime is how long the last share must have been watched before a move is
	// done.
	SoakTime time.Duration
	// AlarmRate is the part of its recent calls at which a new version that fails
	// them is taken back at once. 0 leaves that to the comparison of both
	// versions at the same time, which is slower at large shares.
	AlarmRate float64
}

// DefaultSteps dwells on small shares, so that a version that is bad at once
// or on one route touches few calls.
var DefaultSteps = []int{5, 10, 50, 200, 500, 900}

const (
	defaultDoneFraction = 0.97
	// minCallsFraction is the part of a service's calls during a move that a step's
	// proof may take.
	minCallsFraction = 0.01
	// leastMinCalls is the least proof of a step.
	leastMinCalls = 8
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

// Decision is what to do with a move now.
type Decision struct {
	State   config.MoveState
	Share   int
	Reason  string
	Touched int64 // Calls of the new version so far.
	Failed  int64 // Those of them that failed.
}

// Analyzer weighs the evidence of one move. It is not safe for concurrent use.
// Make one with NewAnalyzer.
type Analyzer struct {
	policy Policy
	all    *group
	// without holds, for each host of the new version, the comparisons as they
	// would be if that host did not exist.
	without map[string]*group
	alarm   alarm
	stepAt  int64 // Calls of the new version when the share was set.
	share   int
}

// NewAnalyzer returns an analyzer that has seen nothing.
func NewAnalyzer(p Policy) *Analyzer {
	return &Analyzer{policy: p.withDefaults(), all: newGroup(), without: map[string]*group{}, share: -1}
}

// Observe takes in the sums of the evidence of a move at now.
func (j *Analyzer) Observe(now time.Time, m config.Move, rows []callstats.Row) {
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
	j.all.observe(now, routes)
	j.alarm.take(now, j.all.total(allRoutes)[newSide])
	for host, own := range hosts {
		if j.without[host] == nil {
			j.without[host] = newGroup()
		}
		j.without[host].observe(now, lessHost(routes, own))
	}
}

// lessHost returns the sums as they would be without a host's own calls.
func lessHost(routes map[string][2]counts, own map[string]counts) map[string][2]counts {
	rest := make(map[string][2]counts, len(routes))
	for route, c := range routes {
		rest[route] = [2]counts{c[oldSide], c[newSide].minus(own[route])}
	}
	return rest
}

const (
	oldSide = 0
	newSide = 1
)

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

// Decide says what to do with a move at now. Slots are those of the old and
// the new version that are ready.
func (j *Analyzer) Decide(now time.Time, m config.Move, slots [2]int, deadline string) Decision {
	calls, failed := j.touched()
	d := Decision{State: config.MoveRunning, Share: m.Share, Reason: m.Reason, Touched: calls, Failed: failed}
	if m.Share != j.share {
		j.share = m.Share
		j.stepAt = calls
	}
	found, reason := j.assess(j.threshold())
	late := !now.Before(m.By)
	raised, why := j.alarm.raised(j.policy.AlarmRate, j.all.total(allRoutes)[oldSide])
	switch {
	case raised:
		return j.rollBack(d, why)
	case found == assessedBad, found == assessedUnclear && late:
		return j.rollBack(d, reason)
	case slots[newSide] == 0 && m.Share > 0:
		return j.rollBack(d, "no upstream of the new version is left")
	case late:
		return j.atDeadline(now, d, m, deadline)
	case found == assessedUnclear:
		// Each reason told is a revision, so it is told once.
		if !strings.HasPrefix(m.Reason, waits) {
			d.Reason = reason
		}
		return d
	default:
		return j.advance(now, d, m, slots, deadline, reason)
	}
}

func (j *Analyzer) touched() (calls, failed int64) {
	sum := j.all.total(allRoutes)[newSide]
	return sum.calls, sum.failed
}

func (j *Analyzer) rollBack(d Decision, reason string) Decision {
	d.State = config.MoveRolledBack
	d.Share = 0
	d.Reason = reason
	return d
}

// atDeadline ends a move whose time is up by the policy of its service.
func (j *Analyzer) atDeadline(now time.Time, d Decision, m config.Move, deadline string) Decision {
	last := j.policy.Steps[len(j.policy.Steps)-1]
	if m.Share >= last && j.soaked(now, m) {
		return finish(d, "in time, and nothing speaks against the new version")
	}
	if deadline == config.DeadlineRollBack {
		return j.rollBack(d, fmt.Sprintf("time ran out at a share of %.1f %% without proof", float64(m.Share)/10))
	}
	return finish(d, fmt.Sprintf("time ran out at a share of %.1f %%; nothing speaks against the new version", float64(m.Share)/10))
}

func finish(d Decision, reason string) Decision {
	d.State = config.MoveDone
	d.Share = config.FullShare
	d.Reason = reason
	return d
}

// advance takes the next step of the ladder when its time has come and the
// present one has been proved.
func (j *Analyzer) advance(now time.Time, d Decision, m config.Move, slots [2]int, deadline, note string) Decision {
	if slots[newSide] == 0 {
		return d
	}
	plan := j.plan(now, m)
	i := slices.IndexFunc(plan.steps, func(share int) bool { return share > m.Share })
	switch {
	case i < 0 && !now.Before(at(m, j.policy.DoneFraction)) && j.soaked(now, m):
		return finish(d, "in time, and nothing speaks against the new version")
	case i < 0:
		return d
	case i == 0:
		d.Share = plan.steps[0]
		d.Reason = "begins"
		return d
	case now.Before(plan.due[i]):
		return d
	}
	proved := d.Touched-j.stepAt >= plan.minCalls
	if !proved && !(deadline == config.DeadlineFinish && now.After(plan.due[i].Add(plan.stepTimeout))) {
		return d
	}
	d.Share = plan.steps[i]
	d.Reason = "nothing speaks against the new version"
	switch {
	case !proved:
		d.Reason = "few calls, but time runs short"
	case note != "":
		d.Reason = note
	}
	return d
}

// soaked reports whether the share has stood for as long as it must be
// watched.
func (j *Analyzer) soaked(now time.Time, m config.Move) bool {
	return now.Sub(m.Since) >= j.policy.SoakTime
}

// at returns the moment at which a part of a move's time has passed.
func at(m config.Move, part float64) time.Time {
	return m.Start.Add(time.Duration(float64(m.By.Sub(m.Start)) * part))
}

// Regressed reports whether the evidence of one daemon alone speaks against the new
// version, and why. It asks for stronger evidence than Decide does, since each
// of many daemons asks.
func (j *Analyzer) Regressed() (bool, string) {
	if raised, why := j.alarm.raised(j.policy.AlarmRate, j.all.total(allRoutes)[oldSide]); raised {
		return true, why
	}
	found, reason := j.assess(j.threshold() + localThresholdExtra)
	return found == assessedBad, reason
}

// waits begins the reason of a move whose evidence is unclear.
const waits = "waits"

// localThresholdExtra is how much stronger the evidence of one daemon must be, as a
// logarithm.
const localThresholdExtra = 4.6
