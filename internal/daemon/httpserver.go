package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/accept"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/http1"
	"github.com/endivewalk/endivewalk/internal/logs"
)

const (
	headerTimeout = 5 * time.Second // For the header of a request.
	idleTimeout   = time.Minute     // Of a connection between two requests.
)

// httpServer is an HTTP server that can be shut down without cutting off a call. It cancels
// the calls of a connection when the other side closes that, also while their bodies have
// not been read; a call waits for a slot without its body.
type httpServer struct {
	listener net.Listener
	server   *http1.Server
}

// serveHTTP listens at an address and serves h there in a new goroutine. The caller
// closes the server.
func (d *Daemon) serveHTTP(address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.New("daemon: listen for HTTP: %v", err)
	}
	s := &httpServer{listener: l, server: http1.NewServer(http1.ServerConfig{
		Handler:     h,
		Limits:      func() http1.Limits { return http1.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout} },
		OnRejected:  func(int, string) { d.config.Counters.Add("http_errors", 1) },
		Replacement: func(w http.ResponseWriter, _ *http.Request) { call.UnknownError(call.ReasonBroken).Write(w) },
		OnAborted: func(r *http.Request, a http1.Aborted) {
			d.config.Counters.Add("http_responses_aborted", 1)
			d.config.CallLog.Log(logs.ClassRefusal, "msg", "response to another daemon aborted", "id", d.config.CallID(r.Header),
				"begun", a.Begun, "earlier", a.Earlier, "later", a.Later)
		},
		OnPanic: func(cause any, stack []byte) {
			d.config.Counters.Add("panics", 1)
			d.config.Logger.Log("msg", "panic while a request was handled", "cause", cause, "stack", string(stack))
		},
	})}
	go s.server.Serve(l)
	return s, nil
}

// address returns the address that the server listens on.
func (s *httpServer) address() string { return s.listener.Addr().String() }

// close closes the listener and all connections. The address is free when it returns.
func (s *httpServer) close() {
	s.listener.Close() // The server may not have begun to serve it.
	s.server.Close()
}

// shutdown closes the listener and idle connections, and waits until all calls have
// their response. It returns ctx's error if that takes too long.
func (s *httpServer) shutdown(ctx context.Context) error {
	s.listener.Close() // The server may not have begun to serve it.
	s.server.Drain()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for s.server.ActiveRequests() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// refuseConnections lets the system refuse new connections. Where the system cannot do
// that, it returns an error and connections are accepted until shutdown.
func (s *httpServer) refuseConnections() error { return accept.Refuse(s.listener) }
