// Package move decides how traffic moves to a new version of a service.
//
// The decision is a function of the present time, the evidence and a policy;
// nothing here reads a clock or does I/O.
package move

import (
	"math"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
)

// ratios are the odds, new version against old, at which bad calls are bet
// upon. The bets are mixed with equal weight.
var ratios = []float64{1.5, 2, 4, 16, 64}

// gains are the outcomes of one bet, as logarithms, one for each ratio.
type gains [5]float64

// bet takes in the calls of one interval. Each bad call is a bet: given that
// one happened among n new and m old calls, it is the new version's with a
// probability of n/(n+m) if both are alike.
func bet(newCalls, newBad, oldCalls, oldBad int64) gains {
	var g gains
	if newCalls <= 0 || oldCalls <= 0 || newBad+oldBad == 0 {
		return g
	}
	p := float64(newCalls) / float64(newCalls+oldCalls)
	for i, r := range ratios {
		q := r * p / (r*p + 1 - p)
		g[i] = float64(newBad)*math.Log(q/p) + float64(oldBad)*math.Log((1-q)/(1-p))
	}
	return g
}

func (g gains) plus(o gains) gains {
	for i := range g {
		g[i] += o[i]
	}
	return g
}

// wealth is the outcome of betting that bad calls are more likely in the new
// version than in the old one. A bet that has lost all begins anew, so that a
// fault that comes late is not weighed against the good times before it.
type wealth struct {
	logs   gains // Never below 0.
	losses int   // Intervals in which something was lost.
}

// add takes in the gains of one interval. No ratio gains more than most, a
// logarithm: bad calls come in bursts, so that those of one interval say less
// than as many on their own. Gains that are cut only make the bet more careful.
func (w *wealth) add(g gains, most float64) {
	lost := false
	for i := range w.logs {
		lost = lost || g[i] < 0
		w.logs[i] = max(w.logs[i]+min(g[i], most), 0)
	}
	if lost {
		w.losses++
	}
}

// strength returns the evidence as the logarithm of odds.
func (w *wealth) strength() float64 {
	sum := 0.0
	for _, l := range w.logs {
		sum += math.Exp(min(l, 700))
	}
	return math.Log(sum / float64(len(w.logs)))
}

// best returns the evidence at the ratio that fits best, as a logarithm. Of two
// parts of the same calls it tells how they share the evidence.
func (w *wealth) best() float64 { return slices.Max(w.logs[:]) }

// maxRestarts bounds how often a bet is taken to have begun anew.
const maxRestarts = 40

// discount is what the evidence is worth less, as a logarithm, since each new
// beginning is a new chance to take a good version back. A bet can begin anew
// only after a loss.
func (w *wealth) discount() float64 {
	return math.Log(float64(min(maxRestarts, 1+w.losses)))
}

// counts sums rows of one kind.
type counts struct {
	calls   int64
	failed  int64
	latency [callstats.Buckets]int64
}

func (c *counts) add(r callstats.Row) {
	c.calls += r.Calls
	c.failed += r.Failed
	for i, n := range r.Latency {
		c.latency[i] += n
	}
}

func (c counts) minus(o counts) counts {
	c.calls -= o.calls
	c.failed -= o.failed
	for i, n := range o.latency {
		c.latency[i] -= n
	}
	return c
}

// valid reports whether a difference of counts can be used. A daemon that
// starts anew counts from zero, so that sums can fall.
func (c counts) valid() bool {
	return c.calls >= 0 && c.failed >= 0 && !slices.ContainsFunc(c.latency[:], negative)
}

func negative(n int64) bool { return n < 0 }

// over returns the answered calls, and those that took longer than bucket b.
func (c counts) over(b int) (answered, slow int64) {
	for i, n := range c.latency {
		answered += n
		if i > b {
			slow += n
		}
	}
	return answered, slow
}

// quantileBucket returns the bucket below which a part q of the answers lies.
func (c counts) quantileBucket(q float64) int {
	answered, _ := c.over(callstats.Buckets)
	seen := int64(0)
	for i, n := range c.latency {
		seen += n
		if float64(seen) >= q*float64(answered) {
			return i
		}
	}
	return callstats.Buckets - 1
}

// slowQuantile is the part of the old version's answers that are taken as of
// ordinary speed.
const slowQuantile = 0.9

// margin is how many buckets, of half an octave each, slower than that an
// answer must be to count as slow.
const margin = 1

// minBlock is the shortest interval whose slow answers count as one bet.
const minBlock = 500 * time.Millisecond

// The most that one interval may gain, as logarithms. Failures are believed
// sooner than slowness, which a busy host shows in bursts.
var (
	maxFailing = math.Log(200)
	maxSlow    = math.Log(6)
)

// comparison compares the two versions on one route, or on one host of the new
// version.
type comparison struct {
	last       [2]counts // Old and new, at the last look.
	total      [2]counts
	waiting    [2]counts // Since the last bet on failing.
	block      [2]counts // Since the last bet on slowness.
	blockAt    time.Time
	failing    wealth
	slow       wealth
	slowBucket int // The bucket above which an answer is slow; -1 at first.
}

func newComparison() *comparison { return &comparison{slowBucket: -1} }

// observe takes in the sums of both versions at now. It returns what was won or
// lost by that.
func (t *comparison) observe(now time.Time, sums [2]counts) (failing, slow gains) {
	var step [2]counts
	for i := range sums {
		step[i] = sums[i].minus(t.last[i])
		if !step[i].valid() {
			step[i] = counts{}
		}
		t.total[i].merge(step[i])
		t.waiting[i].merge(step[i])
		t.block[i].merge(step[i])
	}
	t.last = sums
	// With little traffic an interval may hold calls of one version only. They
	// wait for the other's, or their evidence would be lost.
	if w := t.waiting; w[0].calls > 0 && w[1].calls > 0 {
		failing = bet(w[1].calls, w[1].failed, w[0].calls, w[0].failed)
		t.failing.add(failing, maxFailing)
		t.waiting = [2]counts{}
	}
	if now.Sub(t.blockAt) >= minBlock {
		slow = t.endBlock(now)
	}
	return failing, slow
}

// endBlock bets on the slow answers of the block. The bound between slow and
// ordinary ones is set by what came before it, so that the bets stay fair.
func (t *comparison) endBlock(now time.Time) (slow gains) {
	newAnswered, newSlow := t.block[1].over(t.slowBucket)
	oldAnswered, oldSlow := t.block[0].over(t.slowBucket)
	if t.slowBucket >= 0 {
		if newAnswered == 0 || oldAnswered == 0 {
			return slow // The block goes on until both versions have answered.
		}
		slow = bet(newAnswered, newSlow, oldAnswered, oldSlow)
		t.slow.add(slow, maxSlow)
	}
	t.block = [2]counts{}
	t.blockAt = now
	if answered, _ := t.total[0].over(callstats.Buckets); answered >= minSlowBucketCalls {
		t.slowBucket = t.total[0].quantileBucket(slowQuantile) + margin
	}
	return slow
}

// minSlowBucketCalls is how many answers of the old version are needed to tell slow
// from ordinary ones.
const minSlowBucketCalls = 20

func (c *counts) merge(o counts) {
	c.calls += o.calls
	c.failed += o.failed
	for i, n := range o.latency {
		c.latency[i] += n
	}
}

// kind names what speaks against a version.
type kind string

const (
	kindFailing kind = "failing"
	kindSlow    kind = "slow"
)
