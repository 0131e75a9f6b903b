package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

var startTime = time.Unix(5000, 0)

func threeVoters() []quorum.Member {
	return []quorum.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
}

func newCore(id string, s quorum.InitialState) *quorum.Core {
	return quorum.New(quorum.Config{ID: id, Heartbeat: heartbeat, Election: election}, s, startTime)
}

// electLeader makes core a of three voters the leader: it lets the election
// timeout pass and grants the votes of b.
func electLeader(t *testing.T, c *quorum.Core) {
	t.Helper()
	c.Tick(startTime.Add(3 * election))
	for range 2 {
		for _, m := range c.TakeOutput().Messages {
			if m.To != "b" {
				continue
			}
			kind := quorum.MessageVoteReply
			if m.Kind == quorum.MessagePreVote {
				kind = quorum.MessagePreVoteReply
			}
			c.Step(startTime.Add(3*election), quorum.Message{Kind: kind, From: "b", To: "a", Term: m.Term})
		}
	}
	require.Equal(t, quorum.RoleLeader, c.Role())
}

// A leader may resend a snapshot while a newer append overtakes it. Installing
// the late snapshot would remove entries after it that this replica has
// acknowledged.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newCore("b", quorum.InitialState{Members: threeVoters()})
	entries := []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	c.Step(startTime, quorum.Message{Kind: quorum.MessageAppend, From: "a", To: "b", Term: 1, Entries: entries})
	c.TakeOutput()
	c.Step(startTime, quorum.Message{
		Kind: quorum.MessageSnapshot, From: "a", To: "b", Term: 1,
		Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Members: threeVoters()},
	})
	out := c.TakeOutput()
	require.Nil(t, out.InstallSnapshot)
	require.Equal(t, quorum.Index(3), c.Last())
	require.Equal(t, quorum.Index(2), c.Commit())
}

// A replica whose data folder is new does not know which votes it granted
// before. If it voted as a member without a member list, a term could get two
// leaders.
func TestReplicaWithNewFolderDoesNotVote(t *testing.T) {
	c := newCore("a+", quorum.InitialState{})
	for _, kind := range []quorum.MessageKind{quorum.MessagePreVote, quorum.MessageVote} {
		c.Step(startTime.Add(time.Hour), quorum.Message{Kind: kind, From: "b", To: "a+", Term: 9})
	}
	for _, m := range c.TakeOutput().Messages {
		require.True(t, m.Reject)
	}
}

// Two member changes at the same time, or of two voters at once, could create
// two disjoint majorities. A new voter that lacks committed entries could be
// part of a quorum that loses them.
func TestMembersChangeOneVoterAtATime(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	_, err := c.ProposeMembers(threeVoters())
	require.ErrorIs(t, err, quorum.ErrNotLeader)
	electLeader(t, c)
	_, err = c.ProposeMembers(threeVoters()[:2])
	require.ErrorIs(t, err, quorum.ErrChangePending, "the leader has committed nothing in its term yet")
	c.MarkSynced(c.Last(), startTime)
	c.Step(startTime, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	_, err = c.ProposeMembers(threeVoters()[:1])
	require.ErrorContains(t, err, "one voter")
	_, err = c.ProposeMembers([]quorum.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true}})
	require.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	_, err = c.ProposeMembers(threeVoters()[:2])
	require.NoError(t, err)
	_, err = c.ProposeMembers(threeVoters())
	require.ErrorIs(t, err, quorum.ErrChangePending)
}

// A leader that has no contact with a quorum for an election timeout must step
// down and must not confirm reads, since another leader may have been elected.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, c)
	elected := startTime.Add(3 * election)
	c.Read(7)
	c.Tick(elected.Add(election - time.Millisecond))
	require.Equal(t, quorum.RoleLeader, c.Role())
	c.Tick(elected.Add(election))
	require.Equal(t, quorum.RoleFollower, c.Role())
	for _, r := range c.TakeOutput().Reads {
		require.False(t, r.OK)
	}
	_, _, err := c.Propose([]byte("x"))
	require.ErrorIs(t, err, quorum.ErrNotLeader)
}

// A replica grants one vote per term, also after a restart. Otherwise a term
// could have two leaders.
func TestOneVotePerTermAcrossRestart(t *testing.T) {
	c := newCore("c", quorum.InitialState{Members: threeVoters()})
	c.Step(startTime, quorum.Message{Kind: quorum.MessageVote, From: "a", To: "c", Term: 4})
	out := c.TakeOutput()
	require.NotNil(t, out.Hard)
	require.False(t, out.Messages[0].Reject)
	restarted := newCore("c", quorum.InitialState{Hard: *out.Hard, Members: threeVoters()})
	restarted.Step(startTime, quorum.Message{Kind: quorum.MessageVote, From: "b", To: "c", Term: 4})
	require.True(t, restarted.TakeOutput().Messages[0].Reject)
}

// An entry of an earlier term is not committed because a quorum holds it: a
// later leader could still overwrite it. It is committed together with an entry
// of the current term.
func TestEarlierTermEntryIsNotCommittedByReplicaCount(t *testing.T) {
	old := quorum.InitialState{
		Hard: quorum.HardState{Term: 2}, Members: threeVoters(),
		Entries: []quorum.Entry{{Index: 1, Term: 2, Data: []byte("old")}},
	}
	c := newCore("a", old)
	electLeader(t, c)
	c.Step(startTime, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: 1})
	require.Zero(t, c.Commit())
	c.MarkSynced(c.Last(), startTime)
	c.Step(startTime, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	require.Equal(t, quorum.Index(2), c.Commit())
}

// The leader's own copy of an entry counts for commitment only after it is
// synced, because a crash would lose it.
func TestUnsyncedLeaderEntryDoesNotCountForCommit(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, c)
	c.TakeOutput()
	c.Step(startTime, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	require.Zero(t, c.Commit())
	c.MarkSynced(c.Last(), startTime)
	require.Equal(t, c.Last(), c.Commit())
}
