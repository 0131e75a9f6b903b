// Package disk stores the durable state of a source replica in one data folder:
// a log of checksummed frames, a snapshot and the replica's ID.
//
// All records are on disk once Save or Compact returns nil. A Store is not safe
// for concurrent use; one goroutine owns it.
package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

// Errors that callers test with errors.Is.
var (
	// ErrDamaged means that synced records cannot be read back. The folder must
	// not be used any more: votes that the replica granted and entries that it
	// acknowledged may be lost.
	ErrDamaged = errs.New("disk: synced records are damaged")
	// ErrEmpty means that the folder holds no replica yet.
	ErrEmpty = errs.New("disk: the data folder holds no replica")
	// ErrFull means that the disk had no room. The records of the call do not
	// count as saved; the call may be retried.
	ErrFull = errs.New("disk: no space left for records")
	// ErrSync means that a write or sync failed for another reason. The content
	// of the disk is unknown, and a second sync that succeeds would not show
	// that the first data is on disk. The process must end.
	ErrSync = errs.New("disk: write or sync failed")
)

// Names and modes of the files. Existing data folders use the names, so they
// must not change.
const (
	logName      = "log"
	snapshotName = "snapshot"
	identityName = "identity"
	folderMode   = 0o755
	fileMode     = 0o644
)

// Config configures a Store. The function fields may be nil; tests set them to
// inject failures.
type Config struct {
	Folder string                              // Path of the data folder.
	Sync   func(*os.File) error                // nil means (*os.File).Sync.
	Write  func(*os.File, []byte) (int, error) // nil means (*os.File).Write.
}

// Store is an open data folder. Create one with Open and release it with Close.
type Store struct {
	config          Config
	log             *os.File
	hard            quorum.HardState // The hard state of the last Save.
	logSize         int64            // Synced length of the log in bytes.
	hasPartialWrite bool             // A failed write may have left bytes after logSize.
	logSyncs        int64
}

// Create makes a data folder for a new replica with the given ID. It returns an
// error if the folder already holds a replica. It writes the identity file last:
// a folder without that file counts as empty.
func Create(config Config, id string) error {
	if err := os.MkdirAll(config.Folder, folderMode); err != nil {
		return errs.New("disk: create data folder: %v", err)
	}
	if _, err := os.Stat(filepath.Join(config.Folder, identityName)); err == nil {
		return errs.New("disk: data folder %s already holds a replica", config.Folder)
	}
	s := &Store{config: config.withDefaults()}
	if err := s.replaceFile(logName, nil); err != nil {
		return err
	}
	return s.replaceFile(identityName, []byte(id))
}

