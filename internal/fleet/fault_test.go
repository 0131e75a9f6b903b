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
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// TestLeavingResetsNoNewConnection takes a daemon out while callers open a new
// connection for each call. They may be refused, but none is cut off, not even
// in the accept queue.
func TestLeavingResetsNoNewConnection(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{DrainTime: 200 * time.Millisecond}, time.Millisecond)
	leaving := f.Daemon("d1")
	address := leaving.Addresses().Outbound
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var group sync.WaitGroup
	var answered, refused, began atomic.Int64
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
					t.Errorf("cut off %v after the leave began: %v", time.Since(time.Unix(0, began.Load())), err)
					return
				}
				response.Body.Close()
				answered.Add(1)
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	began.Store(time.Now().UnixNano())
	require.NoError(t, leaving.Leave(ctx))
	t.Logf("left %v after the leave began; %d errors of the HTTP server", time.Since(time.Unix(0, began.Load())), leaving.Counters().Get("http_errors"))
	group.Wait()
	require.EqualValues(t, 24, refused.Load())
	require.NotZero(t, answered.Load())
}

// TestFullDiskRefusesChanges lets the disks run short. Changes are refused with
// that reason, reads and daemons go on, and changes are taken again once there
// is room.
func TestFullDiskRefusesChanges(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{})
	startDaemons(t, f, 3)
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
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
	r = apply(t, f, "room", limit(t, 6001))
	full.Store(true)
	tries := 0
	eventually(t, "refusal", func() bool {
		tries++
		out, err := f.Client().Apply(context.Background(), operator.Change{
			Request: fmt.Sprintf("full-%d", tries), Replaces: r, Put: []config.Object{limit(t, 6002+tries)},
		})
		if err == nil && out.Status == operator.Accepted {
			r = out.Revision
		}
		return errors.Is(err, operator.ErrDiskFull)
	})
	now, err := f.Client().Configuration(context.Background())
	require.NoError(t, err)
	require.Equal(t, r, now.Revision)
	again, err := f.Client().Apply(context.Background(), operator.Change{Request: "room", Put: []config.Object{limit(t, 6001)}})
	require.NoError(t, err, "what was accepted is not refused later")
	require.True(t, again.Resent)
	require.Equal(t, operator.Accepted, again.Status)
	full.Store(false)
	r = apply(t, f, "again", limit(t, 6003))
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
}

// TestBrakeWithoutTheSource stops the whole source during a move, and then lets
// the new version fail. The daemons stop calling it by themselves.
func TestBrakeWithoutTheSource(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{Policy: move.Policy{Steps: []int{500}}}, time.Millisecond)
	for i := range 3 {
		startWorker(t, f, fmt.Sprintf("d%d", i), "stock", "v2", time.Millisecond)
	}
	eventually(t, "the new version", func() bool { return len(f.Daemon("d0").Hub().View().Targets("stock", "v2")) == 3 })
	out, err := f.Client().Begin(context.Background(), operator.BeginMove{
		Request: "m", Service: "stock", To: "v2", By: time.Now().Add(time.Hour),
	})
	require.NoError(t, err)
	require.Equal(t, operator.Accepted, out.Status)
	eventually(t, "the share", func() bool {
		for _, d := range f.Daemons() {
			if d.Hub().State().Table().Split("stock").Share != 500 {
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
	newRuns := func() int {
		sum := 0
		for i := range 3 {
			sum += len(f.Standin(fmt.Sprintf("stock-d%d-v2", i)).Runs())
		}
		return sum
	}
	var braked, before, after int
	storm(t, f, 8, http.MethodGet, "/internal/wax", func(*rand.Rand) {
		eventually(t, "the brakes of both entries", func() bool {
			braked = int(f.Daemon("d0").Counters().Get("brakes") + f.Daemon("d1").Counters().Get("brakes"))
			return braked == 2
		})
		time.Sleep(time.Second) // Calls that had been sent before end.
		before = newRuns()
		time.Sleep(300 * time.Millisecond)
		after = newRuns()
	})
	require.NotZero(t, before)
	require.Equal(t, before, after, "calls still reach the new version")
}

// TestLeavingGateCutsOffNobody has a daemon leave whose gate other entries use
// over kept-alive connections. No booking is lost or left unknown.
func TestLeavingGateCutsOffNobody(t *testing.T) {
	t.Parallel()
	for round := range 4 {
		f := mesh(t, fleet.Config{DrainTime: 500 * time.Millisecond, Seed: uint64(round)}, 0)
		answers := storm(t, f, uint64(20+round), http.MethodPost, "/internal/bookings", func(*rand.Rand) {
			time.Sleep(150 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			require.NoError(t, f.LeaveDaemon(ctx, "d2"))
			time.Sleep(100 * time.Millisecond)
		})
		requireAllAnswered(t, f, answers)
		f.Stop()
	}
}

// TestSuspectedHost has an entry suspect hosts. One that others reach stays;
// one that has crashed is declared gone.
func TestSuspectedHost(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{}, 0)
	d := f.Daemon("d0")
	d.Suspect("d1")
	f.StopDaemon("d2")
	d.Suspect("d2")
	eventually(t, "the word that it is gone", func() bool {
		r, ok := f.Daemon("d1").Hub().Record("d2")
		return ok && r.Gone
	})
	require.EqualValues(t, 2, d.Counters().Get("hosts_suspected"))
	r, ok := d.Hub().Record("d1")
	require.True(t, ok)
	require.False(t, r.Gone)
}
