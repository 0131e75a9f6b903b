package claim_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/claim"
)

const (
	lifetime = time.Hour
	key      = "clubs\x00k1"
)

var errDown = errors.New("replica is down")

// replicaGroup holds claim replicas that can be disconnected and restarted.
// Their clock is set by the test.
type replicaGroup struct {
	mutex    sync.Mutex
	now      time.Time
	names    []string
	replicas map[string]*claim.Service
	down     map[string]bool
	clients  uint64
}

func newReplicaGroup() *replicaGroup {
	g := &replicaGroup{now: time.Unix(9000, 0), names: []string{"a", "b", "c"}, replicas: map[string]*claim.Service{}, down: map[string]bool{}}
	for _, name := range g.names {
		g.start(name, true)
	}
	return g
}

func (g *replicaGroup) clock() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.now
}

func (g *replicaGroup) advance(d time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.now = g.now.Add(d)
}

func (g *replicaGroup) start(name string, firstStart bool) *claim.Service {
	s := claim.NewService(g.names, lifetime, g.clock, firstStart)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.replicas[name] = s
	return s
}

func (g *replicaGroup) setDown(down bool, names ...string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, name := range names {
		g.down[name] = down
	}
}

func (g *replicaGroup) call(address, method string, args, reply any, _ time.Duration) error {
	g.mutex.Lock()
	s, down := g.replicas[address], g.down[address]
	g.mutex.Unlock()
	if down || s == nil {
		return errDown
	}
	switch a := args.(type) {
	case claim.TakeArgs:
		return s.Take(a, reply.(*claim.TakeReply))
	case claim.FreeArgs:
		return s.Free(a, reply.(*claim.FreeReply))
	case claim.FinishArgs:
		return s.Finish(a, reply.(*claim.FinishReply))
	case claim.CopyArgs:
		return s.Copy(a, reply.(*claim.CopyReply))
	}
	return fmt.Errorf("unknown method %s", method)
}

func (g *replicaGroup) newClient() *claim.Client {
	g.clients++
	return claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: g.clients, Replicas: g.names, Lifetime: lifetime, Clock: g.clock, Call: g.call,
	})
}

func (g *replicaGroup) acquire(c *claim.Client, digest uint64) (*claim.Grant, *claim.Response, *call.Error) {
	return c.Acquire(g.clock().Add(time.Minute), key, digest)
}

// stores reports whether a replica has stored the response body to key.
func (g *replicaGroup) stores(name, body string) bool {
	var reply claim.CopyReply
	if g.call(name, "", claim.CopyArgs{List: claim.ListDigest(g.names)}, &reply, 0) != nil {
		return false
	}
	for _, c := range reply.Claims {
		if c.Key == key {
			return c.State == claim.StateCompleted && string(c.Answer.Body) == body
		}
	}
	return false
}

func requireEventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	require.Eventually(t, met, 20*time.Second, time.Millisecond, condition)
}

func requireError(t *testing.T, e *call.Error, execution call.Execution, reason call.Reason) {
	t.Helper()
	require.NotNil(t, e)
	require.Equal(t, execution, e.Execution)
	require.Equal(t, reason, e.Reason)
}

// A retry of a pending call is rejected; after the call has completed, the
// retry gets the stored response instead of being executed again.
func TestRetryGetsStoredResponse(t *testing.T) {
	g := newReplicaGroup()
	grant, _, callErr := g.acquire(g.newClient(), 1)
	require.Nil(t, callErr)
	other := g.newClient()
	_, _, callErr = g.acquire(other, 1)
	requireError(t, callErr, call.ExecutionUnknown, call.ReasonKeyPending)
	_, _, callErr = g.acquire(other, 2)
	requireError(t, callErr, call.NotExecuted, call.ReasonKeyReused)
	grant.Complete(&claim.Response{Status: http.StatusOK, Body: []byte("booked")})
	requireEventually(t, "the stored response", func() bool {
		_, stored, _ := g.acquire(other, 1)
		return stored != nil && string(stored.Body) == "booked"
	})
}

// If the outcome of a call is lost, the error for a retry must not say that the
// call was not executed.
func TestLostClaimIsReportedUnknown(t *testing.T) {
	g := newReplicaGroup()
	grant, _, _ := g.acquire(g.newClient(), 1)
	grant.MarkLost()
	requireEventually(t, "the claim is marked as lost", func() bool {
		_, _, callErr := g.acquire(g.newClient(), 1)
		return callErr.Execution == call.ExecutionUnknown && callErr.Reason == call.ReasonKeyLost
	})
}

// A call that was not executed can be executed by a retry.
func TestReleasedClaimCanBeAcquired(t *testing.T) {
	g := newReplicaGroup()
	grant, _, _ := g.acquire(g.newClient(), 1)
	grant.Release()
	requireEventually(t, "the released claim", func() bool {
		second, _, _ := g.acquire(g.newClient(), 1)
		return second != nil
	})
}

