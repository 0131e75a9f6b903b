package fleet_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// flakyUpstream is an upstream that reads each request and, while broken is set,
// closes the connection without a response.
type flakyUpstream struct {
	listener net.Listener
	broken   atomic.Bool
	mutex    sync.Mutex
	requests map[string]int // By call ID.
}

// startFlakyUpstream starts a flakyUpstream that is not broken.
func startFlakyUpstream(t *testing.T) *flakyUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &flakyUpstream{listener: l, requests: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve reads requests of a connection and counts them until it is broken.
func (s *flakyUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		s.mutex.Lock()
		s.requests[r.Header.Get(standin.HeaderCallID)]++
		s.mutex.Unlock()
		if s.broken.Load() {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// requireOnce checks that a call reached the upstream exactly once.
func (s *flakyUpstream) requireOnce(t *testing.T, id string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	require.Equal(t, 1, s.requests[id], id)
}

// makeObject returns the configuration object of a value.
func makeObject(t *testing.T, value any) config.Object {
	t.Helper()
	o, err := config.MakeObject(value)
	require.NoError(t, err)
	return o
}

// TestHTTPTransportDoesNotRetry has an upstream close kept-alive connections after
// it has read a call. By default, the client of net/http then retries calls
// without a body and calls with an idempotency key by itself; such a call would
// be executed twice.
func TestHTTPTransportDoesNotRetry(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Replicas: 1})
	startDaemons(t, f, 2)
	s := startFlakyUpstream(t)
	announce := func() {
		data, err := json.Marshal(upstream.Announcement{
			ID: "flaky", Service: "booking", Version: "v1", Address: s.listener.Addr().String(),
			Slots: 4, Connections: 4, Lease: config.Duration(time.Minute),
		})
		require.NoError(t, err)
		r, err := http.Post("http://"+f.Daemon("d0").Addresses().Local+"/v1/upstreams", "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		r.Body.Close()
		require.Equal(t, http.StatusOK, r.StatusCode)
	}
	announce()
	apply(t, f, "first", kileleObjects(t)...)
	// A safe method (GET) on a route that must not be retried.
	apply(t, f, "odd",
		makeObject(t, config.Template{Name: "odd", Routes: []config.TemplateRoute{
			{Name: "take", Method: http.MethodGet, Path: "/odd", Service: "booking", Repeat: config.RepeatNever, Timeout: "1s"},
		}}),
		makeObject(t, config.Parameters{Team: "odd", Template: "odd"}))
	eventually(t, "readiness", func() bool {
		for _, d := range f.Daemons() {
			if !d.Ready() || len(d.Hub().View().Targets("booking", "v1")) != 1 {
				return false
			}
		}
		return true
	})
	c := newCaller(t)
	for _, host := range []string{"d0", "d1"} {
		outbound := f.Daemon(host).Addresses().Outbound
		for i := range 20 {
			for _, header := range []map[string]string{{}, {call.HeaderKey: fmt.Sprintf("key-%s-%d", host, i)}, {"X-Idempotency-Key": "k"}} {
				for _, body := range []string{"", "deposit"} {
					id := fmt.Sprintf("%s-%d-%v-%s", host, i, header, body)
					s.broken.Store(false)
					c.call(outbound, http.MethodPost, "/internal/bookings", id+"-first", strings.NewReader(body), nil)
					s.broken.Store(true)
					a := c.call(outbound, http.MethodDelete, "/internal/bookings", id, strings.NewReader(body), header)
					require.Equal(t, call.ExecutionUnknown, a.execution, "%v", a)
					s.requireOnce(t, id)
				}
			}
			s.broken.Store(false)
			odd := map[string]string{call.HeaderTeam: "odd"}
			c.call(outbound, http.MethodGet, "/odd", "before", nil, odd)
			s.broken.Store(true)
			id := fmt.Sprintf("odd-%s-%d", host, i)
			c.call(outbound, http.MethodGet, "/odd", id, nil, odd)
			s.requireOnce(t, id)
		}
	}
}
