package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The fraction reported to a parent counts only calls that are at least as urgent
// as the parent, and each caller once: retries and nested calls are not offered
// again.
func TestGrantedPermilleCountsUrgentFirstAttempts(t *testing.T) {
	var a admissionRates
	now := time.Unix(1000, 0)
	for i := range 100 {
		urgent, other := request{priority: 1}, request{priority: 3}
		a.recordOffered(now, urgent)
		a.recordOffered(now, other)
		a.recordOffered(now, request{priority: 1, retry: true})
		a.recordOffered(now, request{priority: 1, nested: true})
		if i%2 == 0 {
			a.recordGranted(now, urgent)
		}
	}
	require.Equal(t, 500, a.grantedPermille(1))
	require.Equal(t, 500, a.grantedPermille(2))
	require.Equal(t, 250, a.grantedPermille(3))
	require.Zero(t, a.grantedPermille(0), "no call of this priority was offered")
}

// A service with free capacity reports it soon: old rejections lose their weight.
func TestAdmissionCountsDecay(t *testing.T) {
	var a admissionRates
	now := time.Unix(1000, 0)
	for range 100 {
		a.recordOffered(now, request{})
	}
	require.Equal(t, 1, a.grantedPermille(0))
	now = now.Add(10 * admissionDecayTime)
	for range 100 {
		a.recordOffered(now, request{})
		a.recordGranted(now, request{})
	}
	require.Greater(t, a.grantedPermille(0), 990)
}

// A route admits the reported fraction of its calls, spread evenly, and all calls
// once reports stop. Other routes are not affected.
func TestShedderAdmitsReportedFraction(t *testing.T) {
	var s shedder
	now := time.Unix(1000, 0)
	admitted := 0
	for range 1000 {
		s.reportAdmission(now, "r", 0.5)
		if s.admits(now, "r", false) {
			admitted++
		}
	}
	require.InDelta(t, 1000*(0.5-shedMargin), admitted, 20)
	require.True(t, s.admits(now, "another", false))
	require.True(t, s.admits(now.Add(2*reportTTL), "r", false))
}

// A strongly shed route still admits some calls. Without any, it would get no
// report that there is capacity again.
func TestShedderAlwaysAdmitsSome(t *testing.T) {
	var s shedder
	now := time.Unix(1000, 0)
	admitted := 0
	for range 1000 {
		s.reportAdmission(now, "r", 0.001)
		if s.admits(now, "r", false) {
			admitted++
		}
	}
	require.Greater(t, admitted, 50)
}

// Callers that are rejected and retry twice are not admitted more often in total
// than the reported fraction. If each attempt counted, 0.78 of the callers would
// be admitted.
func TestShedderCountsCallersNotAttempts(t *testing.T) {
	var s shedder
	now := time.Unix(1000, 0)
	admitted := 0
	for range 1000 {
		s.reportAdmission(now, "r", 0.4)
		for attempt := range 3 {
			if s.admits(now, "r", attempt > 0) {
				admitted++
				break
			}
		}
	}
	require.InDelta(t, 1000*(0.4-shedMargin), admitted, 40)
}

// Few calls pass on a strongly shed route, so that reports come only every two
// seconds. That is enough to keep shedding between two reports, and to admit all
// calls again soon after there is capacity.
func TestShedderHoldsBetweenRareReports(t *testing.T) {
	var s shedder
	now := time.Unix(1000, 0)
	// admittedIn returns how many of 20 calls in each second are admitted.
	admittedIn := func(seconds int, reported float64) int {
		admitted := 0
		for second := range seconds {
			if second%2 == 0 {
				s.reportAdmission(now, "r", reported)
			}
			for range 20 {
				if s.admits(now, "r", false) {
					admitted++
				}
				now = now.Add(50 * time.Millisecond)
			}
		}
		return admitted
	}
	admittedIn(10, 0.1)
	require.LessOrEqual(t, admittedIn(20, 0.1), 45, "of 400")
	admittedIn(10, 1)
	require.GreaterOrEqual(t, admittedIn(10, 1), 180, "of 200")
}
