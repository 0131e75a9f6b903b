package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/quota"
)

// platform is the configuration of the users' platform.
var platform = quota.Config{Window: 5 * time.Second, Over: 0.1, Slack: 20, Used: 0.75}

// tolerated is the bound of calls in a window of the platform.
func tolerated(rate, burst float64) float64 { return (rate*5+burst)*1.1 + 20 }

// However messages are lost, late or sent twice, holders are frozen or cut off, leaders
// change while the old ones still grant and limits change, the shares of all holders must not
// exceed the limit at any time, and no window may hold more calls than it allows.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rate := []float64{2, 10, 50, 200}[seed%4]
			burst := rate * float64(seed%3) / 2
			m := newModel(seed, 3+int(seed%17), platform.Limit(rate, burst))
			m.loss = 0.05 * float64(seed%4)
			m.run(3 * time.Second)
			m.granted = nil
			for range 25 {
				for _, h := range m.holders {
					switch m.random.IntN(8) {
					case 0:
						h.frozenUntil = m.now + time.Duration(m.random.Float64()*float64(5*time.Second))
					case 1:
						h.cutUntil = m.now + time.Duration(m.random.Float64()*float64(5*time.Second))
					case 2, 3:
						h.rate = 0
					default:
						h.rate = 8 * rate * m.random.Float64() / float64(len(m.holders))
					}
				}
				if m.random.IntN(5) == 0 {
					m.elect()
				}
				m.run(time.Duration(m.random.Float64() * float64(3*time.Second)))
			}
			require.NotEmpty(t, m.granted)
			require.Empty(t, m.excess)
			for _, window := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
				limit := float64(m.limit.Rate)/1000*window.Seconds() + float64(m.limit.Burst)/1000
				// Calls arrive in steps.
				require.LessOrEqual(t, float64(worstWindow(m.granted, window)), limit+float64(m.limit.Rate)/1000*step.Seconds()+1)
			}
			require.LessOrEqual(t, float64(worstWindow(m.granted, 5*time.Second)), tolerated(rate, burst))
		})
	}
}

// A lower limit must bind soon after the leader has it, also for leases from before.
func TestLowerLimitBinds(t *testing.T) {
	m := newModel(1, 20, platform.Limit(200, 100))
	for _, h := range m.holders {
		h.rate = 20
	}
	m.run(10 * time.Second)
	m.limit = platform.Limit(20, 10)
	m.run(5 * time.Second)
	m.granted = nil
	m.run(20 * time.Second)
	require.LessOrEqual(t, float64(worstWindow(m.granted, 5*time.Second)), tolerated(20, 10))
}

// Calls within the limit must not be refused because they arrive at random at several daemons.
// At seven times the usual demand, what is granted must not fall below the limit either. Small
// teams have callers on few hosts; the figures for all hosts are only logged, with -v.
func TestUsualDemandIsGranted(t *testing.T) {
	for _, rate := range []float64{2, 10, 50, 500} {
		for _, burst := range []float64{rate / 10, rate} {
			daemons := 3
			if rate >= 500 {
				daemons = 79
			}
			usual := newDemand(5, rate, burst, rate/1.6, daemons)
			over := newDemand(4, rate, burst, 7*rate/1.6, daemons)
			t.Logf("rate %v burst %v: usual on %d: %v; seven times: %v", rate, burst, daemons, usual, over)
			if testing.Verbose() {
				t.Logf("on 79: usual: %v; seven times: %v", newDemand(3, rate, burst, rate/1.6, 79), newDemand(4, rate, burst, 7*rate/1.6, 79))
			}
			require.Less(t, usual.refusedShare(), 0.015)
			require.Greater(t, float64(len(over.granted)), 0.9*rate*over.minutes*60)
			require.LessOrEqual(t, float64(worstWindow(over.granted, 5*time.Second)), over.tolerated)
		}
	}
}

// demandRun is the result of some minutes of demand on a calm network.
type demandRun struct {
	*model
	tolerated float64
	minutes   float64
}

// newDemand runs calls at a rate over a number of 79 daemons, after a start-up.
func newDemand(seed uint64, rate, burst, demand float64, daemons int) demandRun {
	m := newModel(seed, 79, platform.Limit(rate, burst))
	for _, h := range m.holders[:daemons] {
		h.rate = demand / float64(daemons)
	}
	m.run(40 * time.Second)
	m.granted, m.refused, m.unknown, m.sent, m.bytes = nil, 0, 0, 0, 0
	minutes := 1.0
	if rate <= 10 {
		minutes = 5
	}
	m.run(time.Duration(minutes * float64(time.Minute)))
	return demandRun{model: m, tolerated: tolerated(rate, burst), minutes: minutes}
}

// refusedShare returns the fraction of the calls that were not granted.
func (r demandRun) refusedShare() float64 {
	lost := float64(r.refused + r.unknown)
	return lost / math.Max(1, lost+float64(len(r.granted)))
}

// String returns the figures of the run.
func (r demandRun) String() string {
	return fmt.Sprintf("refused %.4f (%d unknown), worst window %d of %.0f, %.1f messages/s of %.0f bytes with their replies",
		r.refusedShare(), r.unknown, worstWindow(r.granted, 5*time.Second), r.tolerated, float64(r.sent)/r.minutes/60, float64(r.bytes)/math.Max(1, float64(r.sent)))
}
