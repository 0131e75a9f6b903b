package caller

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
)

// unresponsiveConn is a connection to a host that has lost power. A read fails
// with a timeout once timedOut is closed.
type unresponsiveConn struct {
	net.Conn
	timedOut chan struct{}
}

func (c unresponsiveConn) Read([]byte) (int, error) {
	<-c.timedOut
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// roundTrip makes a call over a pool, which ends when the host is found
// unresponsive.
func roundTrip(t *testing.T, pool *connPool) error {
	r, err := http.NewRequest(http.MethodGet, "http://10.0.0.1:1/", nil)
	require.NoError(t, err)
	response, err := pool.transport.RoundTrip(r.WithContext(pool.unresponsive))
	if err == nil {
		response.Body.Close()
	}
	return err
}

// A host loses power while it executes calls. The first call that times out
// must end all others, which would otherwise wait until their deadlines, and
// the next call must get a new pool.
func TestUnresponsiveHostEndsAllCalls(t *testing.T) {
	pools := newConnPools(time.Now, &count.Set{})
	timedOut := make(chan struct{})
	never := make(chan struct{})
	defer close(never)
	var dials atomic.Int32
	pools.dial = func(string, time.Duration) (net.Conn, error) {
		client, server := net.Pipe()
		go http.ReadRequest(bufio.NewReader(server))
		if dials.Add(1) == 1 {
			return unresponsiveConn{client, timedOut}, nil
		}
		return unresponsiveConn{client, never}, nil
	}
	pool := pools.get("a", false)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- roundTrip(t, pool) }()
	require.Eventually(t, func() bool { return dials.Load() == 1 }, time.Second, time.Millisecond)
	go func() { second <- roundTrip(t, pool) }()
	require.Eventually(t, func() bool { return dials.Load() == 2 }, time.Second, time.Millisecond)
	close(timedOut)
	err := <-first
	require.Error(t, err)
	require.True(t, pools.reportError(time.Now(), "a", pool, err))
	select {
	case err = <-second:
		require.Error(t, err)
	case <-time.After(time.Second):
		t.Fatal("the other call to the unresponsive host did not end")
	}
	require.NotSame(t, pool, pools.get("a", false))
	require.NoError(t, pools.get("a", false).unresponsive.Err())
}

// On a slow link that is full, a connection may not open in time while responses still
// arrive on others. Calls over these go on: one that had been accepted before a planned
// stop would be broken off otherwise. Once nothing has arrived for a while, they end.
func TestSlowLinkEndsNoOtherCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	pools := newConnPools(func() time.Time { return now }, &count.Set{})
	pools.dial = func(string, time.Duration) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			http.ReadRequest(bufio.NewReader(server))
			server.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}()
		return client, nil
	}
	now = now.Add(time.Second)
	pool := pools.get("a", false)
	require.NoError(t, roundTrip(t, pool))
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	now = now.Add(silenceTimeout - time.Millisecond)
	require.False(t, pools.reportError(now, "a", pool, timeout))
	require.NoError(t, pool.unresponsive.Err())
	now = now.Add(time.Millisecond)
	require.True(t, pools.reportError(now, "a", pool, timeout))
	require.Error(t, pool.unresponsive.Err())
}

// Timeouts of a read or a dial mean an unresponsive host. A refused or reset
// connection does not, since a live host sends these.
func TestIsUnresponsive(t *testing.T) {
	require.True(t, isUnresponsive(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}))
	require.True(t, isUnresponsive(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}))
	require.False(t, isUnresponsive(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
	require.False(t, isUnresponsive(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}))
	require.False(t, isUnresponsive(errors.New("other")))
}

// The kernel accepts the timeout on a real TCP connection.
func TestSetUserTimeoutOnTCPConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, setUserTimeout(conn, unresponsiveTimeout))
}
