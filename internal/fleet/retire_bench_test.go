package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
)

// BenchmarkRetire measures how long the leave of an upstream waits for its record, one
// after the other, with three replicas that sync to disk. It reports the median and the
// 99th percentile in milliseconds.
func BenchmarkRetire(b *testing.B) {
	f, err := fleet.Start(fleet.Config{DataFolder: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(f.Stop)
	d, err := f.StartDaemon("d0", zones[0])
	require.NoError(b, err)
	require.True(b, fleet.Wait(b.Context(), eventuallyTimeout, d.Ready))
	start := time.Now().UnixMilli()
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		begin := time.Now()
		require.NoError(b, d.Retire(fmt.Sprintf("w%d", i), start))
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(took[len(took)/2]), "p50-ms")
	b.ReportMetric(milliseconds(took[len(took)*99/100]), "p99-ms")
}
