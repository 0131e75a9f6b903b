package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// bufferSize is the size, in bytes, of the read and write buffers of a connection.
const bufferSize = 4 << 10

// serverConn is a caller's connection. One goroutine reads requests and their bodies, and
// waits for nothing else as long as it may read ahead, so that it notices when the caller
// closes the connection. Requests are handled in other goroutines; responses are written in the order of the
// requests.
//
// fail sets closed and cancels the requests; failAndClose also closes the
// connection. closeIdle and closeAfterResponse set closed when the connection ends
// without a failure. abort only closes the connection and cancels the requests:
// serve ends when its next read fails.
type serverConn struct {
	server  *Server
	conn    net.Conn
	limited *limitedConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	cancel  context.CancelFunc
	ctx     context.Context

	// mutex guards the fields below.
	mutex    sync.Mutex
	accepted int           // Requests since the connection was opened.
	pending  int           // Requests without a complete response.
	idle     chan struct{} // Closed when pending returns to 0.
	closed   bool          // No further request is started and no further response is written.
	closing  bool          // No further request is started; pending responses are written.

	handlers sync.WaitGroup
	lastDone chan struct{} // Of the latest response; used by the reading goroutine only.

	pipeline        pipeline
	awaitingRequest bool          // The first byte of a request is awaited.
	idleTimeout     time.Duration // The limit for that; 0 means none.
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn, limited: newLimitedConn(conn)}
	c.reader = bufio.NewReaderSize(c.limited, bufferSize)
	c.writer = bufio.NewWriterSize(progressWriter{conn: conn, timeout: s.config.WriteTimeout}, bufferSize)
	c.pipeline.taken = make(chan struct{}, 1)
	c.lastDone = make(chan struct{})
	close(c.lastDone)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// abort closes the connection and cancels all its requests.
func (c *serverConn) abort() {
	c.cancel()
	c.conn.Close()
}

// closeIdle closes the connection if no request is pending.
func (c *serverConn) closeIdle() {
	c.mutex.Lock()
	idle := c.pending == 0
	c.closed = c.closed || idle
	c.mutex.Unlock()
	if idle {
		c.abort()
	}
}

// serve handles requests until the connection ends. It returns after the last
// handler.
func (c *serverConn) serve() {
	defer c.server.removeConn(c)
	for c.readNext() {
	}
	c.awaitPending()
	c.cancel()
	c.conn.Close()
	c.handlers.Wait()
}

// awaitPending waits until all pending responses are written, or until the caller
// closes the connection. Then it closes the connection, after the caller has closed it
// or lingerTimeout.
func (c *serverConn) awaitPending() {
	c.mutex.Lock()
	idle := c.idle
	pending := c.pending
	closing := c.closing
	c.mutex.Unlock()
	if pending == 0 {
		if closing {
			c.linger()
		}
		return
	}
	callerClosed := make(chan struct{})
	c.conn.SetReadDeadline(time.Time{})
	c.limited.remaining = unlimited
	go func() {
		io.Copy(io.Discard, c.reader)
		close(callerClosed)
	}()
	select {
	case <-idle:
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	case <-callerClosed:
		c.callerLeft()
	}
	<-callerClosed
	c.conn.Close()
}

// linger reads what the caller is still sending, for lingerTimeout. If the connection were
// closed with unread data, TCP would send a reset, which could overtake the response.
func (c *serverConn) linger() {
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, c.conn)
}

// readNext reads a request and starts its handler. It returns false when the connection
// accepts no more requests.
func (c *serverConn) readNext() bool {
	limits := c.server.config.Limits().bounded()
	if !c.awaitRequest(limits) {
		return false
	}
	if limits.HeaderTimeout > 0 {
		c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + headerSlack))
	}
	// The reader may read ahead by a buffer beyond the header, which counts towards
	// remaining. checkRequest applies MaxHeaderBytes itself.
	c.limited.remaining = maxHeaderBytes
	if limits.MaxHeaderBytes > 0 {
		c.limited.remaining = int64(limits.MaxHeaderBytes) + bufferSize
	}
	r, err := http.ReadRequest(c.reader)
	c.limited.remaining = unlimited
	if err != nil {
		c.rejectMalformed(err)
		return false
	}
	c.conn.SetReadDeadline(time.Time{})
	if status, reason := checkRequest(r, limits); status != 0 {
		c.reject(status, reason)
		return false
	}
	r.RemoteAddr = c.conn.RemoteAddr().String()
	return c.startRequest(r, limits)
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection has ended.
func (c *serverConn) awaitRequest(limits Limits) bool {
	c.mutex.Lock()
	c.idleTimeout = limits.IdleTimeout
	c.awaitingRequest = true
	c.setIdleDeadline()
	c.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	c.awaitingRequest = false
	closed := c.closed
	c.mutex.Unlock()
	if err != nil {
		c.callerLeft()
		return false
	}
	return !closed
}

// setIdleDeadline sets the time by which the next request must begin: none while
// requests are pending, and the idle timeout after that. A closed connection keeps the
// deadline that closeAfterResponse sets. The caller must hold c.mutex.
func (c *serverConn) setIdleDeadline() {
	if !c.awaitingRequest || c.closed {
		return
	}
	var deadline time.Time
	if c.pending == 0 && c.idleTimeout > 0 {
		deadline = time.Now().Add(c.idleTimeout + idleSlack)
	}
	c.conn.SetReadDeadline(deadline)
}

