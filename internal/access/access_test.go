package access_test

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// table returns a configuration at a revision with the teams that hold keys, the route /, the
// route /open/closed/, and anonymous routes, /open/ among them.
func table(t *testing.T, r config.Revision, keyed bool, owners map[string]string, anonymous ...string) *expand.Table {
	t.Helper()
	anonymous = append(anonymous, "/open/")
	c := config.Config{Version: uint64(r), Keyed: keyed, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}}}
	for key, team := range owners {
		c.Teams = append(c.Teams, config.Team{Name: team, Keys: []string{config.KeyDigest(key)}})
	}
	prefixes := slices.Compact(slices.Sorted(slices.Values(append([]string{"/", "/open/closed/"}, anonymous...))))
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, config.HostRoute{
			Name: prefix, Host: "h", Prefix: prefix, Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second), Attempts: 1,
			Split: []config.Destination{{Service: "s", Weight: 1}}, Anonymous: slices.Contains(anonymous, prefix),
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
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + path + " HTTP/1.1\r\nHost: h:80\r\n\r\n")))
	if err != nil {
		panic(err)
	}
	r.Header = h
	return access.RequestOf(r)
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
	require.False(t, g.IsKeyed())
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
	for _, text := range []string{" ", "key", "key 1", "key 1 d", "key x d a", "key 1  a", "key 1 d A B", "anonymous", "open", "open 1 a", "anonymous -1", "anonymous 1 d a", "nested 1", "key 1 d a b"} {
		_, err := access.Parse(text)
		require.ErrorIs(t, err, access.ErrBadGrant, text)
	}
}

// Guards against a path that begins like an anonymous route and that a server resolves to
// another one, which needs a key; and against other paths of that route being refused.
func TestAnonymousRouteDoesNotCoverPathsThatServersResolve(t *testing.T) {
	keyed := table(t, 1, true, map[string]string{"k": "a"}, "/open/", "/a//b;c/", "/x y/")
	for _, path := range []string{
		"/open/", "/open/x", "/open/x/", "/open/a.b/..c", "/open/%41%C3%A9", "/open/\u00e9|\"", "/open/x?q=/../y", "/open/50%25", "/open/a;b=1", "/open//a", "/open/a%2Fb", "/open/./a",
		"/a//b;c/x", "/x%20y/z",
	} {
		_, err := access.Decide(keyed, request(path, ""), true)
		require.NoError(t, err, path)
	}
	for _, path := range []string{
		"/open/../x", "/open/./../x", "/open/..", "/open/%2e%2e/x", "/open/.%2E/x", "/open/..%2fx", "/open/..;/x", "/open/x;/../y", "/open//../x", "/open/..#", "/open/..%23",
		"/open/%252e%252e/x", "/open/%25252525252e./x", "/open/..%5cx", "/open/..\\x", "/open%2Fx", "/open%2Fx|", "/open%2Fx\"", "/open/%00x", "/open/%0d%0ax", "/open/%7fx", "//open/x",
		"/open/%c0%ae%c0%ae/x", "/open/.%20./x", "/open/..%20/x", "/open//closed/x", "/open/closed%2Fx", "/open/closed;a/x", "/open/%63losed/x", "/op%65n/x",
	} {
		_, err := access.Decide(keyed, request(path, ""), true)
		require.ErrorIs(t, err, access.ErrNoKey, path)
		g, err := access.Decide(keyed, request(path, "Token k"), true)
		require.NoError(t, err, path)
		require.Equal(t, "a", g.Team(), path)
	}
}

// Guards against a decision by an older configuration where the sender knows a newer one, and
// against calls that are let through where there is no configuration.
func TestNewerOpenConfigurationIsNotOverruled(t *testing.T) {
	open, err := access.Decide(table(t, 5, false, nil), request("/x", ""), true)
	require.NoError(t, err)
	open, err = access.Parse(open.String())
	require.NoError(t, err)
	_, err = open.Renew(table(t, 4, true, nil), request("/x", ""), true)
	require.NoError(t, err)
	_, err = open.Renew(table(t, 6, true, nil), request("/x", ""), true)
	require.ErrorIs(t, err, access.ErrNoKey)
	_, err = open.Renew(&expand.Table{}, request("/x", ""), true)
	require.NoError(t, err)
	_, err = access.Grant{}.Renew(&expand.Table{}, request("/x", "Token k"), true)
	require.ErrorIs(t, err, access.ErrNoConfiguration)
}
