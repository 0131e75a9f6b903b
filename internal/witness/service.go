// Package witness records daemons' minimum revisions on other daemons.
//
// A daemon has no disk. After a restart it must not serve an older
// configuration than in its previous incarnation, and the source, which knows
// the newest accepted revision, may be unreachable. A few other daemons, its
// witnesses, therefore record its minimum revision. The daemon puts a revision
// in force after a majority of its witnesses has recorded it. After a restart
// it relies on the recorded minimum only if a majority of its witnesses
// reports one.
//
// On the wire, a minimum revision is called a floor and a witness a keeper: the
// RPC service is named Floor, and the errors use these words.
package witness

import (
	"sync"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors of a witness. Callers in the same process test them with errors.Is;
// net/rpc passes on their text only.
var (
	ErrBadMessage = errs.New("floor: malformed message")
	ErrFull       = errs.New("floor: this keeper has no room for another daemon")
)

// maxHosts is how many daemons' minimum revisions a witness records, which bounds
// its memory. A witness serves at most the daemons of its own data centre.
const maxHosts = 4096

// NoteArgs asks a witness to record Revision as the minimum revision of the
// daemon on Host. Instance is the witness's instance that the daemon expects. A
// note for a previous instance is rejected: it may carry an older revision than
// that instance had recorded.
type NoteArgs struct {
	Host     string
	Instance uint64
	Revision config.Revision
}

// NoteReply names the witness's instance. Taken reports whether the revision is
// recorded.
type NoteReply struct {
	Instance uint64
	Taken    bool
}

// AskArgs asks a witness for the minimum revision of the daemon on Host.
type AskArgs struct{ Host string }

// AskReply is the minimum revision recorded since the witness started. Known is
// false if there is none.
type AskReply struct {
	Known    bool
	Revision config.Revision
}

// Service is the witness: it records other daemons' minimum revisions in
// memory. Note and Ask are called through net/rpc. It is safe for concurrent
// use. Create one with NewService.
type Service struct {
	instance  uint64
	mutex     sync.Mutex
	revisions map[string]config.Revision // By host.
}

// NewService returns a witness without any records. instance must differ each
// time the process starts.
func NewService(instance uint64) *Service {
	return &Service{instance: instance, revisions: map[string]config.Revision{}}
}

// Note records a daemon's minimum revision. It never lowers a recorded one. It
// returns ErrBadMessage for an invalid host name, and ErrFull for a new host if
// the limit is reached.
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

// HostCount returns the number of daemons that have a minimum revision recorded
// here.
func (s *Service) HostCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.revisions)
}

// Ask returns a daemon's recorded minimum revision. It returns ErrBadMessage
// for an invalid host name.
func (s *Service) Ask(args AskArgs, reply *AskReply) error {
	if !config.ValidName(args.Host) {
		return ErrBadMessage
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply.Revision, reply.Known = s.revisions[args.Host]
	return nil
}
