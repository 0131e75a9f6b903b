package http1

import (
	"errors"
	"io"
	"sync"
)

// maxDrainBytes bounds how much of a body that the handler has not read is read, which keeps
// the connection usable.
const maxDrainBytes = 256 << 10

// ErrBodyTooLarge is returned by Read of a request body that exceeds
// Limits.MaxBodyBytes.
var ErrBodyTooLarge = errors.New("http1: body over the limit")

// requestBody is a request's body between the connection, which reads it ahead with
// readAhead, and the handler, which reads it with Read. One goroutine may call readAhead
// while others use the other methods.
type requestBody struct {
	source    io.Reader // Used by readAhead only.
	remaining int64     // Bytes that may still be read from source; negative means no limit.
	// askCaller asks a caller that waits for that to send the body, at the first read. It
	// returns false if the body cannot be asked for any more. Nil if the caller does not
	// wait.
	askCaller func() bool
	asked     bool          // Used by the handler only.
	ended     chan struct{} // Closed when the body has ended or failed.
	arrived   chan struct{} // Has a value if unread may have grown.
	taken     chan struct{} // Has a value if unread may have shrunk.

	mutex   sync.Mutex // Guards the fields below.
	unread  []byte     // What has been read ahead.
	hasEnd  bool       // ended is closed.
	failure error      // Why the body is incomplete; nil if it is complete.
}

const (
	// maxAheadBytes bounds how much of a body is read ahead.
	maxAheadBytes = 64 << 10
	// aheadChunkBytes is how much is read at once.
	aheadChunkBytes = 4 << 10
)

// newRequestBody returns a body of at most limit bytes; 0 means no limit.
func newRequestBody(source io.Reader, limit int64) *requestBody {
	if limit <= 0 {
		limit = -1
	}
	return &requestBody{
		source: source, remaining: limit,
		ended: make(chan struct{}), arrived: make(chan struct{}, 1), taken: make(chan struct{}, 1),
	}
}

// notify puts a value into a channel with a capacity of 1, unless it has one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasRoom reports whether more may be read ahead.
func (b *requestBody) hasRoom() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.unread) < maxAheadBytes
}

// readAhead reads some bytes from the connection, and ends the body at its end or if reading
// fails. It returns the error of the connection, which may be io.EOF.
func (b *requestBody) readAhead() error {
	var chunk [aheadChunkBytes]byte
	n, err := b.source.Read(chunk[:])
	if b.remaining >= 0 {
		if b.remaining -= int64(n); b.remaining < 0 {
			b.end(ErrBodyTooLarge)
			return err
		}
	}
	b.mutex.Lock()
	if !b.hasEnd {
		b.unread = append(b.unread, chunk[:n]...)
	}
	b.mutex.Unlock()
	notify(b.arrived)
	if err != nil {
		b.end(err)
	}
	return err
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for {
		n, err := b.takeUnread(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if !b.ask() {
			b.end(errNotAskedFor)
			return 0, errNotAskedFor
		}
		select {
		case <-b.arrived:
		case <-b.ended:
		}
	}
}

// takeUnread copies what has been read ahead to p. Without any, it returns the error that
// the body has ended with, if it has.
func (b *requestBody) takeUnread(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case len(b.unread) > 0:
		n := copy(p, b.unread)
		if b.unread = b.unread[n:]; len(b.unread) == 0 {
			b.unread = nil
		}
		notify(b.taken)
		return n, nil
	case !b.hasEnd:
		return 0, nil
	case b.failure != nil:
		return 0, b.failure
	default:
		return 0, io.EOF
	}
}

// errNotAskedFor means that the caller waits to be asked for the body, and that the
// response has begun.
var errNotAskedFor = errors.New("http1: the caller was not asked for the body")

// ask asks the caller for the body if it waits for that. It returns false if that is not
// possible any more.
func (b *requestBody) ask() bool {
	if b.askCaller == nil || b.asked {
		return true
	}
	b.asked = b.askCaller()
	return b.asked
}

// awaitsAsking reports whether the caller still waits to be asked for the body.
func (b *requestBody) awaitsAsking() bool { return b.askCaller != nil && !b.asked }

// Close does nothing: the connection reads the rest of the body.
func (b *requestBody) Close() error { return nil }

// end marks the body as ended. Only the first call has an effect. io.EOF means
// that the body is complete.
func (b *requestBody) end(err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.hasEnd {
		return
	}
	b.hasEnd = true
	if err != io.EOF {
		b.failure = err
	}
	close(b.ended)
}

// hasEnded reports whether the body has ended, and whether it is complete.
func (b *requestBody) hasEnded() (ended, complete bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.hasEnd, b.hasEnd && b.failure == nil
}

// discardRest reads the rest of the body, up to maxDrainBytes, and reports whether
// the body is complete.
func (b *requestBody) discardRest() bool {
	if ended, complete := b.hasEnded(); ended {
		return complete
	}
	if b.awaitsAsking() {
		b.end(errNotAskedFor)
		return false
	}
	_, err := io.CopyN(io.Discard, b, maxDrainBytes)
	return err == io.EOF
}
