package move_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// limited is a policy with a limit for versions that are not proven.
var limited = move.Policy{Steps: []int{90, 500, 900}, ExposedFraction: 0.1, ExposedCalls: 50, HoldFraction: 0.46}

// exposedMove returns a move of 16 s from start, at a share in thousandths, that has been
// given 100 calls.
func exposedMove(share int) config.Move {
	m := runningMove(share)
	m.By, m.Touched = start.Add(16*time.Second), 100
	return m
}

// A daemon that has just started beside an upstream of the new version, or is cut off from
// the upstreams of the old one, sent the new version all calls at whatever share.
func TestNewVersionGetsItsShareWhateverIsKnown(t *testing.T) {
	both := move.Knowledge{OldReady: true, NewReady: true, OthersKnown: true}
	for _, test := range []struct {
		name  string
		known move.Knowledge
		// reached is the number of calls that have reached the service before.
		reached int
		want    string
		reason  move.Reason
	}{
		{"within the share", both, 99, "v2", move.ReasonShare},
		{"no call has reached the service", both, 0, "v1", move.ReasonAllowance},
		{"the old version is gone", move.Knowledge{NewReady: true, OthersKnown: true}, 99, "v2", move.ReasonShare},
		{"the old version is gone, no call has reached the service", move.Knowledge{NewReady: true, OthersKnown: true}, 0, "v1", move.ReasonNotKnown},
		{"nobody else is known", move.Knowledge{NewReady: true}, 0, "v1", move.ReasonNotKnown},
		{"the new version is not ready", move.Knowledge{OldReady: true, OthersKnown: true}, 99, "v1", move.ReasonNewGone},
		{"neither is ready", move.Knowledge{}, 0, "v1", move.ReasonNotKnown},
	} {
		m := exposedMove(90)
		e := move.NewExposure(limited, func() float64 { return 0.99 }) // The share allows a call at once.
		for range test.reached {
			e.Record(m, "v1", true, true)
		}
		version, reason := e.Choose(start, m, "r", test.known)
		require.Equal(t, test.want, version, test.name)
		require.Equal(t, test.reason, reason, test.name)
	}
	e := move.NewExposure(limited, func() float64 { return 0.99 })
	version, _ := e.Choose(start, exposedMove(0), "r", move.Knowledge{NewReady: true, OthersKnown: true})
	require.Equal(t, "v1", version, "a version that was rolled back")
}

// Without a limit, the share is kept as long as an upstream of the old version is ready.
func TestShareWithoutLimit(t *testing.T) {
	e := move.NewExposure(move.Policy{}, func() float64 { return 0.5 })
	sent := 0
	for range 1000 {
		if version, _ := e.Choose(start, runningMove(200), "r", move.Knowledge{OldReady: true, NewReady: true}); version == "v2" {
			sent++
		}
	}
	require.InDelta(t, 200, sent, 1)
	for _, othersKnown := range []bool{false, true} {
		e := move.NewExposure(move.Policy{}, func() float64 { return 0 })
		version, _ := e.Choose(start, runningMove(5), "r", move.Knowledge{NewReady: true, OthersKnown: othersKnown})
		require.Equal(t, othersKnown, version == "v2")
	}
}

// Many daemons make few calls each and restart again and again. What they send an unproven
// version adds up to no more than the fleet's allowance, at any share.
func TestAllowancesOfRestartingDaemonsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, share := range []int{90, 500} {
		for _, daemons := range []int{9, 281} {
			exposures := make([]*move.Exposure, daemons)
			m, calls, sent := exposedMove(share), 0, 0
			for i := range 4000 {
				d := random.IntN(daemons)
				if exposures[d] == nil || random.IntN(40) == 0 {
					exposures[d] = move.NewExposure(limited, random.Float64)
				}
				known := move.Knowledge{OldReady: random.IntN(2) == 0, NewReady: true, OthersKnown: true}
				// At the share above the limit, the time is the deadline: nothing is foreseen.
				now := start.Add(time.Duration(i+1) * 16 * time.Second / 4000)
				if share > 100 {
					now = m.By
				}
				version, _ := exposures[d].Choose(now, m, "r", known)
				reached := version == "v2" || known.OldReady
				exposures[d].Record(m, version, reached, true)
				if reached {
					calls++
				}
				if version == "v2" {
					sent++
				}
			}
			limit := 0.1*float64(calls) + 50
			if share > 100 {
				limit += 0.6 * 50
			}
			require.LessOrEqual(t, float64(sent), limit, "%d daemons at %d", daemons, share)
			require.Greater(t, float64(sent), 0.05*float64(calls), "%d daemons at %d", daemons, share)
		}
	}
}

