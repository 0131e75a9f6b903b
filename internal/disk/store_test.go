package disk_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

func create(t *testing.T) disk.Config {
	t.Helper()
	c := disk.Config{Folder: t.TempDir()}
	require.NoError(t, disk.Create(c, "a@first"))
	return c
}

func open(t *testing.T, c disk.Config) (*disk.Store, quorum.InitialState) {
	t.Helper()
	s, id, start, err := disk.Open(c)
	require.NoError(t, err)
	require.Equal(t, "a@first", id)
	t.Cleanup(func() { s.Close() })
	return s, start
}

func entries(term quorum.Term, from, to int) []quorum.Entry {
	var all []quorum.Entry
	for i := from; i <= to; i++ {
		all = append(all, quorum.Entry{Index: quorum.Index(i), Term: term, Data: []byte(fmt.Sprintf("t%d-%d", term, i))})
	}
	return all
}

func TestEmptyFolder(t *testing.T) {
	_, _, _, err := disk.Open(disk.Config{Folder: t.TempDir()})
	require.ErrorIs(t, err, disk.ErrEmpty)
}

func TestWhatWasSavedIsReadBack(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	hard := &quorum.HardState{Term: 3, Vote: "b"}
	require.NoError(t, s.Save(quorum.Output{Hard: hard, Append: entries(1, 1, 5)}))
	require.NoError(t, s.Save(quorum.Output{Append: entries(3, 4, 6)}))
	_, start := open(t, c)
	require.Equal(t, *hard, start.Hard)
	require.Equal(t, append(entries(1, 1, 3), entries(3, 4, 6)...), start.Entries)
}

// A crash may cut the last frame at any byte; everything before it stays.
func TestTornTailIsCut(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 3)}))
	whole := s.Size()
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 4, 5)}))
	path := filepath.Join(c.Folder, "log")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for cut := whole; cut < int64(len(data)); cut++ {
		require.NoError(t, os.WriteFile(path, data[:cut], 0o644))
		again, start := open(t, c)
		require.Equal(t, entries(1, 1, 3), start.Entries, "cut at %d", cut)
		require.NoError(t, again.Save(quorum.Output{Append: entries(2, 4, 4)}))
		_, start = open(t, c)
		require.Equal(t, append(entries(1, 1, 3), entries(2, 4, 4)...), start.Entries)
	}
}

// Any flipped bit among synced records is found, also in the last frame: the
// replica must not go on as if it had never promised what it lost.
func TestFlippedBitIsFound(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	for i := 1; i <= 3; i++ {
		require.NoError(t, s.Save(quorum.Output{Append: entries(1, i, i)}))
	}
	path := filepath.Join(c.Folder, "log")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for at := range data {
		for bit := range 8 {
			damaged := append([]byte(nil), data...)
			damaged[at] ^= 1 << bit
			require.NoError(t, os.WriteFile(path, damaged, 0o644))
			_, _, _, err := disk.Open(c)
			require.ErrorIs(t, err, disk.ErrDamaged, "bit %d of byte %d", bit, at)
		}
	}
}

func TestDamagedSnapshotIsFound(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 4)}))
	require.NoError(t, s.Compact(quorum.Snapshot{Index: 3, Term: 1, Data: []byte("state")}, quorum.HardState{Term: 1}, entries(1, 4, 4)))
	path := filepath.Join(c.Folder, "snapshot")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)/2] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o644))
	_, _, _, err = disk.Open(c)
	require.ErrorIs(t, err, disk.ErrDamaged)
}

func TestMissingLogIsDamage(t *testing.T) {
	c := create(t)
	require.NoError(t, os.Remove(filepath.Join(c.Folder, "log")))
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrDamaged)
}

// A full disk refuses a frame whole; the same frame can be written later.
func TestFullDisk(t *testing.T) {
	c := create(t)
	full := false
	c.Write = func(f *os.File, p []byte) (int, error) {
		if !full {
			return f.Write(p)
		}
		n, _ := f.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	s, _ := open(t, c)
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 2)}))
	full = true
	for range 3 {
		require.ErrorIs(t, s.Save(quorum.Output{Append: entries(1, 3, 4)}), disk.ErrFull)
	}
	full = false
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 3, 4)}))
	_, start := open(t, c)
	require.Equal(t, entries(1, 1, 4), start.Entries)
}

// A short frame after a long one that had no room: nothing of the long one is
// left behind it.
func TestFullDiskLeavesNoRest(t *testing.T) {
	c := create(t)
	full := false
	c.Write = func(f *os.File, p []byte) (int, error) {
		if !full {
			return f.Write(p)
		}
		n, _ := f.Write(p[:len(p)-1])
		return n, syscall.ENOSPC
	}
	s, _ := open(t, c)
	full = true
	require.ErrorIs(t, s.Save(quorum.Output{Append: entries(1, 1, 40)}), disk.ErrFull)
	full = false
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 1)}))
	_, start := open(t, c)
	require.Equal(t, entries(1, 1, 1), start.Entries)
}

func TestFailedSyncIsFinal(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	s.Close()
	c.Sync = func(*os.File) error { return errors.New("input/output error") }
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrSync)
}

func TestCompactKeepsTheTail(t *testing.T) {
	c := create(t)
	s, _ := open(t, c)
	require.NoError(t, s.Save(quorum.Output{Hard: &quorum.HardState{Term: 2}, Append: entries(2, 1, 9)}))
	snapshot := quorum.Snapshot{Index: 6, Term: 2, Data: []byte("state"), Members: []quorum.Member{{ID: "a", Voter: true}}}
	require.NoError(t, s.Compact(snapshot, quorum.HardState{Term: 2}, entries(2, 7, 9)))
	require.NoError(t, s.Save(quorum.Output{Append: entries(2, 10, 10)}))
	_, start := open(t, c)
	require.Equal(t, snapshot, *start.Snapshot)
	require.Equal(t, quorum.Term(2), start.Hard.Term)
	require.Equal(t, entries(2, 7, 10), start.Entries)
}

// A crash between the snapshot and the new log leaves the old log, whose
// entries that the snapshot covers are passed over.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	for _, test := range []struct {
		name string
		term quorum.Term
		want []quorum.Entry
	}{
		{"the log agrees", 2, entries(2, 7, 9)},
		{"the log disagrees", 3, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := create(t)
			s, _ := open(t, c)
			require.NoError(t, s.Save(quorum.Output{Append: entries(2, 1, 9)}))
			old, err := os.ReadFile(filepath.Join(c.Folder, "log"))
			require.NoError(t, err)
			install := &quorum.Snapshot{Index: 6, Term: test.term, Data: []byte("state")}
			require.NoError(t, s.Save(quorum.Output{Install: install}))
			require.NoError(t, os.WriteFile(filepath.Join(c.Folder, "log"), old, 0o644))
			_, start := open(t, c)
			require.Equal(t, test.want, start.Entries)
		})
	}
}

func TestSetAsideDeletesNothing(t *testing.T) {
	c := create(t)
	require.NoError(t, disk.SetAside(c, "x"))
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrEmpty)
	require.FileExists(t, filepath.Join(c.Folder, "damaged-x", "log"))
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xE4, 'w', 'l', 'k', 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, log []byte) {
		c := disk.Config{Folder: t.TempDir()}
		require.NoError(t, disk.Create(c, "a@first"))
		require.NoError(t, os.WriteFile(filepath.Join(c.Folder, "log"), log, 0o644))
		s, _, _, err := disk.Open(c)
		if err == nil {
			s.Close()
		} else {
			require.ErrorIs(t, err, disk.ErrDamaged)
		}
	})
}
