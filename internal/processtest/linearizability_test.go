package processtest_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/processtest"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// operation is one operation of an operator on the contract: a compare-and-set by
// revision if write is set, or else a read, which has no other fields.
type operation struct {
	write    bool
	replaces config.Revision // The revision of the contract that the write replaces.
	limit    string          // The new limit.
	request  string
}

// result is the outcome of an operation, as the operator saw it. If it is unknown,
// any outcome is possible.
type result struct {
	unknown  bool
	status   string          // Of a write.
	revision config.Revision // Of the object, after the write or as read.
	limit    string
}

// registerState is the state of the contract in the sequential model.
type registerState struct {
	revision config.Revision
	limit    string
}

// registerModel is the sequential model of the contract: a write is accepted only if
// the object is not newer than the revision that the write replaces, and then the
// object has a newer revision.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(registerState), input.(operation), output.(result)
		if !in.write {
			return out.unknown || (out.revision == s.revision && out.limit == s.limit), s
		}
		accepts := s.revision <= in.replaces
		switch {
		case out.unknown:
			return true, s // Unknown writes are resent until their outcome is known.
		case out.status == operator.Accepted:
			return accepts && out.revision > s.revision, registerState{revision: out.revision, limit: in.limit}
		default:
			return !accepts, s
		}
	},
}

// historyCount is the number of seeds that TestOperationsAreLinearizable runs with.
var historyCount = flag.Uint64("histories", 2, "histories of operators to check")

// TestOperationsAreLinearizable has several operators read and change one contract at
// all replicas while the leader is killed and restarted, and checks that the
// history of operations is linearizable.
func TestOperationsAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= *historyCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			applyToLatest(t, g, "base", kileleObjects(t)...)
			applyToLatest(t, g, "start", contract(t, "clubs", 1))
			h := &history{begin: time.Now()}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for client := range 5 {
				group.Add(1)
				go func() {
					defer group.Done()
					h.operate(t, g, client, seed, stop)
				}()
			}
			random := rand.New(rand.NewPCG(seed, 50))
			for range 3 {
				time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
				victim := g.Leader()
				g.Source(victim).Kill()
				time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
				g.StartSource(victim)
			}
			g.Eventually(time.Minute, "enough operations", func() bool { return h.count() > 200 })
			close(stop)
			group.Wait()
			result := porcupine.CheckOperationsTimeout(registerModel, h.withInitialWrite(t, g), time.Minute)
			require.Equal(t, porcupine.Ok, result, "seed %d, %d operations", seed, len(h.operations))
			t.Logf("seed %d: %d operations are linearizable", seed, len(h.operations))
		})
	}
}

// history collects the operations of all operators. Its methods operate, read, add
// and count may be called concurrently.
type history struct {
	begin      time.Time // Times in operations are nanoseconds since then.
	mutex      sync.Mutex
	operations []porcupine.Operation
}

// count returns the number of operations so far.
func (h *history) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.operations)
}

// withInitialWrite returns the history with the write that created the contract in
// front, since the model begins without the contract. That write, resent, returns
// its revision.
func (h *history) withInitialWrite(t *testing.T, g *processtest.Group) []porcupine.Operation {
	outcome := applyChange(t, g, g.Client(), operator.Change{Request: "start", Put: []config.Object{contract(t, "clubs", 1)}})
	return append([]porcupine.Operation{{
		ClientId: 99, Input: operation{write: true, replaces: outcome.Revision, limit: "1 bench-credits"}, Call: -2,
		Output: result{status: operator.Accepted, revision: outcome.Revision}, Return: -1,
	}}, h.operations...)
}

// operate alternates reads and writes until stop is closed. A write whose outcome is
// unknown is resent to random replicas until the outcome is known.
func (h *history) operate(t *testing.T, g *processtest.Group, client int, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	seen := config.Revision(0)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		c := g.Client(random.IntN(3))
		c.Timeout = time.Second
		if i%2 == 0 {
			h.read(c, client, &seen)
			continue
		}
		limit := 1000*client + i
		in := operation{write: true, replaces: seen, limit: fmt.Sprintf("%d bench-credits", limit), request: fmt.Sprintf("%d-%d-%d", seed, client, i)}
		change := operator.Change{Request: in.request, Replaces: seen, Put: []config.Object{contract(t, "clubs", limit)}}
		call := time.Since(h.begin).Nanoseconds()
		for {
			out, err := c.Apply(context.Background(), change)
			if err == nil {
				h.add(client, in, result{status: out.Status, revision: out.Revision}, call)
				break
			}
			c = g.Client(random.IntN(3))
			c.Timeout = time.Second
		}
	}
}

// read reads the contract and stores its revision in seen. A failed read is not
// recorded, since it has no effect.
func (h *history) read(c *operator.Client, client int, seen *config.Revision) {
	call := time.Since(h.begin).Nanoseconds()
	now, err := c.Configuration(context.Background())
	if err != nil {
		return
	}
	for _, o := range now.Objects {
		if o.Key != "contract/clubs" {
			continue
		}
		value, err := o.Value()
		if err != nil {
			return
		}
		*seen = o.Revision
		h.add(client, operation{}, result{revision: o.Revision, limit: value.(config.Contract).Limit}, call)
	}
}

// add records an operation that was called at the time call and returns now.
func (h *history) add(client int, in operation, out result, call int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(h.begin).Nanoseconds(),
	})
}