// Open opens a data folder and returns the replica's ID and its synced state. A
// frame at the end of the log that a crash truncated is removed. It returns
// ErrEmpty if the folder holds no replica, and ErrDamaged if synced records
// cannot be read back.
func Open(config Config) (*Store, string, quorum.InitialState, error) {
	s := &Store{config: config.withDefaults()}
	id, err := os.ReadFile(s.path(identityName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, "", quorum.InitialState{}, ErrEmpty
	}
	if err != nil {
		return nil, "", quorum.InitialState{}, errs.New("disk: read replica ID: %v", err)
	}
	state, err := s.load()
	s.hard = state.Hard
	if err != nil {
		return nil, "", quorum.InitialState{}, err
	}
	return s, string(id), state, nil
}

// SetAside moves the files of a damaged data folder to its subfolder
// "damaged-<suffix>", so that the replica can join again under a new ID. It
// deletes nothing if no earlier call used the same suffix; otherwise it replaces
// the files of that call.
func SetAside(config Config, suffix string) error {
	target := filepath.Join(config.Folder, "damaged-"+suffix)
	if err := os.MkdirAll(target, folderMode); err != nil {
		return errs.New("disk: create folder for damaged files: %v", err)
	}
	for _, name := range []string{identityName, logName, snapshotName} {
		err := os.Rename(filepath.Join(config.Folder, name), filepath.Join(target, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return errs.New("disk: move damaged file: %v", err)
		}
	}
	return nil
}

// withDefaults returns c with its nil functions replaced by their defaults.
func (c Config) withDefaults() Config {
	if c.Sync == nil {
		c.Sync = (*os.File).Sync
	}
	if c.Write == nil {
		c.Write = (*os.File).Write
	}
	return c
}

// path returns the path of a file in the data folder.
func (s *Store) path(name string) string {
	return filepath.Join(s.config.Folder, name)
}

// Size returns the synced length of the log in bytes.
func (s *Store) Size() int64 { return s.logSize }

// Syncs returns how many times the log was synced by Save since Open.
func (s *Store) Syncs() int64 { return s.logSyncs }

// Close closes the log file. The Store must not be used afterwards.
func (s *Store) Close() error { return s.log.Close() }

// Save writes and syncs InstallSnapshot, Hard and Append of one Output; the
// latter two become one frame. After ErrFull the same call may be retried. After ErrSync
// the process must end.
func (s *Store) Save(out quorum.Output) error {
	if out.Hard != nil {
		s.hard = *out.Hard
	}
	if out.InstallSnapshot != nil {
		if err := s.Compact(*out.InstallSnapshot, s.hard, nil); err != nil {
			return err
		}
	}
	if out.Hard == nil && len(out.Append) == 0 {
		return nil
	}
	frame, err := encodeFrame(record{Hard: out.Hard, Entries: out.Append})
	if err != nil {
		return err
	}
	return s.appendFrame(frame)
}

// appendFrame writes and syncs one frame at the end of the log. It first
// removes what a failed write has left there.
func (s *Store) appendFrame(frame []byte) error {
	if s.hasPartialWrite {
		if err := s.log.Truncate(s.logSize); err != nil {
			return classifyWriteError(err)
		}
		if _, err := s.log.Seek(s.logSize, 0); err != nil {
			return classifyWriteError(err)
		}
		s.hasPartialWrite = false
	}
	if _, err := s.config.Write(s.log, frame); err != nil {
		s.hasPartialWrite = true
		return classifyWriteError(err)
	}
	if err := s.config.Sync(s.log); err != nil {
		return errs.Combine(ErrSync, err)
	}
	s.logSyncs++
	s.logSize += int64(len(frame))
	return nil
}

// classifyWriteError returns ErrFull for a lack of room, which may pass, and
// ErrSync for any other failure.
func classifyWriteError(err error) error {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, e) {
			return errs.Combine(ErrFull, err)
		}
	}
	return errs.Combine(ErrSync, err)
}

// Compact replaces the stored snapshot by snapshot, and the log by hard and the
// entries rest that follow the snapshot. After ErrFull the same call may be
// retried. After ErrSync the process must end.
func (s *Store) Compact(snapshot quorum.Snapshot, hard quorum.HardState, rest []quorum.Entry) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	frame, err := encodeFrame(record{Hard: &hard, Entries: rest})
	if err != nil {
		return err
	}
	if err := s.replaceFile(logName, frame); err != nil {
		return err
	}
	return s.reopenLog(int64(len(frame)))
}

// reopenLog closes the log file if it is open, opens it again, and continues to
// write at offset size in bytes.
func (s *Store) reopenLog(size int64) error {
	if s.log != nil {
		s.log.Close()
	}
	f, err := os.OpenFile(s.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return errs.New("disk: open log: %v", err)
	}
	if _, err := f.Seek(size, 0); err != nil {
		return errs.New("disk: seek to end of log: %v", err)
	}
	s.log = f
	s.logSize = size
	s.hasPartialWrite = false
	return nil
}

// writeSnapshot replaces the snapshot file.
func (s *Store) writeSnapshot(snapshot quorum.Snapshot) error {
	frame, err := encodeFrame(record{Snapshot: &snapshot})
	if err != nil {
		return err
	}
	return s.replaceFile(snapshotName, frame)
}

// replaceFile replaces a file of the data folder. It writes and syncs a
// temporary file and renames it, so that after a crash either the old or the
// new file is complete.
func (s *Store) replaceFile(name string, data []byte) error {
	temporary := s.path(name + ".new")
	f, err := os.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return classifyWriteError(err)
	}
	defer f.Close()
	if _, err := s.config.Write(f, data); err != nil {
		return classifyWriteError(err)
	}
	if err := s.config.Sync(f); err != nil {
		return errs.Combine(ErrSync, err)
	}
	if err := os.Rename(temporary, s.path(name)); err != nil {
		return errs.New("disk: rename temporary file: %v", err)
	}
	return s.syncFolder()
}

// syncFolder syncs the data folder, so that a rename in it survives a crash.
func (s *Store) syncFolder() error {
	d, err := os.Open(s.config.Folder)
	if err != nil {
		return errs.New("disk: open data folder: %v", err)
	}
	defer d.Close()
	if err := s.config.Sync(d); err != nil {
		return errs.Combine(ErrSync, err)
	}
	return nil
}
