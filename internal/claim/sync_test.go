package claim_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/claim"
)

// A restarted replica grants nothing until it has copied the claims of the
// others. Then it has the claims of its previous incarnation.
func TestRestartedReplicaSyncsFromOthers(t *testing.T) {
	g := newReplicaGroup()
	g.setDown(true, "c")
	grant, _, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, grant)
	grant.Complete(&claim.Response{Status: http.StatusOK, Body: []byte("booked")})
	requireEventually(t, "the stored response at both replicas", func() bool { return g.stores("a", "booked") && g.stores("b", "booked") })

	a := g.start("a", false) // It has forgotten the claim.
	g.setDown(false, "c")
	g.setDown(true, "b")
	_, _, callErr := g.acquire(g.newClient(), 1)
	requireError(t, callErr, call.ExecutionUnknown, call.ReasonKeyUnproved)
	g.setDown(false, "b")
	stop := make(chan struct{})
	defer close(stop)
	go a.Sync(g.names, "a", g.call, stop)
	requireEventually(t, "replica a is complete", a.Complete)
	g.setDown(true, "b")
	_, stored, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, stored)
	require.Equal(t, "booked", string(stored.Body))
}

// A replica that had many claims to copy began at the first one again after each request
// that failed, and was never complete.
func TestSyncGoesOnAfterFailedRequests(t *testing.T) {
	g := newReplicaGroup()
	const claims = 5000 // Ten requests for each replica.
	for i := range claims {
		args := claim.TakeArgs{List: claim.ListDigest(g.names), Key: fmt.Sprintf("clubs\x00k%d", i), Attempt: "1"}
		for _, name := range []string{"b", "c"} {
			require.NoError(t, g.replicas[name].Take(args, &claim.TakeReply{}))
		}
	}
	a := g.start("a", false)
	stop := make(chan struct{})
	defer close(stop)
	var requests atomic.Int64
	go a.Sync(g.names, "a", func(address, method string, args, reply any, timeout time.Duration) error {
		if requests.Add(1)%4 == 0 {
			return errDown
		}
		return g.call(address, method, args, reply, timeout)
	}, stop)
	requireEventually(t, "replica a is complete", a.Complete)
	require.Equal(t, claims, a.Len())
	copied, failures := a.Synced()
	require.EqualValues(t, 2*claims, copied, "each claim is copied once from each replica")
	require.Positive(t, failures)
}

// Copies of pages hold each claim once and in the order of keys, whatever the number of
// claims.
func TestCopyReturnsAllClaimsInOrder(t *testing.T) {
	for _, n := range []int{0, 1, 19, 20, 21, 40, 41, 1000} {
		table := claim.NewTable(time.Unix(9000, 0), lifetime)
		table.SetComplete()
		for i := range n {
			table.Acquire(time.Unix(9000, 0), fmt.Sprintf("clubs\x00k%04d", i), "1", 0)
		}
		after, next := "", 0
		for {
			page := table.Copy(time.Unix(9000, 0), after, 20)
			for _, c := range page {
				require.Equal(t, fmt.Sprintf("clubs\x00k%04d", next), c.Key)
				next++
			}
			if len(page) < 20 {
				break
			}
			after = page[len(page)-1].Key
		}
		require.Equal(t, n, next)
	}
}

func BenchmarkCopyOfManyClaims(b *testing.B) {
	table := claim.NewTable(time.Unix(9000, 0), lifetime)
	table.SetComplete()
	for i := range 100_000 {
		table.Acquire(time.Unix(9000, 0), fmt.Sprintf("clubs\x00k%d", i), "1", 0)
	}
	for b.Loop() {
		table.Copy(time.Unix(9000, 0), "", 500)
	}
}

