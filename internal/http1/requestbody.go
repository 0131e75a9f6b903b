package http1

import (
	"errors"
	"io"
	"sync"
)

// maxDrainBytes bounds how much unread request data is read: the rest of a body
// that the handler has not read, which keeps the connection usable, and what
// follows a rejected request.
const maxDrainBytes = 256 << 10

// ErrBodyTooLarge is returned by Read of a request body that exceeds
// Limits.MaxBodyBytes.
var ErrBodyTooLarge = errors.New("http1: body over the limit")

// requestBody limits a request's body and signals its end to the connection's
// reader.
type requestBody struct {
	io.ReadCloser
	remaining int64 // Bytes that may still be read; negative means no limit.
	// ended is closed when the body has ended or failed.
	ended chan struct{}
	once  sync.Once
	err   error // Set before ended is closed; nil if the body is complete.
	// askCaller asks a caller that waits for that to send the body, at the first read. It
	// returns false if the body cannot be asked for any more. Nil if the caller does not
	// wait.
	askCaller func() bool
	asked     bool
}

// newRequestBody returns a body of at most limit bytes; 0 means no limit.
func newRequestBody(body io.ReadCloser, limit int64) *requestBody {
	if limit <= 0 {
		limit = -1
	}
	return &requestBody{ReadCloser: body, remaining: limit, ended: make(chan struct{})}
}

// Read implements io.Reader. After the end of the body, the connection reads its
// next request.
func (b *requestBody) Read(p []byte) (int, error) {
	select {
	case <-b.ended:
		if b.err == nil {
			return 0, io.EOF
		}
		return 0, b.err
	default:
	}
	if !b.ask() {
		b.end(errNotAskedFor)
		return 0, errNotAskedFor
	}
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		if b.remaining -= int64(n); b.remaining < 0 {
			b.end(ErrBodyTooLarge)
			return 0, ErrBodyTooLarge
		}
	}
	if err != nil {
		b.end(err)
	}
	return n, err
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
	b.once.Do(func() {
		b.err = err
		if err == io.EOF {
			b.err = nil
		}
		close(b.ended)
	})
}

// isIncomplete reports whether the body ended early or was too large. It must not
// be called before ended is closed.
func (b *requestBody) isIncomplete() bool { return b.err != nil }

// discardRest reads the rest of the body, up to maxDrainBytes, and reports whether
// the body is complete.
func (b *requestBody) discardRest() bool {
	select {
	case <-b.ended:
		return !b.isIncomplete()
	default:
	}
	if b.awaitsAsking() {
		b.end(errNotAskedFor)
		return false
	}
	_, err := io.CopyN(io.Discard, b, maxDrainBytes)
	return err == io.EOF
}
