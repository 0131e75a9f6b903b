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

// silentConn is a connection to a host that loses power once failing is closed.
type silentConn struct {
	net.Conn
	failing chan struct{}
}

func (c silentConn) Read([]byte) (int, error) {
	<-c.failing
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

func get(t *testing.T, g *connPool) error {
	r, err := http.NewRequest(http.MethodGet, "http://10.0.0.1:1/", nil)
	require.NoError(t, err)
	response, err := g.transport.RoundTrip(r.WithContext(g.failed))
	if err == nil {
		response.Body.Close()
	}
	return err
}

// A host that loses power while calls run there: the first call to find out
// ends all others, and the next one sets up a new connection.
func TestSilentHostEndsAllCalls(t *testing.T) {
	g := newConnPools(&count.Set{})
	failing := make(chan struct{})
	hang := make(chan struct{})
	defer close(hang)
	var dials atomic.Int32
	g.dial = func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		go http.ReadRequest(bufio.NewReader(far))
		if dials.Add(1) == 1 {
			return silentConn{near, failing}, nil
		}
		return silentConn{near, hang}, nil
	}
	way := g.to("a")
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- get(t, way) }()
	require.Eventually(t, func() bool { return dials.Load() == 1 }, time.Second, time.Millisecond)
	go func() { second <- get(t, way) }()
	require.Eventually(t, func() bool { return dials.Load() == 2 }, time.Second, time.Millisecond)
	close(failing)
	err := <-first
	require.Error(t, err)
	require.True(t, g.fail("a", way, err))
	select {
	case err = <-second:
		require.Error(t, err)
	case <-time.After(time.Second):
		t.Fatal("the other call goes on")
	}
	require.NotSame(t, way, g.to("a"))
	require.NoError(t, g.to("a").failed.Err())
}

func TestWhatIsSilence(t *testing.T) {
	require.True(t, isUnresponsive(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}))
	require.True(t, isUnresponsive(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}))
	require.False(t, isUnresponsive(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
	require.False(t, isUnresponsive(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}))
	require.False(t, isUnresponsive(errors.New("other")))
}

// The limit is set on real connections.
func TestSilenceIsLimited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, setUserTimeout(conn, unresponsiveTimeout))
}
