package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// These benchmarks measure the slopes in docs/CAPACITY.md. Run them with
//
//	go test -run '^$' -bench . -benchtime 1x ./internal/fleet

// allRelays is a number of relays (Shape.Relays) with which every daemon pulls
// directly from the source: the baseline without a tree.
const allRelays = 1 << 20

// startBenchFleet starts a fleet and its daemons d0, d1 and so on, applies the
// example configuration, and waits until all daemons have it and report that.
func startBenchFleet(b *testing.B, daemons int, c fleet.Config) *fleet.Fleet {
	c.DataFolder = b.TempDir()
	f, err := fleet.Start(c)
	require.NoError(b, err)
	b.Cleanup(f.Stop)
	for i := range daemons {
		_, err := f.StartDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)])
		require.NoError(b, err)
	}
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(b, err)
	benchApply(b, f, "first", d.Objects()...)
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		s, err := f.Client().Status(context.Background())
		return err == nil && converged(f, 1) && s.Fleet.Known == daemons && s.Fleet.Reporting == daemons
	}))
	return f
}

// benchApply sends a change until it is accepted, and returns its revision.
func benchApply(b *testing.B, f *fleet.Fleet, request string, put ...config.Object) config.Revision {
	var out operator.Outcome
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		now, err := f.Client().Configuration(context.Background())
		if err != nil {
			return false
		}
		out, err = f.Client().Apply(context.Background(), operator.Change{Request: request, Replaces: now.Revision, Put: put})
		return err == nil && out.Status == operator.Accepted
	}))
	return out.Revision
}

// traffic returns the control bytes that all running daemons have sent and
// received, and those that the source replicas have sent, since their starts.
func traffic(f *fleet.Fleet) (daemons, source int64) {
	for _, d := range f.Daemons() {
		daemons += d.Traffic().Sent() + d.Traffic().Received()
	}
	for i := range f.Replicas() {
		source += f.Replica(i).Node.Traffic().Sent()
	}
	return daemons, source
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// changesMeasured is the number of changes in measureConvergence.
const changesMeasured = 40

// BenchmarkConvergence measures the convergence of changes for several numbers of
// daemons, with the distribution tree and with the baseline in which every daemon
// pulls from the source. See measureConvergence.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []int{8, 32, 128, 256} {
		for name, shape := range map[string]directory.Shape{"tree": {}, "baseline": {Relays: allRelays}} {
			b.Run(fmt.Sprintf("%s/daemons=%d", name, size), func(b *testing.B) {
				f := startBenchFleet(b, size, fleet.Config{Shape: shape})
				for b.Loop() {
					measureConvergence(b, f, size)
				}
			})
		}
	}
}

// BenchmarkWitnesses measures convergence like BenchmarkConvergence, with daemons
// whose witnesses record each revision before it is in force.
func BenchmarkWitnesses(b *testing.B) {
	for _, size := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			f := startBenchFleet(b, size, fleet.Config{Witnesses: witnesses})
			for b.Loop() {
				measureConvergence(b, f, size)
			}
		})
	}
}

// measureConvergence reports the time from sending a change until the daemons have
// it, over all changes and daemons (median, 99th percentile) and for the slowest
// daemon of the slowest change, and the control traffic and CPU time of an idle
// fleet and of a change.
func measureConvergence(b *testing.B, f *fleet.Fleet, size int) {
	const idle = 4 * time.Second
	time.Sleep(time.Second)
	daemonsBefore, sourceBefore := traffic(f)
	cpuBefore := cpuTime()
	time.Sleep(idle)
	daemonsIdle, sourceIdle := traffic(f)
	cpuIdle := cpuTime()
	var latencies, slowest []float64
	for i := range changesMeasured {
		latency := measureChange(b, f, i, &latencies)
		slowest = append(slowest, latency)
	}
	time.Sleep(300 * time.Millisecond)
	daemonsAfter, sourceAfter := traffic(f)
	slices.Sort(latencies)
	slices.Sort(slowest)
	b.ReportMetric(latencies[len(latencies)/2], "ms-median")
	b.ReportMetric(latencies[len(latencies)*99/100], "ms-p99")
	b.ReportMetric(slowest[len(slowest)-1], "ms-worst")
	b.ReportMetric(float64(daemonsIdle-daemonsBefore)/idle.Seconds()/float64(size), "idle-B/s/daemon")
	b.ReportMetric(float64(sourceIdle-sourceBefore)/idle.Seconds(), "idle-B/s-source")
	b.ReportMetric(float64(cpuIdle-cpuBefore)/float64(idle)/float64(size)*100, "idle-%core/daemon")
	b.ReportMetric(float64(daemonsAfter-daemonsIdle)/changesMeasured/float64(size), "B/change/daemon")
	b.ReportMetric(float64(sourceAfter-sourceIdle)/changesMeasured, "B/change-source")
	b.ReportMetric(0, "ns/op")
}

