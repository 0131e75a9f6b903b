package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quota"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// The limit of the team of these tests, in calls per second and calls.
const (
	teamRate  = 40
	teamBurst = 20
)

// startLimited starts a fleet with six daemons and a team with a limit, and waits until all
// daemons grant calls.
func startLimited(t *testing.T, c fleet.Config) *fleet.Fleet {
	t.Helper()
	f := startFleet(t, c)
	startDaemons(t, f, 6)
	keyed := config.Config{Version: 1, Keyed: true, Teams: []config.Team{{Name: "depot", Keys: []string{config.KeyDigest("k1")}, Rate: teamRate, Burst: teamBurst}}}
	eventually(t, "configuration", func() bool {
		_, err := f.Replica(waitForLeader(t, f)).Node.Replace(source.Replacement{Request: "keyed", Operator: "amina", Config: keyed})
		return err == nil
	})
	eventually(t, "convergence", func() bool { return converged(f, 1) })
	for _, d := range f.Daemons() {
		eventually(t, "granted call", func() bool { return take(d) == nil })
	}
	return f
}

// take takes one call of the team at a daemon.
func take(d *daemon.Daemon) *call.Error {
	team, _ := d.Hub().State().Table().Team("depot")
	return d.TeamLimiter().Take(context.Background(), team)
}

// Calls of a team over several daemons must stay within its limit in every window, also while
// the leader of the source is lost, and must be granted again under the next one.
func TestTeamLimitHoldsOverDaemons(t *testing.T) {
	t.Parallel()
	f := startLimited(t, fleet.Config{})
	var mutex sync.Mutex
	var granted []time.Time
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range f.Daemons() {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if take(d) == nil {
					mutex.Lock()
					granted = append(granted, time.Now())
					mutex.Unlock()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	f.StopReplica(waitForLeader(t, f))
	time.Sleep(4 * time.Second)
	renewed := time.Now()
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	sort.Slice(granted, func(i, j int) bool { return granted[i].Before(granted[j]) })
	const window, late = 2 * time.Second, 100 * time.Millisecond
	first, after := 0, 0
	for i, at := range granted {
		for at.Sub(granted[first]) >= window {
			first++
		}
		// A call is recorded some time after it was granted.
		require.LessOrEqual(t, i-first+1, int(teamRate*(window+late).Seconds()+teamBurst))
		if at.After(renewed) {
			after++
		}
	}
	require.Greater(t, after, 2*teamRate, "of %d granted calls", len(granted))
}

// A leader must be ready to grant some time after its election, and not only after it was first
// asked.
func TestLeaderIsReadyForTeamLimitsBeforeItIsAsked(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	leader := f.Replica(waitForLeader(t, f))
	time.Sleep(4 * time.Second)
	client := peer.NewClient(leader.Config.Listen, nil, &peer.Traffic{})
	defer client.Close()
	var reply quota.LeaseReply
	seq := uint64(0)
	eventually(t, "reply of the leader", func() bool {
		var r quota.LeaseReply
		seq++
		err := client.Call("Quota.Lease", quota.LeaseArgs{Holder: 1, Seq: seq, Teams: quota.EncodeDemands(nil)}, &r, time.Second)
		reply = r
		return err == nil && r.Granted
	})
	require.Zero(t, reply.Silent)
}

// A daemon that cannot reach the source must not grant calls when its leases are over, nor tell
// callers that the limit is reached; it must recover. Without calls it must send no requests.
func TestTeamLimitIsUnknownWithoutSource(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startLimited(t, fleet.Config{Dial: n.dial})
	d := f.Daemon("d1")
	n.setCut(true, "d1", f.SourceAddresses()...)
	time.Sleep(2500 * time.Millisecond)
	start := time.Now()
	for range 20 {
		err := take(d)
		require.NotNil(t, err)
		require.Equal(t, call.ReasonLimitUnknown, err.Reason)
		require.Equal(t, call.NotExecuted, err.Execution)
		require.Positive(t, err.RetryAfter)
	}
	require.Less(t, time.Since(start), 2*time.Second, "calls that cannot be granted must be rejected at once")
	eventually(t, "granted call", func() bool { return take(f.Daemon("d2")) == nil })
	n.setCut(false, "d1", f.SourceAddresses()...)
	eventually(t, "granted call", func() bool { return take(d) == nil })
	time.Sleep(3 * time.Second)
	requests := d.Counters().Get("team_lease_requests")
	time.Sleep(2 * time.Second)
	require.Equal(t, requests, d.Counters().Get("team_lease_requests"))
}

// What a message of a daemon about 20 teams costs both sides over real RPC, at the leader and at
// a follower, which forwards it.
func BenchmarkTeamLeases(b *testing.B) {
	f, err := fleet.Start(fleet.Config{DataFolder: b.TempDir()})
	require.NoError(b, err)
	defer f.Stop()
	c := config.Config{Version: 1, Keyed: true}
	var demands []quota.Demand
	for i := range 20 {
		name := fmt.Sprint("team-", i)
		c.Teams = append(c.Teams, config.Team{Name: name, Keys: []string{config.KeyDigest(name)}, Rate: 500, Burst: 50})
		demands = append(demands, quota.Demand{Team: quota.IDOf(name), Rate: 4000, Burst: 3000, Demand: 4000, Tokens: 1500})
	}
	require.True(b, fleet.Wait(context.Background(), eventuallyTimeout, func() bool { return f.Leader() >= 0 }))
	_, err = f.Replica(f.Leader()).Node.Replace(source.Replacement{Request: "keyed", Operator: "amina", Config: c})
	require.NoError(b, err)
	time.Sleep(3 * time.Second)
	for name, replica := range map[string]int{"leader": f.Leader(), "follower": (f.Leader() + 1) % 3} {
		b.Run(name, func(b *testing.B) {
			traffic := &peer.Traffic{}
			client := peer.NewClient(f.Replica(replica).Config.Listen, nil, traffic)
			defer client.Close()
			seq := uint64(0)
			lease := func() {
				seq++
				var reply quota.LeaseReply
				args := quota.LeaseArgs{Holder: rand.Uint64(), Seq: seq, Teams: quota.EncodeDemands(demands)}
				require.NoError(b, client.Call("Quota.Lease", args, &reply, time.Second))
				require.True(b, reply.Granted)
			}
			lease() // The first message describes its types.
			before := traffic.Sent() + traffic.Received()
			for b.Loop() {
				lease()
			}
			b.ReportMetric(float64(traffic.Sent()+traffic.Received()-before)/float64(b.N), "bytes/message")
		})
	}
}
