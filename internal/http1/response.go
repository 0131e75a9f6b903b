package http1

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds how long a caller may leave an answer unread.
const writeTimeout = 30 * time.Second

var errBroken = errors.New("http1: the connection is broken")

// response is the answer to one request. It holds back what its handler writes
// until the answers before it have been written.
type response struct {
	conn    *serverConn
	request *http.Request
	turn    chan struct{} // Closed when the answer before this one is written.
	done    chan struct{} // Closed when this one is.
	header  http.Header
	status  int
	closes  bool
	chunked bool
	left    int64 // Bytes of a declared length still to be written.
	ours    bool  // Its turn has come.
	begun   bool  // The head is written.
}

func newResponse(c *serverConn, r *http.Request, turn chan struct{}, closes bool) *response {
	return &response{conn: c, request: r, turn: turn, done: make(chan struct{}), header: http.Header{}, closes: closes}
}

// Header returns the header to be sent.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status of the answer.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write sends a part of the body.
func (w *response) Write(p []byte) (int, error) {
	if err := w.begin(-1); err != nil {
		return 0, err
	}
	if w.bodiless() {
		return len(p), nil
	}
	if w.chunked {
		return len(p), w.writeChunk(p)
	}
	if int64(len(p)) > w.left {
		return 0, http.ErrContentLength
	}
	w.left -= int64(len(p))
	_, err := w.conn.writer.Write(p)
	return len(p), err
}

func (w *response) writeChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	b := strconv.AppendInt(nil, int64(len(p)), 16)
	w.conn.writer.Write(append(b, '\r', '\n'))
	w.conn.writer.Write(p)
	_, err := w.conn.writer.WriteString("\r\n")
	return err
}

// Flush sends what has been written so far.
func (w *response) Flush() {
	if w.begin(-1) == nil {
		w.conn.writer.Flush()
	}
}

func (w *response) bodiless() bool {
	return w.request.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

// begin waits for the answer's turn and writes its head. length is that of the
// body if it is known, or -1.
func (w *response) begin(length int64) error {
	if w.begun {
		return nil
	}
	if !w.ours {
		select {
		case <-w.turn:
		case <-w.conn.ctx.Done():
			return errBroken
		}
		w.ours = true
	}
	if w.conn.isBroken() {
		return errBroken
	}
	w.begun = true
	if w.status == 0 {
		w.status = http.StatusOK
	}
	w.frame(length)
	w.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.writeHead()
	return nil
}

// frame decides how the end of the body is told.
func (w *response) frame(length int64) {
	if declared, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = declared
	}
	if w.conn.server.closing.Load() && w.conn.isLast() {
		w.closes = true
	}
	switch {
	case w.bodiless():
	case length >= 0:
		w.left = length
		w.header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	case w.request.ProtoAtLeast(1, 1):
		w.chunked = true
		w.header["Transfer-Encoding"] = []string{"chunked"}
	default:
		w.closes = true
	}
	if w.closes {
		w.header["Connection"] = []string{"close"}
	}
}

func (w *response) writeHead() {
	b := w.conn.writer
	text := http.StatusText(w.status)
	if text == "" {
		text = "status"
	}
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(w.status))
	b.WriteByte(' ')
	b.WriteString(text)
	b.WriteString("\r\n")
	w.header.Write(b)
	b.WriteString("\r\n")
}

// finish ends the answer and lets the next one be written.
func (w *response) finish() {
	defer close(w.done)
	if w.begin(0) != nil {
		return
	}
	if w.left > 0 {
		w.conn.breakOff()
		return
	}
	if w.chunked {
		w.conn.writer.WriteString("0\r\n\r\n")
	}
	if w.conn.writer.Flush() != nil {
		w.conn.breakOff()
		return
	}
	if w.closes {
		w.conn.retire()
	}
}

// fail ends an answer that can't be completed, so that it does not look whole.
func (w *response) fail() {
	defer close(w.done)
	w.conn.breakOff()
}

func (c *serverConn) isBroken() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// isLast reports whether no request waits behind the one being answered.
func (c *serverConn) isLast() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending <= 1
}

// breakOff cuts the connection off.
func (c *serverConn) breakOff() {
	c.hungUp()
	c.conn.Close()
}

// retire closes the connection after an answer that said so. Requests sent
// behind it are not read.
func (c *serverConn) retire() {
	c.mutex.Lock()
	c.broken = true
	c.mutex.Unlock()
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(rejectLinger))
}
