package expand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

func hostRoute(name, host, prefix, service string) config.HostRoute {
	return config.HostRoute{
		Name: name, Host: host, Prefix: prefix, Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second),
		Attempts: 1, Split: []config.Destination{{Service: service, Weight: 1}},
	}
}

func buildWhole(t *testing.T, w config.Config) (*expand.Table, error) {
	t.Helper()
	objects, err := w.Objects()
	require.NoError(t, err)
	byKey := map[config.Key]config.Object{}
	for _, o := range objects {
		byKey[o.Key] = o
	}
	var b expand.Builder
	return b.Build(1, byKey)
}

// Among a host's routes the one with the longest prefix applies, and a prefix
// ends at a slash.
func TestMatchHost(t *testing.T) {
	w := config.Config{
		Version: 7, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}},
		Routes: []config.HostRoute{
			hostRoute("long", "a", "/x/y/", "s"), hostRoute("short", "a", "/x/", "s"),
			hostRoute("other", "b", "/x/y/z/", "s"), hostRoute("root", "c", "/", "s"),
		},
	}
	table, err := buildWhole(t, w)
	require.NoError(t, err)
	require.Equal(t, uint64(7), table.Fleet().Version)
	for _, test := range []struct{ host, path, want string }{
		{"a", "/x/y/1", "long"}, {"a", "/x/y/", "long"}, {"a", "/x/y", "short"}, {"a", "/x/yy/1", "short"},
		{"a", "/x/", "short"}, {"a", "/x", ""}, {"a", "/", ""}, {"a", "", ""},
		{"b", "/x/y/z/1", "other"}, {"b", "/x/y/1", ""}, {"c", "/anything/at/all", "root"}, {"d", "/x/", ""},
	} {
		r, ok := table.MatchHost(test.host, test.path)
		require.Equal(t, test.want != "", ok, "%s%s", test.host, test.path)
		if ok {
			require.Equal(t, test.want, r.Name(), "%s%s", test.host, test.path)
		}
	}
}

func TestHostRouteNeedsItsService(t *testing.T) {
	w := config.Config{Version: 1, Routes: []config.HostRoute{hostRoute("r", "a", "/", "missing")}}
	_, err := buildWhole(t, w)
	require.ErrorContains(t, err, `service "missing", which does not exist`)
}
