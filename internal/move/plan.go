package move

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// plan is what the steps of a move are at its present traffic.
type plan struct {
	ladder   []int
	due      []time.Time
	proof    int64
	patience time.Duration // How long a step may wait for its proof.
}

// plan spreads the steps evenly over the part of the time in which the share
// rises. With little traffic it begins with a share that can be proved in a
// step's time, and asks for less proof.
func (j *Judge) plan(now time.Time, m config.Move) plan {
	window := m.By.Sub(m.Start)
	span := time.Duration(float64(window) * j.policy.Ramp)
	p := plan{ladder: j.policy.Ladder, proof: j.policy.Proof, patience: span / time.Duration(2*len(j.policy.Ladder))}
	expected, known := j.expectedCalls(now, m)
	if known {
		p.proof = min(p.proof, max(proofLeast, int64(expected*proofPart)))
		first := firstProvable(p.ladder, float64(p.proof)*provable, expected*j.policy.Ramp)
		p.ladder = p.ladder[first:]
	}
	for i := range p.ladder {
		part := float64(span) * float64(i) / float64(max(1, len(p.ladder)-1))
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
		if needed+next > calls && ladder[i] <= firstMost {
			return i
		}
	}
	return 0
}

// provable is how many times its proof a step's share should bring.
const provable = 1.3

const (
	// firstMost is the largest share that a move may begin with, in
	// thousandths, however little traffic there is.
	firstMost = 200
	// rateKnownAfter is the part of the time, and rateKnownLeast the time,
	// after which the traffic is known well enough to plan by.
	rateKnownAfter = 0.02
	rateKnownLeast = 5 * time.Second
)

// expectedCalls returns how many calls a service is likely to get during the
// whole move.
func (j *Judge) expectedCalls(now time.Time, m config.Move) (float64, bool) {
	passed := now.Sub(m.Start)
	if now.Before(at(m, rateKnownAfter)) || passed < rateKnownLeast {
		return 0, false
	}
	sum := j.all.total(allRoutes)
	calls := sum[oldSide].calls + sum[newSide].calls
	// Without any evidence nothing is known of the traffic.
	return float64(calls) / passed.Seconds() * m.By.Sub(m.Start).Seconds(), calls > 0
}
