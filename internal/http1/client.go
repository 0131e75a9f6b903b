package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Errors of Client.Do that callers test with errors.Is.
var (
	// ErrUnreachable means that no connection was available; nothing was sent.
	ErrUnreachable = errs.New("http1: no connection")
	// ErrBroken means that at least part of the request may have been sent and
	// that no complete response was received.
	ErrBroken = errs.New("http1: no complete response")
)

// ClientConfig describes a Client. Address is required.
type ClientConfig struct {
	// Address is the server's host and port.
	Address string
	// Identify tells which request a response belongs to. Nil means that all responses
	// belong to the last request.
	Identify       func(request, response http.Header) Identity
	ConnectTimeout time.Duration // Bounds connection setup; 0 means 1 s.
	// IdleTimeout is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout; 0 means 4 s.
	IdleTimeout time.Duration
	// OnOpen is called for each new connection. It may be nil and may be called
	// concurrently.
	OnOpen func()
}

// Identity tells which request a response belongs to.
type Identity uint8

// The identities of responses.
const (
	// IdentityOwn is that of a response to the last request on the connection.
	IdentityOwn Identity = iota
	// IdentityOther is that of a response to another request. It is read and dropped.
	IdentityOther
	// IdentityUnknown is that of a response that does not say which request it belongs
	// to: after an earlier request on the same connection it may be a late second
	// response to that. It is accepted only on a connection that has carried no other
	// request, and the connection is not used again.
	IdentityUnknown
)

const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 4 * time.Second
	// idleFraction is the fraction of the server's Keep-Alive timeout for which an
	// idle connection is kept, so that no request is sent while the server closes
	// the connection.
	idleFraction = 0.7
	// maxMismatched bounds the responses that are read while waiting for the
	// matching one; after that the connection is closed. Informational (1xx)
	// responses count too. No connection is reused on which a request has not got
	// its whole response, so a response to an earlier request is one that the
	// server sent in addition.
	maxMismatched = 4
	// asyncWriteSize is the body size, in bytes, from which a request is written
	// concurrently with waiting for its response. It is also the size of the
	// chunks of a body of unknown length.
	asyncWriteSize = 8 << 10
	// maxResponseHeadBytes bounds the status line and the header of a response, and
	// the informational responses before it.
	maxResponseHeadBytes = 64 << 10
	// maxMismatchedBytes bounds how much is read of the body of a response to
	// another request, before the connection is closed.
	maxMismatchedBytes = 64 << 10
)

// Client sends requests to one server, one at a time on each connection. It is
// safe for concurrent use. Create one with NewClient.
type Client struct {
	config ClientConfig
	mutex  sync.Mutex
	idle   []*clientConn // The most recently used last.
	closed bool
}

// Request is a request to send. The client writes the fields Host, Content-Length
// and Transfer-Encoding itself, so Header must not contain them.
type Request struct {
	Method string
	Target string // Path and query, as in the request line.
	Host   string
	Header http.Header
	// Body is nil if there is none. The client does not close it, and may still
	// read it after Do has returned.
	Body   io.Reader
	Length int64 // Of the body, in bytes; -1 if unknown. Ignored if Body is nil.
	// Unidentified means that no response can tell that it belongs to this request. The
	// request gets a connection of its own.
	Unidentified bool
}

// clientConn is a connection to the server.
type clientConn struct {
	net.Conn
	limited    *limitedConn
	reader     *bufio.Reader
	reuseUntil time.Time // An idle connection is not reused from then on.
	reused     bool      // An earlier request was sent on it.
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.Identify == nil {
		c.Identify = func(http.Header, http.Header) Identity { return IdentityOwn }
	}
	return &Client{config: c}
}

// Close closes the idle connections. Connections in use are closed after their
// responses.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// takeIdle removes and returns an idle connection that is still usable at now, or
// nil if there is none. It closes unusable ones.
func (c *Client) takeIdle(now time.Time) *clientConn {
	for {
		c.mutex.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mutex.Unlock()
			return nil
		}
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mutex.Unlock()
		if now.Before(conn.reuseUntil) && conn.isReusable() {
			conn.reused = true
			return conn
		}
		conn.Close()
	}
}

// putIdle makes a connection available for the next request, or closes it if the
// client is closed.
func (c *Client) putIdle(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which could be mistaken for the response to the next request.
func (c *clientConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// dial opens a connection. The error matches ErrUnreachable.
func (c *Client) dial(ctx context.Context) (*clientConn, error) {
	dialer := net.Dialer{Timeout: c.config.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", c.config.Address)
	if err != nil {
		return nil, errs.Combine(ErrUnreachable, err)
	}
	if c.config.OnOpen != nil {
		c.config.OnOpen()
	}
	limited := newLimitedConn(conn)
	return &clientConn{Conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize)}, nil
}

// Do sends a request once and returns the response header. The body of the
// response must be read to its end or closed. The error matches ErrUnreachable or
// ErrBroken. When ctx ends, the connection is closed, also while the body is being
// read.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, errs.Combine(ErrUnreachable, ctx.Err())
	}
	var conn *clientConn
	if !r.Unidentified {
		conn = c.takeIdle(time.Now())
	}
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx); err != nil {
			return nil, err
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		stopCancel()
		conn.Close()
		return nil, errs.Combine(ErrUnreachable, ctx.Err())
	}
	writeResult := conn.startWrite(r)
	response, identity, err := c.readResponse(conn, r)
	if err != nil {
		stopCancel()
		conn.Close()
		return nil, errs.Combine(ErrBroken, err)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, client: c, conn: conn, writeResult: writeResult, stopCancel: stopCancel,
		reusable: !response.Close && identity == IdentityOwn && !r.Unidentified, idleTimeout: c.idleTimeout(response.Header),
	}
	return response, nil
}

