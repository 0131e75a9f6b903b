package source_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
)

// Calls that a stopping node leaves without a result must share no memory with its
// consensus goroutine, which may still carry them out. The race detector fails this test.
func TestStopDuringCalls(t *testing.T) {
	calls := map[string]func(n *source.Node, i int){
		"propose": func(n *source.Node, i int) {
			n.Propose(ledger.Command{
				Request: fmt.Sprint("retire-", i), Operator: "o",
				Retire: &ledger.Retire{Host: "d", Retirement: directory.Retirement{ID: "u", Start: int64(i + 1)}},
			}, time.Now().Add(time.Second))
		},
		"status":        func(n *source.Node, _ int) { n.Status(time.Now()) },
		"read":          func(n *source.Node, _ int) { n.ReadConfig() },
		"retirements":   func(n *source.Node, _ int) { n.Retirements("d") },
		"configuration": func(n *source.Node, _ int) { n.Configuration() },
	}
	const callers, rounds = 8, 5
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for range rounds {
				g := newOpenGroup(t, 1)
				g.replaceConfig()
				n := g.nodes[g.seeds[0].Name]
				var group sync.WaitGroup
				stopped := make(chan struct{})
				for c := range callers {
					group.Go(func() {
						for i := c; ; i += callers {
							select {
							case <-stopped:
								return
							default:
								call(n, i)
							}
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
				g.stop(g.seeds[0].Name)
				close(stopped)
				group.Wait()
				require.Empty(t, g.nodes)
			}
		})
	}
}
