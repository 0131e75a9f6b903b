package move

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// schedule holds the remaining steps of a move, given its traffic so far.
type schedule struct {
	steps       []int         // Shares in thousandths, rising.
	dueTimes    []time.Time   // When each step is due.
	minCalls    int64         // Calls of the new version that a step requires before the next one.
	stepTimeout time.Duration // How long past its due time a step may wait for minCalls: half the average ramp time per step of Policy.Steps.
}

// schedule spreads the steps evenly over the ramp time, in which the share
// rises, or over the part of it after Policy.HoldFraction. With little traffic it starts with a share large enough to collect the
// required calls within a step, and requires fewer calls.
func (a *Analyzer) schedule(now time.Time, m config.Move) schedule {
	totalTime := m.By.Sub(m.Start)
	rampTime := time.Duration(float64(totalTime) * a.policy.RampFraction)
	s := schedule{steps: a.policy.Steps, minCalls: a.policy.MinCalls, stepTimeout: rampTime / time.Duration(2*len(a.policy.Steps))}
	expected, known := a.expectedCalls(now, m)
	if known {
		s.minCalls = min(s.minCalls, max(minStepCalls, int64(expected*stepCallsFraction)))
		firstStep := firstFeasibleStep(s.steps, float64(s.minCalls)*callsMargin, expected*a.policy.RampFraction)
		s.steps = s.steps[firstStep:]
	}
	for i := range s.steps {
		s.dueTimes = append(s.dueTimes, m.Start.Add(a.stepOffset(i, len(s.steps), totalTime, rampTime)))
	}
	return s
}

// stepOffset returns how long after the start of a move step i of the given number is due.
func (a *Analyzer) stepOffset(i, steps int, totalTime, rampTime time.Duration) time.Duration {
	hold := time.Duration(a.policy.HoldFraction * float64(totalTime))
	switch {
	case i == 0:
		return 0
	case hold == 0:
		return rampTime * time.Duration(i) / time.Duration(steps-1)
	default:
		return hold + (rampTime-hold)*time.Duration(i-1)/time.Duration(max(1, steps-2))
	}
}

// firstFeasibleStep returns the index of the first step from which it and every
// later step can collect minCalls calls of the new version, one step after the
// other, out of expectedCalls calls of the service. The larger its share, the
// fewer calls of the service a step needs. An earlier start would send fewer
// calls to the new version, but the move would not complete in time. The step's
// share is at most maxFirstShare, unless the first step of all exceeds it.
func firstFeasibleStep(steps []int, minCalls, expectedCalls float64) int {
	needed := 0.0
	for i := len(steps) - 1; i > 0; i-- {
		needed += minCalls / float64(steps[i]) * config.FullShare
		next := minCalls / float64(steps[i-1]) * config.FullShare
		if needed+next > expectedCalls && steps[i] <= maxFirstShare {
			return i
		}
	}
	return 0
}

// callsMargin is the factor by which the expected calls of a step should exceed
// the required calls.
const callsMargin = 1.3

const (
	// maxFirstShare is the largest share that a move may start with, in
	// thousandths, however little traffic there is.
	maxFirstShare = 200
	// minObservedFraction is the fraction of a move's time, and minObservedTime
	// the time, after which the traffic is known well enough to plan with. Both
	// must have passed.
	minObservedFraction = 0.02
	minObservedTime     = 5 * time.Second
)

// expectedCalls extrapolates the number of calls that a service gets during the
// whole move. It returns false while too little is known.
func (a *Analyzer) expectedCalls(now time.Time, m config.Move) (float64, bool) {
	passed := now.Sub(m.Start)
	if now.Before(timeAt(m, minObservedFraction)) || passed < minObservedTime {
		return 0, false
	}
	sum := a.all.total(allRoutes)
	calls := sum[oldSide].calls + sum[newSide].calls
	// Without any calls the traffic is unknown.
	return float64(calls) / passed.Seconds() * m.By.Sub(m.Start).Seconds(), calls > 0
}