// measureChange applies change number i and measures the time in milliseconds until
// each daemon has it. It appends these times to latencies and returns the longest.
func measureChange(b *testing.B, f *fleet.Fleet, i int, latencies *[]float64) float64 {
	o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: fmt.Sprintf("%d bench-credits", 1000+i)})
	require.NoError(b, err)
	next := f.Replica(0).Node.Hub().State().Revision()
	for r := range f.Replicas() {
		next = max(next, f.Replica(r).Node.Hub().State().Revision())
	}
	next++
	var mutex sync.Mutex
	var changeLatencies []float64
	var group sync.WaitGroup
	var begin time.Time
	ready := make(chan struct{})
	for _, d := range f.Daemons() {
		group.Add(1)
		go func() {
			defer group.Done()
			<-ready
			for {
				wake := d.Hub().Changed()
				if d.Hub().State().Revision() >= next {
					break
				}
				<-wake
			}
			mutex.Lock()
			changeLatencies = append(changeLatencies, float64(time.Since(begin).Microseconds())/1000)
			mutex.Unlock()
		}()
	}
	begin = time.Now()
	close(ready)
	benchApply(b, f, fmt.Sprintf("c%d-%d", i, time.Now().UnixNano()), o)
	group.Wait()
	*latencies = append(*latencies, changeLatencies...)
	return slices.Max(changeLatencies)
}

// BenchmarkMassRestart restarts half of the daemons at once and applies a change. It
// measures how long the other daemons need for the change once it is accepted, and
// how long all daemons need from the moment at which the stopped ones are started.
func BenchmarkMassRestart(b *testing.B) {
	for _, size := range []int{32, 128} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			f := startBenchFleet(b, size, fleet.Config{})
			for b.Loop() {
				var group sync.WaitGroup
				for i := range size / 2 {
					group.Add(1)
					go func() {
						defer group.Done()
						f.StopDaemon(fmt.Sprintf("d%d", i))
					}()
				}
				group.Wait()
				begin := time.Now()
				for i := range size / 2 {
					_, err := f.StartDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)])
					require.NoError(b, err)
				}
				o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: "77 bench-credits"})
				require.NoError(b, err)
				r := benchApply(b, f, fmt.Sprintf("herd-%d", time.Now().UnixNano()), o)
				accepted := time.Now()
				others := func() bool {
					for i := size / 2; i < size; i++ {
						if f.Daemon(fmt.Sprintf("d%d", i)).Hub().State().Revision() < r {
							return false
						}
					}
					return true
				}
				require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, others))
				b.ReportMetric(float64(time.Since(accepted).Milliseconds()), "ms-others")
				require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool { return converged(f, r) }))
				b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms-all")
			}
		})
	}
}

