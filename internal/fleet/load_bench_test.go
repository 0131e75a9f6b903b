package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// startLoadFleet starts one daemon for each of upstreams, with that stand-in of the
// service "availability" as its local upstream, and a last daemon without one. It
// waits until the last daemon knows all upstreams, and returns its address for
// callers.
func startLoadFleet(b *testing.B, upstreams ...standin.Config) (*fleet.Fleet, string) {
	f := startBenchFleet(b, len(upstreams)+1, fleet.Config{Zones: []string{"sokoine"}})
	o, err := config.MakeObject(config.Contract{Team: "services", Limit: "900000000 bench-credits"})
	require.NoError(b, err)
	benchApply(b, f, "room", o)
	for i, u := range upstreams {
		u.ID, u.Service, u.Version, u.Connections = fmt.Sprintf("w%d", i), "availability", "v1", 512
		_, err := f.StartStandin(fmt.Sprintf("d%d", i), u)
		require.NoError(b, err)
	}
	last := f.Daemon(fmt.Sprintf("d%d", len(upstreams)))
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		return len(last.Hub().View().Targets("availability", "v1")) == len(upstreams) && converged(f, 2)
	}))
	return f, last.Addresses().Outbound
}

// loadOutcome sums up calls. Its add may be called concurrently; quantile may be
// called once all calls have ended.
type loadOutcome struct {
	mutex     sync.Mutex
	succeeded int
	rejected  map[string]int // By reason; "error" without a response.
	latencies []float64      // Of the successful calls, in milliseconds.
}

// add records a call by its HTTP status, the reason of an error response and its
// latency.
func (o *loadOutcome) add(status int, reason string, latency time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if status == http.StatusOK {
		o.succeeded++
		o.latencies = append(o.latencies, latency.Seconds()*1e3)
		return
	}
	o.rejected[reason]++
}

