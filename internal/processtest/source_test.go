package processtest_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/processtest"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// program is the path of the program, which TestMain builds.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "endivewalk-test-")
	if err != nil {
		panic(err)
	}
	if program, err = processtest.Build(folder); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// kileleObjects returns the objects of the example configuration "kilele".
func kileleObjects(t testing.TB) []config.Object {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	return d.Objects()
}

// applyChange sends a change and resends it until its outcome is known, accepted or
// not.
func applyChange(t testing.TB, g *processtest.Group, c *operator.Client, change operator.Change) operator.Outcome {
	var out operator.Outcome
	var err error
	g.Eventually(20*time.Second, "outcome of "+change.Request, func() bool {
		out, err = c.Apply(context.Background(), change)
		return err == nil
	})
	return out
}

// contract returns a contract with a limit of amount bench-credits.
func contract(t testing.TB, team string, amount int) config.Object {
	o, err := config.MakeObject(config.Contract{Team: team, Limit: fmt.Sprintf("%d bench-credits", amount)})
	require.NoError(t, err)
	return o
}

// service returns a service with version v1.
func service(t testing.TB, name string) config.Object {
	o, err := config.MakeObject(config.Service{Name: name, Version: "v1", Deadline: "finish"})
	require.NoError(t, err)
	return o
}

// writer makes changes and records which were accepted. Its write may be called
// concurrently.
type writer struct {
	mutex    sync.Mutex
	accepted map[string]config.Revision // By request.
}

// write sends changes, numbered after name, until stop is closed. It resends each one
// until its outcome is known.
func (w *writer) write(t testing.TB, g *processtest.Group, name string, stop <-chan struct{}) {
	client := g.Client()
	client.Timeout = time.Second
	for i := 0; ; i++ {
		request := fmt.Sprintf("%s-%d", name, i)
		change := operator.Change{Request: request, Put: []config.Object{service(t, request)}}
		for {
			select {
			case <-stop:
				return
			default:
			}
			out, err := client.Apply(context.Background(), change)
			if err != nil {
				continue
			}
			w.mutex.Lock()
			if out.Status == operator.Accepted {
				w.accepted[request] = out.Revision
			}
			w.mutex.Unlock()
			break
		}
	}
}

// check compares the accepted changes with the configuration in force: each change
// must be there with its revision and request, and no revision may belong to two
// changes.
func (w *writer) check(t testing.TB, g *processtest.Group) {
	var now operator.Configuration
	g.Eventually(20*time.Second, "configuration", func() bool {
		var err error
		now, err = g.Client().Configuration(context.Background())
		return err == nil
	})
	inForce := map[config.Key]operator.Object{}
	for _, o := range now.Objects {
		inForce[o.Key] = o
	}
	require.NotEmpty(t, w.accepted)
	revisions := map[config.Revision]string{}
	for request, r := range w.accepted {
		o, ok := inForce[config.MakeKey(config.KindService, request)]
		require.True(t, ok, "change %s was accepted as revision %d and is lost", request, r)
		require.Equal(t, r, o.Revision, request)
		require.Equal(t, request, o.Request)
		other, twice := revisions[r]
		require.False(t, twice, "revision %d belongs to both %s and %s", r, request, other)
		revisions[r] = request
	}
	t.Logf("%d changes accepted, all in force", len(w.accepted))
}

