package source

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Daemons that ask while a read is in progress share the next one. No daemon gets the
// result of a read that began before it asked: a change may have been accepted in
// between.
func TestConcurrentConfirmationsShareReads(t *testing.T) {
	var c confirmations
	var accepted, reads atomic.Uint64
	started, release := make(chan struct{}), make(chan struct{})
	read := func() (confirmedRead, error) {
		revision := accepted.Load()
		if reads.Add(1) == 1 {
			close(started)
			<-release
		}
		return confirmedRead{revision: config.Revision(revision)}, nil
	}
	var group sync.WaitGroup
	group.Go(func() { c.do(read) })
	<-started
	const daemons = 281
	accepted.Store(7)
	asking := make(chan struct{}, daemons)
	for range daemons {
		group.Go(func() {
			asking <- struct{}{}
			confirmed, err := c.do(read)
			require.NoError(t, err)
			require.EqualValues(t, 7, confirmed.revision)
		})
	}
	for range daemons {
		<-asking
	}
	require.Eventually(t, func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.waiting) == daemons
	}, 5*time.Second, time.Millisecond)
	close(release)
	group.Wait()
	require.EqualValues(t, 2, reads.Load())
}
