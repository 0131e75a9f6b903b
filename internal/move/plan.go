package move

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// plan is what the steps of a move are at its present traffic.
type plan struct {
	steps       []int
	due         []time.Time
	minCalls    int64
	stepTimeout time.Duration // How long a step may wait for its proof.
}

// plan spreads the steps evenly over the part of the time in which the share
// rises. With little traffic it begins with a share that can be proved in a
// step's time, and asks for less proof.
func (j *Analyzer) plan(now time.Time, m config.Move) plan {
	window := m.By.Sub(m.Start)
	span := time.Duration(float64(window) * j.policy.RampFraction)
	p := plan{steps: j.policy.Steps, minCalls: j.policy.MinCalls, stepTimeout: span / time.Duration(2*len(j.policy.Steps))}
	expected, known := j.expectedCalls(now, m)
	if known {
		p.minCalls = min(p.minCalls, max(leastMinCalls, int64(expected*minCallsFraction)))
		first := firstProvable(p.steps, float64(p.minCalls)*provable, expected*j.policy.RampFraction)
		p.steps = p.steps[first:]
	}
	for i := range p.steps {
		part := float64(span) * float64(i) / float64(max(1, len(p.steps)-1))
		p.due = append(p.due, m.Start.Add(time.Duration(part)))
	}
	return p
}

// firstProvable returns the first step from which each step can be proved, one
// after the other, within a number of calls of the service: a step needs the
// fewer calls the larger its share. A lower beginning would touch fewer calls,
// but would not come to its end in time.
func firstProvable(ladder []int, proof, calls float64) int {
	needed := 0.0
	for i := len(ladder) - 1; i > 0; i-- {
		needed += proof / float64(ladder[i]) * config.FullShare
		next := proof / float64(ladder[i-1]) * config.FullShare
		if needed+next > calls && ladder[i] <= maxFirstShare {
			return i
		}
	}
	return 0
}

// provable is how many times its proof a step's share should bring.
const provable = 1.3

const (
	// maxFirstShare is the largest share that a move may begin with, in
	// thousandths, however little traffic there is.
	maxFirstShare = 200
	// minRateFraction is the part of the time, and minRateTime the time,
	// after which the traffic is known well enough to plan by.
	minRateFraction = 0.02
	minRateTime     = 5 * time.Second
)

// expectedCalls returns how many calls a service is likely to get during the
// whole move.
func (j *Analyzer) expectedCalls(now time.Time, m config.Move) (float64, bool) {
	passed := now.Sub(m.Start)
	if now.Before(at(m, minRateFraction)) || passed < minRateTime {
		return 0, false
	}
	sum := j.all.total(allRoutes)
	calls := sum[oldSide].calls + sum[newSide].calls
	// Without any evidence nothing is known of the traffic.
	return float64(calls) / passed.Seconds() * m.By.Sub(m.Start).Seconds(), calls > 0
}