// startWrite writes a request. It returns a channel that receives the result.
// Requests with a long body, or one of unknown length, are written in the
// background.
func (c *clientConn) startWrite(r Request) <-chan error {
	done := make(chan error, 1)
	if r.Body == nil || (r.Length >= 0 && r.Length < asyncWriteSize) {
		done <- c.writeRequest(r)
		return done
	}
	go func() { done <- c.writeRequest(r) }()
	return done
}

// writeRequest writes a whole request. If the body fails or has the wrong length,
// it closes the connection.
func (c *clientConn) writeRequest(r Request) error {
	w := bufio.NewWriterSize(c.Conn, bufferSize)
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(r.Host)
	w.WriteString("\r\n")
	r.Header.Write(w)
	switch {
	case r.Body == nil && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		w.WriteString("\r\n")
		return w.Flush()
	case r.Body == nil:
		w.WriteString("Content-Length: 0\r\n\r\n")
		return w.Flush()
	case r.Length >= 0:
		w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n\r\n")
		n, err := io.Copy(w, r.Body)
		if err == nil && n != r.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			c.Close()
			return err
		}
		return w.Flush()
	default:
		return c.writeChunks(w, r.Body)
	}
}

// writeChunks writes the rest of a request with chunked encoding.
func (c *clientConn) writeChunks(w *bufio.Writer, body io.Reader) error {
	w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	b := make([]byte, asyncWriteSize)
	for {
		n, err := body.Read(b)
		if n > 0 {
			w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			w.Write(b[:n])
			if _, err := w.WriteString("\r\n"); err != nil {
				return err
			}
		}
		if err == io.EOF {
			w.WriteString("0\r\n\r\n")
			return w.Flush()
		}
		if err != nil {
			c.Close()
			return err
		}
	}
}

// errUnidentified means that the response may belong to an earlier request on the
// connection.
var errUnidentified = errs.New("http1: a response on a kept connection does not tell its request")

// readResponse reads the header of the response to r. Responses to other requests
// are dropped. It returns an error if the response may be one of them, and if a header
// or a dropped body is too long: a faulty server may send bytes without end.
func (c *Client) readResponse(conn *clientConn, r Request) (*http.Response, Identity, error) {
	request := &http.Request{Method: r.Method}
	for range maxMismatched {
		conn.limited.remaining = maxResponseHeadBytes
		response, err := http.ReadResponse(conn.reader, request)
		conn.limited.remaining = unlimited
		if err != nil {
			return nil, IdentityUnknown, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		identity := c.config.Identify(r.Header, response.Header)
		if identity == IdentityUnknown && conn.reused {
			return nil, identity, errUnidentified
		}
		if identity != IdentityOther {
			return response, identity, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxMismatchedBytes); err != io.EOF || response.Close {
			return nil, identity, errs.New("http1: the connection is unusable after a response to another request")
		}
	}
	return nil, IdentityOther, errs.New("http1: too many responses to other requests")
}

// idleTimeout returns how long the connection may stay idle after a response with
// the header h.
func (c *Client) idleTimeout(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
	return c.config.IdleTimeout
}

// responseBody is the body of a response. At its end the connection becomes
// available for the next request.
type responseBody struct {
	io.ReadCloser
	client      *Client
	conn        *clientConn
	writeResult <-chan error
	// stopCancel stops the closing of the connection at the end of the context. It
	// returns false if that has already begun.
	stopCancel  func() bool
	reusable    bool
	idleTimeout time.Duration
	ended       bool
}

// Read implements io.Reader. Errors other than io.EOF match ErrBroken: the
// response is incomplete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish()
	} else if err != nil {
		err = errs.Combine(ErrBroken, err)
	}
	return n, err
}

// finish keeps the connection for reuse if the request was written in full and
// nothing follows the response; otherwise it closes the connection.
func (b *responseBody) finish() {
	b.ended = true
	if !b.stopCancel() || !b.reusable || b.conn.reader.Buffered() > 0 || !b.requestWritten() {
		b.conn.Close()
		return
	}
	b.conn.reuseUntil = time.Now().Add(b.idleTimeout)
	b.client.putIdle(b.conn)
}

// requestWritten reports whether the whole request has been written.
func (b *responseBody) requestWritten() bool {
	select {
	case err := <-b.writeResult:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.stopCancel()
		b.conn.Close()
	}
	return nil
}
