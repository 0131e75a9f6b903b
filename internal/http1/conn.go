package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const readBuffer = 4 << 10

// serverConn is a caller's connection. One goroutine reads requests; each runs
// in a goroutine of its own, and answers are written in the order of requests.
type serverConn struct {
	server *Server
	conn   net.Conn
	meter  *meter
	reader *bufio.Reader
	writer *bufio.Writer
	cancel context.CancelFunc
	ctx    context.Context
	slots  chan struct{} // Bounds the requests that run side by side.

	mutex   sync.Mutex
	pending int           // Requests without a whole answer.
	idle    chan struct{} // Closed when pending is 0.
	broken  bool          // No more answers can be written.

	awaiting bool          // The first byte of a request is awaited.
	idleTime time.Duration // The limit for that; 0 means none.
}

// meter bounds the bytes of a request's header.
type meter struct {
	net.Conn
	left int64
}

var errHeaderTooLarge = errors.New("http1: header over the limit")

func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.Conn.Read(p)
	m.left -= int64(n)
	return n, err
}

const unmetered = 1 << 62

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn, meter: &meter{Conn: conn, left: unmetered}}
	c.reader = bufio.NewReaderSize(c.meter, readBuffer)
	c.writer = bufio.NewWriterSize(conn, readBuffer)
	c.slots = make(chan struct{}, s.config.MaxPipelined)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// abort cuts the connection and all its calls off.
func (c *serverConn) abort() {
	c.cancel()
	c.conn.Close()
}

// closeIdle closes the connection if no request is being answered.
func (c *serverConn) closeIdle() {
	c.mutex.Lock()
	idle := c.pending == 0
	c.broken = c.broken || idle
	c.mutex.Unlock()
	if idle {
		c.abort()
	}
}

func (c *serverConn) serve() {
	defer c.server.drop(c)
	var running sync.WaitGroup
	last := make(chan struct{})
	close(last)
	for c.readOne(&running, &last) {
	}
	c.awaitPending()
	c.cancel()
	c.conn.Close()
	running.Wait()
}

// awaitPending waits for the answers still due, or for the caller to hang up.
func (c *serverConn) awaitPending() {
	c.mutex.Lock()
	idle := c.idle
	pending := c.pending
	c.mutex.Unlock()
	if pending == 0 {
		return
	}
	gone := make(chan struct{})
	c.conn.SetReadDeadline(time.Time{})
	c.meter.left = unmetered
	go func() {
		io.Copy(io.Discard, c.reader)
		close(gone)
	}()
	select {
	case <-idle:
	case <-gone:
		c.cancel()
	}
	c.conn.Close()
	<-gone
}

// readOne reads a request and starts its call. It returns false when the
// connection takes no more requests.
func (c *serverConn) readOne(running *sync.WaitGroup, last *chan struct{}) bool {
	limits := c.server.config.Limits()
	if !c.awaitRequest(limits) {
		return false
	}
	if limits.HeaderTime > 0 {
		c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTime + headerSlack))
	}
	c.meter.left = maxHeader
	if limits.HeaderBytes > 0 {
		c.meter.left = int64(limits.HeaderBytes) + readBuffer
	}
	r, err := http.ReadRequest(c.reader)
	c.meter.left = unmetered
	if err != nil {
		c.rejectMalformed(err, *last)
		return false
	}
	c.conn.SetReadDeadline(time.Time{})
	if status, reason := checkRequest(r, limits); status != 0 {
		c.reject(status, reason, *last)
		return false
	}
	r.RemoteAddr = c.conn.RemoteAddr().String()
	return c.start(r, limits, running, last)
}

// awaitRequest waits for the first byte of a request.
func (c *serverConn) awaitRequest(limits Limits) bool {
	c.mutex.Lock()
	c.idleTime = limits.IdleTime
	c.awaiting = true
	c.limitIdle()
	c.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	c.awaiting = false
	broken := c.broken
	c.mutex.Unlock()
	if err != nil {
		c.hungUp()
		return false
	}
	return !broken
}

