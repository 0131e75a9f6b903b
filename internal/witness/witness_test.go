package witness_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/witness"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// waitTimeout is how long a test waits for an expected result.
const waitTimeout = 20 * time.Second

var errWitnessDown = errors.New("witness is down")

// cluster holds three witnesses that can be made unreachable and restarted.
type cluster struct {
	mutex     sync.Mutex
	services  map[string]*witness.Service
	down      map[string]bool
	instances uint64 // Of all witnesses together.
}

func newCluster() *cluster {
	c := &cluster{services: map[string]*witness.Service{}, down: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		c.restart(name)
	}
	return c
}

// restart replaces a witness by one without records and with a new instance.
func (c *cluster) restart(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.instances++
	c.services[name] = witness.NewService(c.instances)
}

func (c *cluster) setDown(down bool, names ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, name := range names {
		c.down[name] = down
	}
}

func (c *cluster) call(address, method string, args, reply any, _ time.Duration) error {
	c.mutex.Lock()
	service, down := c.services[address], c.down[address]
	c.mutex.Unlock()
	if down {
		return errWitnessDown
	}
	switch method {
	case "Floor.Note":
		return service.Note(args.(witness.NoteArgs), reply.(*witness.NoteReply))
	case "Floor.Ask":
		return service.Ask(args.(witness.AskArgs), reply.(*witness.AskReply))
	}
	return fmt.Errorf("unknown method %s", method)
}

// startClient starts the client of a new incarnation of daemon "d". The
// returned function stops it.
func (c *cluster) startClient() (*witness.Client, func()) {
	client := witness.NewClient(witness.Config{Host: "d", Witnesses: []string{"a", "b", "c"}, Call: c.call})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { client.Run(i, stop) })
	}
	return client, func() {
		close(stop)
		group.Wait()
	}
}

// requireMinRevision checks what a new incarnation of daemon "d" gets from Ask.
func requireMinRevision(t *testing.T, c *cluster, want config.Revision, known bool) {
	t.Helper()
	client, stop := c.startClient()
	defer stop()
	got, ok := client.Ask()
	require.Equal(t, known, ok)
	if known {
		require.Equal(t, want, got)
	}
}

// A daemon must not get a minimum revision older than the one that a majority of
// the witnesses has recorded. One witness is unreachable while the revision is
// recorded, and one, the same or another, when the daemon asks after a restart.
func TestMinRevisionSurvivesRestart(t *testing.T) {
	for _, first := range []string{"a", "b", "c"} {
		for _, second := range []string{"a", "b", "c"} {
			c := newCluster()
			client, stop := c.startClient()
			require.True(t, client.Confirm(5, waitTimeout, nil))
			c.setDown(true, first)
			require.True(t, client.Confirm(9, waitTimeout, nil))
			stop()
			c.setDown(false, first)
			c.setDown(true, second)
			got, ok := client.Ask()
			require.True(t, !ok || got == 9, "recorded without %s, asked without %s: got revision %d, want 9", first, second, got)
		}
	}
}

// The client must not call a witness again when another witness has recorded
// the revision: each witness gets one call for each revision.
func TestClientRecordsEachRevisionOnce(t *testing.T) {
	c := newCluster()
	var calls atomic.Int64
	client := witness.NewClient(witness.Config{Host: "d", Witnesses: []string{"a", "b", "c"}, Call: func(address, method string, args, reply any, timeout time.Duration) error {
		calls.Add(1)
		return c.call(address, method, args, reply, timeout)
	}})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { client.Run(i, stop) })
	}
	const revisions = 100
	for r := range config.Revision(revisions) {
		require.True(t, client.Confirm(r+1, waitTimeout, nil))
	}
	close(stop)
	group.Wait()
	// Each of the 3 witnesses gets a call for each revision, and a first one that
	// returns its instance. The rest allows for refreshes on a slow machine.
	require.Less(t, calls.Load(), int64(3*revisions+30))
}

