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

// A keyed call whose claim others may have forgotten is not run, whatever time
// it still has.
func TestForgottenClaimIsNotRun(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond) // The gate's clock stands still.
	after := func(d time.Duration) string { return strconv.FormatInt(now.Add(d).UnixMilli(), 10) }
	var runs atomic.Int64
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer worker.Close()
	g := upstream.New(upstream.Config{Clock: func() time.Time { return now }, Counters: &count.Set{}, Events: event.New("d", "z")})
	require.NoError(t, g.Announce(now, upstream.Announcement{
		ID: "w", Service: "s", Version: "v", Address: strings.TrimPrefix(worker.URL, "http://"),
		Slots: 1, Connections: 1, Lease: config.Duration(time.Minute),
	}))
	send := func(until string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/book", strings.NewReader("deposit"))
		r.Header.Set(call.HeaderUpstream, "w")
		r.Header.Set(call.HeaderBudget, "60000000")
		if until != "" {
			r.Header.Set(call.HeaderUntil, until)
		}
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}
	for _, test := range []struct {
		until string
		want  call.Execution
		runs  int64
	}{
		{after(-time.Millisecond), call.NotExecuted, 0},
		{after(0), call.NotExecuted, 0},
		{"soon", call.NotExecuted, 0},
		{after(time.Millisecond), call.Executed, 1},
		{"", call.Executed, 2},
	} {
		w := send(test.until)
		require.Equal(t, string(test.want), w.Header().Get(call.HeaderRun), "until %q", test.until)
		require.Equal(t, test.runs, runs.Load(), "until %q", test.until)
	}
}
