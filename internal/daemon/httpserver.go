package daemon

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/accept"
	"github.com/endivewalk/endivewalk/internal/count"
)

const (
	headerTimeout = 5 * time.Second // For the header of a request.
	idleTimeout   = time.Minute     // Of a connection between two requests.
)

// httpServer is an HTTP server that can be shut down without cutting off a call.
type httpServer struct {
	listener        net.Listener
	server          *http.Server
	closing         atomic.Bool // Each response closes its connection.
	openConnections atomic.Int64
}

// serveHTTP listens at an address and serves h there in a new goroutine. The caller
// closes the server.
func (d *Daemon) serveHTTP(address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.New("daemon: listen for HTTP: %v", err)
	}
	s := &httpServer{listener: l}
	s.server = &http.Server{
		Handler: s.closeAfterResponse(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: newErrorLog(d.config.Counters), ConnState: s.trackConnection,
	}
	go s.server.Serve(l)
	return s, nil
}

// address returns the address that the server listens on.
func (s *httpServer) address() string { return s.listener.Addr().String() }

// trackConnection counts open connections. It is the server's ConnState hook.
func (s *httpServer) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// closeAfterResponse returns a handler that, once closing is set, ends each connection
// with its next response. Idle connections stay open: closing them would cut off a
// call that is just being sent on one.
func (s *httpServer) closeAfterResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// shutdown closes the listener and idle connections, and waits until all calls have
// their response. It returns ctx's error if that takes too long.
func (s *httpServer) shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// refuseConnections lets the system refuse new connections. Where the system cannot do
// that, it returns an error and connections are accepted until shutdown.
func (s *httpServer) refuseConnections() error { return accept.Refuse(s.listener) }

// newErrorLog returns a logger for net/http that counts its lines in http_errors
// instead of writing them.
func newErrorLog(c *count.Set) *log.Logger {
	return log.New(countingWriter{c}, "", 0)
}

// countingWriter counts writes and discards their data.
type countingWriter struct{ counters *count.Set }

// Write counts p as one line. It never fails.
func (w countingWriter) Write(p []byte) (int, error) {
	w.counters.Add("http_errors", 1)
	return len(p), nil
}
