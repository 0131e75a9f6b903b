package http1

import (
	"net"
	"time"
)

// maxWriteBytes bounds one write to a connection, so that a slow reader of a large piece
// makes progress in time.
const maxWriteBytes = 16 << 10

// progressWriter writes to a connection, and fails once the peer has taken nothing for
// timeout.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (w progressWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+maxWriteBytes)]
		w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
		n, err := w.conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
