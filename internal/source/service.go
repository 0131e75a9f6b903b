package source

import (
	"errors"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// StepArgs carries consensus messages from one sender.
type StepArgs struct {
	Messages []quorum.Message
	Address  string // Address at which other replicas call the sender.
}

// StepReply is empty. A call without error has been received, but not
// necessarily processed.
type StepReply struct{}

// quorumService implements the RPC service Quorum, which receives consensus
// messages.
type quorumService struct{ node *Node }

// Step queues messages for the consensus goroutine. Messages that do not fit into
// the queue are dropped, which the consensus tolerates like loss on a network.
// Messages from unknown replicas are counted and ignored.
func (s *quorumService) Step(args StepArgs, _ *StepReply) error {
	for i := range args.Messages {
		m := &args.Messages[i]
		name := memberName(m.From)
		if s.node.isOpen() {
			s.node.AddReplica(Member{Name: name, Address: args.Address})
		}
		if s.node.links.get(name) == nil {
			s.node.config.Counters.Add("quorum_bad_messages", 1)
			continue
		}
		s.node.consensus.inputs.Offer(input{message: m})
	}
	return nil
}

// Code is the number of an error in RPC replies. net/rpc transports errors only
// as text, which would lose their identity for errors.Is.
type Code uint8

// The codes, in the order of codeErrors.
const (
	CodeOK Code = iota
	CodeNoLeader
	CodeUnknown
	CodeDiskFull
	CodeBusy
)

// codeErrors holds the error of each Code.
var codeErrors = []error{nil, ErrNoLeader, ErrUnknown, ErrDiskFull, ErrBusy}

// codeOf returns the code of err, and CodeUnknown for errors without one.
func codeOf(err error) Code {
	for i, e := range codeErrors {
		if errors.Is(err, e) {
			return Code(i)
		}
	}
	return CodeUnknown
}

// err returns the error of a code, and ErrUnknown for codes of newer builds.
func (c Code) err() error {
	if int(c) < len(codeErrors) {
		return codeErrors[c]
	}
	return ErrUnknown
}

// isPermanent reports whether a retry within the next seconds would fail too.
func isPermanent(err error) bool {
	return errors.Is(err, ErrDiskFull)
}

// mayBeAccepted reports whether a change may have been accepted in spite of err.
func mayBeAccepted(err error) bool {
	return !errors.Is(err, ErrNoLeader) && !errors.Is(err, ErrBusy) && !errors.Is(err, peer.ErrUnreachable)
}

// ProposeArgs forwards a command to the leader.
type ProposeArgs struct{ Command ledger.Command }

// ProposeReply returns the outcome of a command, or the code of the error.
type ProposeReply struct {
	Outcome ledger.Outcome
	Code    Code
}

// sourceService implements the RPC service Source, which other source replicas
// call.
type sourceService struct{ node *Node }

// Propose proposes a command on this replica. The code is CodeNoLeader if it does
// not lead.
func (s *sourceService) Propose(args ProposeArgs, reply *ProposeReply) error {
	out, err := s.node.proposeLocally(args.Command)
	reply.Outcome = out
	reply.Code = codeOf(err)
	return nil
}

// Latest returns the newest accepted revision, confirmed by a quorum. It fails if
// this replica does not lead.
func (s *sourceService) Latest(args feed.LatestArgs, reply *LatestReply) error {
	confirmed, err := s.node.latestLocally(args.Patient)
	reply.Revision, reply.Applied = confirmed.revision, confirmed.applied
	return err
}

// LatestReply returns the newest accepted revision and the index of the log up to
// which the leader had applied it when a quorum confirmed the read.
type LatestReply struct {
	Revision config.Revision
	Applied  quorum.Index
}

// Exchange merges the changes that another replica received from its daemons.
func (s *sourceService) Exchange(args feed.ReportArgs, reply *ExchangeReply) error {
	if s.node.links.get(args.Host) == nil {
		s.node.config.Counters.Add("feed_bad_messages", 1)
		return feed.ErrBadMessage
	}
	s.node.setZone(args.Host, args.Zone)
	s.node.hub.MergeSibling(s.node.config.Clock(), args)
	reply.Instance = s.node.hub.Instance()
	reply.Digest = s.node.hub.RecordsDigest()
	reply.Partial = true
	return nil
}

// ExchangeReply lets the caller detect a restart of the replica and a difference
// between the directories.
type ExchangeReply struct {
	Instance uint64           // Differs after each start of the replica.
	Digest   directory.Digest // Digest of the directory after the merge.
	Partial  bool             // The replica merges partial reports of call statistics; false in older builds.
}

// Exists reports whether this replica belongs to a group that already exists: one
// with at least one log entry.
func (s *sourceService) Exists(_ ExistsArgs, reply *ExistsReply) error {
	reply.Exists, _ = inspect(s.node, func(c *consensus) bool { return c.core.Commit() > 0 || c.core.Last() > 0 })
	return nil
}

// ExistsArgs holds the arguments of Source.Exists, which has none.
type ExistsArgs struct{}

// ExistsReply returns whether the group of the replica exists.
type ExistsReply struct{ Exists bool }

// groupExists asks the other members in turn whether the group exists. Members
// that cannot be reached count as a no.
func (n *Node) groupExists() bool {
	for _, l := range n.links.all() {
		var reply ExistsReply
		if l.client.Call("Source.Exists", ExistsArgs{}, &reply, existsTimeout) == nil && reply.Exists {
			return true
		}
	}
	return false
}
