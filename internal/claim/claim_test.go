package claim_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
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

var errDown = errors.New("down")

// group are keepers that can be cut off and restarted. Their clock is the
// test's.
type group struct {
	mutex   sync.Mutex
	now     time.Time
	names   []string
	keepers map[string]*claim.Service
	down    map[string]bool
	takers  uint64
}

func newGroup() *group {
	g := &group{now: time.Unix(9000, 0), names: []string{"a", "b", "c"}, keepers: map[string]*claim.Service{}, down: map[string]bool{}}
	for _, name := range g.names {
		g.start(name, true)
	}
	return g
}

func (g *group) clock() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.now
}

func (g *group) pass(d time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.now = g.now.Add(d)
}

func (g *group) start(name string, first bool) *claim.Service {
	k := claim.NewService(g.names, lifetime, g.clock, first)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.keepers[name] = k
	return k
}

func (g *group) cut(down bool, names ...string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, name := range names {
		g.down[name] = down
	}
}

func (g *group) call(address, method string, args, reply any, _ time.Duration) error {
	g.mutex.Lock()
	k, down := g.keepers[address], g.down[address]
	g.mutex.Unlock()
	if down || k == nil {
		return errDown
	}
	switch a := args.(type) {
	case claim.TakeArgs:
		return k.Take(a, reply.(*claim.TakeReply))
	case claim.FreeArgs:
		return k.Free(a, reply.(*claim.FreeReply))
	case claim.FinishArgs:
		return k.Finish(a, reply.(*claim.FinishReply))
	case claim.CopyArgs:
		return k.Copy(a, reply.(*claim.CopyReply))
	}
	return fmt.Errorf("no method %s", method)
}

func (g *group) taker() *claim.Client {
	g.takers++
	return claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: g.takers, Replicas: g.names, Lifetime: lifetime, Clock: g.clock, Call: g.call,
	})
}

func (g *group) take(t *claim.Client, digest uint64) (*claim.Grant, *claim.Response, *call.Error) {
	return t.Acquire(g.clock().Add(time.Minute), key, digest)
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, 20*time.Second, time.Millisecond, what)
}

func requireRefusal(t *testing.T, r *call.Error, run call.Execution, reason call.Reason) {
	t.Helper()
	require.NotNil(t, r)
	require.Equal(t, run, r.Execution)
	require.Equal(t, reason, r.Reason)
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	g := newGroup()
	held, _, refusal := g.take(g.taker(), 1)
	require.Nil(t, refusal)
	other := g.taker()
	_, _, refusal = g.take(other, 1)
	requireRefusal(t, refusal, call.ExecutionUnknown, call.ReasonKeyPending)
	_, _, refusal = g.take(other, 2)
	requireRefusal(t, refusal, call.NotExecuted, call.ReasonKeyReused)
	held.Complete(&claim.Response{Status: http.StatusOK, Body: []byte("booked")})
	eventually(t, "the first answer", func() bool {
		_, first, _ := g.take(other, 1)
		return first != nil && string(first.Body) == "booked"
	})
}

func TestLostAnswerStaysUnknown(t *testing.T) {
	g := newGroup()
	held, _, _ := g.take(g.taker(), 1)
	held.MarkLost()
	eventually(t, "the word that it is lost", func() bool {
		_, _, refusal := g.take(g.taker(), 1)
		return refusal.Execution == call.ExecutionUnknown && refusal.Reason == call.ReasonKeyLost
	})
}

// What did not run can be run by a resend.
func TestFreedClaimCanBeTaken(t *testing.T) {
	g := newGroup()
	held, _, _ := g.take(g.taker(), 1)
	held.Release()
	eventually(t, "the claim", func() bool {
		again, _, _ := g.take(g.taker(), 1)
		return again != nil
	})
}

func TestNoMajorityIsUnknown(t *testing.T) {
	g := newGroup()
	g.cut(true, "a", "b")
	_, _, refusal := g.take(g.taker(), 1)
	requireRefusal(t, refusal, call.ExecutionUnknown, call.ReasonKeyUnproved)
}

// Entries whose settings name other keepers must not take claims.
func TestOtherListIsRefused(t *testing.T) {
	g := newGroup()
	stranger := claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: 1, Replicas: []string{"a", "b", "x"}, Lifetime: lifetime, Clock: g.clock, Call: g.call,
	})
	_, _, refusal := g.take(stranger, 1)
	requireRefusal(t, refusal, call.ExecutionUnknown, call.ReasonKeyUnproved)
}

// A round that took too long, as in a process that was frozen, is given up,
// though all keepers granted it.
func TestFrozenRoundIsGivenUp(t *testing.T) {
	g := newGroup()
	slow := claim.NewClient(claim.ClientConfig{
		Host: "d", Incarnation: 1, Replicas: g.names, Lifetime: lifetime, Clock: g.clock,
		Call: func(address, method string, args, reply any, timeout time.Duration) error {
			err := g.call(address, method, args, reply, timeout)
			g.pass(time.Second)
			return err
		},
	})
	held, _, refusal := g.take(slow, 1)
	require.Nil(t, held)
	require.Equal(t, call.ExecutionUnknown, refusal.Execution)
}

