package source

import (
	"errors"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// JoinState is the progress of a replica with a new data folder towards being a
// voter.
type JoinState uint8

// The states of joining, in order.
const (
	JoinPending  JoinState = iota // There is no leader, or the previous member of the same name is still to be removed.
	JoinAdding                    // No previous member of the same name is left, and the leader adds the replica as a learner.
	JoinLearning                  // The replica is a learner: it receives the log but does not vote.
	JoinDone                      // The replica is a voter that has synced everything committed.
)

// joinRequest asks the consensus goroutine to advance the joining of a replica.
type joinRequest struct {
	id      string // Member ID.
	address string
	done    chan JoinState // Buffered; receives one state.
}

// JoinArgs asks the leader to make a replica a voter.
type JoinArgs struct {
	ID      string // Member ID.
	Address string // Address at which other replicas call it.
}

// JoinReply returns the progress of joining, and the leader.
type JoinReply struct {
	State  JoinState
	Leader Member // Zero if not known.
}

// Join takes the next step towards making a replica a voter. The replica repeats
// the call until the state is JoinDone.
func (s *sourceService) Join(args JoinArgs, reply *JoinReply) error {
	name := memberName(args.ID)
	if s.node.isOpen() {
		s.node.AddReplica(Member{Name: name, Address: args.Address})
	}
	if s.node.links.get(name) == nil {
		s.node.config.Counters.Add("quorum_bad_messages", 1)
		return nil
	}
	if leader := s.node.links.get(s.node.Leader()); leader != nil {
		reply.Leader = Member{Name: leader.name, Address: leader.address}
	}
	done := make(chan JoinState, 1)
	if !s.node.consensus.inputs.Offer(input{join: &joinRequest{id: args.ID, address: args.Address, done: done}}) {
		return nil
	}
	select {
	case reply.State = <-done:
	case <-s.node.stop:
	}
	return nil
}

// isOpen reports whether replicas that are not in Config.Founders may join.
func (n *Node) isOpen() bool { return n.config.Voters > 0 }

// handleJoin replaces the previous member of the same name in three membership
// changes, each of which affects at most one voter: it removes the previous
// member, adds the new one as a learner, and makes the learner a voter once it
// has synced everything committed. In an open group that has all its voters, a
// learner replaces only an inactive voter.
func (c *consensus) handleJoin(now time.Time, request *joinRequest) JoinState {
	if c.core.Role() != quorum.RoleLeader {
		return JoinPending
	}
	members := c.core.Members()
	own := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == request.id })
	if own >= 0 && members[own].Voter {
		return JoinDone
	}
	old := slices.IndexFunc(members, func(m quorum.Member) bool {
		return memberName(m.ID) == memberName(request.id) && m.ID != request.id
	})
	switch {
	case old >= 0:
		c.proposeMembers(slices.Delete(members, old, old+1))
		return JoinPending
	case own < 0:
		c.proposeMembers(append(members, quorum.Member{ID: request.id, Address: request.address}))
		return JoinAdding
	case c.hasAllVoters(members):
		if inactive := c.inactiveVoter(now, members); inactive >= 0 && c.core.Match(request.id) >= c.core.Commit() {
			c.node.config.Logger.Log("msg", "removing an inactive voter to make room for a learner", "voter", members[inactive].ID, "learner", request.id)
			c.proposeMembers(slices.Delete(members, inactive, inactive+1))
		}
		return JoinLearning
	default:
		members[own].Voter = true
		c.proposeMembers(members)
		return JoinLearning
	}
}

// hasAllVoters reports whether an open group has Config.Voters voters. It
// returns false for a closed group.
func (c *consensus) hasAllVoters(members []quorum.Member) bool {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return c.node.isOpen() && voters >= c.node.config.Voters
}

// voterInactiveTimeout is how long a voter may leave the leader without a reply
// before a waiting learner replaces it.
const voterInactiveTimeout = 2 * time.Second

