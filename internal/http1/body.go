package http1

import (
	"errors"
	"io"
	"sync"
)

// maxDrain is how much of a body that nobody wants is read to keep the
// connection, in bytes.
const maxDrain = 256 << 10

// ErrBodyTooLarge is returned by the body of a request that is over the limit.
var ErrBodyTooLarge = errors.New("http1: body over the limit")

// requestBody tells the connection's reader when a request's body has ended.
type requestBody struct {
	io.ReadCloser
	left  int64 // Bytes that may still come; negative means any.
	ended chan struct{}
	once  sync.Once
	err   error // Set before ended is closed.
}

func newRequestBody(body io.ReadCloser, limit int64) *requestBody {
	if limit <= 0 {
		limit = -1
	}
	return &requestBody{ReadCloser: body, left: limit, ended: make(chan struct{})}
}

// Read reads on. After the end the connection may read its next request.
func (b *requestBody) Read(p []byte) (int, error) {
	select {
	case <-b.ended:
		if b.err == nil {
			return 0, io.EOF
		}
		return 0, b.err
	default:
	}
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		if b.left -= int64(n); b.left < 0 {
			b.end(ErrBodyTooLarge)
			return 0, ErrBodyTooLarge
		}
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close does nothing: the connection reads what is left.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) end(err error) {
	b.once.Do(func() {
		b.err = err
		if err == io.EOF {
			b.err = nil
		}
		close(b.ended)
	})
}

// failed reports whether the body broke off or was too large. It may be called
// after the end.
func (b *requestBody) failed() bool { return b.err != nil }

// drain reads the rest of a body and reports whether its end was reached.
func (b *requestBody) drain() bool {
	select {
	case <-b.ended:
		return !b.failed()
	default:
	}
	_, err := io.CopyN(io.Discard, b, maxDrain)
	return err == io.EOF
}
