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

// createFolder makes a data folder of replica "a@first" and returns its
// configuration.
func createFolder(t *testing.T) disk.Config {
	t.Helper()
	c := disk.Config{Folder: t.TempDir()}
	require.NoError(t, disk.Create(c, "a@first"))
	return c
}

// openStore opens the data folder and closes it when the test ends.
func openStore(t *testing.T, c disk.Config) (*disk.Store, quorum.InitialState) {
	t.Helper()
	s, id, start, err := disk.Open(c)
	require.NoError(t, err)
	require.Equal(t, "a@first", id)
	t.Cleanup(func() { s.Close() })
	return s, start
}

// entries returns entries of one term with the indexes from to to, both
// included.
func entries(term quorum.Term, from, to int) []quorum.Entry {
	var all []quorum.Entry
	for i := from; i <= to; i++ {
		all = append(all, quorum.Entry{Index: quorum.Index(i), Term: term, Data: []byte(fmt.Sprintf("t%d-%d", term, i))})
	}
	return all
}

func TestOpenOfEmptyFolderReturnsErrEmpty(t *testing.T) {
	_, _, _, err := disk.Open(disk.Config{Folder: t.TempDir()})
	require.ErrorIs(t, err, disk.ErrEmpty)
}

// Open must return the saved term, vote and entries. Entries saved later
// replace those at the same indexes and all after them.
func TestOpenReturnsSavedRecords(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
	hard := &quorum.HardState{Term: 3, Vote: "b"}
	require.NoError(t, s.Save(quorum.Output{Hard: hard, Append: entries(1, 1, 5)}))
	require.NoError(t, s.Save(quorum.Output{Append: entries(3, 4, 6)}))
	_, start := openStore(t, c)
	require.Equal(t, *hard, start.Hard)
	require.Equal(t, append(entries(1, 1, 3), entries(3, 4, 6)...), start.Entries)
}

// A crash can truncate the last frame at any byte. All frames before it must
// stay readable, and new frames must be appended after them.
func TestOpenDropsTruncatedLastFrame(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 3)}))
	firstFrameEnd := s.Size()
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 4, 5)}))
	path := filepath.Join(c.Folder, "log")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for cut := firstFrameEnd; cut < int64(len(data)); cut++ {
		require.NoError(t, os.WriteFile(path, data[:cut], 0o644))
		reopened, start := openStore(t, c)
		require.Equal(t, entries(1, 1, 3), start.Entries, "cut at %d", cut)
		require.NoError(t, reopened.Save(quorum.Output{Append: entries(2, 4, 4)}))
		_, start = openStore(t, c)
		require.Equal(t, append(entries(1, 1, 3), entries(2, 4, 4)...), start.Entries)
	}
}

// A flipped bit among synced records must be detected, also in the last frame.
// If it were taken for a truncated write, the replica would lose votes and
// entries that it has acknowledged.
func TestOpenDetectsEveryFlippedBit(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
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

// A flipped bit in the snapshot file must be detected.
func TestOpenDetectsDamagedSnapshot(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
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

// A data folder without its log has lost synced records and must not be opened
// as a new one.
func TestOpenReportsMissingLogAsDamage(t *testing.T) {
	c := createFolder(t)
	require.NoError(t, os.Remove(filepath.Join(c.Folder, "log")))
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrDamaged)
}

// If the disk is full, no part of the frame may be kept, and the same frame can
// be saved later.
func TestSaveCanBeRetriedAfterFullDisk(t *testing.T) {
	c := createFolder(t)
	full := false
	c.Write = func(f *os.File, p []byte) (int, error) {
		if !full {
			return f.Write(p)
		}
		n, _ := f.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	s, _ := openStore(t, c)
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 2)}))
	full = true
	for range 3 {
		require.ErrorIs(t, s.Save(quorum.Output{Append: entries(1, 3, 4)}), disk.ErrFull)
	}
	full = false
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 3, 4)}))
	_, start := openStore(t, c)
	require.Equal(t, entries(1, 1, 4), start.Entries)
}