// writeDuring runs disturb while three operators write, and then checks that no
// accepted change is lost.
func writeDuring(t *testing.T, g *processtest.Group, disturb func()) {
	w := &writer{accepted: map[string]config.Revision{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		group.Add(1)
		go func() {
			defer group.Done()
			w.write(t, g, fmt.Sprintf("w%d", i), stop)
		}()
	}
	disturb()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	group.Wait()
	w.check(t, g)
}

// TestKilledReplicasLoseNoAcceptedChange kills the leader and random replicas at
// random times during writes, and finally all three at once. No accepted change may
// be lost.
func TestKilledReplicasLoseNoAcceptedChange(t *testing.T) {
	t.Parallel()
	seed := uint64(11)
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	g := processtest.New(t, program)
	g.Leader()
	writeDuring(t, g, func() {
		for round := range 5 {
			time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
			victim := random.IntN(3)
			if round%2 == 0 {
				victim = g.Leader()
			}
			g.Source(victim).Kill()
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			g.StartSource(victim)
		}
		for i := range 3 {
			g.Source(i).Kill()
		}
		for i := range 3 {
			g.StartSource(i)
		}
		g.Leader()
	})
}

// TestFrozenLeaderServesNoStaleRead freezes the leader by SIGSTOP for longer than its
// lease, until the others have accepted a change, and resumes it. It must not reply
// as a leader with its old state.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	writeDuring(t, g, func() {
		for range 3 {
			leader := g.Leader()
			g.Source(leader).Freeze()
			begin := time.Now()
			others := g.Client((leader+1)%3, (leader+2)%3)
			others.Timeout = time.Second
			out := applyChange(t, g, others, operator.Change{Request: fmt.Sprintf("during-%d", leader), Put: []config.Object{service(t, fmt.Sprintf("during-%d", leader))}})
			t.Logf("first change accepted %v after the leader froze", time.Since(begin))
			g.Source(leader).Signal(syscall.SIGCONT)
			// A confirmed read at the resumed replica returns what the others accepted.
			g.Eventually(10*time.Second, "read", func() bool {
				now, err := g.Client(leader).Configuration(context.Background())
				if err != nil {
					return false
				}
				require.GreaterOrEqual(t, now.Revision, out.Revision)
				return true
			})
		}
	})
}

// TestDeletedDataFolderIsRepaired deletes the data folder of a replica and, right after
// that replica reports its repair, the data folder of a second one. No accepted
// change may be lost.
func TestDeletedDataFolderIsRepaired(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	g.Leader()
	writeDuring(t, g, func() {
		for _, victim := range []int{g.Leader(), (g.Leader() + 1) % 3} {
			time.Sleep(200 * time.Millisecond)
			g.Source(victim).Kill()
			require.NoError(t, os.RemoveAll(g.DataFolder(victim)))
			g.StartSource(victim)
			waitRepaired(t, g, victim)
		}
	})
}

// waitRepaired waits until the replica reports the event "repaired".
func waitRepaired(t *testing.T, g *processtest.Group, replica int) {
	t.Helper()
	name := fmt.Sprintf("source-%d", replica+1)
	client := g.Client(replica)
	client.Timeout = time.Second
	g.Eventually(20*time.Second, "repair of "+name, func() bool {
		events, err := client.Events(context.Background(), operator.Process{Address: client.Sources[0]}, time.Time{})
		if err != nil {
			return false
		}
		for _, e := range events {
			if e.Kind == "repaired" {
				return true
			}
		}
		return false
	})
}

// TestDamagedLogIsRepaired damages the logs of two replicas while they are down: it
// truncates the end of one and flips a bit in the middle of the other. The truncated
// end must be repaired at the start. The other replica must move its damaged data
// aside and join the group as a new one.
func TestDamagedLogIsRepaired(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	g.Leader()
	writeDuring(t, g, func() {
		for round, damage := range []func([]byte) []byte{
			func(log []byte) []byte { return log[:len(log)-3] },
			func(log []byte) []byte { log[len(log)/2] ^= 4; return log },
		} {
			time.Sleep(300 * time.Millisecond)
			victim := (g.Leader() + 1 + round) % 3
			g.Source(victim).Kill()
			path := filepath.Join(g.DataFolder(victim), "log")
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, damage(bytes.Clone(data)), 0o644))
			g.StartSource(victim)
			if round == 1 {
				waitRepaired(t, g, victim)
				damaged, err := filepath.Glob(filepath.Join(g.DataFolder(victim), "damaged-*"))
				require.NoError(t, err)
				require.Len(t, damaged, 1)
			}
		}
	})
}

