package move

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// foreseenFraction is the fraction of the calls foreseen up to the deadline that count
	// for the allowance of a version that is being proven. The rest is a reserve for less
	// traffic than foreseen.
	foreseenFraction = 0.8
	// trialCallsFraction is the fraction of Policy.ExposedCalls that may be used while a
	// version is being proven. The rest is a reserve for calls that are lost from counts.
	trialCallsFraction = 0.6
	// permissionTime is how long after its last contact with the source's leader a daemon
	// may send a proven version more calls than an unproven one. It bounds the calls that
	// a daemon out of touch sends to a version that has been rolled back.
	permissionTime = 3 * time.Second
)

// isExposed reports whether a share is above ExposedFraction.
func (p Policy) isExposed(share int) bool {
	return float64(share) > p.ExposedFraction*config.FullShare
}

// isProven reports whether a version at a share has passed its trial. The last step is taken
// only with a proof under the load of the step before it.
func (p Policy) isProven(share int) bool {
	if p.hasClosing() {
		return share == config.FullShare
	}
	return p.isExposed(share) && share >= p.Steps[len(p.Steps)-1]
}

// hasTrial reports whether a step above ExposedFraction precedes the last one.
func (p Policy) hasTrial() bool {
	return len(p.Steps) > 1 && p.isExposed(p.Steps[len(p.Steps)-2])
}

// lookAllowance is the allowance of a version outside of the closing. The share is within
// the limit; a daemon that is out of touch in the closing does not know it.
func (p Policy) lookAllowance(m config.Move, calls float64) float64 {
	share := p.lookShare(m, 0, false)
	if !p.isExposed(m.Share) {
		share = max(share, m.Share)
	}
	return float64(share) / config.FullShare * calls
}

// allowance returns how many of the given calls, which have reached a service since the
// start of the move m, its new version may have got at now without being proven. It is
// proportional to the calls: the allowances of all daemons, each for its own calls, add up
// to that of the fleet. Above ExposedFraction it includes most of the calls foreseen up to
// the deadline.
func (p Policy) allowance(now time.Time, m config.Move, calls float64) float64 {
	fraction := p.ExposedFraction
	if p.hasClosing() {
		return p.lookAllowance(m, calls)
	}
	if !p.isExposed(m.Share) {
		return fraction * calls
	}
	length := m.By.Sub(m.Start).Seconds()
	passed := max(now.Sub(m.Start).Seconds(), p.HoldFraction*length, 1)
	fraction *= 1 + foreseenFraction*max(0, length/passed-1)
	// The new version's calls when the step was taken, nearly all at the first share, give
	// the number of the service's calls at that time.
	if m.Touched > 0 {
		callsNow := float64(m.Touched) * config.FullShare / float64(p.Steps[0]) * passed / max(m.Since.Sub(m.Start).Seconds(), 1)
		fraction += min(p.ExposedFraction, trialCallsFraction*float64(p.ExposedCalls)/callsNow)
	}
	return fraction * calls
}
