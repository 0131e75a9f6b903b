package access_test

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// table returns a configuration at a revision with the teams that hold keys, an anonymous
// route /open/ and another one, /.
func table(t *testing.T, r config.Revision, keyed bool, owners map[string]string) *expand.Table {
	t.Helper()
	c := config.Config{Version: uint64(r), Keyed: keyed, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}}}
	for key, team := range owners {
		c.Teams = append(c.Teams, config.Team{Name: team, Keys: []string{config.KeyDigest(key)}})
	}
	for _, prefix := range []string{"/", "/open/"} {
		c.Routes = append(c.Routes, config.HostRoute{
			Name: prefix, Host: "h", Prefix: prefix, Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second), Attempts: 1,
			Split: []config.Destination{{Service: "s", Weight: 1}}, Anonymous: prefix == "/open/",
		})
	}
	require.NoError(t, c.Check())
	objects, err := c.Objects()
	require.NoError(t, err)
	byKey := map[config.Key]config.Object{}
	for _, o := range objects {
		byKey[o.Key] = o
	}
	var b expand.Builder
	built, err := b.Build(r, byKey)
	require.NoError(t, err)
	return built
}

func request(path, authorization string) access.Request {
	h := http.Header{}
	if authorization != "" {
		h.Set("Authorization", authorization)
	}
	u, err := url.Parse("http://h" + path)
	if err != nil {
		panic(err)
	}
	return access.RequestOf(&http.Request{Host: "h:80", URL: u, Header: h})
}

// Guards against keys that are refused as unknown, or accepted, by a configuration that may
// have been replaced.
func TestUnconfirmedConfigurationDecidesNothing(t *testing.T) {
	keyed := table(t, 1, true, map[string]string{"k": "a"})
	for _, authorization := range []string{"", "Token k", "Token x", "Basic k"} {
		_, err := access.Decide(keyed, request("/x", authorization), false)
		require.ErrorIs(t, err, access.ErrUnconfirmed, authorization)
		_, err = access.Decide(keyed, request("/open/x", authorization), false)
		require.NoError(t, err, authorization)
	}
	g, err := access.Decide(table(t, 1, false, nil), request("/x", "Token k"), false)
	require.NoError(t, err)
	require.False(t, g.IsDecided())
}

// Guards against a call that keeps a key which was withdrawn, or given to another team, while
// it waited or on its way to another daemon.
func TestGrantIsRenewedByNewerConfiguration(t *testing.T) {
	old := table(t, 5, true, map[string]string{"k": "a"})
	withdrawn := table(t, 6, true, map[string]string{"l": "a"})
	moved := table(t, 6, true, map[string]string{"k": "b"})
	g, err := access.Decide(old, request("/x", "Token k"), true)
	require.NoError(t, err)
	require.Equal(t, "a", g.Team())
	g, err = access.Parse(g.String())
	require.NoError(t, err)

	_, err = g.Renew(old, request("/x", ""), false)
	require.ErrorIs(t, err, access.ErrUnconfirmed, "a process that was suspended")
	_, err = g.Renew(withdrawn, request("/x", ""), true)
	require.ErrorIs(t, err, access.ErrUnknownKey)
	same, err := g.Renew(table(t, 4, true, nil), request("/x", ""), true)
	require.NoError(t, err)
	require.Equal(t, "a", same.Team(), "an older configuration must not overrule")
	renewed, err := g.Renew(moved, request("/x", ""), true)
	require.NoError(t, err)
	require.Equal(t, "b", renewed.Team())
	renewed, err = g.Renew(withdrawn, request("/open/x", ""), true)
	require.NoError(t, err)
	require.Empty(t, renewed.Team())

	undecided, err := access.Parse("")
	require.NoError(t, err)
	_, err = undecided.Renew(old, request("/x", "Token x"), true)
	require.ErrorIs(t, err, access.ErrUnknownKey)
	renewed, err = undecided.Renew(old, request("/x", "Token k"), true)
	require.NoError(t, err)
	require.Equal(t, "a", renewed.Team())
}

// Guards against a malformed decision of another process that counts as one.
func TestMalformedGrantIsRefused(t *testing.T) {
	for _, text := range []string{" ", "key", "key 1", "key 1 d", "key x d a", "key 1  a", "key 1 d A B", "anonymous", "anonymous -1", "anonymous 1 d a", "nested 1", "key 1 d a b"} {
		_, err := access.Parse(text)
		require.ErrorIs(t, err, access.ErrBadGrant, text)
	}
}

// Guards against a path that begins like an anonymous route and that a server resolves to
// another one, which needs a key.
func TestAnonymousRouteDoesNotCoverPathsThatServersResolve(t *testing.T) {
	keyed := table(t, 1, true, map[string]string{"k": "a"})
	for _, path := range []string{"/open/", "/open/x", "/open/x/", "/open/a.b/..c", "/open/%41%C3%A9", "/open/x?q=/../y"} {
		_, err := access.Decide(keyed, request(path, ""), true)
		require.NoError(t, err, path)
	}
	for _, path := range []string{
		"/open/../x", "/open/./../x", "/open/..", "/open/%2e%2e/x", "/open/.%2E/x", "/open/..%2fx", "/open/..;/x", "/open/x;/../y", "/open//../x",
		"/open//x", "/open/%252e%252e/x", "/open/..%5cx", "/open%2Fx", "/open/%00x", "/open/%0d%0ax", "/open/%7fx", "//open/x",
	} {
		_, err := access.Decide(keyed, request(path, ""), true)
		require.ErrorIs(t, err, access.ErrNoKey, path)
		g, err := access.Decide(keyed, request(path, "Token k"), true)
		require.NoError(t, err, path)
		require.Equal(t, "a", g.Team(), path)
	}
}
