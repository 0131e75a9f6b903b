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

// loadFleet starts daemons, each with a worker of availability, and waits until
// the last daemon, which has none, knows them.
func loadFleet(b *testing.B, workers ...standin.Config) (*fleet.Fleet, string) {
	f := benchFleet(b, len(workers)+1, fleet.Config{Zones: []string{"sokoine"}})
	o, err := config.MakeObject(config.Contract{Team: "services", Limit: "900000000 bench-credits"})
	require.NoError(b, err)
	benchApply(b, f, "room", o)
	for i, w := range workers {
		w.ID, w.Service, w.Version, w.Connections = fmt.Sprintf("w%d", i), "availability", "v1", 512
		_, err := f.StartStandin(fmt.Sprintf("d%d", i), w)
		require.NoError(b, err)
	}
	entry := f.Daemon(fmt.Sprintf("d%d", len(workers)))
	require.True(b, fleet.Wait(context.Background(), patience, func() bool {
		return len(entry.Hub().View().Targets("availability", "v1")) == len(workers) && everywhere(f, 2)
	}))
	return f, entry.Addresses().Outbound
}

// loadOutcome sums up the calls of a load.
type loadOutcome struct {
	mutex    sync.Mutex
	answered int
	refused  map[string]int
	took     []float64 // Milliseconds of the calls that were answered.
}

func (o *loadOutcome) add(status int, reason string, took time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if status == http.StatusOK {
		o.answered++
		o.took = append(o.took, took.Seconds()*1e3)
		return
	}
	o.refused[reason]++
}

func (o *loadOutcome) quantile(q float64) float64 {
	slices.Sort(o.took)
	return o.took[int(q*float64(len(o.took)-1))]
}

// offer makes calls at a fixed rate, whatever becomes of those before, for a
// while. Call i goes to the address that to returns.
func offer(rate float64, span, timeout time.Duration, to func(i int) string) *loadOutcome {
	o := &loadOutcome{refused: map[string]int{}}
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
			began := time.Now()
			response, err := client.Do(r)
			if err != nil {
				o.add(0, "error", 0)
				return
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			o.add(response.StatusCode, response.Header.Get(call.HeaderReason), time.Since(began))
		})
	}
	group.Wait()
	return o
}

// BenchmarkGoodput offers a worker one to four times what it can do, and counts
// the calls that are answered in their time.
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
		for _, times := range []float64{0.8, 1, 2, 4} {
			f, entry := loadFleet(b, standin.Config{Slots: slots, Work: work})
			offer(capacity/2, time.Second, timeout, func(int) string { return entry }) // The gate learns.
			o := offer(capacity*times, span, timeout, func(int) string { return entry })
			good := float64(o.answered) / span.Seconds()
			peak = max(peak, good)
			b.ReportMetric(100*good/peak, fmt.Sprintf("%%-of-peak-at-%gx", times))
			b.ReportMetric(o.quantile(0.99), fmt.Sprintf("ms-p99-at-%gx", times))
			b.Logf("%gx: %.0f answered a second, refused: %v", times, good, o.refused)
			f.Stop()
		}
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkBalance has three workers, of which one is five times slower and one
// has just started and is cold, and compares calls through the mesh with calls
// sent to the workers in turn.
func BenchmarkBalance(b *testing.B) {
	const (
		rate    = 300
		span    = 4 * time.Second
		timeout = time.Second
	)
	for b.Loop() {
		for _, mesh := range []bool{true, false} {
			f, entry := loadFleet(b,
				standin.Config{Slots: 8, Work: 5 * time.Millisecond},
				standin.Config{Slots: 8, Work: 25 * time.Millisecond},
				standin.Config{Slots: 8, Work: 5 * time.Millisecond, ColdFor: 3 * time.Second, ColdFactor: 10})
			var turn atomic.Int64
			to, name := func(int) string { return entry }, "mesh"
			if !mesh {
				name = "in-turn"
				to = func(int) string { return f.Standin(fmt.Sprintf("w%d", turn.Add(1)%3)).Address() }
			}
			o := offer(rate, span, timeout, to)
			b.ReportMetric(o.quantile(0.5), "ms-p50-"+name)
			b.ReportMetric(o.quantile(0.99), "ms-p99-"+name)
			b.Logf("%s: %d answered, refused: %v", name, o.answered, o.refused)
			f.Stop()
		}
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkClaims compares bookings without and with a key, in turn.
func BenchmarkClaims(b *testing.B) {
	const bookings = 3000
	f := benchFleet(b, 3, fleet.Config{ClaimReplicas: claimKeepers})
	o, err := config.MakeObject(config.Contract{Team: "services", Limit: "900000000 bench-credits"})
	require.NoError(b, err)
	benchApply(b, f, "room", o)
	_, err = f.StartStandin("d0", standin.Config{ID: "w", Service: "booking", Version: "v1", Slots: 64, Connections: 110})
	require.NoError(b, err)
	require.True(b, fleet.Wait(context.Background(), patience, func() bool {
		return len(f.Daemon("d1").Hub().View().Targets("booking", "v1")) == 1 && everywhere(f, 2)
	}))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	one := func(key string) float64 {
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
		before, _ := traffic(f)
		for i := range bookings {
			plain, keyed = append(plain, one("")), append(keyed, one(fmt.Sprintf("k%d", i)))
		}
		after, _ := traffic(f)
		slices.Sort(plain)
		slices.Sort(keyed)
		for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			at := int(q * (bookings - 1))
			b.ReportMetric(plain[at], "ms-plain-"+name)
			b.ReportMetric(keyed[at], "ms-keyed-"+name)
		}
		b.ReportMetric(float64(after-before)/bookings, "B/key-all-daemons")
		b.ReportMetric(0, "ns/op")
	}
}
