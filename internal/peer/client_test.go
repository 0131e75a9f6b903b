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

// Calls that need a connection to a host that does not answer at the same time
// are held up for one attempt, not one after the other.
func TestDialsAreShared(t *testing.T) {
	const attempt = 100 * time.Millisecond
	var mutex sync.Mutex
	dials := 0
	dial := func(string, time.Duration) (net.Conn, error) {
		mutex.Lock()
		dials++
		mutex.Unlock()
		time.Sleep(attempt)
		return nil, errors.New("no answer")
	}
	c := peer.NewClient("127.0.0.1:1", dial, &peer.Traffic{})
	began := time.Now()
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			require.ErrorIs(t, c.Call("A.B", 1, new(int), 10*time.Second), peer.ErrUnreachable)
		})
	}
	group.Wait()
	require.Less(t, time.Since(began), 5*attempt)
	require.Less(t, dials, 5)
}

// A host that comes up while its first opening packet is lost is reached with the
// next attempt, not after the time limit.
func TestLostOpeningPacketIsMadeUpFor(t *testing.T) {
	server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, server.Register("Echo", &echo{}))
	go server.Serve()
	defer server.Close()
	var dials atomic.Int32
	lost := func(address string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(timeout)
			return nil, errors.New("no answer")
		}
		return peer.DialTCP(address, timeout)
	}
	c := peer.NewClient(server.Address(), lost, &peer.Traffic{})
	defer c.Close()
	began := time.Now()
	reply := 0
	require.NoError(t, c.Call("Echo.Back", 7, &reply, 5*time.Second))
	require.Equal(t, 7, reply)
	require.Less(t, time.Since(began), 800*time.Millisecond)
}

// echo answers with what it is asked.
type echo struct{}

// Back returns its argument.
func (*echo) Back(args int, reply *int) error {
	*reply = args
	return nil
}

// The time limit of a call covers the setting up of the connection.
func TestTimeLimitCoversTheDial(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	dial := func(string, time.Duration) (net.Conn, error) {
		<-hold
		return nil, errors.New("no answer")
	}
	c := peer.NewClient("127.0.0.1:1", dial, &peer.Traffic{})
	began := time.Now()
	require.ErrorIs(t, c.Call("A.B", 1, new(int), 50*time.Millisecond), peer.ErrUnreachable)
	require.Less(t, time.Since(began), time.Second)
}
