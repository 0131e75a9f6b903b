package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// A call with an idempotency key is not executed from its expiry on, even if its
// deadline is later: the claim replicas may have forgotten the claim by then, so
// that another attempt could execute the call again.
func TestCallAfterExpiryIsNotExecuted(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond) // The proxy's clock stands still.
	expiresIn := func(d time.Duration) string { return strconv.FormatInt(now.Add(d).UnixMilli(), 10) }
	var executions atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executions.Add(1) }))
	defer server.Close()
	p := upstream.New(upstream.Config{Clock: func() time.Time { return now }, Counters: &count.Set{}, Events: event.New("d", "z")})
	require.NoError(t, p.Announce(now, upstream.Announcement{
		ID: "w", Service: "s", Version: "v", Address: strings.TrimPrefix(server.URL, "http://"),
		Slots: 1, Connections: 1, Lease: config.Duration(time.Minute),
	}))
	send := func(expiry string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/book", strings.NewReader("deposit"))
		r.Header.Set(call.HeaderUpstream, "w")
		r.Header.Set(call.HeaderBudget, "60000000")
		if expiry != "" {
			r.Header.Set(call.HeaderUntil, expiry)
		}
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		return w
	}
	for _, test := range []struct {
		expiry     string
		want       call.Execution
		executions int64
	}{
		{expiresIn(-time.Millisecond), call.NotExecuted, 0},
		{expiresIn(0), call.NotExecuted, 0},
		{"soon", call.NotExecuted, 0},
		{expiresIn(time.Millisecond), call.Executed, 1},
		{"", call.Executed, 2},
	} {
		w := send(test.expiry)
		require.Equal(t, string(test.want), w.Header().Get(call.HeaderRun), "expiry %q", test.expiry)
		require.Equal(t, test.executions, executions.Load(), "expiry %q", test.expiry)
	}
}
