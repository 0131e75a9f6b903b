package http1

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// errConnClosed is returned to handlers whose response cannot be written any more.
var errConnClosed = errors.New("http1: connection is closed")

// response is the http.ResponseWriter of one request. What is written before the responses to
// earlier requests are complete is held in memory; without room for it, Write blocks until
// then. It must not be used concurrently.
type response struct {
	conn         *serverConn
	request      *http.Request
	index        int           // The number of requests before it on the connection.
	previousDone chan struct{} // Closed when the previous response is complete.
	done         chan struct{} // Closed when this response is complete.

	// mutex guards the fields below: the body of the request, whose first read may write an
	// informational response, may be read concurrently, and flushLater writes concurrently.
	mutex       sync.Mutex
	header      http.Header
	status      int
	headWritten bool // The status line and the header are written.
	// closeConn means that the connection closes after this response.
	closeConn  bool
	chunked    bool
	untilClose bool     // The body ends with the connection.
	remaining  int64    // Bytes of the declared length still to be written.
	held       heldBody // What was written before the head.
	streaming  bool     // The head is written, and the body is not complete.
	flushing   bool     // flushLater was called.
}

// newResponse returns the response to the request that was read last. With closeConn, the
// connection closes after it. Only the reading goroutine may call it.
func (c *serverConn) newResponse(r *http.Request, closeConn bool) *response {
	w := &response{conn: c, request: r, previousDone: c.lastDone, done: make(chan struct{}), header: http.Header{}, closeConn: closeConn}
	c.lastDone = w.done
	return w
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. It only records the status; the
// header is written with the first body bytes, by Flush or at the end.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hasNoBody() {
		return len(p), nil
	}
	if !w.headWritten {
		held, err := w.hold(p)
		if err != nil {
			return 0, err
		}
		if held {
			return len(p), nil
		}
		if err := w.begin(-1); err != nil {
			return 0, err
		}
	}
	return w.writeBody(p)
}

// writeBody writes a part of the body behind the head.
func (w *response) writeBody(p []byte) (int, error) {
	switch {
	case w.chunked:
		return len(p), w.writeChunk(p)
	case w.untilClose:
	case int64(len(p)) > w.remaining:
		return 0, http.ErrContentLength
	default:
		if w.remaining -= int64(len(p)); w.remaining == 0 {
			w.endStreaming()
		}
	}
	_, err := w.conn.writer.Write(p)
	return len(p), err
}

// writeChunk writes p as one chunk. An empty p is skipped, since an empty chunk
// would end the body.
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

// Flush implements http.Flusher. It is put off until the responses to earlier requests are
// complete, and for up to maxFlushDelay if requests behind are being handled.
func (w *response) Flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.headWritten:
		w.conn.writer.Flush()
	case !w.hasTurn() || !w.conn.beginStreaming(w.index, true):
		w.flushLater()
	default:
		w.beginStreaming()
		if w.begin(-1) == nil {
			w.conn.writer.Flush()
		}
	}
}

// declaredLength returns the length of the body, in bytes, that the handler has set as the
// header Content-Length; -1 if there is none.
func (w *response) declaredLength() int64 {
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		return length
	}
	return -1
}

// hasNoBody reports whether HTTP allows no body in this response.
func (w *response) hasNoBody() bool {
	return w.request.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

// begin writes the status line, the header and what is held of the body. The response must
// have its turn. length is that of the body in bytes; -1 if unknown.
func (w *response) begin(length int64) error {
	// Responses that are given up when the connection ends leave their turn, also if an
	// earlier one is still being written.
	if w.conn.ctx.Err() != nil || w.conn.isClosed() {
		return errConnClosed
	}
	w.headWritten = true
	defer w.releaseHeld()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	w.setFraming(length)
	w.writeHead()
	for _, p := range w.held.pieces {
		if _, err := w.writeBody(p); err != nil {
			return err
		}
	}
	return nil
}

// hasTurn reports whether the responses to earlier requests are complete.
func (w *response) hasTurn() bool {
	select {
	case <-w.previousDone:
		return true
	default:
		return false
	}
}

// awaitTurn waits until the responses to earlier requests are complete. It returns false
// if the connection ends before.
func (w *response) awaitTurn() bool {
	select {
	case <-w.previousDone:
		return true
	case <-w.conn.ctx.Done():
		return false
	}
}

// writeContinue asks the caller to send the body of the request. It returns false if the
// response has begun or the connection has ended. Unlike the other methods, it may be
// called concurrently with them.
func (w *response) writeContinue() bool {
	if !w.awaitTurn() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.headWritten || w.conn.isClosed() {
		return false
	}
	w.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return w.conn.writer.Flush() == nil
}

// setFraming chooses how the end of the body is marked: by its length, by chunked
// encoding or by closing the connection. A Content-Length header that the handler
// set overrides length.
func (w *response) setFraming(length int64) {
	if declared := w.declaredLength(); declared >= 0 {
		length = declared
	}
	if w.conn.server.keepAlivesDisabled.Load() && w.conn.closeIfLastPending() {
		w.closeConn = true
	}
	switch {
	case w.hasNoBody():
	case length >= 0:
		w.remaining = length
		w.header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	case w.request.ProtoAtLeast(1, 1):
		w.chunked = true
		w.header["Transfer-Encoding"] = []string{"chunked"}
	default:
		w.untilClose, w.closeConn = true, true
	}
	if w.closeConn {
		w.conn.acceptNoMore()
		w.header["Connection"] = []string{"close"}
	}
}

// writeHead writes the status line and the header to the buffer.
func (w *response) writeHead() {
	b := w.conn.writer
	reason := http.StatusText(w.status)
	if reason == "" {
		reason = "status"
	}
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(w.status))
	b.WriteByte(' ')
	b.WriteString(reason)
	b.WriteString("\r\n")
	w.header.Write(b)
	b.WriteString("\r\n")
}

// finish completes the response, so that the next one can be written.
func (w *response) finish() {
	defer close(w.done)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.headWritten && (!w.awaitTurn() || w.begin(int64(w.held.size)) != nil) {
		w.releaseHeld()
		return
	}
	w.endStreaming()
	if w.chunked {
		w.conn.writer.WriteString("0\r\n\r\n")
	}
	if w.conn.writer.Flush() != nil {
		w.conn.failAndClose()
		return
	}
	if w.closeConn {
		w.conn.closeAfterResponse()
	}
}

// closeAfter makes the connection close after this response.
func (w *response) closeAfter() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closeConn = true
}

// isClosed reports whether no further response may be started.
func (c *serverConn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// closeIfLastPending makes the connection accept no more requests if none is pending
// besides the one that is being responded to, and reports whether that is so.
func (c *serverConn) closeIfLastPending() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = c.closing || c.pending <= 1
	return c.closing
}

// acceptNoMore makes the connection accept no more requests: their responses could not
// be sent after one that closes the connection.
func (c *serverConn) acceptNoMore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
}

// failAndClose stops further responses, cancels running requests and closes the
// connection.
func (c *serverConn) failAndClose() {
	c.fail()
	c.conn.Close()
}

// closeAfterResponse closes the connection for writing after a response with
// "Connection: close". Requests pipelined behind it are not handled. The caller
// may go on sending for lingerTimeout.
func (c *serverConn) closeAfterResponse() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.closeWrite()
}

// closeWrite closes the connection for writing. The server goes on reading what the caller
// sends, for lingerTimeout.
func (c *serverConn) closeWrite() {
	c.acceptNoMore()
	if conn, ok := c.conn.(interface{ CloseWrite() error }); ok {
		conn.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}