// A failed write can leave most of a long frame in the log. A shorter frame
// saved later must not be followed by the rest of it.
func TestSaveAfterFullDiskRemovesPartialFrame(t *testing.T) {
	c := createFolder(t)
	full := false
	c.Write = func(f *os.File, p []byte) (int, error) {
		if !full {
			return f.Write(p)
		}
		n, _ := f.Write(p[:len(p)-1])
		return n, syscall.ENOSPC
	}
	s, _ := openStore(t, c)
	full = true
	require.ErrorIs(t, s.Save(quorum.Output{Append: entries(1, 1, 40)}), disk.ErrFull)
	full = false
	require.NoError(t, s.Save(quorum.Output{Append: entries(1, 1, 1)}))
	_, start := openStore(t, c)
	require.Equal(t, entries(1, 1, 1), start.Entries)
}

// A failed sync must be reported as ErrSync, because the process must end after
// it.
func TestFailedSyncReturnsErrSync(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
	s.Close()
	c.Sync = func(*os.File) error { return errors.New("input/output error") }
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrSync)
}

// Compact must keep the entries after the snapshot, and later frames must be
// appended to them.
func TestCompactKeepsEntriesAfterSnapshot(t *testing.T) {
	c := createFolder(t)
	s, _ := openStore(t, c)
	require.NoError(t, s.Save(quorum.Output{Hard: &quorum.HardState{Term: 2}, Append: entries(2, 1, 9)}))
	snapshot := quorum.Snapshot{Index: 6, Term: 2, Data: []byte("state"), Members: []quorum.Member{{ID: "a", Voter: true}}}
	require.NoError(t, s.Compact(snapshot, quorum.HardState{Term: 2}, entries(2, 7, 9)))
	require.NoError(t, s.Save(quorum.Output{Append: entries(2, 10, 10)}))
	_, start := openStore(t, c)
	require.Equal(t, snapshot, *start.Snapshot)
	require.Equal(t, quorum.Term(2), start.Hard.Term)
	require.Equal(t, entries(2, 7, 10), start.Entries)
}

// After a crash between the writing of the snapshot and of the log, the old log
// is still there. If it matches the snapshot, only the entries after the
// snapshot are read; otherwise none.
func TestOpenAfterCrashBetweenSnapshotAndLog(t *testing.T) {
	for _, test := range []struct {
		name string
		term quorum.Term
		want []quorum.Entry
	}{
		{"the log matches the snapshot", 2, entries(2, 7, 9)},
		{"the log does not match the snapshot", 3, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := createFolder(t)
			s, _ := openStore(t, c)
			require.NoError(t, s.Save(quorum.Output{Append: entries(2, 1, 9)}))
			old, err := os.ReadFile(filepath.Join(c.Folder, "log"))
			require.NoError(t, err)
			install := &quorum.Snapshot{Index: 6, Term: test.term, Data: []byte("state")}
			require.NoError(t, s.Save(quorum.Output{InstallSnapshot: install}))
			require.NoError(t, os.WriteFile(filepath.Join(c.Folder, "log"), old, 0o644))
			_, start := openStore(t, c)
			require.Equal(t, test.want, start.Entries)
		})
	}
}

// A damaged folder must be empty for Open after SetAside, and its files must be
// kept.
func TestSetAsideDeletesNothing(t *testing.T) {
	c := createFolder(t)
	require.NoError(t, disk.SetAside(c, "x"))
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrEmpty)
	require.FileExists(t, filepath.Join(c.Folder, "damaged-x", "log"))
}

// FuzzOpen opens data folders whose log holds arbitrary bytes. Open must either
// succeed or return ErrDamaged.
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

// A log that cannot be read is not damaged: its records may be intact, and a replica
// that set them aside would forget what it has acknowledged. A log that is gone is.
func TestUnreadableLogIsNotDamaged(t *testing.T) {
	c := createFolder(t)
	log := filepath.Join(c.Folder, "log")
	require.NoError(t, os.Remove(log))
	_, _, _, err := disk.Open(c)
	require.ErrorIs(t, err, disk.ErrDamaged)
	require.NoError(t, os.Mkdir(log, 0o755)) // Reading a folder fails.
	_, _, _, err = disk.Open(c)
	require.Error(t, err)
	require.NotErrorIs(t, err, disk.ErrDamaged)
}