// quantile returns the q-quantile of the latencies in milliseconds. At least one
// call must have succeeded.
func (o *loadOutcome) quantile(q float64) float64 {
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// offerLoad sends calls at a fixed rate (calls per second) for span, without waiting
// for earlier calls (open loop), and returns when all have ended. Call i goes to
// the address that to returns; timeout is the caller's.
func offerLoad(rate float64, span, timeout time.Duration, to func(i int) string) *loadOutcome {
	o := &loadOutcome{rejected: map[string]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < span; i++ {
		if wait := time.Duration(float64(i)/rate*float64(time.Second)) - time.Since(begin); wait > 0 {
			time.Sleep(wait)
		}
		group.Go(func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+to(i)+"/internal/benches", nil)
			if err != nil {
				return
			}
			r.Header.Set(call.HeaderTeam, "services")
			r.Header.Set(call.HeaderTimeout, timeout.String())
			callBegin := time.Now()
			response, err := client.Do(r)
			if err != nil {
				o.add(0, "error", 0)
				return
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			o.add(response.StatusCode, response.Header.Get(call.HeaderReason), time.Since(callBegin))
		})
	}
	group.Wait()
	return o
}

// BenchmarkGoodput offers an upstream 0.8 to 4 times its capacity and reports the
// calls that succeed, as a percentage of the highest rate so far, and their
// latency.
func BenchmarkGoodput(b *testing.B) {
	const (
		slots    = 8
		work     = 20 * time.Millisecond
		capacity = slots / 0.020
		span     = 4 * time.Second
		timeout  = 200 * time.Millisecond
	)
	for b.Loop() {
		peak := 0.0
		for _, multiple := range []float64{0.8, 1, 2, 4} {
			f, outbound := startLoadFleet(b, standin.Config{Slots: slots, Work: work})
			offerLoad(capacity/2, time.Second, timeout, func(int) string { return outbound }) // Warm-up: the inbound proxy adapts its limit.
			o := offerLoad(capacity*multiple, span, timeout, func(int) string { return outbound })
			goodput := float64(o.succeeded) / span.Seconds()
			peak = max(peak, goodput)
			b.ReportMetric(100*goodput/peak, fmt.Sprintf("%%-of-peak-at-%gx", multiple))
			b.ReportMetric(o.quantile(0.99), fmt.Sprintf("ms-p99-at-%gx", multiple))
			b.Logf("%gx: %.0f succeeded per second, rejected: %v", multiple, goodput, o.rejected)
			f.Stop()
		}
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkBalance has three upstreams, of which one is five times slower and one
// has just started and is 10 times slower for its first 3 s. It compares the
// latency of calls through the mesh with that of calls sent directly to the
// upstreams in turn (round robin).
func BenchmarkBalance(b *testing.B) {
	const (
		rate    = 300
		span    = 4 * time.Second
		timeout = time.Second
	)
	for b.Loop() {
		for _, mesh := range []bool{true, false} {
			f, outbound := startLoadFleet(b,
				standin.Config{Slots: 8, Work: 5 * time.Millisecond},
				standin.Config{Slots: 8, Work: 25 * time.Millisecond},
				standin.Config{Slots: 8, Work: 5 * time.Millisecond, ColdFor: 3 * time.Second, ColdFactor: 10})
			var turn atomic.Int64
			to, name := func(int) string { return outbound }, "mesh"
			if !mesh {
				name = "in-turn"
				to = func(int) string { return f.Standin(fmt.Sprintf("w%d", turn.Add(1)%3)).Address() }
			}
			o := offerLoad(rate, span, timeout, to)
			b.ReportMetric(o.quantile(0.5), "ms-p50-"+name)
			b.ReportMetric(o.quantile(0.99), "ms-p99-"+name)
			b.Logf("%s: %d succeeded, rejected: %v", name, o.succeeded, o.rejected)
			f.Stop()
		}
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkClaims compares the latency of bookings without and with an idempotency
// key, sent in turn, and reports the control traffic of all daemons for each key.
func BenchmarkClaims(b *testing.B) {
	const bookings = 3000
	f := startBenchFleet(b, 3, fleet.Config{ClaimReplicas: claimReplicas})
	o, err := config.MakeObject(config.Contract{Team: "services", Limit: "900000000 bench-credits"})
	require.NoError(b, err)
	benchApply(b, f, "room", o)
	_, err = f.StartStandin("d0", standin.Config{ID: "w", Service: "booking", Version: "v1", Slots: 64, Connections: 110})
	require.NoError(b, err)
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		return len(f.Daemon("d1").Hub().View().Targets("booking", "v1")) == 1 && converged(f, 2)
	}))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	measureBooking := func(key string) float64 {
		r, _ := http.NewRequest(http.MethodPost, "http://"+f.Daemon("d1").Addresses().Outbound+"/internal/bookings", strings.NewReader("deposit"))
		r.Header.Set(call.HeaderTeam, "services")
		if key != "" {
			r.Header.Set(call.HeaderKey, key)
		}
		begin := time.Now()
		response, err := client.Do(r)
		require.NoError(b, err)
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		require.Equal(b, http.StatusOK, response.StatusCode)
		return time.Since(begin).Seconds() * 1e3
	}
	for b.Loop() {
		var plain, keyed []float64
		bytesBefore, _ := traffic(f)
		for i := range bookings {
			plain, keyed = append(plain, measureBooking("")), append(keyed, measureBooking(fmt.Sprintf("k%d", i)))
		}
		bytesAfter, _ := traffic(f)
		slices.Sort(plain)
		slices.Sort(keyed)
		for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			at := int(q * (bookings - 1))
			b.ReportMetric(plain[at], "ms-plain-"+name)
			b.ReportMetric(keyed[at], "ms-keyed-"+name)
		}
		b.ReportMetric(float64(bytesAfter-bytesBefore)/bookings, "B/key-all-daemons")
		b.ReportMetric(0, "ns/op")
	}
}
