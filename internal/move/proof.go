package move

import (
	"math"
	"time"
)

const (
	// provenFraction is the fraction of its calls that a proven version does not spoil.
	provenFraction = 0.3
	// minSuspectFraction is the smallest fraction of failing calls that is looked for in
	// a version that serves many calls.
	minSuspectFraction = 0.06
	// maxUnnoticedProbability is approximately the probability that a version counts as
	// proven though it spoils provenFraction.
	maxUnnoticedProbability = 0.02
	// proofSlowBuckets is added to comparison.slowBucket. Responses in higher buckets are
	// bad.
	proofSlowBuckets = 1
	// remainingOdds is the fraction of the log odds of a proof at which a version remains
	// proven, and to which earlier calls count for the verdict.
	remainingOdds = 0.5
	// verdictOdds is the fraction of the log odds of a proof that the verdict needs.
	verdictOdds = 0.7
	// minRouteOdds is the log odds below which the only route speaks against the version,
	// and minSuspicionOdds the one below which its failures do.
	minRouteOdds     = -1
	minSuspicionOdds = -2
	// oddsHeadroom limits the log odds, as a multiple of what a proof needs, so that
	// good calls of the past do not hide a fault that begins late.
	oddsHeadroom = 1.3
	// doubtDepth limits the log odds against a version likewise.
	doubtDepth = 3
	// minDoubtOdds is the log odds below which a proven version is not given more calls.
	minDoubtOdds = -2
	// baseWindow is how far back the old version's calls are looked at, or further for
	// minBaseCalls, and onsetWindow how far for a fault that has just begun.
	baseWindow   = 3 * time.Second
	minBaseCalls = 40
	onsetWindow  = time.Second
	// evidenceInterval is the shortest interval whose calls are added to the odds, before a
	// share above the limit.
	evidenceInterval = 250 * time.Millisecond
	// minBase is the smallest fraction of bad calls that a proof expects, and minFailedBase
	// the smallest one of failed calls.
	minBase       = 0.02
	minFailedBase = 0.005
	// minExpectedBad is the smallest fraction of bad calls to expect under load of a version
	// that had fewer under little load.
	minExpectedBad = 0.04
	// expectedErrors is the number of standard errors that are added to what a version did
	// under little load.
	expectedErrors = 3
	// minLoadFraction is the fraction of its share that a version must get for its good calls
	// to prove it under load.
	minLoadFraction = 0.5
	// minUnexposedCalls is how many calls of the new version under little load show what to
	// expect of it under more.
	minUnexposedCalls = 20
	// A fraction of bad calls is estimated as if there had been a number of calls more, of
	// which priorFraction are bad: priorCalls in general, and basePriorCalls for the old
	// version on a route, on which it may fail often.
	priorFraction  = 0.015
	priorCalls     = 20
	basePriorCalls = 8
)

// proofThreshold is the log odds at which a version counts as proven.
var proofThreshold = -math.Log(maxUnnoticedProbability)

// odds is the evidence that a version is as good as the old one, against the assumption
// that it spoils a certain fraction of its calls beyond those that the old one spoils, as
// a natural logarithm. Unlike the absence of evidence against a version, it does not grow
// without calls.
type odds float64

// oddsGain returns the log odds that calls of the new version add, given the old
// version's fraction of bad calls and the fraction that is assumed to be spoiled.
func oddsGain(calls, bad int64, base, fraction float64) float64 {
	spoiled := base + fraction*(1-base)
	return float64(calls-bad)*math.Log((1-base)/(1-spoiled)) + float64(bad)*math.Log(base/spoiled)
}

// add adds a gain.
func (o *odds) add(gain float64) {
	limit := oddsHeadroom * proofThreshold
	*o = odds(max(-limit, min(float64(*o)+gain, limit)))
}

// addDoubt adds a gain of a doubt.
func (o *odds) addDoubt(gain float64) {
	*o = odds(max(-doubtDepth*proofThreshold, min(float64(*o)+gain, oddsHeadroom*proofThreshold)))
}

// tally counts calls and the bad ones among them.
type tally struct{ calls, bad int64 }

func (t *tally) add(calls, bad int64) {
	t.calls += calls
	t.bad += bad
}

// fraction returns an estimate of the fraction of bad calls, given the number of calls that
// are assumed in addition.
func (t tally) fraction(prior float64) float64 {
	return (float64(t.bad) + priorFraction*prior) / (float64(t.calls) + prior)
}

// highest returns a high estimate of the fraction of bad calls, by a number of standard
// errors.
func (t tally) highest(prior, errors float64) float64 {
	fraction := t.fraction(prior)
	return fraction + errors*math.Sqrt(fraction*(1-fraction)/(float64(t.calls)+prior))
}

// reference is what both versions did under little load.
type reference struct{ spoiled, failed [2]tally }

// expectedBad returns the fraction of bad calls to expect of a new version as good as the
// old one, given the recent fraction of the old one and what both did under little load. A
// version that had fewer bad calls than the old one should have as many fewer of them under
// more load.
func expectedBad(before [2]tally, oldFraction float64) float64 {
	if before[newSide].calls < minUnexposedCalls {
		return oldFraction
	}
	own := before[newSide].highest(priorCalls, expectedErrors) + max(0, oldFraction-before[oldSide].fraction(priorCalls))
	return min(oldFraction, max(own, minExpectedBad))
}

// recentBase is the recent fraction of bad calls of the old version.
type recentBase struct {
	samples []baseSample // Oldest first.
	sum     tally        // Of the samples.
}

type baseSample struct {
	at time.Time
	tally
}

// add adds calls of the old version that ended by now.
func (b *recentBase) add(now time.Time, calls, bad int64) {
	if calls == 0 {
		return
	}
	b.samples = append(b.samples, baseSample{now, tally{calls, bad}})
	b.sum.add(calls, bad)
	for oldest := b.samples[0]; now.Sub(oldest.at) > baseWindow && b.sum.calls-oldest.calls >= minBaseCalls; oldest = b.samples[0] {
		b.sum.add(-oldest.calls, -oldest.bad)
		b.samples = b.samples[1:]
	}
}

// fraction returns the estimate over the samples.
func (b *recentBase) fraction() float64 { return b.sum.fraction(basePriorCalls) }

// highest returns a high estimate: that over the samples, or that over onsetWindow if it is
// higher, because what both versions depend on may have begun to fail.
func (b *recentBase) highest(now time.Time) float64 {
	return max(b.sum.highest(basePriorCalls, 1), b.since(now.Add(-onsetWindow)).fraction(basePriorCalls))
}

// since returns the calls that were added after t.
func (b *recentBase) since(t time.Time) (sum tally) {
	for _, s := range b.samples {
		if s.at.After(t) {
			sum.add(s.calls, s.bad)
		}
	}
	return sum
}
