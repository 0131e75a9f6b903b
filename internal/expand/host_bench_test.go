package expand_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// BenchmarkApplyRouteChange measures the work of a daemon for a change of one
// route among many: applying the delta and building the table.
func BenchmarkApplyRouteChange(b *testing.B) {
	for _, routes := range []int{300, 1500, 6000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			route := func(i int, timeout time.Duration) config.Object {
				o, err := config.MakeObject(config.HostRoute{
					Name: fmt.Sprintf("r-%d", i), Host: fmt.Sprintf("h%d.example", i%3), Prefix: fmt.Sprintf("/p%d/", i),
					Repeat: config.RepeatSafe, Timeout: config.Duration(timeout), Attempts: 2,
					Split: []config.Destination{{Service: "s", Weight: 1}},
				})
				require.NoError(b, err)
				return o
			}
			service, err := config.MakeObject(config.Service{Name: "s", Version: "v1", Deadline: "finish"})
			require.NoError(b, err)
			all := []config.Object{service}
			for i := range routes {
				all = append(all, route(i, time.Second))
			}
			var source catalog.Catalog
			source.Change(all, nil)
			current := &catalog.Catalog{}
			var builder expand.Builder
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				current, err = current.Apply(source.Delta(current.Revision(), current.Digest()))
				require.NoError(b, err)
				_, err = builder.Build(current.Revision(), current.Objects())
				require.NoError(b, err)
				source.Change([]config.Object{route(0, time.Second+time.Duration(i)*time.Millisecond)}, nil)
			}
		})
	}
}
