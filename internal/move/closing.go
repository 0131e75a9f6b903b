package move

import (
	"fmt"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Closing describes the end of a move whose exposure is limited. The new version gets a
// small share until shortly before the deadline, and then all calls: what it gets in that
// time is a part of its limit, which no proof lifts. The closing is also the test under full
// load, and ends with the verdict.
//
// The zero value means that a move has no closing: it completes from the last of
// Policy.Steps.
type Closing struct {
	// Fraction is the fraction of the time of a move that its closing takes, which must be
	// less than Policy.ExposedFraction, and Calls the fraction of Policy.ExposedCalls that
	// makes it longer: by the time in which a service gets that many calls.
	Fraction, Calls float64
	// MinTime is the shortest closing. A move that is not ready for it, or whose limit is
	// too small for it, is rolled back at the deadline.
	MinTime time.Duration
	// Verdict is how long before the deadline the move completes or is rolled back, so
	// that this is in force and known by then.
	Verdict time.Duration
	// Settle is how long before the verdict a closing begins if the limit allows it, so that
	// no calls of the old version are left when the move completes.
	Settle time.Duration
}

const (
	// minTrafficTime is how long calls are counted before the first share is set, and
	// maxTrafficTime how long without any call.
	minTrafficTime = 1200 * time.Millisecond
	maxTrafficTime = 2500 * time.Millisecond
	// exposedReserve is the fraction of Policy.ExposedCalls that is planned to be left at
	// the deadline, for counts that arrive late and for changes of the traffic.
	exposedReserve = 0.1
	// maxClosingFraction limits a closing as a fraction of the time of the move, and
	// maxLimitFraction its calls as a fraction of the limit.
	maxClosingFraction = 0.2
	maxLimitFraction   = 0.85
	// lateFraction is the fraction of the time of a move, before its closing, in which the
	// share is lateFactor times as high as before: few calls are needed until then, and a
	// fault may begin at any time.
	lateFraction = 0.35
	lateFactor   = 3
)

// hasClosing reports whether moves end with a closing.
func (p Policy) hasClosing() bool { return p.Closing.Fraction > 0 && p.ExposedFraction > 0 }

// closingTime returns how long the closing of a move takes, given the calls of the service
// per second, which are 0 if they are not known.
func (p Policy) closingTime(m config.Move, perSecond float64) time.Duration {
	total := m.By.Sub(m.Start).Seconds()
	seconds, limit := p.Closing.Fraction*total, p.ExposedFraction*total
	if perSecond > 0 {
		seconds = min(seconds+p.Closing.Calls*float64(p.ExposedCalls)/perSecond, maxClosingFraction*total)
		limit += float64(p.ExposedCalls) / perSecond
	}
	seconds = min(max(seconds, (p.Closing.Settle+p.Closing.Verdict).Seconds()), maxLimitFraction*limit)
	return max(p.Closing.MinTime, time.Duration(seconds*float64(time.Second)))
}

// lookShare returns the share of a version before its closing, in thousandths, by which it
// uses what the limit leaves besides the closing, given the calls of the service per second;
// 0 if they are not known. late is set for the time right before the closing.
func (p Policy) lookShare(m config.Move, perSecond float64, late bool) int {
	total, closing := m.By.Sub(m.Start).Seconds(), p.closingTime(m, perSecond).Seconds()
	left := p.ExposedFraction*total - closing
	if perSecond > 0 {
		left += (1 - exposedReserve) * float64(p.ExposedCalls) / perSecond
	}
	fraction := left / (total - closing + (lateFactor-1)*lateFraction*total)
	if late {
		fraction *= lateFactor
	}
	return int(config.FullShare * max(0, min(fraction, p.ExposedFraction)))
}

// isClosing reports whether a move is in its closing.
func (p Policy) isClosing(m config.Move) bool {
	return p.hasClosing() && m.State == config.MoveRunning && m.Share == config.FullShare
}

// advanceToClosing takes the next step of a move that ends with a closing.
func (a *Analyzer) advanceToClosing(now time.Time, d Decision, m config.Move) Decision {
	passed, left := now.Sub(m.Start), m.By.Sub(now)
	perSecond := a.highestRate(now, m)
	closing := a.policy.closingTime(m, perSecond)
	switch {
	case m.Share == 0 && (passed >= minTrafficTime && perSecond > 0 || passed >= maxTrafficTime):
		d.Share = max(1, a.policy.lookShare(m, perSecond, false))
		d.Reason = "begins"
	case m.Share == 0:
	case !a.late && left <= closing+lateTime(m):
		a.late = true
		d.Share = max(m.Share, a.policy.lookShare(m, perSecond, true))
		d.Reason = "nothing speaks against the new version"
	case left > closing, left < a.policy.Closing.MinTime:
	case !a.proven, !a.judged.remainsProven(remainingOdds):
	case a.closingExceeds(left, d.Touched, perSecond, 1-exposedReserve):
	default:
		d.Share = config.FullShare
		d.Reason = "proven at a small share, and all calls up to the deadline are within the limit"
	}
	return d
}

// lateTime returns how long the share before the closing of a move is higher.
func lateTime(m config.Move) time.Duration {
	return time.Duration(lateFraction * float64(m.By.Sub(m.Start)))
}

// closingExceeds reports whether the new version would go past its limit if it got all calls
// from now on. usable is the fraction of Policy.ExposedCalls that it may use.
func (a *Analyzer) closingExceeds(left time.Duration, touched int64, perSecond, usable float64) bool {
	sum := a.all.total(allRoutes)
	foreseen := perSecond * left.Seconds()
	reached := float64(sum[oldSide].calls+sum[newSide].calls) + foreseen
	return float64(touched)+foreseen > a.policy.ExposedFraction*reached+usable*float64(a.policy.ExposedCalls)
}

// endClosing gives the verdict on a version that gets all calls, once it is due.
func (a *Analyzer) endClosing(now time.Time, d Decision, m config.Move) Decision {
	switch {
	case a.judged.disproven():
		return a.rollBack(d, "the calls of the new version speak against it under full load")
	case m.By.Sub(now) > a.policy.Closing.Verdict:
		if perSecond := a.highestRate(now, m); a.closingExceeds(m.By.Sub(now), d.Touched, perSecond, 1) {
			d.Share = a.policy.lookShare(m, perSecond, true)
			d.Reason = "more calls than foreseen"
		}
		return d
	case !a.judged.remainsProven(verdictOdds):
		return a.rollBack(d, fmt.Sprintf("not proven under full load, log odds %.1f", a.judged.proof))
	default:
		return finish(d, "in time, and proven under full load")
	}
}

// limitProof limits what the calls so far prove, over all routes.
func (a *Analyzer) limitProof() {
	limit := odds(remainingOdds * proofThreshold)
	a.all.proof = min(a.all.proof, limit)
	for _, g := range a.withoutHost {
		g.proof = min(g.proof, limit)
	}
}

// highestRate returns the calls of the service per second, recently or since the start of the
// move, whichever are more: while daemons are cut off, few calls are counted. It is 0 while
// they are not known.
func (a *Analyzer) highestRate(now time.Time, m config.Move) float64 {
	sum := a.all.total(allRoutes)
	passed := max(now.Sub(m.Start), minTrafficTime).Seconds()
	return max(a.recentRate(), float64(sum[oldSide].calls+sum[newSide].calls)/passed)
}

// recentRate returns the calls of the service per second in the window of the alarm, or 0
// while it is not known.
func (a *Analyzer) recentRate() float64 {
	if len(a.alarm.samples) < 2 {
		return 0
	}
	first, last := a.alarm.samples[0], a.alarm.samples[len(a.alarm.samples)-1]
	if !last.at.After(first.at) {
		return 0
	}
	calls := func(s sample) int64 {
		sum := s.total()
		return sum[oldSide].calls + sum[newSide].calls
	}
	return max(0, float64(calls(last)-calls(first))/last.at.Sub(first.at).Seconds())
}