// fail stops further responses and cancels running requests. It is called when the
// connection has failed or the caller has closed it.
func (c *serverConn) fail() {
	c.mutex.Lock()
	c.closed = true
	c.startWaiting() // They end at once.
	c.mutex.Unlock()
	c.cancel()
}

// callerLeft is fail for a connection that the caller has closed.
func (c *serverConn) callerLeft() {
	c.mutex.Lock()
	pending := c.pending
	if c.closed {
		pending = 0
	}
	c.mutex.Unlock()
	if pending > 0 {
		c.server.config.OnCallerLeft(pending)
	}
	c.fail()
}

// checkRequest returns the status and the reason to reject a request with, or a
// zero status if the request is valid.
func checkRequest(r *http.Request, limits Limits) (int, string) {
	switch {
	case r.Host == "":
		return http.StatusBadRequest, "no Host header"
	case !httpguts.ValidHostHeader(r.Host), !validFields(r.Header):
		return http.StatusBadRequest, "malformed header field"
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge, "body over the limit"
	case limits.MaxHeaderBytes > 0 && headerSize(r) > limits.MaxHeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge, "header over the limit"
	case len(r.TransferEncoding) > 0 && r.Header.Get("Content-Length") != "":
		return http.StatusBadRequest, "both Transfer-Encoding and Content-Length"
	}
	return 0, ""
}

// validFields reports whether all fields have the names and values that RFC 9110 allows.
// http.ReadRequest keeps names with blanks, which would pass for other fields on the way to
// a server that ignores the blanks.
func validFields(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// headerSize returns the approximate size of a request's header in bytes. 20 stands
// for the rest of the request line and of the Host field, and 4 for the colon, the
// space and the line end of each field.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	return size
}

// beginRequest counts a pending request and numbers its response. It returns false if the
// connection has been closed meanwhile. Each success needs one call of endRequest.
func (c *serverConn) beginRequest(w *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.closing {
		return false
	}
	c.server.active.Add(1)
	if c.pending == 0 {
		c.idle = make(chan struct{})
	}
	c.pending++
	w.index = c.accepted
	c.accepted++
	return true
}

// endRequest counts a request as complete. If the server has been drained since the
// response was written, the connection is idle now and closes.
func (c *serverConn) endRequest() {
	c.server.active.Add(-1)
	c.mutex.Lock()
	c.pending--
	if c.pending == 0 {
		close(c.idle)
		c.setIdleDeadline()
	}
	becameIdle := c.pending == 0 && !c.closed
	c.mutex.Unlock()
	if becameIdle && c.server.draining.Load() {
		c.closeIdle()
	}
}

// handle calls the handler and completes the response. If the handler fails before any of
// the response was written, the response is replaced, and the connection goes on. Otherwise
// the connection is closed. One request must not break all others.
func (c *serverConn) handle(w *response, r *http.Request, body *requestBody) {
	defer c.endRequest()
	if !c.callHandler(w, r) || w.isIncomplete() {
		if c.ctx.Err() == nil {
			c.server.config.OnAborted(r, w.aborted())
		}
		if !w.reset() {
			w.abort()
			if body != nil {
				body.end(io.ErrUnexpectedEOF)
			}
			return
		}
		c.server.config.Replacement(w, r)
	}
	if body != nil && !body.discardRest() {
		w.closeAfter()
	}
	w.finish()
	if body != nil {
		body.end(io.EOF)
	}
}

// callHandler calls the handler and returns false if it panics. A panic other than
// http.ErrAbortHandler is reported to ServerConfig.OnPanic.
func (c *serverConn) callHandler(w *response, r *http.Request) (completed bool) {
	defer func() {
		cause := recover()
		if cause == nil || cause == http.ErrAbortHandler {
			return
		}
		if c.server.config.OnPanic == nil {
			panic(cause)
		}
		c.server.config.OnPanic(cause, debug.Stack())
	}()
	c.server.config.Handler.ServeHTTP(w, r)
	return true
}

// rejectMalformed handles an error of reading a request. If the caller has closed
// the connection, no response is written.
func (c *serverConn) rejectMalformed(err error) {
	if c.limited.failure != nil {
		// http.ReadRequest takes a line that was cut off by the error for a whole one.
		err = c.limited.failure
	}
	if errors.Is(err, errHeaderTooLarge) {
		c.reject(http.StatusRequestHeaderFieldsTooLarge, "header over the limit")
		return
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		c.reject(http.StatusRequestTimeout, "header took too long")
	case errors.Is(err, io.EOF), isDisconnect(err):
		c.callerLeft()
	default:
		c.reject(http.StatusBadRequest, "malformed request")
	}
}

// isDisconnect reports whether an error of reading a request means that the connection has
// ended within the request.
func isDisconnect(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// reject responds to a request that does not reach the handler, in its turn. The caller of
// reject reads no further request; what follows is dropped by awaitPending, which notices when
// the other side closes the connection before.
func (c *serverConn) reject(status int, reason string) {
	c.server.config.OnRejected(status, reason)
	w := c.newResponse(&http.Request{Method: http.MethodGet}, true)
	if !c.beginRequest(w) {
		return
	}
	c.handlers.Go(func() {
		defer c.endRequest()
		w.WriteHeader(status)
		w.finish()
	})
}

// lingerTimeout is how long a caller may go on sending after the last response,
// before the connection is closed.
const lingerTimeout = 500 * time.Millisecond
