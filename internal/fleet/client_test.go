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

// flaky is an upstream that reads a request, and closes the connection without
// an answer whenever told to.
type flaky struct {
	listener net.Listener
	broken   atomic.Bool
	mutex    sync.Mutex
	seen     map[string]int
}

func startFlaky(t *testing.T) *flaky {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &flaky{listener: l, seen: map[string]int{}}
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

func (s *flaky) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		s.mutex.Lock()
		s.seen[r.Header.Get(standin.CallID)]++
		s.mutex.Unlock()
		if s.broken.Load() {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *flaky) requireOnce(t *testing.T, id string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	require.Equal(t, 1, s.seen[id], id)
}

func object(t *testing.T, value any) config.Object {
	t.Helper()
	o, err := config.MakeObject(value)
	require.NoError(t, err)
	return o
}

// TestClientLibraryDoesNotResend lets an upstream close kept-alive connections
// after it has read a call. net/http's client would send calls without a body,
// and those with an idempotency key, once more by itself.
func TestClientLibraryDoesNotResend(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{Replicas: 1})
	startDaemons(t, f, 2)
	s := startFlaky(t)
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
	apply(t, f, "first", kilele(t)...)
	// A reading method on a route that must not be repeated.
	apply(t, f, "odd",
		object(t, config.Template{Name: "odd", Routes: []config.TemplateRoute{
			{Name: "take", Method: http.MethodGet, Path: "/odd", Service: "booking", Repeat: config.RepeatNever, Timeout: "1s"},
		}}),
		object(t, config.Parameters{Team: "odd", Template: "odd"}))
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
		at := f.Daemon(host).Addresses().Outbound
		for i := range 20 {
			for _, key := range []string{"", fmt.Sprintf("key-%s-%d", host, i)} {
				for _, body := range []string{"", "deposit"} {
					id := fmt.Sprintf("%s-%d-%s-%s", host, i, key, body)
					s.broken.Store(false)
					c.call(at, http.MethodPost, "/internal/bookings", id+"-first", strings.NewReader(body), nil)
					s.broken.Store(true)
					header := map[string]string{}
					if key != "" {
						header[call.HeaderKey] = key
					}
					a := c.call(at, http.MethodDelete, "/internal/bookings", id, strings.NewReader(body), header)
					require.Equal(t, call.ExecutionUnknown, a.run, "%v", a)
					s.requireOnce(t, id)
				}
			}
			s.broken.Store(false)
			odd := map[string]string{call.HeaderTeam: "odd"}
			c.call(at, http.MethodGet, "/odd", "before", nil, odd)
			s.broken.Store(true)
			id := fmt.Sprintf("odd-%s-%d", host, i)
			c.call(at, http.MethodGet, "/odd", id, nil, odd)
			s.requireOnce(t, id)
		}
	}
}
