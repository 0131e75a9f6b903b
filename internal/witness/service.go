// Package witness keeps, on other daemons, the newest revision that a daemon has
// had in force.
//
// A daemon has no disk. When it starts it must not serve anything older than in
// an earlier life, and the source, which could tell what is new enough, may be
// down. So a few other daemons, its keepers, remember its floor. The daemon
// puts a revision in force only after most of its keepers have noted it, and
// after a start it believes its floor only when most of them name one.
package witness

import (
	"sync"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors of a keeper that callers test with errors.Is.
var (
	ErrBadMessage = errs.New("floor: malformed message")
	ErrFull       = errs.New("floor: this keeper has no room for another daemon")
)

// maxHosts bounds the daemons that one keeper remembers. A keeper serves the
// daemons of its data centre at most.
const maxHosts = 4096

// NoteArgs asks a keeper to remember a daemon's floor. Instance names the life
// of the keeper that the daemon means: word that was meant for an earlier life
// may be old and must not count in this one.
type NoteArgs struct {
	Host     string
	Instance uint64
	Revision config.Revision
}

// NoteReply tells which life of the keeper answers, and whether it took the
// note.
type NoteReply struct {
	Instance uint64
	Taken    bool
}

// AskArgs asks a keeper for a daemon's floor.
type AskArgs struct{ Host string }

// AskReply is what the keeper was told in this life. Known is false if it was
// told nothing.
type AskReply struct {
	Known    bool
	Revision config.Revision
}

// Service is a keeper's memory. Its exported methods are those of net/rpc. It is
// safe for concurrent use. Make one with NewService.
type Service struct {
	instance  uint64
	mutex     sync.Mutex
	revisions map[string]config.Revision
}

// NewService returns an empty memory. instance must differ in each life of the
// process.
func NewService(instance uint64) *Service {
	return &Service{instance: instance, revisions: map[string]config.Revision{}}
}

// Note remembers a daemon's floor. Floors never fall.
func (s *Service) Note(args NoteArgs, reply *NoteReply) error {
	if !config.ValidName(args.Host) {
		return ErrBadMessage
	}
	reply.Instance = s.instance
	if args.Instance != s.instance {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, known := s.revisions[args.Host]
	if !known && len(s.revisions) >= maxHosts {
		return ErrFull
	}
	s.revisions[args.Host] = max(old, args.Revision)
	reply.Taken = true
	return nil
}

// Hosts returns how many daemons' floors are remembered.
func (s *Service) Hosts() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.revisions)
}

// Ask tells a daemon's floor.
func (s *Service) Ask(args AskArgs, reply *AskReply) error {
	if !config.ValidName(args.Host) {
		return ErrBadMessage
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply.Revision, reply.Known = s.revisions[args.Host]
	return nil
}
