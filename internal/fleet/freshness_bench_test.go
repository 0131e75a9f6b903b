package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// BenchmarkFreshness measures the age of the freshness of all daemons in an idle fleet with a
// configuration that has API keys, by the depth of the tree, and the control traffic with
// and without such a configuration.
func BenchmarkFreshness(b *testing.B) {
	const daemons, duration = 24, 10 * time.Second
	for name, shape := range map[string]directory.Shape{"flat": {Relays: allRelays}, "two-levels": {Relays: 1}, "deep": {Relays: 1, Fanout: 2}} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/keyed=%v", name, keyed), func(b *testing.B) {
				f, err := fleet.Start(fleet.Config{DataFolder: b.TempDir(), Shape: shape, KeyValidity: keyValidity})
				require.NoError(b, err)
				b.Cleanup(f.Stop)
				for i := range daemons {
					_, err := f.StartDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)])
					require.NoError(b, err)
				}
				r := replaceConfig(b, f, config.Config{Version: 1, Keyed: keyed})
				require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
					return converged(f, r) && directoriesComplete(f) && (!keyed || freshnessKnown(f))
				}))
				time.Sleep(2 * time.Second)
				for b.Loop() {
					measureFreshness(b, f, duration, keyed)
				}
			})
		}
	}
}

// freshnessKnown reports whether each daemon has a freshness time.
func freshnessKnown(f *fleet.Fleet) bool {
	for _, d := range f.Daemons() {
		if _, known := d.Hub().FreshAt(); !known {
			return false
		}
	}
	return true
}

// measureFreshness reports the median and the largest age of the daemons' freshness, sampled
// every 10 ms, and the control traffic meanwhile.
func measureFreshness(b *testing.B, f *fleet.Fleet, duration time.Duration, keyed bool) {
	var ages []time.Duration
	daemonsBefore, sourceBefore := traffic(f)
	cpuBefore := cpuTime()
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(10 * time.Millisecond) {
		for _, d := range f.Daemons() {
			if keyed {
				ages = append(ages, freshnessAge(d))
			}
		}
	}
	cpuAfter := cpuTime()
	daemonsAfter, sourceAfter := traffic(f)
	if keyed {
		slices.Sort(ages)
		asked := int64(0)
		for _, d := range f.Daemons() {
			asked += d.Counters().Get("feed_freshness_pulls")
		}
		b.ReportMetric(float64(ages[len(ages)/2].Milliseconds()), "ms-age-median")
		b.ReportMetric(float64(ages[len(ages)*99/100].Milliseconds()), "ms-age-p99")
		b.ReportMetric(float64(ages[len(ages)-1].Milliseconds()), "ms-age-max")
		b.ReportMetric(float64(asked), "freshness-pulls")
	}
	b.ReportMetric(float64(daemonsAfter-daemonsBefore)/duration.Seconds()/float64(len(f.Daemons())), "B/s/daemon")
	b.ReportMetric(float64(sourceAfter-sourceBefore)/duration.Seconds(), "B/s-source")
	b.ReportMetric(float64(cpuAfter-cpuBefore)/float64(duration)*100, "%core")
	b.ReportMetric(0, "ns/op")
}