// If most replicas are unreachable, they may hold a claim of an executed call,
// so the execution state is unknown.
func TestAcquireWithoutMajorityIsUnknown(t *testing.T) {
	g := newReplicaGroup()
	g.setDown(true, "a", "b")
	_, _, callErr := g.acquire(g.newClient(), 1)
	requireError(t, callErr, call.ExecutionUnknown, call.ReasonKeyUnproved)
}

// A client whose settings list other replicas gets no claim: its majorities
// need not overlap with those of other clients.
func TestClientWithOtherReplicaListIsRejected(t *testing.T) {
	g := newReplicaGroup()
	other := claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: 1, Replicas: []string{"a", "b", "x"}, Lifetime: lifetime, Clock: g.clock, Call: g.call,
	})
	_, _, callErr := g.acquire(other, 1)
	requireError(t, callErr, call.ExecutionUnknown, call.ReasonKeyUnproved)
}

// Votes that take longer than the round timeout, as in a process that was
// paused, are not used, even if all replicas granted the claim.
func TestAcquireFailsWhenVotesArriveTooLate(t *testing.T) {
	g := newReplicaGroup()
	slow := claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: 1, Replicas: g.names, Lifetime: lifetime, Clock: g.clock,
		Call: func(address, method string, args, reply any, timeout time.Duration) error {
			err := g.call(address, method, args, reply, timeout)
			g.advance(time.Second)
			return err
		},
	})
	grant, _, callErr := g.acquire(slow, 1)
	require.Nil(t, grant)
	require.Equal(t, call.ExecutionUnknown, callErr.Execution)
}

// If two of three replicas restart, they cannot copy the claims. They grant
// nothing until all earlier claims have expired.
func TestReplicaIsCompleteOnceOldClaimsExpired(t *testing.T) {
	g := newReplicaGroup()
	grant, _, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, grant)
	a, b := g.start("a", false), g.start("b", false)
	require.ErrorIs(t, g.call("a", "", claim.CopyArgs{List: claim.ListDigest(g.names)}, &claim.CopyReply{}, 0), claim.ErrNotComplete)
	g.setDown(true, "c")
	_, _, callErr := g.acquire(g.newClient(), 1)
	require.NotNil(t, callErr)
	g.advance(lifetime + lifetime/20)
	require.False(t, a.Complete(), "the clock of the replica may run fast")
	g.advance(lifetime / 5)
	require.True(t, a.Complete() && b.Complete())
	require.True(t, grant.Expiry().Before(g.clock()), "the first attempt must no longer execute its call")
	second, _, _ := g.acquire(g.newClient(), 1)
	require.NotNil(t, second)
}

// Attempts compete while replicas are disconnected, restarted and synced. At
// most one attempt may ever hold the claim of a key.
func TestAtMostOneAttemptHoldsClaim(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		g := newReplicaGroup()
		stop := make(chan struct{})
		var grants []*claim.Grant
		restarted := ""
		for range 12 {
			switch random.IntN(4) {
			case 0:
				g.setDown(random.IntN(2) == 0, g.names[random.IntN(3)])
			case 1: // One replica at a time restarts; the next one restarts after it is complete.
				if restarted == "" || g.replicas[restarted].Complete() {
					restarted = g.names[random.IntN(3)]
					s := g.start(restarted, false)
					for _, from := range g.names {
						if from != restarted && random.IntN(2) == 0 {
							syncWithStopClosed(g, s, from)
						}
					}
				}
			default:
				if grant, _, _ := g.acquire(g.newClient(), 1); grant != nil {
					grants = append(grants, grant)
				}
			}
		}
		close(stop)
		require.LessOrEqual(t, len(grants), 1, "seed %d", seed)
	}
}

// syncWithStopClosed calls Sync with a stop channel that is closed already, so
// that Sync returns before it copies any claim.
func syncWithStopClosed(g *replicaGroup, s *claim.Service, from string) {
	stop := make(chan struct{})
	close(stop)
	s.Sync([]string{from}, "", g.call, stop)
}

// Malformed requests are rejected and change no claim.
func TestMalformedMessagesAreRejected(t *testing.T) {
	s := newReplicaGroup().replicas["a"]
	list := claim.ListDigest([]string{"a", "b", "c"})
	for _, args := range []claim.TakeArgs{
		{List: list, Key: "", Attempt: "x"}, {List: list, Key: "no team", Attempt: "x"}, {List: list, Key: key},
		{List: list, Key: "t\x00" + string(make([]byte, 600)), Attempt: "x"},
	} {
		require.ErrorIs(t, s.Take(args, &claim.TakeReply{}), claim.ErrBadMessage)
	}
	for _, args := range []claim.FinishArgs{
		{Key: key, State: 9}, {Key: key, State: claim.StateCompleted}, {Key: key, State: claim.StateLost, Answer: &claim.Response{}},
		{Key: key, State: claim.StateCompleted, Answer: &claim.Response{Body: make([]byte, 1<<20)}},
	} {
		require.ErrorIs(t, s.Finish(args, &claim.FinishReply{}), claim.ErrBadMessage)
	}
	require.Zero(t, s.Len())
}
