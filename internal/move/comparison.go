// Package move decides how much of a service's traffic goes to a new version
// while a move is running. A move is a gradual rollout of a version.
//
// The new version is compared with the old one by sequential testing: each bad
// call is a bet on which version it belongs to, and the accumulated wealth is
// the evidence against the new version.
//
// Decisions depend only on the given time, the call statistics and the policy;
// nothing here reads a clock or does I/O.
package move

import (
	"math"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
)

// oddsRatios are the assumed odds, new version against old, that a bad call
// belongs to the new version. A bet is placed at each of them with equal
// weight.
var oddsRatios = []float64{1.5, 2, 4, 16, 64}

// gains holds the outcome of one bet at each of oddsRatios, as natural
// logarithms.
type gains [5]float64

// bet returns the gains from the calls of one interval. Each bad call is one
// bet: if both versions are equally good, a bad call among newCalls and
// oldCalls belongs to the new version with probability
// newCalls/(newCalls+oldCalls). Without calls of both versions, or without a
// bad call, there is no bet and the gains are 0.
func bet(newCalls, newBad, oldCalls, oldBad int64) gains {
	var g gains
	if newCalls <= 0 || oldCalls <= 0 || newBad+oldBad == 0 {
		return g
	}
	p := float64(newCalls) / float64(newCalls+oldCalls)
	for i, r := range oddsRatios {
		q := r * p / (r*p + 1 - p)
		g[i] = float64(newBad)*math.Log(q/p) + float64(oldBad)*math.Log((1-q)/(1-p))
	}
	return g
}

// plus returns the sums of the gains at each ratio.
func (g gains) plus(o gains) gains {
	for i := range g {
		g[i] += o[i]
	}
	return g
}

// wealth is the accumulated outcome of betting that bad calls are more likely
// in the new version than in the old one. At each ratio it restarts when all is
// lost, so that good calls before a late fault do not offset it.
type wealth struct {
	logWealth     gains // Natural logarithm at each of oddsRatios, never below 0.
	lossIntervals int   // Number of intervals in which something was lost.
}

// add adds the gains of one interval, each cut to maxGain, a natural logarithm.
// Bad calls come in bursts, so those of one interval are weaker evidence than
// the same number of independent calls. Cutting gains only makes the test more
// conservative.
func (w *wealth) add(g gains, maxGain float64) {
	lost := false
	for i := range w.logWealth {
		lost = lost || g[i] < 0
		w.logWealth[i] = max(w.logWealth[i]+min(g[i], maxGain), 0)
	}
	if lost {
		w.lossIntervals++
	}
}

// logOdds returns the evidence against the new version as the natural logarithm
// of odds.
func (w *wealth) logOdds() float64 {
	sum := 0.0
	for _, logWealth := range w.logWealth {
		sum += math.Exp(min(logWealth, 700)) // The limit keeps Exp finite.
	}
	return math.Log(sum / float64(len(w.logWealth)))
}

// maxLogWealth returns the evidence at the ratio that fits best, as a natural
// logarithm. Applied to subsets of the same calls, it shows how the evidence is
// distributed among them.
func (w *wealth) maxLogWealth() float64 { return slices.Max(w.logWealth[:]) }

// maxRestarts bounds the number of restarts that discount accounts for.
const maxRestarts = 40

// discount returns what to subtract from logOdds, as a natural logarithm. Each
// restart is another chance to roll back a good version by mistake. A bet can
// restart only after a loss, so the number of intervals with a loss bounds the
// restarts.
func (w *wealth) discount() float64 {
	return math.Log(float64(min(maxRestarts, 1+w.lossIntervals)))
}

// counts holds the calls of one version, as sums over rows.
type counts struct {
	calls   int64
	failed  int64                    // Included in calls.
	latency [callstats.Buckets]int64 // Calls that did not fail, by latency bucket.
}

// add adds the counts of a row.
func (c *counts) add(r callstats.Row) {
	c.calls += r.Calls
	c.failed += r.Failed
	for i, n := range r.Latency {
		c.latency[i] += n
	}
}