// With one reachable witness of three, Confirm must return false and Ask must not
// return a minimum. Once a second one is reachable, Confirm returns true.
func TestMinorityDoesNotConfirm(t *testing.T) {
	c := newCluster()
	client, stop := c.startClient()
	defer stop()
	c.setDown(true, "a", "b")
	require.False(t, client.Confirm(5, 50*time.Millisecond, nil))
	_, ok := client.Ask()
	require.False(t, ok)
	c.setDown(false, "a")
	require.True(t, client.Confirm(5, waitTimeout, nil), "the revision must be recorded once the witness is reachable")
}

// A restarted witness has lost its records and must not count towards a
// majority until the client has recorded the revision with it again.
func TestRestartedWitnessDoesNotCount(t *testing.T) {
	c := newCluster()
	client, stop := c.startClient()
	require.True(t, client.Confirm(9, waitTimeout, nil))
	stop()
	c.restart("a")
	c.restart("b")
	requireMinRevision(t, c, 0, false)

	c = newCluster()
	client, stop = c.startClient()
	require.True(t, client.Confirm(9, waitTimeout, nil))
	c.restart("a")
	require.True(t, client.Confirm(10, waitTimeout, nil))
	stop()
	requireMinRevision(t, c, 10, true)
}

// A note that was sent to a previous instance of the witness may carry an older
// revision than that instance had recorded, and must be rejected. Within an
// instance, an older revision must not replace a newer one.
func TestNoteForPreviousInstanceIsRejected(t *testing.T) {
	s := witness.NewService(2)
	var noted witness.NoteReply
	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 1, Revision: 4}, &noted))
	require.False(t, noted.Taken)
	require.EqualValues(t, 2, noted.Instance)
	var asked witness.AskReply
	require.NoError(t, s.Ask(witness.AskArgs{Host: "d"}, &asked))
	require.False(t, asked.Known)

	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 2, Revision: 9}, &noted))
	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 2, Revision: 4}, &noted))
	require.NoError(t, s.Ask(witness.AskArgs{Host: "d"}, &asked))
	require.Equal(t, witness.AskReply{Known: true, Revision: 9}, asked, "a recorded revision must not be lowered")
}

// A witness must reject invalid host names, and new hosts beyond its limit of
// 4096, which bounds its memory.
func TestServiceRejectsBadAndExcessHosts(t *testing.T) {
	s := witness.NewService(1)
	require.ErrorIs(t, s.Note(witness.NoteArgs{Host: "No Name", Instance: 1}, &witness.NoteReply{}), witness.ErrBadMessage)
	require.ErrorIs(t, s.Ask(witness.AskArgs{}, &witness.AskReply{}), witness.ErrBadMessage)
	for i := range 5000 {
		err := s.Note(witness.NoteArgs{Host: fmt.Sprintf("h%d", i), Instance: 1, Revision: 1}, &witness.NoteReply{})
		if i >= 4096 {
			require.ErrorIs(t, err, witness.ErrFull)
		}
	}
}

// The reply of a witness that arrives after the timeout of the call must not be read. The
// race detector fails this test.
func TestLateReplyIsNotRead(t *testing.T) {
	var late sync.WaitGroup
	client := witness.NewClient(witness.Config{
		Host: "d", Witnesses: []string{"a", "b", "c"},
		Call: func(_, _ string, _, reply any, _ time.Duration) error {
			late.Go(func() {
				switch r := reply.(type) {
				case *witness.AskReply:
					r.Known, r.Revision = true, 7
				case *witness.NoteReply:
					r.Taken, r.Instance = true, 7
				}
			})
			return errWitnessDown
		},
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { client.Run(0, stop) })
	require.False(t, client.Confirm(5, 50*time.Millisecond, nil))
	_, known := client.Ask()
	require.False(t, known)
	close(stop)
	group.Wait()
	late.Wait()
}
