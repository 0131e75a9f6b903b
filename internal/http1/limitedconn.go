package http1

import (
	"errors"
	"net"
)

// limitedConn limits the bytes that are read for the header of a message. Without
// a limit, a peer that never ends a header would use up the memory of the process.
type limitedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read.
	remaining int64
	// failure is why the latest Read returned nothing more; nil if it did not fail.
	failure error
}

// unlimited is the value of limitedConn.remaining outside of headers.
const unlimited = 1 << 62

var errHeaderTooLarge = errors.New("http1: header over the limit")

// newLimitedConn returns a connection without a limit.
func newLimitedConn(conn net.Conn) *limitedConn {
	return &limitedConn{Conn: conn, remaining: unlimited}
}

// Read implements io.Reader. It returns errHeaderTooLarge once no bytes remain.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		c.failure = errHeaderTooLarge
		return 0, c.failure
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.Conn.Read(p)
	c.remaining -= int64(n)
	c.failure = err
	return n, err
}