// minus returns the difference c - o.
func (c counts) minus(o counts) counts {
	c.calls -= o.calls
	c.failed -= o.failed
	for i, n := range o.latency {
		c.latency[i] -= n
	}
	return c
}

// valid reports whether a difference of counts can be used. The counters of a
// daemon restart from zero with it, so sums can fall and differences can be
// negative.
func (c counts) valid() bool {
	return c.calls >= 0 && c.failed >= 0 && !slices.ContainsFunc(c.latency[:], isNegative)
}

func isNegative(n int64) bool { return n < 0 }

// responsesOver returns the number of calls that did not fail, and how many of
// them were slower than the limit of bucket b.
func (c counts) responsesOver(b int) (responses, slow int64) {
	for i, n := range c.latency {
		responses += n
		if i > b {
			slow += n
		}
	}
	return responses, slow
}

// quantileBucket returns the first bucket at or below which at least the
// fraction q of the responses lies.
func (c counts) quantileBucket(q float64) int {
	responses, _ := c.responsesOver(callstats.Buckets)
	seen := int64(0)
	for i, n := range c.latency {
		seen += n
		if float64(seen) >= q*float64(responses) {
			return i
		}
	}
	return callstats.Buckets - 1
}

// slowQuantile is the fraction of the old version's responses that count as
// having ordinary latency.
const slowQuantile = 0.9

// slowMarginBuckets is added to the bucket of that quantile. Responses in
// higher buckets count as slow. The limits of buckets double with every second
// one.
const slowMarginBuckets = 1

// minBlockInterval is the shortest interval whose slow responses are evaluated
// as one bet.
const minBlockInterval = 500 * time.Millisecond

// The maximum gains of one interval, as natural logarithms. Failures may gain
// more than slowness, because a busy host causes bursts of slow responses.
var (
	maxFailingGain = math.Log(200)
	maxSlowGain    = math.Log(6)
)

// comparison compares two versions on one route, over all hosts of the new
// version or all but one. In arrays of counts, index 0 is the old version and 1
// the new one, as oldSide and newSide.
type comparison struct {
	lastSums      [2]counts // Sums at the previous call of observe.
	total         [2]counts // Calls since the move started.
	pending       [2]counts // Calls since the last bet on failures.
	block         [2]counts // Calls since the last bet on slow responses.
	blockStart    time.Time // When block was last reset.
	failing       wealth
	slow          wealth
	slowBucket    int        // The highest bucket that does not count as slow; -1 while unknown.
	proof         odds       // Of not spoiling provenFraction.
	doubt         odds       // Like proof, with a high estimate of the old version's bad calls.
	badBase       recentBase // Failed and slow calls.
	failedBase    recentBase
	spoiled       [2]tally  // Calls whose evidence has been added to the odds.
	failed        [2]tally  // Like spoiled, but only failed calls are bad, and calls without a duration count.
	unexposed     reference // What was added before the first share above the limit; zero until then.
	evidence      [2]counts // Calls since the last addition to the odds.
	evidenceStart time.Time // When evidence was last reset.
}

func newComparison() *comparison { return &comparison{slowBucket: -1} }

// observe records the cumulative counts of both versions at now, and returns
// the gains of the bets that were placed with them.
func (c *comparison) observe(now time.Time, sums [2]counts) (failing, slow gains) {
	var delta [2]counts
	for i := range sums {
		delta[i] = sums[i].minus(c.lastSums[i])
		if !delta[i].valid() {
			delta[i] = counts{}
		}
		c.total[i].merge(delta[i])
		c.pending[i].merge(delta[i])
		c.block[i].merge(delta[i])
		c.evidence[i].merge(delta[i])
	}
	c.lastSums = sums
	// With little traffic an interval may hold calls of only one version. They
	// wait for calls of the other version; otherwise their evidence would be
	// lost.
	if pending := c.pending; pending[0].calls > 0 && pending[1].calls > 0 {
		failing = bet(pending[1].calls, pending[1].failed, pending[0].calls, pending[0].failed)
		c.failing.add(failing, maxFailingGain)
		c.pending = [2]counts{}
	}
	if now.Sub(c.blockStart) >= minBlockInterval {
		slow = c.endBlock(now)
	}
	return failing, slow
}

