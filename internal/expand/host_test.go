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

func buildConfig(t *testing.T, c config.Config) (*expand.Table, error) {
	t.Helper()
	objects, err := c.Objects()
	require.NoError(t, err)
	byKey := map[config.Key]config.Object{}
	for _, o := range objects {
		byKey[o.Key] = o
	}
	var b expand.Builder
	return b.Build(1, byKey)
}

// Among the routes of a host the one with the longest prefix must match.
// Prefixes end at a slash and match nothing in between.
func TestMatchHostFindsLongestPrefix(t *testing.T) {
	c := config.Config{
		Version: 7, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}},
		Routes: []config.HostRoute{
			hostRoute("long", "a", "/x/y/", "s"), hostRoute("short", "a", "/x/", "s"),
			hostRoute("other", "b", "/x/y/z/", "s"), hostRoute("root", "c", "/", "s"),
		},
	}
	table, err := buildConfig(t, c)
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

// A destination whose service does not exist would leave calls without an
// upstream.
func TestHostRouteNeedsExistingService(t *testing.T) {
	c := config.Config{Version: 1, Routes: []config.HostRoute{hostRoute("r", "a", "/", "missing")}}
	_, err := buildConfig(t, c)
	require.ErrorContains(t, err, `service "missing", which does not exist`)
}
