package processtest_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/processtest"
)

// BenchmarkProcesses calls an upstream directly and through two daemons, in turn, all
// of them processes. It reports the latencies in milliseconds, and the resident
// memory of an idle daemon and of a source replica.
func BenchmarkProcesses(b *testing.B) {
	g := processtest.New(b, program)
	applyToLatest(b, g, "base", kileleObjects(b)...)
	g.StartDaemon("d1", "zone-1")
	g.StartDaemon("d2", "zone-2")
	idle := g.StartDaemon("d3", "zone-3")
	_, direct := g.StartStandin("d1", "w1", "availability", "v1", "--work", "0s", "--slots", "64")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	measureCall := func(address string) (float64, int) {
		r, err := http.NewRequest(http.MethodGet, "http://"+address+"/internal/benches", nil)
		require.NoError(b, err)
		r.Header.Set(call.HeaderTeam, "services")
		begin := time.Now()
		response, err := client.Do(r)
		if err != nil {
			return 0, 0
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return float64(time.Since(begin).Nanoseconds()) / 1e6, response.StatusCode
	}
	outbound := g.OutboundAddress("d2")
	g.Eventually(20*time.Second, "successful call", func() bool { _, status := measureCall(outbound); return status == http.StatusOK })
	for b.Loop() {
		const calls = 8000
		var plain, mesh []float64
		for i := range calls {
			d, status := measureCall(direct)
			require.Equal(b, http.StatusOK, status)
			m, status := measureCall(outbound)
			require.Equal(b, http.StatusOK, status)
			if i > calls/10 {
				plain, mesh = append(plain, d), append(mesh, m)
			}
		}
		slices.Sort(plain)
		slices.Sort(mesh)
		for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			at := int(q * float64(len(plain)-1))
			b.ReportMetric(plain[at], "ms-direct-"+name)
			b.ReportMetric(mesh[at]-plain[at], "ms-added-"+name)
		}
		b.ReportMetric(0, "ns/op")
	}
	b.ReportMetric(resident(b, idle.PID()), "MB-idle-daemon")
	b.ReportMetric(resident(b, g.Source(0).PID()), "MB-source")
}

// resident returns the resident memory of a process in MiB, or 0 if /proc does not
// show it.
func resident(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(b, err)
	for _, line := range strings.Split(string(data), "\n") {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); n == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}
