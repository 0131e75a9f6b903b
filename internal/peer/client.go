package peer

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Errors of a call that callers test with errors.Is.
var (
	// ErrUnreachable means that no connection could be opened. The call was not
	// sent.
	ErrUnreachable = errs.New("peer: no connection")
	// ErrUnknown means that the call may have been executed, but no reply
	// arrived.
	ErrUnknown = errs.New("peer: no reply")
)

const (
	dialTimeout = time.Second
	// hedgeDelay is the interval after which another connection attempt starts
	// while earlier ones are pending. It is several round trips between data
	// centres, and less than the second after which a kernel retransmits a lost
	// SYN.
	hedgeDelay = 250 * time.Millisecond
)

// Client calls the RPC methods of one other process over one connection, which
// it opens on demand. It is safe for concurrent use. Create one with NewClient
// and release it with Close.
type Client struct {
	address string
	dial    Dial
	traffic *Traffic
	mutex   sync.Mutex
	rpc     *rpc.Client
	pending *pendingDial // Nil unless a connection is being opened.
	closed  bool
}

// pendingDial is one attempt to open the connection. Several calls may wait for
// it.
type pendingDial struct {
	done chan struct{} // Closed when rpc and err are set.
	rpc  *rpc.Client
	err  error
}

// NewClient returns a client of the process at address, which holds a host and a
// port. It does not connect yet. A nil dial means DialTCP. traffic counts the
// bytes of the connection and must not be nil.
func NewClient(address string, dial Dial, traffic *Traffic) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{address: address, dial: Hedge(dial, hedgeDelay), traffic: traffic}
}

// Address returns the address of the other process.
func (c *Client) Address() string { return c.address }

// Call calls the method "Service.Method" and waits for the reply for at most
// timeout, including the time to connect and to send the call. The error matches
// ErrUnreachable if the call was not sent, and ErrUnknown if no reply arrived; any
// other error was returned by the method. After ErrUnknown the caller must not read
// reply, because it may still be written.
//
// A timeout closes the connection, because the state of the remote end is
// unknown. Other calls on the connection then fail with ErrUnknown.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	start := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	conn, err := c.connect(timer.C)
	if err != nil {
		return err
	}
	// Go blocks while the other process does not read. Closing the connection ends that
	// and the call.
	expiry := time.AfterFunc(timeout-time.Since(start), func() { c.discard(conn) })
	defer expiry.Stop()
	call := <-conn.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	if call.Error == nil {
		return nil
	}
	if _, isReply := call.Error.(rpc.ServerError); isReply {
		return errs.New("peer: %s returned an error: %v", method, call.Error)
	}
	c.discard(conn)
	return errs.Combine(ErrUnknown, call.Error)
}

// connect returns the connection, and opens it if there is none. Concurrent calls
// share one attempt: if the host does not respond, each of them waits for that
// attempt only and not for one attempt per call.
func (c *Client) connect(timeout <-chan time.Time) (*rpc.Client, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, ErrUnreachable
	}
	if c.rpc != nil {
		defer c.mutex.Unlock()
		return c.rpc, nil
	}
	d := c.pending
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		c.pending = d
		go c.connectOnce(d)
	}
	c.mutex.Unlock()
	select {
	case <-d.done:
		return d.rpc, d.err
	case <-timeout:
		return nil, ErrUnreachable
	}
}

// connectOnce opens the connection and completes d.
func (c *Client) connectOnce(d *pendingDial) {
	conn, err := c.dial(c.address, dialTimeout)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = nil
	switch {
	case err != nil:
		d.err = errs.Combine(ErrUnreachable, err)
	case c.closed:
		conn.Close()
		d.err = ErrUnreachable
	default:
		c.rpc = rpc.NewClient(countedConn{Conn: conn, traffic: c.traffic})
		d.rpc = c.rpc
	}
	close(d.done)
}

// discard closes conn. The next call opens a new connection.
func (c *Client) discard(conn *rpc.Client) {
	c.mutex.Lock()
	if c.rpc == conn {
		c.rpc = nil
	}
	c.mutex.Unlock()
	conn.Close()
}

// Close closes the connection. Later calls fail with ErrUnreachable. It may be
// called more than once.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	conn := c.rpc
	c.rpc = nil
	c.mutex.Unlock()
	if conn != nil {
		conn.Close()
	}
}
