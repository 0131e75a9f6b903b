package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/count"
)

// poolConn is a connection of a connPool. It records when data was last received, for
// the pool, and counts the bytes if the daemon is in another data centre.
type poolConn struct {
	net.Conn
	clock        func() time.Time
	start        time.Time     // That of the pools.
	lastReceived *atomic.Int64 // That of the pool.
	counters     *count.Set    // Nil if the bytes are not counted.
}

// Read implements io.Reader.
func (c poolConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(int64(c.clock().Sub(c.start)))
	}
	if c.counters != nil {
		c.counters.Add("remote_bytes_received", int64(n))
	}
	return n, err
}

// Write implements io.Writer.
func (c poolConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.counters != nil {
		c.counters.Add("remote_bytes_sent", int64(n))
	}
	return n, err
}
