package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// countingReader counts the bytes that are read from it.
type countingReader struct {
	io.Reader
	read atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read.Add(int64(n))
	return n, err
}

// The body of a call to another data centre stays here if the call is rejected there,
// and follows if it is admitted. Within the data centre it goes with its header.
func TestRejectedBodyDoesNotLeaveDataCentre(t *testing.T) {
	var admit atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !admit.Load() {
			call.NotExecutedError(call.ReasonShed).Write(w)
			return
		}
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Len(t, body, 4000)
		w.Header().Set(call.HeaderRun, string(call.Executed))
	}))
	defer server.Close()
	now := time.Now()
	p := New(Config{Zone: "a", Clock: time.Now, Counters: &count.Set{}})
	defer p.Close()
	for _, test := range []struct {
		zone  string
		admit bool
		want  int64
	}{{"b", false, 0}, {"b", true, 4000}, {"a", false, 4000}} {
		admit.Store(test.admit)
		in, err := http.NewRequest(http.MethodPost, "http://h/x", nil)
		require.NoError(t, err)
		c := &routedCall{
			request: in, route: splitRoute(t, 1), deadline: now.Add(time.Minute),
			body: &callBody{buffered: make([]byte, 4000), size: 4000},
		}
		target := feed.Target{Upstream: directory.Upstream{ID: "w"}, Zone: test.zone, Inbound: server.Listener.Addr().String()}
		request := p.newRequest(context.Background(), now, c, target)
		body := &countingReader{Reader: bytes.NewReader(make([]byte, 4000))}
		request.Body = io.NopCloser(body)
		response, err := p.connPools.get(target.Inbound, test.zone != "a").transport.RoundTrip(request)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, test.want, body.read.Load(), "%v", test)
	}
}
