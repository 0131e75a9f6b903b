// Package peer implements the calls between endivewalk's own processes: net/rpc
// over TCP, with a timeout for each call and byte counters.
package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Traffic counts the bytes of a process's connections to other endivewalk
// processes. The zero value is ready to use. It is safe for concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countedConn is a connection that counts its bytes in traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Server serves RPC calls of other processes. It is safe for concurrent use.
// Create one with Listen.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	traffic  *Traffic
	mutex    sync.Mutex
	conns    map[net.Conn]bool // Open connections.
	closed   bool
}

// Listen opens a TCP listener on address, which holds an IP address and a port.
// The server accepts no calls before Serve. traffic must not be nil.
func Listen(address string, traffic *Traffic) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.New("peer: listen: %v", err)
	}
	return &Server{rpc: rpc.NewServer(), listener: l, traffic: traffic, conns: map[net.Conn]bool{}}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register adds a receiver whose methods can be called as "name.Method". It
// fails if receiver has no method that net/rpc can call.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections and serves each in a goroutine. It returns when the
// listener fails or Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			conn.Close()
			return
		}
		go s.serveConn(conn)
	}
}

// track adds conn to the open connections. It returns false if the server is
// closed.
func (s *Server) track(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// serveConn serves the calls on conn until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeConn(countedConn{Conn: conn, traffic: s.traffic})
	s.mutex.Lock()
	delete(s.conns, conn)
	s.mutex.Unlock()
}

// Close stops listening and closes every connection. It does not wait for calls
// that are being executed.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mutex.Unlock()
	s.listener.Close()
}
