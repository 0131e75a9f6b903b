package move

import (
	"fmt"
	"time"
)

const (
	// alarmWindow is the length of the sliding window of recent calls.
	alarmWindow = 1500 * time.Millisecond
	// minAlarmFailures is the number of failed calls in the window below which
	// the alarm is not raised.
	minAlarmFailures = 6
	// maxBaselineRatio bounds the old version's failure rate, as a fraction of
	// Policy.AlarmRate. Above it the alarm is not raised.
	maxBaselineRatio = 1.0 / 3
)

// alarm detects a new version that fails many of its recent calls. It covers
// two cases that the sequential comparison detects slowly. At a large share of
// the new version a bad call carries little evidence, because most calls are
// the new version's anyway. A fault that appears only under load appears at a
// large share.
//
// The new version's recent calls are compared with all calls of the old version
// since the move started. A failure of a dependency that both versions share
// therefore raises the alarm too.
type alarm struct {
	samples []sample // Cumulative counts of the new version, oldest first.
}

// sample holds cumulative counts at one time.
type sample struct {
	at     time.Time
	calls  int64
	failed int64
}

// observe records the cumulative counts of the new version at now, and drops
// samples that the window no longer needs.
func (a *alarm) observe(now time.Time, sum counts) {
	a.samples = append(a.samples, sample{at: now, calls: sum.calls, failed: sum.failed})
	for len(a.samples) > 2 && now.Sub(a.samples[1].at) >= alarmWindow {
		a.samples = a.samples[1:]
	}
}

// raised reports whether at least the fraction rate of the new version's recent
// calls failed while the old version's failure rate is much lower, and returns
// the reason. A rate of 0 turns the alarm off.
func (a *alarm) raised(rate float64, old counts) (bool, string) {
	if rate <= 0 || len(a.samples) < 2 {
		return false, ""
	}
	first, last := a.samples[0], a.samples[len(a.samples)-1]
	calls, failed := last.calls-first.calls, last.failed-first.failed
	if failed < minAlarmFailures || float64(failed) < rate*float64(calls) || float64(old.failed) > maxBaselineRatio*rate*float64(old.calls) {
		return false, ""
	}
	return true, fmt.Sprintf("the new version failed %d of its last %d calls, the old one %d of all its %d", failed, calls, old.failed, old.calls)
}
