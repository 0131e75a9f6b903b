package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// TestLeavingDaemonResetsNoNewConnection shuts a daemon down gracefully while
// callers open a new connection for each call. A connection may be refused, but
// none may be reset, not even one that is still in the accept queue.
func TestLeavingDaemonResetsNoNewConnection(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{DrainTime: 200 * time.Millisecond}, time.Millisecond)
	leaving := f.Daemon("d1")
	address := leaving.Addresses().Outbound
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var group sync.WaitGroup
	var succeeded, refused, leaveBegan atomic.Int64
	for range 24 {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/internal/benches", nil)
				r.Header.Set(call.HeaderTeam, "services")
				response, err := client.Do(r)
				if errors.Is(err, syscall.ECONNREFUSED) {
					refused.Add(1)
					return
				}
				if err != nil {
					t.Errorf("connection broken %v after the shutdown began: %v", time.Since(time.Unix(0, leaveBegan.Load())), err)
					return
				}
				response.Body.Close()
				succeeded.Add(1)
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	leaveBegan.Store(time.Now().UnixNano())
	require.NoError(t, leaving.Leave(ctx))
	t.Logf("stopped %v after the shutdown began; %d errors of the HTTP server", time.Since(time.Unix(0, leaveBegan.Load())), leaving.Counters().Get("http_errors"))
	group.Wait()
	require.EqualValues(t, 24, refused.Load())
	require.NotZero(t, succeeded.Load())
}

// TestFullDiskRejectsChanges has the replicas' disks report almost no free space.
// Changes must be rejected with that reason, reads and a resent accepted
// change must succeed, and changes must be accepted again once there is space.
func TestFullDiskRejectsChanges(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	startDaemons(t, f, 3)
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	var full atomic.Bool
	for i := range 3 {
		f.StopReplica(i)
		f.Replica(i).Config.FreeBytes = func(string) (uint64, error) {
			if full.Load() {
				return 1 << 20, nil
			}
			return 1 << 40, nil
		}
		require.NoError(t, f.StartReplica(i))
	}
	r = apply(t, f, "change-with-free-disk", clubsContract(t, 6001))
	full.Store(true)
	attempts := 0
	eventually(t, "rejected change", func() bool {
		attempts++
		out, err := f.Client().Apply(context.Background(), operator.Change{
			Request: fmt.Sprintf("full-%d", attempts), Replaces: r, Put: []config.Object{clubsContract(t, 6002+attempts)},
		})
		if err == nil && out.Status == operator.Accepted {
			r = out.Revision
		}
		return errors.Is(err, operator.ErrDiskFull)
	})
	now, err := f.Client().Configuration(context.Background())
	require.NoError(t, err)
	require.Equal(t, r, now.Revision)
	resent, err := f.Client().Apply(context.Background(), operator.Change{Request: "change-with-free-disk", Put: []config.Object{clubsContract(t, 6001)}})
	require.NoError(t, err, "the resent accepted change was rejected")
	require.True(t, resent.Resent)
	require.Equal(t, operator.Accepted, resent.Status)
	full.Store(false)
	r = apply(t, f, "change-after-full-disk", clubsContract(t, 6003))
	eventually(t, "convergence", func() bool { return converged(f, r) })
}

// TestCircuitBreakerWorksWithoutSource stops the whole source during a move and then
// has the new version fail. Each daemon's circuit breaker must stop calls to the
// new version by itself, since no source can roll the move back.
func TestCircuitBreakerWorksWithoutSource(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{Policy: move.Policy{Steps: []int{500}}}, time.Millisecond)
	for i := range 3 {
		startUpstream(t, f, fmt.Sprintf("d%d", i), "stock", "v2", time.Millisecond)
	}
	eventually(t, "upstreams of the new version", func() bool { return len(f.Daemon("d0").Hub().View().Targets("stock", "v2")) == 3 })
	out, err := f.Client().Begin(context.Background(), operator.BeginMove{
		Request: "m", Service: "stock", To: "v2", By: time.Now().Add(time.Hour),
	})
	require.NoError(t, err)
	require.Equal(t, operator.Accepted, out.Status)
	eventually(t, "share of the new version on all daemons", func() bool {
		for _, d := range f.Daemons() {
			if d.Hub().State().Table().VersionSplit("stock").Share != 500 {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		f.StopReplica(i)
	}
	for i := range 3 {
		f.Standin(fmt.Sprintf("stock-d%d-v2", i)).SetFaults(standin.Fault{Kind: standin.FaultFail})
	}
	newVersionCalls := func() int {
		sum := 0
		for i := range 3 {
			sum += len(f.Standin(fmt.Sprintf("stock-d%d-v2", i)).Executions())
		}
		return sum
	}
	var openBreakers, before, after int
	callDuring(t, f, 8, http.MethodGet, "/internal/wax", func(*rand.Rand) {
		eventually(t, "open circuit breakers of both outbound proxies", func() bool {
			openBreakers = int(f.Daemon("d0").Counters().Get("brakes") + f.Daemon("d1").Counters().Get("brakes"))
			return openBreakers == 2
		})
		time.Sleep(time.Second) // Calls in progress end.
		before = newVersionCalls()
		time.Sleep(300 * time.Millisecond)
		after = newVersionCalls()
	})
	require.NotZero(t, before)
	require.Equal(t, before, after, "calls still reach the new version")
}

// TestLeavingInboundProxyBreaksNoCall shuts a daemon down gracefully while other
// daemons call its inbound proxy over kept-alive connections. Every booking must
// succeed, and none may be executed twice.
func TestLeavingInboundProxyBreaksNoCall(t *testing.T) {
	t.Parallel()
	for round := range 4 {
		f := startMesh(t, fleet.Config{DrainTime: 500 * time.Millisecond, Seed: uint64(round)}, 0)
		attempts := callDuring(t, f, uint64(20+round), http.MethodPost, "/internal/bookings", func(*rand.Rand) {
			time.Sleep(150 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
			defer cancel()
			require.NoError(t, f.LeaveDaemon(ctx, "d2"))
			time.Sleep(100 * time.Millisecond)
		})
		requireAllSucceeded(t, f, attempts)
		f.Stop()
	}
}

// TestSuspectedHostIsGoneOnlyIfUnreachable has a daemon suspect two hosts. The one
// that other daemons reach must stay in the directory; the crashed one must be
// marked as gone.
func TestSuspectedHostIsGoneOnlyIfUnreachable(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{}, 0)
	d := f.Daemon("d0")
	suspected := func() int64 { return d.Counters().Get("hosts_suspected") }
	isGone := func(observer *daemon.Daemon) bool {
		r, ok := observer.Hub().Record("d2")
		return ok && r.Gone
	}
	d.Suspect("d1")
	require.EqualValues(t, 1, suspected())
	for {
		f.StopDaemon("d2")
		d.Suspect("d2")
		if suspected() == 2 {
			break
		}
		// A periodic probe was faster. Only then is a suspicion ignored.
		require.True(t, isGone(d))
		restarted, err := f.StartDaemon("d2", zones[2])
		require.NoError(t, err)
		eventually(t, "readiness of the restarted daemon", func() bool { return restarted.Ready() && !isGone(d) })
	}
	eventually(t, "record of the crashed host as gone", func() bool { return isGone(f.Daemon("d1")) })
	r, ok := d.Hub().Record("d1")
	require.True(t, ok)
	require.False(t, r.Gone)
}