// addEvidence adds the calls since its last call to the odds of the new version. It
// returns the gains: of the proof, in which a call is bad if it failed or was slow, of the
// doubt, which is the proof with a high estimate of the old version's bad calls, and of the
// suspicion, in which only failed calls are bad.
//
// If the new version got less than the fraction minShare of the calls, good calls count for
// nothing: a fault that appears under load would not show. minShare is 0 before a share above
// the limit. From then on each call takes part in the next decision, which may be the verdict.
func (c *comparison) addEvidence(now time.Time, minShare float64) (proof, doubt, suspicion float64) {
	if minShare == 0 && now.Sub(c.evidenceStart) < evidenceInterval {
		return 0, 0, 0
	}
	bucket := callstats.Buckets // No response counts as slow while slowBucket is unknown.
	if c.slowBucket >= 0 {
		bucket = c.slowBucket + proofSlowBuckets
	}
	oldCalls, newCalls := c.evidence[oldSide], c.evidence[newSide]
	oldResponses, oldSlow := oldCalls.responsesOver(bucket)
	newResponses, newSlow := newCalls.responsesOver(bucket)
	// Calls without a duration may have been slow.
	oldTimed, newTimed := oldResponses+oldCalls.failed, newResponses+newCalls.failed
	oldBad, newBad := oldCalls.failed+oldSlow, newCalls.failed+newSlow
	c.badBase.add(now, oldTimed, oldBad)
	c.failedBase.add(now, oldCalls.calls, oldCalls.failed)
	c.spoiled[oldSide].add(oldTimed, oldBad)
	c.spoiled[newSide].add(newTimed, newBad)
	c.failed[oldSide].add(oldCalls.calls, oldCalls.failed)
	c.failed[newSide].add(newCalls.calls, newCalls.failed)
	expected := c.unexposed.spoiled
	proof = oddsGain(newTimed, newBad, max(minBase, expectedBad(expected, c.badBase.fraction())), provenFraction)
	doubt = oddsGain(newTimed, newBad, max(minBase, expectedBad(expected, c.badBase.highest(now))), provenFraction)
	base := max(minFailedBase, expectedBad(c.unexposed.failed, c.failedBase.highest(now)))
	suspicion = oddsGain(newCalls.calls, newCalls.failed, base, max(minSuspectFraction, min(base, provenFraction)))
	if float64(newCalls.calls) < minShare*float64(newCalls.calls+oldCalls.calls) {
		proof, doubt, suspicion = min(proof, 0), min(doubt, 0), min(suspicion, 0)
	}
	c.proof.add(proof)
	c.doubt.addDoubt(doubt)
	c.evidenceStart, c.evidence = now, [2]counts{}
	return proof, doubt, suspicion
}

// endBlock places the bet on the slow responses of the block, if both versions
// have responded, and starts the next block. What counts as slow is derived
// from the calls before the block, so that the bet is fair.
func (c *comparison) endBlock(now time.Time) (slow gains) {
	newResponses, newSlow := c.block[1].responsesOver(c.slowBucket)
	oldResponses, oldSlow := c.block[0].responsesOver(c.slowBucket)
	if c.slowBucket >= 0 {
		if newResponses == 0 || oldResponses == 0 {
			return slow // The block continues until both versions have responded.
		}
		slow = bet(newResponses, newSlow, oldResponses, oldSlow)
		c.slow.add(slow, maxSlowGain)
	}
	c.block = [2]counts{}
	c.blockStart = now
	if responses, _ := c.total[0].responsesOver(callstats.Buckets); responses >= minSlowBucketResponses {
		c.slowBucket = c.total[0].quantileBucket(slowQuantile) + slowMarginBuckets
	}
	return slow
}

// minSlowBucketResponses is how many responses of the old version are needed
// before slowBucket is set.
const minSlowBucketResponses = 20

// merge adds the counts o.
func (c *counts) merge(o counts) {
	c.calls += o.calls
	c.failed += o.failed
	for i, n := range o.latency {
		c.latency[i] += n
	}
}

// kind is what a comparison tests for. The values appear in reasons.
type kind string

const (
	kindFailing kind = "failing"
	kindSlow    kind = "slow"
)
