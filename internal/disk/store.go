// Package disk keeps a source replica's state that must survive: one log of
// checksummed frames and one snapshot, under one data folder.
//
// Everything that Save returned nil for is synced. A Store is not safe for
// concurrent use; one goroutine owns it.
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
	// ErrDamaged means that synced records can't be read back. The folder
	// must not be used any more: it has forgotten what it promised.
	ErrDamaged = errs.New("disk: synced records are damaged")
	// ErrEmpty means that the folder holds no replica yet.
	ErrEmpty = errs.New("disk: the folder holds no replica")
	// ErrFull means that there was no room; nothing was written.
	ErrFull = errs.New("disk: no room left")
	// ErrSync means that a sync failed. What is on disk is unknown, and a
	// second sync would prove nothing: the process must end.
	ErrSync = errs.New("disk: sync failed")
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	identityName = "identity"
	folderMode   = 0o755
	fileMode     = 0o644
)

// Config describes a Store. The function fields may be nil; tests set them to
// cause failures.
type Config struct {
	Folder string
	Sync   func(*os.File) error                // nil means (*os.File).Sync.
	Write  func(*os.File, []byte) (int, error) // nil means (*os.File).Write.
}

// Store is an open data folder.
type Store struct {
	config Config
	log    *os.File
	hard   quorum.HardState
	size   int64 // Synced length of the log in bytes.
	dirty  bool  // Bytes behind size may be the rest of a failed write.
	syncs  int64
}

// Create makes a folder for the replica that will be known as id.
func Create(config Config, id string) error {
	if err := os.MkdirAll(config.Folder, folderMode); err != nil {
		return errs.New("disk: %v", err)
	}
	if _, err := os.Stat(filepath.Join(config.Folder, identityName)); err == nil {
		return errs.New("disk: %s already holds a replica", config.Folder)
	}
	s := &Store{config: config.withDefaults()}
	if err := s.replace(logName, nil); err != nil {
		return err
	}
	return s.replace(identityName, []byte(id))
}

// Open reads a folder back. It returns the replica's ID and where to start.
// A record that a crash cut short at the end of the log is dropped.
func Open(config Config) (*Store, string, quorum.InitialState, error) {
	s := &Store{config: config.withDefaults()}
	id, err := os.ReadFile(s.path(identityName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, "", quorum.InitialState{}, ErrEmpty
	}
	if err != nil {
		return nil, "", quorum.InitialState{}, errs.New("disk: %v", err)
	}
	start, err := s.read()
	s.hard = start.Hard
	if err != nil {
		return nil, "", quorum.InitialState{}, err
	}
	return s, string(id), start, nil
}

// SetAside renames a damaged folder's files, so that the replica can come
// back under a new ID. Nothing is deleted.
func SetAside(config Config, suffix string) error {
	target := filepath.Join(config.Folder, "damaged-"+suffix)
	if err := os.MkdirAll(target, folderMode); err != nil {
		return errs.New("disk: %v", err)
	}
	for _, name := range []string{identityName, logName, snapshotName} {
		err := os.Rename(filepath.Join(config.Folder, name), filepath.Join(target, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return errs.New("disk: %v", err)
		}
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Sync == nil {
		c.Sync = (*os.File).Sync
	}
	if c.Write == nil {
		c.Write = (*os.File).Write
	}
	return c
}

func (s *Store) path(name string) string {
	return filepath.Join(s.config.Folder, name)
}

// Size returns the synced length of the log in bytes.
func (s *Store) Size() int64 { return s.size }

// Syncs returns how many times the log was synced.
func (s *Store) Syncs() int64 { return s.syncs }

// Close closes the log file.
func (s *Store) Close() error { return s.log.Close() }

// Save writes and syncs the records of one Output as one frame. After ErrFull
// the same call may be made again; after ErrSync the process must end.
func (s *Store) Save(out quorum.Output) error {
	if out.Hard != nil {
		s.hard = *out.Hard
	}
	if out.Install != nil {
		if err := s.Compact(*out.Install, s.hard, nil); err != nil {
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

func (s *Store) appendFrame(frame []byte) error {
	if s.dirty {
		if err := s.log.Truncate(s.size); err != nil {
			return full(err)
		}
		if _, err := s.log.Seek(s.size, 0); err != nil {
			return full(err)
		}
		s.dirty = false
	}
	if _, err := s.config.Write(s.log, frame); err != nil {
		s.dirty = true
		return full(err)
	}
	if err := s.config.Sync(s.log); err != nil {
		return errs.Combine(ErrSync, err)
	}
	s.syncs++
	s.size += int64(len(frame))
	return nil
}

// full tells a lack of room, which may pass, from other failures.
func full(err error) error {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, e) {
			return errs.Combine(ErrFull, err)
		}
	}
	return errs.Combine(ErrSync, err)
}

// Compact replaces the log by a snapshot and the entries behind it.
func (s *Store) Compact(snapshot quorum.Snapshot, hard quorum.HardState, rest []quorum.Entry) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	frame, err := encodeFrame(record{Hard: &hard, Entries: rest})
	if err != nil {
		return err
	}
	if err := s.replace(logName, frame); err != nil {
		return err
	}
	return s.reopen(int64(len(frame)))
}

func (s *Store) reopen(size int64) error {
	if s.log != nil {
		s.log.Close()
	}
	f, err := os.OpenFile(s.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return errs.New("disk: %v", err)
	}
	if _, err := f.Seek(size, 0); err != nil {
		return errs.New("disk: %v", err)
	}
	s.log = f
	s.size = size
	s.dirty = false
	return nil
}

func (s *Store) writeSnapshot(snapshot quorum.Snapshot) error {
	frame, err := encodeFrame(record{Snapshot: &snapshot})
	if err != nil {
		return err
	}
	return s.replace(snapshotName, frame)
}

// replace writes a file under another name, syncs it, and renames it, so that
// a crash leaves the old or the new file whole.
func (s *Store) replace(name string, data []byte) error {
	temporary := s.path(name + ".new")
	f, err := os.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return full(err)
	}
	defer f.Close()
	if _, err := s.config.Write(f, data); err != nil {
		return full(err)
	}
	if err := s.config.Sync(f); err != nil {
		return errs.Combine(ErrSync, err)
	}
	if err := os.Rename(temporary, s.path(name)); err != nil {
		return errs.New("disk: %v", err)
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	d, err := os.Open(s.config.Folder)
	if err != nil {
		return errs.New("disk: %v", err)
	}
	defer d.Close()
	if err := s.config.Sync(d); err != nil {
		return errs.Combine(ErrSync, err)
	}
	return nil
}
