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
	// baseWindow is how far back the old version's calls are looked at, and onsetWindow
	// how far for a fault that has just begun.
	baseWindow  = 3 * time.Second
	onsetWindow = time.Second
	// evidenceInterval is the shortest interval whose calls are added to the odds.
	evidenceInterval = 250 * time.Millisecond
	// minBase is the smallest fraction of bad calls that a proof expects.
	minBase = 0.02
	// A fraction of bad calls is estimated as if priorBad more calls had been bad.
	priorBad   = 0.3
	priorCalls = 20
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

// recentBase is the recent fraction of bad calls of the old version.
type recentBase struct {
	samples []baseSample // Oldest first.
}

type baseSample struct {
	at         time.Time
	calls, bad int64
}

// add adds calls of the old version that ended by now.
func (b *recentBase) add(now time.Time, calls, bad int64) {
	b.samples = append(b.samples, baseSample{now, calls, bad})
	for len(b.samples) > 1 && now.Sub(b.samples[0].at) > baseWindow {
		b.samples = b.samples[1:]
	}
}

// fraction returns the estimate over baseWindow.
func (b *recentBase) fraction() float64 {
	calls, bad := b.since(time.Time{})
	return estimateFraction(calls, bad)
}

// highest returns a high estimate: by a standard error more than that over baseWindow, or
// that over onsetWindow if it is higher, because what both versions depend on may have
// begun to fail.
func (b *recentBase) highest(now time.Time) float64 {
	calls, bad := b.since(time.Time{})
	fraction := estimateFraction(calls, bad)
	standardError := math.Sqrt(fraction * (1 - fraction) / (float64(calls) + priorCalls))
	return max(fraction+standardError, estimateFraction(b.since(now.Add(-onsetWindow))))
}

// since returns the calls that were added after t.
func (b *recentBase) since(t time.Time) (calls, bad int64) {
	for _, s := range b.samples {
		if s.at.After(t) {
			calls += s.calls
			bad += s.bad
		}
	}
	return calls, bad
}

func estimateFraction(calls, bad int64) float64 {
	return (float64(bad) + priorBad) / (float64(calls) + priorCalls)
}
