package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The part told to a parent counts calls that are at least as urgent, and the
// first attempts of each.
func TestGrantedPart(t *testing.T) {
	var g admissionRates
	now := time.Unix(1000, 0)
	for i := range 100 {
		urgent, other := request{priority: 1}, request{priority: 3}
		g.offer(now, urgent)
		g.offer(now, other)
		g.offer(now, request{priority: 1, retry: true})
		g.offer(now, request{priority: 1, nested: true})
		if i%2 == 0 {
			g.grant(now, urgent)
		}
	}
	require.Equal(t, 500, g.part(1))
	require.Equal(t, 500, g.part(2))
	require.Equal(t, 250, g.part(3))
	require.Zero(t, g.part(0), "no such call came")
}

// Counts are forgotten, so that a service that has room again says so.
func TestGrantsAreForgotten(t *testing.T) {
	var g admissionRates
	now := time.Unix(1000, 0)
	for range 100 {
		g.offer(now, request{})
	}
	require.Equal(t, 1, g.part(0))
	now = now.Add(10 * admissionDecay)
	for range 100 {
		g.offer(now, request{})
		g.grant(now, request{})
	}
	require.Greater(t, g.part(0), 990)
}

// A route lets through as much as found room, spread evenly, and all of it once
// nothing is told any more.
func TestYielding(t *testing.T) {
	var y shedder
	now := time.Unix(1000, 0)
	passed := 0
	for range 1000 {
		y.tell(now, "r", 0.5)
		if y.admits(now, "r", false) {
			passed++
		}
	}
	require.InDelta(t, 1000*(0.5-shedMargin), passed, 20)
	require.True(t, y.admits(now, "another", false))
	require.True(t, y.admits(now.Add(2*shedLifetime), "r", false))
}

// A route that is held back far lets some calls through, by which it is seen
// when there is room again.
func TestYieldingNeverStopsAll(t *testing.T) {
	var y shedder
	now := time.Unix(1000, 0)
	passed := 0
	for range 1000 {
		y.tell(now, "r", 0.001)
		if y.admits(now, "r", false) {
			passed++
		}
	}
	require.Greater(t, passed, 50)
}

// Callers that were turned away and come back twice pass no more often in all
// than the part says. Counted by attempts, 0.78 of them would.
func TestYieldingCountsCallers(t *testing.T) {
	var y shedder
	now := time.Unix(1000, 0)
	passed := 0
	for range 1000 {
		y.tell(now, "r", 0.4)
		for attempt := range 3 {
			if y.admits(now, "r", attempt > 0) {
				passed++
				break
			}
		}
	}
	require.InDelta(t, 1000*(0.4-shedMargin), passed, 40)
}

// Word that comes only every two seconds, since few calls pass, is enough to go
// on holding back, and enough to let all through again soon after there is room.
func TestYieldingWithoutWordForAWhile(t *testing.T) {
	var y shedder
	now := time.Unix(1000, 0)
	seconds := func(count int, part float64) int {
		passed := 0
		for s := range count {
			if s%2 == 0 {
				y.tell(now, "r", part)
			}
			for range 20 {
				if y.admits(now, "r", false) {
					passed++
				}
				now = now.Add(50 * time.Millisecond)
			}
		}
		return passed
	}
	seconds(10, 0.1)
	require.LessOrEqual(t, seconds(20, 0.1), 45, "of 400")
	seconds(10, 1)
	require.GreaterOrEqual(t, seconds(10, 1), 180, "of 200")
}