// A keeper that has restarted grants nothing until it has learned what the
// others know, and then knows the claims of its earlier life.
func TestRestartedKeeperLearns(t *testing.T) {
	g := newGroup()
	g.cut(true, "c")
	held, _, _ := g.take(g.taker(), 1)
	require.NotNil(t, held)
	held.Complete(&claim.Response{Status: http.StatusOK, Body: []byte("booked")})
	eventually(t, "the answer", func() bool { _, first, _ := g.take(g.taker(), 1); return first != nil })

	a := g.start("a", false) // It has forgotten the claim.
	g.cut(false, "c")
	g.cut(true, "b")
	_, _, refusal := g.take(g.taker(), 1)
	requireRefusal(t, refusal, call.ExecutionUnknown, call.ReasonKeyUnproved)
	g.cut(false, "b")
	stop := make(chan struct{})
	defer close(stop)
	go a.Sync(g.names, "a", g.call, stop)
	eventually(t, "learning", a.Complete)
	g.cut(true, "b")
	_, first, _ := g.take(g.taker(), 1)
	require.NotNil(t, first)
	require.Equal(t, "booked", string(first.Body))
}

// What one other keeper knows is not enough: the claim may be known to the one
// that can't be reached.
func TestOneKeeperTeachesTooLittle(t *testing.T) {
	g := newGroup()
	g.cut(true, "c")
	held, _, _ := g.take(g.taker(), 1)
	require.NotNil(t, held)
	a := g.start("a", false)
	g.cut(false, "c")
	g.cut(true, "b")
	stop := make(chan struct{})
	var asked atomic.Int64
	var group sync.WaitGroup
	group.Go(func() {
		a.Sync(g.names, "a", func(address, method string, args, reply any, timeout time.Duration) error {
			if address == "b" {
				asked.Add(1)
			}
			return g.call(address, method, args, reply, timeout)
		}, stop)
	})
	eventually(t, "a second round", func() bool { return asked.Load() >= 2 || a.Complete() })
	require.False(t, a.Complete())
	close(stop)
	group.Wait()
}

// Two of three keepers that start anew can't learn the claims. They wait until
// all of them have run out.
func TestForgottenClaimsRunOut(t *testing.T) {
	g := newGroup()
	held, _, _ := g.take(g.taker(), 1)
	require.NotNil(t, held)
	a, b := g.start("a", false), g.start("b", false)
	require.ErrorIs(t, g.call("a", "", claim.CopyArgs{List: claim.ListDigest(g.names)}, &claim.CopyReply{}, 0), claim.ErrNotComplete)
	g.cut(true, "c")
	_, _, refusal := g.take(g.taker(), 1)
	require.NotNil(t, refusal)
	g.pass(lifetime + lifetime/20)
	require.False(t, a.Complete(), "clocks drift")
	g.pass(lifetime / 5)
	require.True(t, a.Complete() && b.Complete())
	require.True(t, held.Expiry().Before(g.clock()), "the first attempt must not run any more")
	again, _, _ := g.take(g.taker(), 1)
	require.NotNil(t, again)
}

// Attempts race while keepers are cut off, restarted and learn. At most one
// attempt of each key ever holds its claim.
func TestOneAttemptHoldsTheClaim(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		g := newGroup()
		stop := make(chan struct{})
		var held []*claim.Grant
		restarted := ""
		for range 12 {
			switch random.IntN(4) {
			case 0:
				g.cut(random.IntN(2) == 0, g.names[random.IntN(3)])
			case 1: // One keeper at a time restarts, and the next once it is complete.
				if restarted == "" || g.keepers[restarted].Complete() {
					restarted = g.names[random.IntN(3)]
					k := g.start(restarted, false)
					for _, from := range g.names {
						if from != restarted && random.IntN(2) == 0 {
							learnNow(g, k, from)
						}
					}
				}
			default:
				if h, _, _ := g.take(g.taker(), 1); h != nil {
					held = append(held, h)
				}
			}
		}
		close(stop)
		require.LessOrEqual(t, len(held), 1, "seed %d", seed)
	}
}

// learnNow copies what one keeper knows, which alone does not make the other
// complete.
func learnNow(g *group, k *claim.Service, from string) {
	stop := make(chan struct{})
	close(stop)
	k.Sync([]string{from}, "", g.call, stop)
}

func TestMalformedMessages(t *testing.T) {
	k := newGroup().keepers["a"]
	list := claim.ListDigest([]string{"a", "b", "c"})
	for _, args := range []claim.TakeArgs{
		{List: list, Key: "", Attempt: "x"}, {List: list, Key: "no team", Attempt: "x"}, {List: list, Key: key},
		{List: list, Key: "t\x00" + string(make([]byte, 600)), Attempt: "x"},
	} {
		require.ErrorIs(t, k.Take(args, &claim.TakeReply{}), claim.ErrBadMessage)
	}
	for _, args := range []claim.FinishArgs{
		{Key: key, State: 9}, {Key: key, State: claim.StateCompleted}, {Key: key, State: claim.StateLost, Answer: &claim.Response{}},
		{Key: key, State: claim.StateCompleted, Answer: &claim.Response{Body: make([]byte, 1<<20)}},
	} {
		require.ErrorIs(t, k.Finish(args, &claim.FinishReply{}), claim.ErrBadMessage)
	}
	require.Zero(t, k.Len())
}
