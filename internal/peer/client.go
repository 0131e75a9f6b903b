package peer

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Errors of a call that callers test with errors.Is.
var (
	// ErrUnreachable means that no connection could be had: the call was not
	// sent.
	ErrUnreachable = errs.New("peer: not reachable")
	// ErrUnknown means that the call was sent, but no answer came.
	ErrUnknown = errs.New("peer: no answer")
)

const (
	dialTimeout = time.Second
	// hedgeDelay is after what time another attempt is made beside the first. It
	// is several round trips between data centres, and less than the second
	// after which a kernel sends a lost opening packet again.
	hedgeDelay = 250 * time.Millisecond
)

// Client calls one other process over one connection, which it opens when it
// is needed. It is safe for concurrent use. Make one with NewClient.
type Client struct {
	address string
	dial    Dial
	traffic *Traffic
	mutex   sync.Mutex
	rpc     *rpc.Client
	dialing *dialing // Nil unless a connection is being set up.
	closed  bool
}

// dialing is the setting up of a connection, for which several calls may wait.
type dialing struct {
	done chan struct{} // Closed when rpc and err are set.
	rpc  *rpc.Client
	err  error
}

// NewClient returns a client of the process at address. A nil dial means
// DialTCP.
func NewClient(address string, dial Dial, traffic *Traffic) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{address: address, dial: Hedge(dial, hedgeDelay), traffic: traffic}
}

// Address returns the address of the other process.
func (c *Client) Address() string { return c.address }

// Call calls a method and waits for at most timeout. A call that timed out
// takes the connection with it, since nothing more is known of its other end.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	conn, err := c.connect(timer.C)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-timer.C:
		c.drop(conn)
		return ErrUnknown
	}
	if call.Error == nil {
		return nil
	}
	if _, answered := call.Error.(rpc.ServerError); answered {
		return errs.New("peer: %s: %v", method, call.Error)
	}
	c.drop(conn)
	return errs.Combine(ErrUnknown, call.Error)
}

// connect returns the connection. Calls that need one at the same time wait for
// the same attempt, so that a host that does not answer holds each of them up
// for one attempt and not for those of the others too.
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
	d := c.dialing
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		c.dialing = d
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

// connectOnce makes one attempt to connect.
func (c *Client) connectOnce(d *dialing) {
	conn, err := c.dial(c.address, dialTimeout)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
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

func (c *Client) drop(conn *rpc.Client) {
	c.mutex.Lock()
	if c.rpc == conn {
		c.rpc = nil
	}
	c.mutex.Unlock()
	conn.Close()
}

// Close closes the connection; later calls fail with ErrUnreachable.
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
