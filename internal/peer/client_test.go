package peer_test

import (
	"errors"
	"net"
	"sync"
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