// A daemon out of touch went on sending a version its share after it had been rolled back.
func TestProvenShareEndsWithoutContact(t *testing.T) {
	m := exposedMove(900)
	e := move.NewExposure(limited, func() float64 { return 0 })
	contact := start.Add(10 * time.Second)
	known := move.Knowledge{OldReady: true, NewReady: true, Contact: contact}
	sent := 0
	for i := range 100 {
		version, _ := e.Choose(contact.Add(time.Duration(i)*100*time.Millisecond), m, "r", known)
		e.Record(m, version, true, true)
		if version == "v2" {
			sent++
		}
	}
	require.InDelta(t, 28, sent, 3, "0.9 of 10 calls a second for the 3 s after the contact")
}

// A call of an earlier move that ended during a newer one of the service made the daemon
// forget the calls of the newer move.
func TestLateCallOfEarlierMoveIsIgnored(t *testing.T) {
	earlier, m := exposedMove(90), exposedMove(90)
	earlier.Start = start.Add(-time.Minute)
	e := move.NewExposure(limited, func() float64 { return 0.99 })
	for range 20 {
		e.Record(m, "v1", true, true)
	}
	known := move.Knowledge{OldReady: true, NewReady: true}
	version, _ := e.Choose(start, m, "r", known)
	require.Equal(t, "v2", version)
	e.Record(earlier, "v2", true, true)
	version, reason := e.Choose(start, m, "r", known)
	require.Equal(t, "v1", version, "the call that was sent before counts")
	require.Equal(t, move.ReasonRest, reason)
}

// Attempts after the first are calls of the new version, too.
func TestRetriesCountForNewVersion(t *testing.T) {
	m := exposedMove(90)
	e := move.NewExposure(limited, func() float64 { return 0.99 })
	for range 20 {
		e.Record(m, "v1", true, true)
	}
	onlyNew := move.Knowledge{NewReady: true}
	version, _ := e.Choose(start, m, "r", onlyNew)
	require.Equal(t, "v2", version)
	version, ok := e.Again(start, m, move.Knowledge{OldReady: true, NewReady: true}, "v2")
	require.True(t, ok)
	require.Equal(t, "v1", version, "the old version serves what the new one did not")
	version, ok = e.Again(start, m, onlyNew, "v2")
	require.True(t, ok, "2.99 calls are allowed")
	require.Equal(t, "v2", version)
	_, ok = e.Again(start, m, onlyNew, "v2")
	require.False(t, ok)
	e.Record(m, "v2", false, false)
	_, ok = e.Again(start, m, onlyNew, "v2")
	require.True(t, ok, "an attempt that did not reach the version does not count")
	version, ok = e.Again(start, m, move.Knowledge{}, "v1")
	require.True(t, ok)
	require.Equal(t, "v1", version)
}

// A call during a move chooses a version and records the outcome.
func BenchmarkChooseAndRecord(b *testing.B) {
	m, e := exposedMove(90), move.NewExposure(limited, func() float64 { return 0.5 })
	known := move.Knowledge{OldReady: true, NewReady: true, OthersKnown: true}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			version, _ := e.Choose(start, m, "r", known)
			e.Record(m, version, true, true)
		}
	})
}

// The sums of what many daemons send follow the share also when each makes few calls.
func ExampleExposure() {
	policy := move.Policy{Steps: []int{90, 900, 950}, ExposedFraction: 0.1, ExposedCalls: 50}
	exposure := move.NewExposure(policy, func() float64 { return 0.5 })
	m := config.Move{Service: "stock", From: "v1", To: "v2", Share: 90, State: config.MoveRunning}
	known := move.Knowledge{OldReady: true, NewReady: true}
	sent := map[string]int{}
	for range 100 {
		version, _ := exposure.Choose(m.Start, m, "r", known)
		exposure.Record(m, version, true, true) // The call has reached an upstream.
		sent[version]++
	}
	fmt.Println(sent["v1"], sent["v2"])
	// Output: 91 9
}
