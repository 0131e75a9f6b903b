package move

import (
	"fmt"
	"time"
)

const (
	// alarmWindow is the length of the sliding window of recent calls.
	alarmWindow = 1500 * time.Millisecond
	// minAlarmFailures is the number of failed calls in the window, beyond those
	// that the old version would have failed, below which the alarm is not raised.
	minAlarmFailures = 6
)

// alarm detects a new version that fails many more of its recent calls than the old
// one. It covers two cases that the sequential comparison detects slowly. At a large
// share of the new version a bad call carries little evidence, because most calls are
// the new version's anyway. A fault that appears only under load appears at a large
// share.
type alarm struct {
	samples []sample // Oldest first.
}

// sample holds the cumulative counts of both versions at one time.
type sample struct {
	at     time.Time
	routes map[string][2]tally // Calls and failures.
}

// total returns the sum over all routes.
func (s sample) total() (sum [2]tally) {
	for _, c := range s.routes {
		for i := range sum {
			sum[i].add(c[i].calls, c[i].bad)
		}
	}
	return sum
}

// observe records the cumulative counts of each route at now, and drops samples that the
// window no longer needs.
func (a *alarm) observe(now time.Time, routes map[string]*comparison) {
	s := sample{at: now, routes: make(map[string][2]tally, len(routes))}
	for name, c := range routes {
		s.routes[name] = [2]tally{{c.total[oldSide].calls, c.total[oldSide].failed}, {c.total[newSide].calls, c.total[newSide].failed}}
	}
	a.samples = append(a.samples, s)
	for len(a.samples) > 2 && now.Sub(a.samples[1].at) >= alarmWindow {
		a.samples = a.samples[1:]
	}
}

// raised reports whether at least the fraction rate of the new version's recent calls
// failed beyond those that the old version would have failed on the same routes, and returns
// the reason. The old version's fraction of failed calls is that since the move started or the
// recent one, whichever gives more: what both versions depend on may fail for a moment. A rate
// of 0 turns the alarm off.
func (a *alarm) raised(rate float64) (bool, string) {
	if rate <= 0 || len(a.samples) < 2 {
		return false, ""
	}
	first, last := a.samples[0], a.samples[len(a.samples)-1]
	var recent [2]tally
	expected, expectedRecent := 0.0, 0.0
	for name, sum := range last.routes {
		before := first.routes[name]
		var c [2]tally
		for i := range c {
			c[i] = tally{sum[i].calls - before[i].calls, sum[i].bad - before[i].bad}
			recent[i].add(c[i].calls, c[i].bad)
		}
		expected += float64(c[newSide].calls) * failureRate(sum[oldSide])
		expectedRecent += float64(c[newSide].calls) * failureRate(c[oldSide])
	}
	expected = max(expected, expectedRecent)
	excess := float64(recent[newSide].bad) - expected
	if excess < minAlarmFailures || excess < rate*(float64(recent[newSide].calls)-expected) {
		return false, ""
	}
	sum := last.total()[oldSide]
	return true, fmt.Sprintf("the new version failed %d of its last %d calls, the old one %d of %d, and %d of all its %d",
		recent[newSide].bad, recent[newSide].calls, recent[oldSide].bad, recent[oldSide].calls, sum.bad, sum.calls)
}

// failureRate returns the fraction of calls that failed, or 0 without calls.
func failureRate(t tally) float64 {
	if t.calls <= 0 {
		return 0
	}
	return float64(t.bad) / float64(t.calls)
}