// inactiveVoter returns the index of a voter that has not replied to the leader
// for voterInactiveTimeout, or -1. Only the leader may call it.
func (c *consensus) inactiveVoter(now time.Time, members []quorum.Member) int {
	return slices.IndexFunc(members, func(m quorum.Member) bool {
		return m.Voter && m.ID != c.node.id && now.Sub(c.core.LastReply(m.ID)) > voterInactiveTimeout
	})
}

// proposeMembers proposes a member list. Joining replicas retry, so a change that
// is not possible yet is no error.
func (c *consensus) proposeMembers(members []quorum.Member) {
	_, err := c.core.ProposeMembers(members)
	if err != nil && !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrNotCaughtUp) {
		c.node.config.Logger.Log("msg", "membership change rejected", "err", err)
	}
}

const (
	joinRetryPause = 100 * time.Millisecond
	joinTimeout    = time.Second // Timeout of one call of Source.Join.
	// membershipCheckInterval is how often a voter checks its contact with the
	// leader.
	membershipCheckInterval = time.Second
	// leaderContactTimeout is how long a voter may be without contact with the
	// leader before it sends a join request, in case it has been removed.
	leaderContactTimeout = 2 * time.Second
)

// runJoin makes this replica a voter if its data folder is newer than the group.
// Until then the replica neither votes nor counts towards a quorum, because the
// votes and entries that a lost folder had acknowledged are unknown.
//
// Afterwards, in an open group, a replica without contact with a leader sends
// join requests too: it may have been removed while it was unreachable.
func (n *Node) runJoin() {
	if !n.isVoter() && !n.joinAsVoter() {
		return
	}
	for n.pause(membershipCheckInterval) {
		if n.config.Clock().Sub(n.hub.LastContact()) > leaderContactTimeout && n.isOpen() && !n.IsLeader() {
			n.requestJoin()
		}
	}
}

// joinAsVoter sends join requests until this replica is a voter. It returns false
// if the node stops first.
func (n *Node) joinAsVoter() bool {
	n.config.Logger.Log("msg", "joining the group with a new data folder", "id", n.id)
	for {
		if !n.pause(joinRetryPause) {
			return false
		}
		if n.requestJoin() && n.isVoter() {
			break
		}
	}
	n.config.Counters.Add("repaired", 1)
	n.config.Logger.Log("msg", "replica has synced everything committed and votes again", "id", n.id, "revision", n.hub.State().Revision())
	n.config.Events.Add(n.config.Clock(), event.Event{
		Kind: "repaired", Subject: n.config.Name, Revision: n.hub.State().Revision(),
		Text: "has synced everything committed and votes again",
	})
	return true
}

// requestJoin sends a join request to the leader or, if none is known, to each
// replica in turn, since only the leader can change the members. It reports
// whether a reply says that this replica is a voter.
func (n *Node) requestJoin() bool {
	targets := n.links.all()
	if leader := n.links.get(n.Leader()); leader != nil {
		targets = []*link{leader}
	}
	for _, l := range targets {
		var reply JoinReply
		err := l.client.Call("Source.Join", JoinArgs{ID: n.id, Address: n.config.Address}, &reply, joinTimeout)
		if err != nil {
			continue
		}
		if n.isOpen() {
			n.AddReplica(reply.Leader)
		}
		if reply.State == JoinDone {
			return true
		}
	}
	return false
}

// isVoter reports whether the replica is a voter in the newest member list that
// it knows to be committed. A first member with an empty log is a voter too.
func (n *Node) isVoter() bool {
	voter, _ := inspect(n, func(c *consensus) bool {
		return slices.ContainsFunc(c.core.MembersAt(c.core.Commit()), func(m quorum.Member) bool { return m.ID == n.id && m.Voter }) ||
			c.core.Last() == 0 && len(c.core.Members()) > 0
	})
	return voter
}
