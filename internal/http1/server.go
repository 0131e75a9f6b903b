// Package http1 speaks HTTP/1.1 with callers and upstreams where net/http does
// not fit: calls that are pipelined on one connection run side by side, the
// hang-up of a caller is noticed while its calls run, and answers that nobody
// waits for are told from those that somebody does.
package http1

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Limits bounds what a caller may send. Zero fields mean no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // From the first byte of a request to the end of its header.
	IdleTime    time.Duration // Between requests.
}

// ServerConfig describes a Server. Handler is required.
type ServerConfig struct {
	Handler http.Handler
	// Limits returns the limits for the next request of a connection. Nil means
	// none.
	Limits func() Limits
	// MaxPipelined is how many requests of one connection run side by side: 16.
	MaxPipelined int
	// OnRejected is called with each request that is answered here since it is
	// malformed or over a limit.
	OnRejected func(status int, reason string)
}

const (
	defaultPipeline = 16
	// idleSlack is granted beyond the idle time, so that a caller that keeps to
	// it never meets the close.
	idleSlack = 2 * time.Second
	// headerSlack is the same for the time of a header.
	headerSlack = time.Second
	// maxHeader bounds a header where no limit is set, in bytes.
	maxHeader = 1 << 20
)

// Server serves connections. It is safe for concurrent use. Make one with
// NewServer.
type Server struct {
	config    ServerConfig
	closing   atomic.Bool
	mutex     sync.Mutex
	listeners map[net.Listener]bool
	conns     map[*serverConn]bool
	active    atomic.Int64
	group     sync.WaitGroup
}

// NewServer returns a server without listeners.
func NewServer(c ServerConfig) *Server {
	if c.MaxPipelined == 0 {
		c.MaxPipelined = defaultPipeline
	}
	if c.Limits == nil {
		c.Limits = func() Limits { return Limits{} }
	}
	if c.OnRejected == nil {
		c.OnRejected = func(int, string) {}
	}
	return &Server{config: c, listeners: map[net.Listener]bool{}, conns: map[*serverConn]bool{}}
}

// ErrClosed is returned by Serve after Close.
var ErrClosed = errs.New("http1: server closed")

// acceptPause is how long Serve waits after a failure that may pass, such as a
// lack of descriptors.
const acceptPause = 5 * time.Millisecond

// Serve accepts connections from l until l or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mutex.Lock()
	s.listeners[l] = true
	s.mutex.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if passing, ok := err.(interface{ Temporary() bool }); ok && passing.Temporary() {
				time.Sleep(acceptPause)
				continue
			}
			return ErrClosed
		}
		c := newServerConn(s, conn)
		if !s.keep(c) {
			conn.Close()
			return ErrClosed
		}
		go c.serve()
	}
}

func (s *Server) keep(c *serverConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	s.group.Add(1)
	return true
}

func (s *Server) drop(c *serverConn) {
	s.mutex.Lock()
	delete(s.conns, c)
	s.mutex.Unlock()
	s.group.Done()
}

// DisableKeepAlives makes connections close with their next answer. New connections are
// still taken.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Drain closes the listeners and the connections on which no request is being
// answered. The others close with their next answer.
func (s *Server) Drain() {
	s.closing.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.closeIdle()
	}
}

// Active returns how many requests are being answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Open returns how many connections are open.
func (s *Server) Open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// Close closes all listeners and connections, and waits for their goroutines.
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
	s.group.Wait()
}