// If a response was stored at one replica only and that one restarts, a retry fails
// because the claim is pending. It must not be executed again.
func TestResponseLostWithItsReplicaIsNotExecutedAgain(t *testing.T) {
	g := newReplicaGroup()
	g.setDown(true, "c")
	grant, _, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, grant)
	g.setDown(true, "b")
	grant.Complete(&claim.Response{Status: http.StatusOK, Body: []byte("booked")})
	requireEventually(t, "the stored response", func() bool { return g.stores("a", "booked") })

	a := g.start("a", false)
	g.setDown(false, "b", "c")
	stop := make(chan struct{})
	defer close(stop)
	go a.Sync(g.names, "a", g.call, stop)
	requireEventually(t, "replica a is complete", a.Complete)
	g.setDown(true, "b")
	_, _, callErr := g.acquire(g.newClient(), 1)
	requireError(t, callErr, call.ExecutionUnknown, call.ReasonKeyPending)
}

// Claims copied from one other replica do not make a replica complete: a claim
// may be stored only by the replica that is unreachable.
func TestSyncNeedsMajority(t *testing.T) {
	g := newReplicaGroup()
	g.setDown(true, "c")
	grant, _, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, grant)
	a := g.start("a", false)
	g.setDown(false, "c")
	g.setDown(true, "b")
	stop := make(chan struct{})
	var asked atomic.Int64
	var background sync.WaitGroup
	background.Go(func() {
		a.Sync(g.names, "a", func(address, method string, args, reply any, timeout time.Duration) error {
			if address == "b" {
				asked.Add(1)
			}
			return g.call(address, method, args, reply, timeout)
		}, stop)
	})
	requireEventually(t, "a second round of Sync", func() bool { return asked.Load() >= 2 || a.Complete() })
	require.False(t, a.Complete())
	close(stop)
	background.Wait()
}

// A restarted replica never became complete while claims with ever larger keys were granted
// faster than it could copy them.
func TestSyncEndsWhileClaimsAreGranted(t *testing.T) {
	g := newReplicaGroup()
	a := g.start("a", false)
	stop := make(chan struct{})
	var granted atomic.Int64
	var background sync.WaitGroup
	background.Go(func() {
		a.Sync(g.names, "a", func(address, method string, args, reply any, timeout time.Duration) error {
			if err := g.call(address, method, args, reply, timeout); err != nil {
				return err
			}
			key := claim.MakeKey("team", fmt.Sprintf("%09d", granted.Add(1)))
			reply.(*claim.CopyReply).Claims = []claim.Claim{{Key: key, Attempt: "x", State: claim.StatePending}}
			return nil
		}, stop)
	})
	requireEventually(t, "a complete replica", a.Complete)
	close(stop)
	background.Wait()
	require.LessOrEqual(t, granted.Load(), int64(10))
}

// A call ran twice if a restarted replica granted the claim of an attempt that it had
// copied from one replica, before it knew the claims of the other one.
func TestIncompleteReplicaGrantsNoCopiedClaim(t *testing.T) {
	g := newReplicaGroup()
	take := func(name, attempt string) claim.Vote {
		var reply claim.TakeReply
		args := claim.TakeArgs{List: claim.ListDigest(g.names), Key: key, Attempt: attempt, Digest: 1}
		require.NoError(t, g.replicas[name].Take(args, &reply))
		return reply.Verdict
	}
	// The first attempt has a majority, a and b. Replica c does not get its request.
	require.Equal(t, claim.VoteGranted, take("a", "first"))
	require.Equal(t, claim.VoteGranted, take("b", "first"))
	b := g.start("b", false)
	require.Equal(t, claim.VoteGranted, take("c", "retry"))
	g.setDown(true, "a")
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { b.Sync(g.names, "b", g.call, stop) })
	defer background.Wait()
	defer close(stop)
	requireEventually(t, "the claim of c at b", func() bool { return b.Len() == 1 })
	require.NotEqual(t, claim.VoteGranted, take("b", "retry"), "c and b would be a second majority")
	g.setDown(false, "a")
	requireEventually(t, "replica b is complete", b.Complete)
	require.Equal(t, claim.VoteTaken, take("b", "retry"))
}
