package http1

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const (
	// maxWaitingBytes bounds the requests of a connection that wait to be handled. The
	// connection reads no further one beyond that.
	maxWaitingBytes = 64 << 10
	// stateCheckInterval is the time between two checks whether the caller has closed a
	// connection that is not being read.
	stateCheckInterval = 100 * time.Millisecond
)

// waitingRequest is a request that has been read.
type waitingRequest struct {
	request  *http.Request
	response *response
	body     *requestBody // Nil if there is none.
	size     int          // Of the header and of what may be read ahead of the body, in bytes.
}

// pipeline holds the requests of a connection that are being handled or wait for that. The
// connection goes on reading meanwhile, so that it notices when the caller leaves. The
// connection's mutex guards the fields.
type pipeline struct {
	running      int
	started      int              // Requests whose handling has begun, since the connection was opened.
	streaming    bool             // The response that is being sent can still break off.
	heldBytes    int              // Of responses that are held in memory.
	waiting      []waitingRequest // In the order of their arrival.
	waitingBytes int
	taken        chan struct{} // Has a value if waiting may have become shorter.
}

// startRequest handles a request in a goroutine of its own, now or once fewer others of
// the connection are being handled. If it has a body, startRequest reads that ahead,
// since the next request follows it. It returns false if the connection accepts no more
// requests.
func (c *serverConn) startRequest(r *http.Request, limits Limits) bool {
	q := waitingRequest{request: r, size: headerSize(r)}
	if r.Body != nil && r.Body != http.NoBody {
		q.body = newRequestBody(r.Body, limits.MaxBodyBytes)
		q.size += maxAheadBytes
		if r.ContentLength >= 0 {
			q.size += int(min(r.ContentLength, maxAheadBytes)) - maxAheadBytes
		}
		r.Body = q.body
	}
	closeConn := r.Close || !r.ProtoAtLeast(1, 1)
	q.response = c.newResponse(r, closeConn)
	if q.body != nil && r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		q.body.askCaller = q.response.writeContinue
	}
	if !c.beginRequest(q.response) {
		return false
	}
	c.enqueue(q)
	if q.body != nil && !c.readBody(q.body) {
		return false
	}
	return !closeConn && c.awaitRoom()
}

// enqueue starts a goroutine for a request, or leaves the request to wait.
func (c *serverConn) enqueue(q waitingRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pipeline.waiting) == 0 && c.mayStart() {
		c.start(q)
		return
	}
	c.pipeline.waiting = append(c.pipeline.waiting, q)
	c.pipeline.waitingBytes += q.size
}

// isPaused reports whether no request is started for now: responses could be lost, or responses
// that wait for others take much memory. On a connection that has ended, all are started, and
// end at once. The caller must hold c.mutex.
func (c *serverConn) isPaused() bool {
	return !c.closed && (c.pipeline.streaming || c.pipeline.heldBytes > maxHeldPerConn/2)
}

// mayStart reports whether another goroutine may handle requests. The caller must hold c.mutex.
func (c *serverConn) mayStart() bool {
	return c.pipeline.running < c.server.config.MaxPipelined && !c.isPaused()
}

// start starts a goroutine for a request, which goes on with those that wait. The caller must
// hold c.mutex. It must be the reading goroutine, or a handler must be running.
func (c *serverConn) start(q waitingRequest) {
	c.pipeline.running++
	c.pipeline.started++
	c.handlers.Go(func() {
		for ok := true; ok; q, ok = c.dequeue() {
			c.handleUnlessClosed(q)
		}
	})
}

// startWaiting starts requests that wait, if it may. The caller must hold c.mutex.
func (c *serverConn) startWaiting() {
	for len(c.pipeline.waiting) > 0 && c.mayStart() {
		c.start(c.takeWaiting())
	}
}

// takeWaiting removes and returns the first request that waits. The caller must hold c.mutex.
func (c *serverConn) takeWaiting() waitingRequest {
	q := c.pipeline.waiting[0]
	c.pipeline.waiting = c.pipeline.waiting[1:]
	c.pipeline.waitingBytes -= q.size
	notify(c.pipeline.taken)
	return q
}

// dequeue removes and returns the request that is handled next. Without one it returns
// false, and the goroutine that has called it ends.
func (c *serverConn) dequeue() (waitingRequest, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pipeline.waiting) == 0 || c.isPaused() {
		c.pipeline.running--
		return waitingRequest{}, false
	}
	c.pipeline.started++
	return c.takeWaiting(), true
}

// handleUnlessClosed handles a request, unless no response to it can be written any more.
func (c *serverConn) handleUnlessClosed(q waitingRequest) {
	if c.isClosed() {
		close(q.response.done)
		if q.body != nil {
			q.body.end(errConnClosed)
		}
		c.endRequest()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	c.handle(q.response, q.request.WithContext(ctx), q.body)
}

// readBody reads a body ahead to its end. It returns false if the connection accepts no
// more requests.
func (c *serverConn) readBody(b *requestBody) bool {
	for {
		if ended, complete := b.hasEnded(); ended {
			return complete
		}
		if !c.await(b.hasRoom, b.taken, b.ended) {
			b.end(errConnClosed)
			return false
		}
		if isDisconnect(b.readAhead()) {
			c.callerLeft()
			return false
		}
	}
}

// awaitRoom waits until another request may be read. It returns false if the connection
// has ended.
func (c *serverConn) awaitRoom() bool {
	hasRoom := func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.pipeline.waitingBytes <= maxWaitingBytes
	}
	return c.await(hasRoom, c.pipeline.taken, nil)
}

// await waits until ready returns true or ended is closed. ready is called again after each
// value of changed. While the connection is not read, await asks the system whether the
// caller has closed it. It returns false if so, or if the connection has ended.
func (c *serverConn) await(ready func() bool, changed, ended <-chan struct{}) bool {
	if ready() {
		return true
	}
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-changed:
		case <-ended:
			return true
		case <-c.ctx.Done():
			return false
		case <-ticker.C:
			if isPeerClosed(c.conn) {
				c.callerLeft()
				return false
			}
		}
	}
	return true
}
