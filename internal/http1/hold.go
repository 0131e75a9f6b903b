package http1

import (
	"net/http"
	"time"
)

const (
	// defaultMaxHeldBytes is the default of ServerConfig.MaxHeldBytes.
	defaultMaxHeldBytes = 16 << 20
	// maxHeldPerConn bounds, in bytes, what the responses of one connection hold.
	maxHeldPerConn = 8 << 20
	// maxFlushDelay is how long Flush may be put off for requests behind.
	maxFlushDelay = time.Second
	// maxPieceBytes bounds the memory that is allocated ahead for a body that is held.
	maxPieceBytes = 32 << 10
)

// heldBody is the part of a response's body that is kept in memory until it is sent.
type heldBody struct {
	pieces [][]byte
	size   int // In bytes.
}

// add appends a copy of p.
func (b *heldBody) add(p []byte) {
	b.size += len(p)
	if n := len(b.pieces); n > 0 {
		last := b.pieces[n-1]
		fits := min(cap(last)-len(last), len(p))
		b.pieces[n-1] = append(last, p[:fits]...)
		p = p[fits:]
	}
	if len(p) > 0 {
		piece := make([]byte, len(p), max(len(p), min(b.size, maxPieceBytes)))
		copy(piece, p)
		b.pieces = append(b.pieces, piece)
	}
}

// hold keeps p, the next part of the body, in memory if it should not be sent yet: before the
// response has its turn, since its handler occupies an upstream; and as long as the response
// can still break off, if that would end requests behind it that have been started. hold
// returns false if the head and p are to be written now.
func (w *response) hold(p []byte) (bool, error) {
	size, declared := w.held.size+len(p), w.declaredLength()
	if declared >= 0 && int64(size) > declared {
		return false, http.ErrContentLength
	}
	if w.conn.ctx.Err() != nil {
		return false, errConnClosed
	}
	if !w.hasTurn() {
		if w.keep(p) {
			return true, nil
		}
		w.conn.server.config.OnNotHeld()
		if !w.awaitTurn() {
			return false, errConnClosed
		}
	}
	if int64(size) == declared {
		return false, nil // Nothing can break off any more.
	}
	if size <= bufferSize && w.keep(p) {
		return true, nil
	}
	if declared <= maxHeldPerConn && !w.conn.beginStreaming(w.index, true) && w.keep(p) {
		return true, nil
	}
	w.beginStreaming()
	return false, nil
}

// keep adds p to what is held. It returns false if there is no room for it.
func (w *response) keep(p []byte) bool {
	if !w.conn.reserveHeld(len(p)) {
		return false
	}
	w.held.add(p)
	return true
}

// releaseHeld drops what is held.
func (w *response) releaseHeld() {
	if w.held.size > 0 {
		w.conn.releaseHeld(w.held.size)
		w.held = heldBody{}
	}
}

// beginStreaming is called before the head is written while the body is incomplete.
func (w *response) beginStreaming() {
	w.streaming = true
	w.conn.beginStreaming(w.index, false)
}

// endStreaming is called when the body is complete.
func (w *response) endStreaming() {
	if w.streaming {
		w.streaming = false
		w.conn.endStreaming()
	}
}

// flushLater flushes the response when it has its turn and no request behind it is being
// handled, or maxFlushDelay after its turn.
func (w *response) flushLater() {
	if w.flushing {
		return
	}
	w.flushing = true
	go func() {
		if !w.awaitTurn() {
			return
		}
		if !w.flushIf(func() bool { return w.conn.beginStreaming(w.index, true) }) {
			timer := time.NewTimer(maxFlushDelay)
			defer timer.Stop()
			select {
			case <-timer.C:
				w.flushIf(func() bool { return true })
			case <-w.done:
			case <-w.conn.ctx.Done():
			}
		}
	}()
}

// flushIf writes what is held if ready returns true. It returns false if a flush remains to be
// done.
func (w *response) flushIf(ready func() bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.headWritten || !w.flushing {
		return true
	}
	if !ready() {
		return false
	}
	w.beginStreaming()
	if w.begin(-1) == nil {
		w.conn.writer.Flush()
	}
	return true
}

// reserveHeld reserves n bytes for a response. It returns false if there is no room for them.
func (c *serverConn) reserveHeld(n int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pipeline.heldBytes+n > maxHeldPerConn {
		return false
	}
	if c.server.held.Add(int64(n)) > c.server.config.MaxHeldBytes {
		c.server.held.Add(-int64(n))
		return false
	}
	c.pipeline.heldBytes += n
	return true
}

// releaseHeld undoes reserveHeld.
func (c *serverConn) releaseHeld(n int) {
	c.server.held.Add(-int64(n))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pipeline.heldBytes -= n
	c.startWaiting()
}

// beginStreaming keeps further requests from being started until endStreaming: if the response
// that is being sent broke off, theirs could not be sent. With ifLast it does so only if no
// request behind that with an index has been started, and reports whether that is so.
func (c *serverConn) beginStreaming(index int, ifLast bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ifLast && c.pipeline.started > index+1 {
		return false
	}
	c.pipeline.streaming = true
	return true
}

// endStreaming lets requests be started again.
func (c *serverConn) endStreaming() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pipeline.streaming = false
	c.startWaiting()
}
