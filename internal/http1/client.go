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
	// ErrUnreachable means that no connection could be had; nothing was sent.
	ErrUnreachable = errs.New("http1: no connection")
	// ErrBroken means that the request was sent, at least in part, and no whole
	// answer came.
	ErrBroken = errs.New("http1: no whole answer")
)

// ClientConfig describes a Client. Address is required.
type ClientConfig struct {
	Address string
	// Matches reports whether an answer is the one to a request. Others are
	// read and dropped. Nil means that all are.
	Matches        func(request, answer http.Header) bool
	ConnectTimeout time.Duration // Bounds the setting up of a connection: 1 s.
	// IdleTimeout is how long a connection is kept where the server does not say: 4 s.
	IdleTimeout time.Duration
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()
}

const (
	defaultConnect = time.Second
	defaultIdle    = 4 * time.Second
	// idlePart is the part of the server's idle time for which a connection is
	// kept, so that requests do not cross its close.
	idlePart = 0.7
	// maxStray is how many answers to other requests are dropped before a
	// connection is given up.
	maxStray = 4
	// asyncWriteSize is the size of a body in bytes from which it is written while
	// the answer is already awaited.
	asyncWriteSize = 8 << 10
)

// Client sends requests to one server, one at a time on each connection. It is
// safe for concurrent use. Make one with NewClient.
type Client struct {
	config ClientConfig
	mutex  sync.Mutex
	idle   []*clientConn // The most recently used last.
	closed bool
}

// Request is a request to be sent.
type Request struct {
	Method string
	Target string // Path and query, as they stand in the request line.
	Host   string
	Header http.Header
	Body   io.Reader // Nil if there is none.
	Length int64     // Of the body; -1 if unknown.
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // Not reused after that.
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnect
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdle
	}
	if c.Matches == nil {
		c.Matches = func(http.Header, http.Header) bool { return true }
	}
	return &Client{config: c}
}

// Close closes idle connections and keeps no others.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// take returns an idle connection that is still usable at now.
func (c *Client) take(now time.Time) *clientConn {
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
		if now.Before(conn.until) && conn.quiet() {
			return conn
		}
		conn.Close()
	}
}

func (c *Client) put(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// quiet reports whether nothing has come on an idle connection, neither bytes
// nor its end.
func (c *clientConn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *Client) open(ctx context.Context) (*clientConn, error) {
	dialer := net.Dialer{Timeout: c.config.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", c.config.Address)
	if err != nil {
		return nil, errs.Combine(ErrUnreachable, err)
	}
	if c.config.OnOpen != nil {
		c.config.OnOpen()
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// Do sends a request once and returns the head of the answer. The body of the
// answer must be read to its end or closed. The error matches ErrUnreachable
// or ErrBroken. The end of ctx cuts the connection off.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	conn := c.take(time.Now())
	if conn == nil {
		var err error
		if conn, err = c.open(ctx); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		stop()
		conn.Close()
		return nil, errs.Combine(ErrUnreachable, ctx.Err())
	}
	written := conn.write(r)
	response, err := c.readResponse(conn, r)
	if err != nil {
		stop()
		conn.Close()
		return nil, errs.Combine(ErrBroken, err)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, client: c, conn: conn, written: written, stop: stop,
		reuse: !response.Close, spare: c.spareTime(response.Header),
	}
	return response, nil
}

// write sends a request. It returns a channel that receives the outcome.
func (c *clientConn) write(r Request) <-chan error {
	done := make(chan error, 1)
	if r.Body == nil || (r.Length >= 0 && r.Length < asyncWriteSize) {
		done <- c.writeAll(r)
		return done
	}
	go func() { done <- c.writeAll(r) }()
	return done
}

func (c *clientConn) writeAll(r Request) error {
	w := bufio.NewWriterSize(c.Conn, readBuffer)
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

// readResponse reads the head of the answer to r. Answers to other requests are
// dropped.
func (c *Client) readResponse(conn *clientConn, r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxStray {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if c.config.Matches(r.Header, response.Header) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errs.New("http1: an answer to another request, and nothing behind it")
		}
	}
	return nil, errs.New("http1: too many answers to other requests")
}

// spareTime returns how long a connection is kept after an answer.
func (c *Client) spareTime(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(seconds) * idlePart * float64(time.Second))
		}
	}
	return c.config.IdleTimeout
}

// responseBody gives the connection back when the answer has been read.
type responseBody struct {
	io.ReadCloser
	client  *Client
	conn    *clientConn
	written <-chan error
	stop    func() bool
	reuse   bool
	spare   time.Duration
	ended   bool
}

// Read reads on. Errors other than io.EOF mean that the answer broke off.
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

func (b *responseBody) finish() {
	b.ended = true
	if !b.stop() || !b.reuse || b.conn.reader.Buffered() > 0 || !b.sent() {
		b.conn.Close()
		return
	}
	b.conn.until = time.Now().Add(b.spare)
	b.client.put(b.conn)
}

// sent reports whether the whole request has been written.
func (b *responseBody) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// Close cuts the connection off unless the answer has been read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.stop()
		b.conn.Close()
	}
	return nil
}
