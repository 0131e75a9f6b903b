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

// operation is one thing that an operator did to one contract: a compare and
// set by revision, or a read.
type operation struct {
	write    bool
	replaces config.Revision
	limit    string
	request  string
}

// answered is what the operator was told. An unknown outcome may be any.
type answered struct {
	unknown  bool
	status   string
	revision config.Revision // Of the object, after a write or as read.
	limit    string
}

// register is the state of the contract.
type register struct {
	revision config.Revision
	limit    string
}

// model says which answers are right: a write takes place only if the object
// is not newer than what it replaces, and gives it a newer revision.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(operation), output.(answered)
		if !in.write {
			return out.unknown || (out.revision == s.revision && out.limit == s.limit), s
		}
		accepts := s.revision <= in.replaces
		switch {
		case out.unknown:
			return true, s // Unknown writes are resent until they are known.
		case out.status == operator.Accepted:
			return accepts && out.revision > s.revision, register{revision: out.revision, limit: in.limit}
		default:
			return !accepts, s
		}
	},
}

// histories is how many seeds TestOperatorsAreLinearizable runs.
var histories = flag.Uint64("histories", 2, "histories of operators to check")

// TestOperatorsAreLinearizable has several operators read and change one
// contract at all replicas, while the leader is killed and frozen, and checks
// the history.
func TestOperatorsAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= *histories; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			applyNow(t, g, "base", kilele(t)...)
			applyNow(t, g, "start", contract(t, "clubs", 1))
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
			result := porcupine.CheckOperationsTimeout(model, h.withFirst(t, g), time.Minute)
			require.Equal(t, porcupine.Ok, result, "seed %d, %d operations", seed, len(h.operations))
			t.Logf("seed %d: %d operations are linearizable", seed, len(h.operations))
		})
	}
}

type history struct {
	begin      time.Time
	mutex      sync.Mutex
	operations []porcupine.Operation
}

func (h *history) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.operations)
}

// withFirst puts the write that the model begins with first.
func (h *history) withFirst(t *testing.T, g *processtest.Group) []porcupine.Operation {
	first := apply(t, g, g.Client(), operator.Change{Request: "start", Put: []config.Object{contract(t, "clubs", 1)}})
	return append([]porcupine.Operation{{
		ClientId: 99, Input: operation{write: true, replaces: first.Revision, limit: "1 bench-credits"}, Call: -2,
		Output: answered{status: operator.Accepted, revision: first.Revision}, Return: -1,
	}}, h.operations...)
}

// operate reads and writes by turns. A write whose outcome is unknown is sent
// again, at any replica, until it is known.
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
				h.add(client, in, answered{status: out.Status, revision: out.Revision}, call)
				break
			}
			c = g.Client(random.IntN(3))
			c.Timeout = time.Second
		}
	}
}

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
		h.add(client, operation{}, answered{revision: o.Revision, limit: value.(config.Contract).Limit}, call)
	}
}

func (h *history) add(client int, in operation, out answered, call int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(h.begin).Nanoseconds(),
	})
}