// limitIdle sets how long the next request may take to come: as long as it
// likes while calls run, and the idle time afterwards. The caller holds the
// lock.
func (c *serverConn) limitIdle() {
	if !c.awaiting {
		return
	}
	var deadline time.Time
	if c.pending == 0 && c.idleTime > 0 {
		deadline = time.Now().Add(c.idleTime + idleSlack)
	}
	c.conn.SetReadDeadline(deadline)
}

// hungUp cancels the calls of a caller that has closed the connection.
func (c *serverConn) hungUp() {
	c.mutex.Lock()
	c.broken = true
	c.mutex.Unlock()
	c.cancel()
}

// checkRequest returns a status if a request is to be rejected.
func checkRequest(r *http.Request, limits Limits) (int, string) {
	switch {
	case r.Host == "":
		return http.StatusBadRequest, "no host"
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, "body over the limit"
	case limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge, "header over the limit"
	case len(r.TransferEncoding) > 0 && r.Header.Get("Content-Length") != "":
		return http.StatusBadRequest, "two lengths"
	}
	return 0, ""
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	return size
}

// start runs a request's handler. A request with a body holds up the reading
// of the next until the body has been read.
func (c *serverConn) start(r *http.Request, limits Limits, running *sync.WaitGroup, last *chan struct{}) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	var body *requestBody
	if r.Body != nil && r.Body != http.NoBody {
		body = newRequestBody(r.Body, limits.BodyBytes)
		r.Body = body
	}
	closes := r.Close || !r.ProtoAtLeast(1, 1)
	w := newResponse(c, r, *last, closes)
	*last = w.done
	if !c.begin() {
		cancel()
		return false
	}
	c.slots <- struct{}{}
	running.Add(1)
	go func() {
		defer running.Done()
		defer func() { <-c.slots }()
		defer cancel()
		c.run(w, r.WithContext(ctx), body)
	}()
	if body != nil {
		select {
		case <-body.ended:
		case <-c.ctx.Done():
			return false
		}
		if body.failed() {
			return false
		}
	}
	return !closes
}

// begin counts a request. It returns false if the connection has been closed
// meanwhile.
func (c *serverConn) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken {
		return false
	}
	c.server.active.Add(1)
	if c.pending == 0 {
		c.idle = make(chan struct{})
	}
	c.pending++
	return true
}

func (c *serverConn) end() {
	c.server.active.Add(-1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending--
	if c.pending == 0 {
		close(c.idle)
		if !c.broken {
			c.limitIdle()
		}
	}
}

// run calls the handler and finishes its answer.
func (c *serverConn) run(w *response, r *http.Request, body *requestBody) {
	defer c.end()
	defer func() {
		if p := recover(); p != nil {
			w.fail()
			if body != nil {
				body.end(io.ErrUnexpectedEOF)
			}
			if p != http.ErrAbortHandler {
				panic(p)
			}
		}
	}()
	c.server.config.Handler.ServeHTTP(w, r)
	if body != nil && !body.drain() {
		w.closes = true
	}
	w.finish()
	if body != nil {
		body.end(io.EOF)
	}
}

func (c *serverConn) rejectMalformed(err error, last chan struct{}) {
	if errors.Is(err, errHeaderTooLarge) {
		c.reject(http.StatusRequestHeaderFieldsTooLarge, "header over the limit", last)
		return
	}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		c.reject(http.StatusRequestTimeout, "header took too long", last)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		c.hungUp()
	default:
		c.reject(http.StatusBadRequest, "malformed request", last)
	}
}

// reject answers a request that no handler sees, and closes the connection.
func (c *serverConn) reject(status int, reason string, last chan struct{}) {
	c.server.config.OnRejected(status, reason)
	w := newResponse(c, &http.Request{Method: http.MethodGet}, last, true)
	if !c.begin() {
		return
	}
	defer c.end()
	w.WriteHeader(status)
	w.finish()
	// What the caller is still sending is read, or the reset that answers it
	// could overtake the answer.
	c.conn.SetReadDeadline(time.Now().Add(rejectLinger))
	io.Copy(io.Discard, io.LimitReader(c.conn, maxDrain))
}

// rejectLinger is how long a rejected caller may go on sending.
const rejectLinger = 500 * time.Millisecond
