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
	counts [2]counts
}

// observe records the cumulative counts at now, and drops samples that the window no
// longer needs.
func (a *alarm) observe(now time.Time, sums [2]counts) {
	a.samples = append(a.samples, sample{at: now, counts: sums})
	for len(a.samples) > 2 && now.Sub(a.samples[1].at) >= alarmWindow {
		a.samples = a.samples[1:]
	}
}

// raised reports whether at least the fraction rate of the new version's recent calls
// failed beyond the fraction that the old version fails, and returns the reason. The old
// version's fraction is that since the move started or the recent one, whichever is
// higher: what both versions depend on may fail for a moment. A rate of 0 turns the alarm
// off.
func (a *alarm) raised(rate float64) (bool, string) {
	if rate <= 0 || len(a.samples) < 2 {
		return false, ""
	}
	first, last := a.samples[0].counts, a.samples[len(a.samples)-1].counts
	calls, failed := last[newSide].calls-first[newSide].calls, last[newSide].failed-first[newSide].failed
	oldCalls, oldFailed := last[oldSide].calls-first[oldSide].calls, last[oldSide].failed-first[oldSide].failed
	base := max(failureRate(last[oldSide].calls, last[oldSide].failed), failureRate(oldCalls, oldFailed))
	excess := float64(failed) - base*float64(calls)
	if excess < minAlarmFailures || excess < rate*(1-base)*float64(calls) {
		return false, ""
	}
	return true, fmt.Sprintf("the new version failed %d of its last %d calls, the old one %d of %d, and %d of all its %d",
		failed, calls, oldFailed, oldCalls, last[oldSide].failed, last[oldSide].calls)
}

// failureRate returns the fraction of calls that failed, or 0 without calls.
func failureRate(calls, failed int64) float64 {
	if calls <= 0 {
		return 0
	}
	return float64(failed) / float64(calls)
}
