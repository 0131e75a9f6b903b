package source

import (
	"errors"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// JoinState tells how far a replica with a new data folder has come.
type JoinState uint8

// The states of joining, in their order.
const (
	JoinPending  JoinState = iota // Not yet, or no leader.
	JoinRemoved                   // The member that the replica replaces is out.
	JoinLearning                  // It receives the log but does not count.
	JoinDone                      // It is a voter that has synced everything committed.
)

// join is a request of a replica to become a voter.
type join struct {
	id      string
	address string
	done    chan JoinState // Buffered; receives one state.
}

// JoinArgs asks the leader to make a replica a voter.
type JoinArgs struct {
	ID      string
	Address string // Where other replicas call it.
}

// JoinReply tells how far that has come, and who leads.
type JoinReply struct {
	State  JoinState
	Leader Member // Empty if not known.
}

// Join takes the next step towards making a replica a voter. The replica asks
// again until it is done.
func (s *sourceService) Join(args JoinArgs, reply *JoinReply) error {
	name := memberName(args.ID)
	if s.node.open() {
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
	if !s.node.consensus.inputs.Offer(input{join: &join{id: args.ID, address: args.Address, done: done}}) {
		return nil
	}
	select {
	case reply.State = <-done:
	case <-s.node.stop:
	}
	return nil
}

// open reports whether replicas that the settings do not name may join.
func (n *Node) open() bool { return n.config.Voters > 0 }

// handleJoin replaces an old member of the same name in three changes, each of
// at most one voter: the old one out, the new one in as a learner, and the
// learner a voter once it has synced everything committed.
func (a *consensus) handleJoin(now time.Time, j *join) JoinState {
	if a.core.Role() != quorum.RoleLeader {
		return JoinPending
	}
	members := a.core.Members()
	own := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == j.id })
	if own >= 0 && members[own].Voter {
		return JoinDone
	}
	old := slices.IndexFunc(members, func(m quorum.Member) bool {
		return memberName(m.ID) == memberName(j.id) && m.ID != j.id
	})
	switch {
	case old >= 0:
		a.change(slices.Delete(members, old, old+1))
		return JoinPending
	case own < 0:
		a.change(append(members, quorum.Member{ID: j.id, Address: j.address}))
		return JoinRemoved
	case a.full(members):
		if silent := a.silentVoter(now, members); silent >= 0 && a.core.Match(j.id) >= a.core.Commit() {
			a.node.config.Logger.Log("msg", "a voter is silent; a learner takes its place", "voter", members[silent].ID, "learner", j.id)
			a.change(slices.Delete(members, silent, silent+1))
		}
		return JoinLearning
	default:
		members[own].Voter = true
		a.change(members)
		return JoinLearning
	}
}

// full reports whether an open group has as many voters as it wants.
func (a *consensus) full(members []quorum.Member) bool {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return a.node.open() && voters >= a.node.config.Voters
}

// silentAfter is how long a voter may say nothing before a learner that waits
// takes its place.
const silentAfter = 2 * time.Second

// silentVoter returns the index of a voter that has not answered the leader
// lately, or -1.
func (a *consensus) silentVoter(now time.Time, members []quorum.Member) int {
	return slices.IndexFunc(members, func(m quorum.Member) bool {
		return m.Voter && m.ID != a.node.id && now.Sub(a.core.Active(m.ID)) > silentAfter
	})
}

func (a *consensus) change(members []quorum.Member) {
	_, err := a.core.ProposeMembers(members)
	if err != nil && !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrNotCaughtUp) {
		a.node.config.Logger.Log("msg", "change of members refused", "err", err)
	}
}

const (
	joinPause   = 100 * time.Millisecond
	joinTimeout = time.Second
	// memberPause is how often a voter looks whether it hears a leader, and
	// maxLeaderSilence how long it may hear none before it asks whether it is still a
	// member.
	memberPause      = time.Second
	maxLeaderSilence = 2 * time.Second
)

// runJoin asks to become a voter, if the data folder is a new one in an old
// group. Until it is one the replica neither votes nor counts: it does not
// know what the lost folder had promised. A voter that hears no leader may have
// been put out while it was cut off, and asks too.
func (n *Node) runJoin() {
	if !n.isVoter() && !n.becomeVoter() {
		return
	}
	for n.pause(memberPause) {
		if n.config.Clock().Sub(n.hub.LastContact()) > maxLeaderSilence && n.open() && !n.IsLeader() {
			n.askJoin()
		}
	}
}

// becomeVoter returns false if the node stops first.
func (n *Node) becomeVoter() bool {
	n.config.Logger.Log("msg", "joining the group with a new data folder", "id", n.id)
	for {
		if !n.pause(joinPause) {
			return false
		}
		if n.askJoin() && n.isVoter() {
			break
		}
	}
	n.config.Counters.Add("repaired", 1)
	n.config.Logger.Log("msg", "repaired", "id", n.id, "revision", n.hub.State().Revision())
	n.config.Events.Add(n.config.Clock(), event.Event{
		Kind: "repaired", Subject: n.config.Name, Revision: n.hub.State().Revision(),
		Text: "has synced everything committed and votes again",
	})
	return true
}

// askJoin asks the leader, if one is known, and otherwise each replica in turn,
// since only the leader can help.
func (n *Node) askJoin() bool {
	ways := n.links.all()
	if leader := n.links.get(n.Leader()); leader != nil {
		ways = []*link{leader}
	}
	for _, one := range ways {
		var reply JoinReply
		err := one.client.Call("Source.Join", JoinArgs{ID: n.id, Address: n.config.Address}, &reply, joinTimeout)
		if err != nil {
			continue
		}
		if n.open() {
			n.AddReplica(reply.Leader)
		}
		if reply.State == JoinDone {
			return true
		}
	}
	return false
}

// isVoter reports whether the replica votes, by a member list that is
// committed as far as it knows.
func (n *Node) isVoter() bool {
	voter := false
	n.inspect(func(a *consensus) {
		voter = slices.ContainsFunc(a.core.MembersAt(a.core.Commit()), func(m quorum.Member) bool { return m.ID == n.id && m.Voter }) ||
			a.core.Last() == 0 && len(a.core.Members()) > 0
	})
	return voter
}
