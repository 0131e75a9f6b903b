package move

import (
	"fmt"
	"time"
)

const (
	// alarmWindow is the time that the alarm looks back.
	alarmWindow = 1500 * time.Millisecond
	// minAlarmFailures is how many failed calls it takes.
	minAlarmFailures = 6
	// maxAlarmBaseline is the part of the alarm's bound below which the old version's
	// failures must lie.
	maxAlarmBaseline = 1.0 / 3
)

// alarm notices a new version that fails many of its calls. It answers what the
// bets are slow at: the larger the new version's share, the less each bad call
// says, since it is the more likely to be the new version's anyway; and a fault
// that shows only under load shows at a large share. It compares with all that
// is known of the old version, so that a dependency of both that fails sets it
// off too.
type alarm struct {
	samples []sample // Sums of the new version, the oldest first.
}

type sample struct {
	at     time.Time
	calls  int64
	failed int64
}

// take takes in the sums of the new version at now.
func (a *alarm) take(now time.Time, sum counts) {
	a.samples = append(a.samples, sample{at: now, calls: sum.calls, failed: sum.failed})
	for len(a.samples) > 2 && now.Sub(a.samples[1].at) >= alarmWindow {
		a.samples = a.samples[1:]
	}
}

// raised reports whether the new version failed at least a part of its recent
// calls, and the old one much less of its own.
func (a *alarm) raised(part float64, old counts) (bool, string) {
	if part <= 0 || len(a.samples) < 2 {
		return false, ""
	}
	first, last := a.samples[0], a.samples[len(a.samples)-1]
	calls, failed := last.calls-first.calls, last.failed-first.failed
	if failed < minAlarmFailures || float64(failed) < part*float64(calls) || float64(old.failed) > maxAlarmBaseline*part*float64(old.calls) {
		return false, ""
	}
	return true, fmt.Sprintf("the new version failed %d of its last %d calls, the old one %d of all its %d", failed, calls, old.failed, old.calls)
}
