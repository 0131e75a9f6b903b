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
	id   string
	done chan JoinState // Buffered; receives one state.
}

// JoinArgs asks the leader to make a replica a voter.
type JoinArgs struct{ ID string }

// JoinReply tells how far that has come.
type JoinReply struct{ State JoinState }

// Join takes the next step towards making a replica a voter. The replica asks
// again until it is done.
func (s *sourceService) Join(args JoinArgs, reply *JoinReply) error {
	if s.node.clients[memberName(args.ID)] == nil {
		s.node.config.Counters.Add("quorum_bad_messages", 1)
		return nil
	}
	done := make(chan JoinState, 1)
	if !s.node.agree.inputs.Offer(input{join: &join{id: args.ID, done: done}}) {
		return nil
	}
	select {
	case reply.State = <-done:
	case <-s.node.stop:
	}
	return nil
}

// handleJoin replaces an old member of the same name in three changes, each of
// at most one voter: the old one out, the new one in as a learner, and the
// learner a voter once it has synced everything committed.
func (a *agreement) handleJoin(id string) JoinState {
	if a.core.Role() != quorum.RoleLeader {
		return JoinPending
	}
	members := a.core.Members()
	if slices.Contains(members, quorum.Member{ID: id, Voter: true}) {
		return JoinDone
	}
	old := slices.IndexFunc(members, func(m quorum.Member) bool {
		return memberName(m.ID) == memberName(id) && m.ID != id
	})
	learner := slices.Index(members, quorum.Member{ID: id})
	switch {
	case old >= 0:
		a.change(slices.Delete(members, old, old+1))
		return JoinPending
	case learner < 0:
		a.change(append(members, quorum.Member{ID: id}))
		return JoinRemoved
	default:
		members[learner].Voter = true
		a.change(members)
		return JoinLearning
	}
}

func (a *agreement) change(members []quorum.Member) {
	_, err := a.core.ProposeMembers(members)
	if err != nil && !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrNotCaughtUp) {
		a.node.config.Logger.Log("msg", "change of members refused", "err", err)
	}
}

const (
	joinPause   = 100 * time.Millisecond
	joinTimeout = time.Second
)

// runJoin asks to become a voter, if the data folder is a new one in an old
// group. Until it is one the replica neither votes nor counts: it does not
// know what the lost folder had promised.
func (n *Node) runJoin() {
	if n.isVoter() {
		return
	}
	n.config.Logger.Log("msg", "joining the group with a new data folder", "id", n.id)
	for n.pause(joinPause) {
		if n.askJoin() && n.isVoter() {
			break
		}
	}
	select {
	case <-n.stop:
		return
	default:
	}
	n.config.Counters.Add("repaired", 1)
	n.config.Logger.Log("msg", "repaired", "id", n.id, "revision", n.hub.State().Revision())
	n.config.Events.Add(n.config.Clock(), event.Event{
		Kind: "repaired", Subject: n.config.Name, Revision: n.hub.State().Revision(),
		Text: "has synced everything committed and votes again",
	})
}

// askJoin asks each member in turn, since only the leader can help.
func (n *Node) askJoin() bool {
	for _, c := range n.clients {
		var reply JoinReply
		err := c.Call("Source.Join", JoinArgs{ID: n.id}, &reply, joinTimeout)
		if err == nil && reply.State == JoinDone {
			return true
		}
	}
	return false
}

// isVoter reports whether the replica votes, by a member list that is
// committed as far as it knows.
func (n *Node) isVoter() bool {
	voter := false
	n.look(func(a *agreement) {
		voter = slices.Contains(a.core.MembersAt(a.core.Commit()), quorum.Member{ID: n.id, Voter: true}) ||
			a.core.Last() == 0 && len(a.core.Members()) > 0
	})
	return voter
}