// BenchmarkAcceptedChanges measures how many changes per second the source decides,
// with synced disks, for several numbers of concurrent writers.
func BenchmarkAcceptedChanges(b *testing.B) {
	for _, writers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			f, err := fleet.Start(fleet.Config{DataFolder: b.TempDir()})
			require.NoError(b, err)
			b.Cleanup(f.Stop)
			require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool { return f.Leader() >= 0 }))
			client := operator.Client{Token: fleet.Token, Sources: []string{f.Replica(f.Leader()).OperatorAddress}}
			const span = 3 * time.Second
			for b.Loop() {
				count := make([]int, writers)
				var group sync.WaitGroup
				end := time.Now().Add(span)
				for w := range writers {
					group.Add(1)
					go func() {
						defer group.Done()
						for i := 0; time.Now().Before(end); i++ {
							o, _ := config.MakeObject(config.Service{Name: fmt.Sprintf("s%d", w), Version: "v1", Deadline: "finish"})
							out, err := client.Apply(context.Background(), operator.Change{
								Request: fmt.Sprintf("w%d-%d-%d", w, i, end.UnixNano()), Replaces: 0, Put: []config.Object{o},
							})
							if err == nil && out.Status != "" {
								count[w]++
							}
						}
					}()
				}
				group.Wait()
				sum := 0
				for _, n := range count {
					sum += n
				}
				b.ReportMetric(float64(sum)/span.Seconds(), "decided/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkLeaderLoss measures how long after the leader stops the next change is
// accepted.
func BenchmarkLeaderLoss(b *testing.B) {
	f := startBenchFleet(b, 3, fleet.Config{})
	var outages []float64
	for b.Loop() {
		for range 5 {
			require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool { return f.Leader() >= 0 }))
			leader := f.Leader()
			f.StopReplica(leader)
			begin := time.Now()
			o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: "99 bench-credits"})
			require.NoError(b, err)
			benchApply(b, f, fmt.Sprintf("loss-%d", begin.UnixNano()), o)
			outages = append(outages, float64(time.Since(begin).Milliseconds()))
			require.NoError(b, f.StartReplica(leader))
			time.Sleep(500 * time.Millisecond)
		}
	}
	slices.Sort(outages)
	b.ReportMetric(outages[len(outages)/2], "ms-median")
	b.ReportMetric(outages[len(outages)-1], "ms-worst")
}

// BenchmarkAddedLatency calls an upstream directly and through two daemons, in turn,
// and reports the median and 99th percentile of both and their differences. Then it
// reports the CPU time of a call for caller, daemons and upstream together.
func BenchmarkAddedLatency(b *testing.B) {
	f := startBenchFleet(b, 2, fleet.Config{})
	s, err := f.StartStandin("d0", standin.Config{ID: "w", Service: "availability", Version: "v1", Slots: 64, Connections: 110})
	require.NoError(b, err)
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		return len(f.Daemon("d1").Hub().View().Targets("availability", "v1")) == 1
	}))
	outbound := f.Daemon("d1").Addresses().Outbound
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	measureCall := func(address string) float64 {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/internal/benches", nil)
		r.Header.Set(call.HeaderTeam, "services")
		begin := time.Now()
		response, err := client.Do(r)
		require.NoError(b, err)
		var sb strings.Builder
		response.Write(&sb)
		response.Body.Close()
		latency := time.Since(begin)
		require.Equal(b, http.StatusOK, response.StatusCode)
		return float64(latency.Nanoseconds()) / 1e6
	}
	const calls = 6000
	for b.Loop() {
		var direct, mesh []float64
		for i := range calls {
			d, m := measureCall(s.Address()), measureCall(outbound)
			if i > calls/10 {
				direct, mesh = append(direct, d), append(mesh, m)
			}
		}
		slices.Sort(direct)
		slices.Sort(mesh)
		quantile := func(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }
		for _, q := range []struct {
			name string
			q    float64
		}{{"p50", 0.5}, {"p99", 0.99}} {
			b.ReportMetric(quantile(direct, q.q), "ms-direct-"+q.name)
			b.ReportMetric(quantile(mesh, q.q), "ms-mesh-"+q.name)
			b.ReportMetric(quantile(mesh, q.q)-quantile(direct, q.q), "ms-added-"+q.name)
		}
		b.ReportMetric(0, "ns/op")
	}
	cpu := cpuTime()
	before := time.Now()
	count := 0
	for time.Since(before) < time.Second {
		measureCall(outbound)
		count++
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(count), "cpu-us/call-all-three")
}

// BenchmarkMemory reports the heap and stack memory of a fleet with 64 daemons, per
// daemon.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	for b.Loop() {
		before := heap()
		f := startBenchFleet(b, 64, fleet.Config{})
		b.ReportMetric((heap()-before)/64/1024, "KiB/daemon")
		f.Stop()
	}
}
