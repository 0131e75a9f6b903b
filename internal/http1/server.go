// Package http1 implements an HTTP/1.1 server and client for callers and
// upstreams, where net/http does not suffice: the server runs pipelined requests
// concurrently and cancels running requests when the caller closes the connection;
// the client drops late responses to earlier requests.
package http1

import (
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Limits bounds what a caller may send. Zero fields mean no limit; without
// MaxHeaderBytes, a fixed limit of maxHeaderBytes applies. The sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // From the first byte of a request to the end of its header.
	IdleTimeout    time.Duration // Between requests.
}

// maxLimit bounds sizes and times, so that slack can be added to them.
const maxLimit = math.MaxInt64 / 2

// bounded returns the limits without those that are too large to matter.
func (l Limits) bounded() Limits {
	l.MaxHeaderBytes = min(l.MaxHeaderBytes, maxLimit)
	l.HeaderTimeout = min(l.HeaderTimeout, maxLimit)
	l.IdleTimeout = min(l.IdleTimeout, maxLimit)
	return l
}

// ServerConfig describes a Server. Handler is required.
type ServerConfig struct {
	Handler http.Handler
	// Limits returns the limits for the next request of a connection. Nil means
	// none. It may be called concurrently.
	Limits func() Limits
	// MaxPipelined is how many requests of one connection run concurrently; 0
	// means 16.
	MaxPipelined int
	// WriteTimeout is how long a caller may go without reading while a response is being
	// written; 0 means 30 s. A response that makes progress may take any time.
	WriteTimeout time.Duration
	// MaxHeldBytes bounds the responses, in bytes, that are held in memory until earlier
	// ones on their connections are complete, or until they cannot break off any more; 0
	// means 16 MiB. A connection holds 8 MiB at most.
	MaxHeldBytes int64
	// OnNotHeld is called when a response has to wait for earlier ones without room in
	// memory, so that its handler waits. It may be nil and may be called concurrently.
	OnNotHeld func()
	// OnRejected is called for each request that the server rejects itself because
	// it is malformed or over a limit. It may be nil and may be called
	// concurrently.
	OnRejected func(status int, reason string)
	// OnCallerLeft is called when a caller has closed its connection before its
	// requests had complete responses, with their number. It may be nil and may be
	// called concurrently.
	OnCallerLeft func(pending int)
	// Replacement responds to a request whose handler has aborted its response, by a panic
	// or by writing less than it declared, before any of that was written. The connection
	// and the other requests on it go on. Nil means status 502 without a body.
	Replacement http.HandlerFunc
	// OnAborted is called for each response that its handler has not completed, unless its
	// connection has ended before. It may be nil and may be called concurrently.
	OnAborted func(*http.Request, Aborted)
	// OnPanic is called with the value and the stack of a panic of the handler, other than
	// http.ErrAbortHandler. It may be called concurrently. If it is nil, the panic ends the
	// process.
	OnPanic func(cause any, stack []byte)
}

const (
	defaultMaxPipelined = 16
	defaultWriteTimeout = 30 * time.Second
	// idleSlack is added to the idle time, so that a caller that keeps within it
	// never finds the connection closed.
	idleSlack = 2 * time.Second
	// headerSlack is added to the time limit of a header for the same reason.
	headerSlack = time.Second
	// maxHeaderBytes bounds a header if no limit is set.
	maxHeaderBytes = 1 << 20
)

// Server serves HTTP/1.1 connections. It is safe for concurrent use. Create one with
// NewServer.
type Server struct {
	config             ServerConfig
	keepAlivesDisabled atomic.Bool
	draining           atomic.Bool // Drain was called.
	mutex              sync.Mutex
	listeners          map[net.Listener]bool
	// conns has the open connections; nil after Close.
	conns map[*serverConn]bool
	// active is the number of requests without a complete response.
	active    atomic.Int64
	held      atomic.Int64 // Bytes of responses that are held in memory.
	connGroup sync.WaitGroup
}

// NewServer returns a server without listeners.
func NewServer(c ServerConfig) *Server {
	if c.MaxPipelined == 0 {
		c.MaxPipelined = defaultMaxPipelined
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.Limits == nil {
		c.Limits = func() Limits { return Limits{} }
	}
	if c.OnRejected == nil {
		c.OnRejected = func(int, string) {}
	}
	if c.MaxHeldBytes == 0 {
		c.MaxHeldBytes = defaultMaxHeldBytes
	}
	if c.OnNotHeld == nil {
		c.OnNotHeld = func() {}
	}
	if c.Replacement == nil {
		c.Replacement = writeBadGateway
	}
	if c.OnAborted == nil {
		c.OnAborted = func(*http.Request, Aborted) {}
	}
	if c.OnCallerLeft == nil {
		c.OnCallerLeft = func(int) {}
	}
	return &Server{config: c, listeners: map[net.Listener]bool{}, conns: map[*serverConn]bool{}}
}

// ErrClosed is returned by Serve when its listener or the server has been closed,
// or when Accept fails permanently; the error of Accept is not part of it.
var ErrClosed = errs.New("http1: server closed")

// acceptRetryPause is how long Serve waits after a temporary failure of Accept,
// such as a lack of file descriptors.
const acceptRetryPause = 5 * time.Millisecond

// Serve accepts connections from l until l or the server is closed, and then
// returns ErrClosed. After Close or Drain it closes l at once. It may be called for
// several listeners.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return ErrClosed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if temporary, ok := err.(interface{ Temporary() bool }); ok && temporary.Temporary() {
				time.Sleep(acceptRetryPause)
				continue
			}
			return ErrClosed
		}
		c := newServerConn(s, conn)
		if !s.addConn(c) {
			conn.Close()
			return ErrClosed
		}
		go c.serve()
	}
}

// addListener registers a listener. It returns false if the server is closed or drains.
func (s *Server) addListener(l net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns == nil || s.draining.Load() {
		return false
	}
	s.listeners[l] = true
	return true
}

// addConn registers a connection. It returns false if the server is closed.
func (s *Server) addConn(c *serverConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	s.connGroup.Add(1)
	return true
}

// removeConn forgets a connection whose goroutine ends.
func (s *Server) removeConn(c *serverConn) {
	s.mutex.Lock()
	delete(s.conns, c)
	s.mutex.Unlock()
	s.connGroup.Done()
}

// DisableKeepAlives makes each connection close after its next response that has
// no pipelined request behind it. New connections are still accepted.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Drain closes the listeners and all connections without pending requests. The
// others close after their last pending response. Drain does not wait for them.
func (s *Server) Drain() {
	s.keepAlivesDisabled.Store(true)
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.closeIdle()
	}
}

// ActiveRequests returns the number of requests without a complete response.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// HeldBytes returns how much of responses is held in memory, in bytes.
func (s *Server) HeldBytes() int64 { return s.held.Load() }

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// Close closes all listeners and connections, cancels running requests and waits
// for their goroutines.
func (s *Server) Close() {
	s.mutex.Lock()
	for l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.abort()
	}
	s.conns = nil
	s.mutex.Unlock()
	s.connGroup.Wait()
}
