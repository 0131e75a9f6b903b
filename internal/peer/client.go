package peer

import (
	"net"
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

// Dial opens a connection. Tests replace it to cut peers off.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dial of real processes.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

const dialTimeout = time.Second

// Client calls one other process over one connection, which it opens when it
// is needed. It is safe for concurrent use. Make one with NewClient.
type Client struct {
	address string
	dial    Dial
	traffic *Traffic
	mutex   sync.Mutex
	rpc     *rpc.Client
	closed  bool
}

// NewClient returns a client of the process at address. A nil dial means
// DialTCP.
func NewClient(address string, dial Dial, traffic *Traffic) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{address: address, dial: dial, traffic: traffic}
}

// Address returns the address of the other process.
func (c *Client) Address() string { return c.address }

// Call calls a method and waits for at most timeout. A call that timed out
// takes the connection with it, since nothing more is known of its other end.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
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

func (c *Client) connect() (*rpc.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrUnreachable
	}
	if c.rpc != nil {
		return c.rpc, nil
	}
	conn, err := c.dial(c.address, dialTimeout)
	if err != nil {
		return nil, errs.Combine(ErrUnreachable, err)
	}
	c.rpc = rpc.NewClient(countedConn{Conn: conn, traffic: c.traffic})
	return c.rpc, nil
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
