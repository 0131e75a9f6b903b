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
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// httpServer is one of the daemon's HTTP servers.
type httpServer struct {
	listener net.Listener
	server   *http.Server
	closing  atomic.Bool
	open     atomic.Int64 // Connections.
}

// serveHTTP begins to serve h at an address.
func (d *Daemon) serveHTTP(address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.New("daemon: %v", err)
	}
	f := &httpServer{listener: l}
	f.server = &http.Server{
		Handler: f.mayClose(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: countedLog(d.config.Counters), ConnState: f.count,
	}
	go f.server.Serve(l)
	return f, nil
}

func (f *httpServer) address() string { return f.listener.Addr().String() }

func (f *httpServer) count(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		f.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.open.Add(-1)
	}
}

// mayClose tells connections to close with their next answer once closing is
// set. Idle ones stay open: to close them would cut off a call that is just
// being sent on one.
func (f *httpServer) mayClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// shutdown ends the server once all calls are answered, and closes what is
// left of idle connections.
func (f *httpServer) shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

// refuse refuses new connections. Where the system can't do that, they are
// taken until shutdown.
func (f *httpServer) refuse() error { return accept.Refuse(f.listener) }

// countedLog turns what net/http would log into a counter.
func countedLog(c *count.Set) *log.Logger {
	return log.New(countingWriter{c}, "", 0)
}

type countingWriter struct{ counters *count.Set }

// Write counts a line.
func (w countingWriter) Write(p []byte) (int, error) {
	w.counters.Add("http_errors", 1)
	return len(p), nil
}
