package peer_test

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/peer"
)

// Concurrent calls to a host that does not respond must share dials. If each of
// ten calls dialled by itself, one after the other, the last one would fail only
// after ten dials.
func TestConcurrentCallsShareDials(t *testing.T) {
	const dialTime = 100 * time.Millisecond
	var mutex sync.Mutex
	dials := 0
	dial := func(string, time.Duration) (net.Conn, error) {
		mutex.Lock()
		dials++
		mutex.Unlock()
		time.Sleep(dialTime)
		return nil, errors.New("no response")
	}
	c := peer.NewClient("127.0.0.1:1", dial, &peer.Traffic{})
	start := time.Now()
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			require.ErrorIs(t, c.Call("A.B", 1, new(int), 10*time.Second), peer.ErrUnreachable)
		})
	}
	group.Wait()
	require.Less(t, time.Since(start), 5*dialTime)
	require.Less(t, dials, 5)
}

// If the SYN of the first dial is lost, for instance because the host is still
// booting, a call must succeed through a hedged second dial, and not only after
// the timeout of the first.
func TestCallDialsAgainAfterLostSYN(t *testing.T) {
	server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, server.Register("Echo", &echo{}))
	go server.Serve()
	defer server.Close()
	var dials atomic.Int32
	dialLosingFirst := func(address string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(timeout)
			return nil, errors.New("no response")
		}
		return peer.DialTCP(address, timeout)
	}
	c := peer.NewClient(server.Address(), dialLosingFirst, &peer.Traffic{})
	defer c.Close()
	start := time.Now()
	reply := 0
	require.NoError(t, c.Call("Echo.Back", 7, &reply, 5*time.Second))
	require.Equal(t, 7, reply)
	require.Less(t, time.Since(start), 800*time.Millisecond)
}

// echo is an RPC service that returns its arguments.
type echo struct{}

// Back copies args to reply.
func (*echo) Back(args int, reply *int) error {
	*reply = args
	return nil
}

// A call must return at its timeout, also if the dial takes longer.
func TestCallTimeoutCoversDial(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	dial := func(string, time.Duration) (net.Conn, error) {
		<-release
		return nil, errors.New("no response")
	}
	c := peer.NewClient("127.0.0.1:1", dial, &peer.Traffic{})
	start := time.Now()
	require.ErrorIs(t, c.Call("A.B", 1, new(int), 50*time.Millisecond), peer.ErrUnreachable)
	require.Less(t, time.Since(start), time.Second)
}

// A call to a process that has stopped reading must return at its timeout, also while its
// request is being sent, and so must other calls on the connection. Later calls use
// another connection.
func TestCallTimeoutCoversSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var dials atomic.Int32
	server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, server.Register("Echo", &echo{}))
	go server.Serve()
	defer server.Close()
	c := peer.NewClient(l.Addr().String(), func(_ string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) == 1 {
			return peer.DialTCP(l.Addr().String(), timeout) // Nothing reads there.
		}
		return peer.DialTCP(server.Address(), timeout)
	}, &peer.Traffic{})
	defer c.Close()
	const timeout = 200 * time.Millisecond
	results := make(chan error, 2)
	go func() { results <- c.Call("Sink.Take", make([]byte, 16<<20), new(int), timeout) }()
	time.Sleep(timeout / 4)
	go func() { results <- c.Call("Echo.Back", 7, new(int), timeout) }()
	for range 2 {
		select {
		case err := <-results:
			require.ErrorIs(t, err, peer.ErrUnknown)
		case <-time.After(10 * timeout):
			t.Fatal("a call has not returned at its timeout")
		}
	}
	reply := 0
	require.NoError(t, c.Call("Echo.Back", 7, &reply, 5*time.Second))
	require.Equal(t, 7, reply)
}
