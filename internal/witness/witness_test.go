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

const patience = 20 * time.Second

var errDown = errors.New("down")

// keepers are three keepers that can be cut off and restarted.
type keepers struct {
	mutex  sync.Mutex
	stores map[string]*witness.Service
	down   map[string]bool
	lives  uint64
}

func newKeepers() *keepers {
	k := &keepers{stores: map[string]*witness.Service{}, down: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		k.restart(name)
	}
	return k
}

func (k *keepers) restart(name string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lives++
	k.stores[name] = witness.NewService(k.lives)
}

func (k *keepers) cut(down bool, names ...string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, name := range names {
		k.down[name] = down
	}
}

func (k *keepers) call(address, method string, args, reply any, _ time.Duration) error {
	k.mutex.Lock()
	store, down := k.stores[address], k.down[address]
	k.mutex.Unlock()
	if down {
		return errDown
	}
	switch method {
	case "Floor.Note":
		return store.Note(args.(witness.NoteArgs), reply.(*witness.NoteReply))
	case "Floor.Ask":
		return store.Ask(args.(witness.AskArgs), reply.(*witness.AskReply))
	}
	return fmt.Errorf("no method %s", method)
}

// prover starts a daemon's life, which the returned function ends.
func (k *keepers) prover() (*witness.Client, func()) {
	p := witness.NewClient(witness.Config{Host: "d", Witnesses: []string{"a", "b", "c"}, Call: k.call})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { p.Run(i, stop) })
	}
	return p, func() {
		close(stop)
		group.Wait()
	}
}

func requireFloor(t *testing.T, k *keepers, want config.Revision, known bool) {
	t.Helper()
	p, end := k.prover()
	defer end()
	got, ok := p.Ask()
	require.Equal(t, known, ok)
	if known {
		require.Equal(t, want, got)
	}
}

// Whichever minority of keepers is down at either time, the next life finds
// the floor or knows that it does not.
func TestFloorOutlivesTheDaemon(t *testing.T) {
	for _, first := range []string{"a", "b", "c"} {
		for _, second := range []string{"a", "b", "c"} {
			k := newKeepers()
			p, end := k.prover()
			require.True(t, p.Confirm(5, patience, nil))
			k.cut(true, first)
			require.True(t, p.Confirm(9, patience, nil))
			end()
			k.cut(false, first)
			k.cut(true, second)
			got, ok := p.Ask()
			require.True(t, !ok || got == 9, "noted without %s, asked without %s: %d", first, second, got)
		}
	}
}

// Each keeper is told of a revision once, whatever the others answer.
func TestKeepersAreToldOnce(t *testing.T) {
	k := newKeepers()
	var notes atomic.Int64
	p := witness.NewClient(witness.Config{Host: "d", Witnesses: []string{"a", "b", "c"}, Call: func(address, method string, args, reply any, timeout time.Duration) error {
		notes.Add(1)
		return k.call(address, method, args, reply, timeout)
	}})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { p.Run(i, stop) })
	}
	const revisions = 100
	for r := range config.Revision(revisions) {
		require.True(t, p.Confirm(r+1, patience, nil))
	}
	close(stop)
	group.Wait()
	// Each of three is told of each revision, and met once. A few refreshes may
	// come in between on a slow machine.
	require.Less(t, notes.Load(), int64(3*revisions+30))
}

func TestMinorityProvesNothing(t *testing.T) {
	k := newKeepers()
	p, end := k.prover()
	defer end()
	k.cut(true, "a", "b")
	require.False(t, p.Confirm(5, 50*time.Millisecond, nil))
	_, ok := p.Ask()
	require.False(t, ok)
	k.cut(false, "a")
	require.True(t, p.Confirm(5, patience, nil), "keepers are told as soon as they can be")
}

// A keeper that has restarted knows nothing until it is told again, and does
// not count before.
func TestRestartedKeeperDoesNotCount(t *testing.T) {
	k := newKeepers()
	p, end := k.prover()
	require.True(t, p.Confirm(9, patience, nil))
	end()
	k.restart("a")
	k.restart("b")
	requireFloor(t, k, 0, false)

	k = newKeepers()
	p, end = k.prover()
	require.True(t, p.Confirm(9, patience, nil))
	k.restart("a")
	require.True(t, p.Confirm(10, patience, nil))
	end()
	requireFloor(t, k, 10, true)
}

// Word meant for an earlier life of a keeper may be older than what that life
// knew.
func TestLateNoteIsNotTaken(t *testing.T) {
	s := witness.NewService(2)
	var note witness.NoteReply
	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 1, Revision: 4}, &note))
	require.False(t, note.Taken)
	require.EqualValues(t, 2, note.Instance)
	var asked witness.AskReply
	require.NoError(t, s.Ask(witness.AskArgs{Host: "d"}, &asked))
	require.False(t, asked.Known)

	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 2, Revision: 9}, &note))
	require.NoError(t, s.Note(witness.NoteArgs{Host: "d", Instance: 2, Revision: 4}, &note))
	require.NoError(t, s.Ask(witness.AskArgs{Host: "d"}, &asked))
	require.Equal(t, witness.AskReply{Known: true, Revision: 9}, asked, "floors never fall")
}

func TestMalformedNotesAreRefused(t *testing.T) {
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