// TestInitIsRejectedWhenGroupExists starts a replica with --init after its data folder
// was lost. It must exit with code 2 and not create a second group.
func TestInitIsRejectedWhenGroupExists(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	leader := g.Leader()
	victim := (leader + 1) % 3
	g.Source(victim).Kill()
	require.NoError(t, os.RemoveAll(g.DataFolder(victim)))
	g.StartSource(victim, "--init")
	require.Equal(t, 2, g.Source(victim).Wait(10*time.Second))
}

// TestConcurrentChangesHaveOneWinner has two operators concurrently send changes that
// replace the same revision to two replicas. One must be accepted and the other one
// conflict with it. Retries, also after the leader was killed, must return the same
// outcomes.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	first := applyChange(t, g, g.Client(), operator.Change{Request: "base", Put: kileleObjects(t)})
	require.Equal(t, operator.Accepted, first.Status)
	revision := first.Revision
	for round := range 8 {
		var group sync.WaitGroup
		outcomes := make([]operator.Outcome, 2)
		change := func(i int) operator.Change {
			return operator.Change{Request: fmt.Sprintf("race-%d-%d", round, i), Replaces: revision, Put: []config.Object{contract(t, "clubs", 1000*(round+1)+i)}}
		}
		for i := range 2 {
			group.Add(1)
			go func() {
				defer group.Done()
				outcomes[i] = applyChange(t, g, g.Client(i), change(i))
			}()
		}
		group.Wait()
		winner := 0
		if outcomes[1].Status == operator.Accepted {
			winner = 1
		}
		require.Equal(t, operator.Accepted, outcomes[winner].Status)
		require.Equal(t, operator.Conflict, outcomes[1-winner].Status)
		require.Equal(t, fmt.Sprintf("race-%d-%d", round, winner), outcomes[1-winner].Winner.Request)
		require.Equal(t, "amina", outcomes[1-winner].Winner.Operator)
		killed := -1
		if round == 4 {
			killed = g.Leader()
			g.Source(killed).Kill()
		}
		for i := range 2 {
			resent := applyChange(t, g, g.Client(), change(i))
			require.True(t, resent.Resent)
			resent.Resent = false
			require.Equal(t, outcomes[i], resent)
		}
		if killed >= 0 {
			g.StartSource(killed)
			g.Leader()
		}
		revision = outcomes[winner].Revision
	}
}

// TestRequestWithoutValidTokenIsRejected checks the errors of requests with a missing
// or wrong token, and of a request that reaches no replica.
func TestRequestWithoutValidTokenIsRejected(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	g.Leader()
	for _, token := range []string{"", "wrong"} {
		c := g.Client()
		c.Token = token
		_, err := c.Status(context.Background())
		require.ErrorIs(t, err, operator.ErrUnauthorized)
		_, err = c.Apply(context.Background(), operator.Change{Request: "x"})
		require.ErrorIs(t, err, operator.ErrUnauthorized)
	}
	_, err := (&operator.Client{Token: processtest.Token, Sources: []string{"127.0.0.1:1"}}).Status(context.Background())
	require.True(t, errors.Is(err, operator.ErrUnreachable))
}

// TestReadsSeeAcceptedChanges reads at one replica right after a change was accepted
// at another one. The read must return the change.
func TestReadsSeeAcceptedChanges(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	g.Leader()
	for i := range 150 {
		out := applyChange(t, g, g.Client(i%3), operator.Change{Request: fmt.Sprintf("c%d", i), Put: []config.Object{service(t, fmt.Sprintf("c%d", i))}})
		now, err := g.Client((i + 1) % 3).Configuration(context.Background())
		require.NoError(t, err)
		require.GreaterOrEqual(t, now.Revision, out.Revision)
	}
}

// applyToLatest applies objects as a change of the newest revision, and fails the test
// if the change is not accepted.
func applyToLatest(t testing.TB, g *processtest.Group, request string, put ...config.Object) operator.Outcome {
	var now operator.Configuration
	g.Eventually(20*time.Second, "configuration", func() bool {
		var err error
		now, err = g.Client().Configuration(context.Background())
		return err == nil
	})
	out := applyChange(t, g, g.Client(), operator.Change{Request: request, Replaces: now.Revision, Put: put})
	require.Equal(t, operator.Accepted, out.Status, "%v", out)
	return out
}
