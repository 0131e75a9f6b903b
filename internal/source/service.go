package source

import (
	"errors"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// StepArgs carries messages of the consensus.
type StepArgs struct {
	Messages []quorum.Message
	Address  string // Where the sender is called.
}

// StepReply carries nothing; a call without error was taken in.
type StepReply struct{}

// quorumService takes in messages of the consensus.
type quorumService struct{ node *Node }

// Step hands messages to the consensus. What the queue can't hold is lost, as
// on a network.
func (s *quorumService) Step(args StepArgs, _ *StepReply) error {
	for i := range args.Messages {
		m := &args.Messages[i]
		name := memberName(m.From)
		if s.node.open() {
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

// Code stands for an error on the wire, where only its identity survives.
type Code uint8

// The codes, in the order of codeErrors.
const (
	CodeOK Code = iota
	CodeNoLeader
	CodeUnknown
	CodeDiskFull
	CodeBusy
)

var codeErrors = []error{nil, ErrNoLeader, ErrUnknown, ErrDiskFull, ErrBusy}

func codeOf(err error) Code {
	for i, e := range codeErrors {
		if errors.Is(err, e) {
			return Code(i)
		}
	}
	return CodeUnknown
}

func (c Code) err() error {
	if int(c) < len(codeErrors) {
		return codeErrors[c]
	}
	return ErrUnknown
}

// isFinal reports whether trying again soon won't help.
func isFinal(err error) bool {
	return errors.Is(err, ErrDiskFull)
}

// mayBeAccepted reports whether a change may be accepted in spite of err.
func mayBeAccepted(err error) bool {
	return !errors.Is(err, ErrNoLeader) && !errors.Is(err, ErrBusy) && !errors.Is(err, peer.ErrUnreachable)
}

// ProposeArgs forwards a command to the leader.
type ProposeArgs struct{ Command ledger.Command }

// ProposeReply carries the outcome, or why there is none.
type ProposeReply struct {
	Outcome ledger.Outcome
	Code    Code
}

// sourceService answers other source replicas.
type sourceService struct{ node *Node }

// Propose decides a command if this replica leads.
func (s *sourceService) Propose(args ProposeArgs, reply *ProposeReply) error {
	out, err := s.node.proposeHere(args.Command)
	reply.Outcome = out
	reply.Code = codeOf(err)
	return nil
}

// Latest confirms the newest revision if this replica leads.
func (s *sourceService) Latest(_ feed.LatestArgs, reply *feed.LatestReply) error {
	r, err := s.node.latestHere()
	reply.Revision = r
	return err
}

// Exchange takes in what another replica knows of its daemons.
func (s *sourceService) Exchange(args feed.ReportArgs, reply *ExchangeReply) error {
	if s.node.links.get(args.Host) == nil {
		s.node.config.Counters.Add("feed_bad_messages", 1)
		return feed.ErrBadMessage
	}
	s.node.noteZone(args.Host, args.Zone)
	s.node.hub.MergeSibling(s.node.config.Clock(), args)
	reply.Instance = s.node.hub.Instance()
	reply.Digest = s.node.hub.RecordsDigest()
	return nil
}

// ExchangeReply tells which run of the replica took an exchange in, and what
// its directory is now.
type ExchangeReply struct {
	Instance uint64
	Digest   directory.Digest
}

// Exists tells whether this replica belongs to a group that has begun.
func (s *sourceService) Exists(_ ExistsArgs, reply *ExistsReply) error {
	s.node.inspect(func(a *consensus) {
		reply.Exists = a.core.Commit() > 0 || a.core.Last() > 0
	})
	return nil
}

// ExistsArgs asks whether the group has begun.
type ExistsArgs struct{}

// ExistsReply answers ExistsArgs.
type ExistsReply struct{ Exists bool }

// groupExists asks the other members whether the group has begun.
func (n *Node) groupExists() bool {
	for _, one := range n.links.all() {
		var reply ExistsReply
		if one.client.Call("Source.Exists", ExistsArgs{}, &reply, existsTimeout) == nil && reply.Exists {
			return true
		}
	}
	return false
}
