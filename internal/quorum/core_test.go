package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

var start = time.Unix(5000, 0)

func threeVoters() []quorum.Member {
	return []quorum.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
}

func newCore(id string, s quorum.InitialState) *quorum.Core {
	return quorum.New(quorum.Config{ID: id, Heartbeat: heartbeat, Election: election}, s, start)
}

// lead makes a core of three the leader by granting its votes.
func lead(t *testing.T, c *quorum.Core) {
	t.Helper()
	c.Tick(start.Add(3 * election))
	for range 2 {
		for _, m := range c.TakeOutput().Messages {
			if m.To != "b" {
				continue
			}
			kind := quorum.MessageVoteReply
			if m.Kind == quorum.MessagePreVote {
				kind = quorum.MessagePreVoteReply
			}
			c.Step(start.Add(3*election), quorum.Message{Kind: kind, From: "b", To: "a", Term: m.Term})
		}
	}
	require.Equal(t, quorum.RoleLeader, c.Role())
}

// A delayed snapshot must not drop entries behind it that were acknowledged.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newCore("b", quorum.InitialState{Members: threeVoters()})
	entries := []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	c.Step(start, quorum.Message{Kind: quorum.MessageAppend, From: "a", To: "b", Term: 1, Entries: entries})
	c.TakeOutput()
	c.Step(start, quorum.Message{
		Kind: quorum.MessageSnapshot, From: "a", To: "b", Term: 1,
		Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Members: threeVoters()},
	})
	out := c.TakeOutput()
	require.Nil(t, out.Install)
	require.Equal(t, quorum.Index(3), c.Last())
	require.Equal(t, quorum.Index(2), c.Commit())
}

// A replica whose folder is new must not vote: it has forgotten its promises.
func TestNewFolderDoesNotVote(t *testing.T) {
	c := newCore("a+", quorum.InitialState{})
	for _, kind := range []quorum.MessageKind{quorum.MessagePreVote, quorum.MessageVote} {
		c.Step(start.Add(time.Hour), quorum.Message{Kind: kind, From: "b", To: "a+", Term: 9})
	}
	for _, m := range c.TakeOutput().Messages {
		require.True(t, m.Reject)
	}
}

func TestMembersChangeOneAtATime(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	_, err := c.ProposeMembers(threeVoters())
	require.ErrorIs(t, err, quorum.ErrNotLeader)
	lead(t, c)
	_, err = c.ProposeMembers(threeVoters()[:2])
	require.ErrorIs(t, err, quorum.ErrChangePending, "the leader knows of nothing committed in its term yet")
	c.Synced(c.Last(), start)
	c.Step(start, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	_, err = c.ProposeMembers(threeVoters()[:1])
	require.ErrorContains(t, err, "one voter")
	_, err = c.ProposeMembers([]quorum.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true}})
	require.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	_, err = c.ProposeMembers(threeVoters()[:2])
	require.NoError(t, err)
	_, err = c.ProposeMembers(threeVoters())
	require.ErrorIs(t, err, quorum.ErrChangePending)
}

// A leader that hears from no quorum stops leading within its lease, and does
// not confirm reads.
func TestLeaderCutOffStepsDown(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	lead(t, c)
	began := start.Add(3 * election)
	c.Read(7)
	c.Tick(began.Add(election - time.Millisecond))
	require.Equal(t, quorum.RoleLeader, c.Role())
	c.Tick(began.Add(election))
	require.Equal(t, quorum.RoleFollower, c.Role())
	for _, r := range c.TakeOutput().Reads {
		require.False(t, r.OK)
	}
	_, _, err := c.Propose([]byte("x"))
	require.ErrorIs(t, err, quorum.ErrNotLeader)
}

// A vote is given once in a term, also after a restart.
func TestOneVoteInATerm(t *testing.T) {
	c := newCore("c", quorum.InitialState{Members: threeVoters()})
	c.Step(start, quorum.Message{Kind: quorum.MessageVote, From: "a", To: "c", Term: 4})
	out := c.TakeOutput()
	require.NotNil(t, out.Hard)
	require.False(t, out.Messages[0].Reject)
	again := newCore("c", quorum.InitialState{Hard: *out.Hard, Members: threeVoters()})
	again.Step(start, quorum.Message{Kind: quorum.MessageVote, From: "b", To: "c", Term: 4})
	require.True(t, again.TakeOutput().Messages[0].Reject)
}

// An entry of an earlier term is not committed by counting its copies, since
// another leader could still overwrite it.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	old := quorum.InitialState{
		Hard: quorum.HardState{Term: 2}, Members: threeVoters(),
		Entries: []quorum.Entry{{Index: 1, Term: 2, Data: []byte("old")}},
	}
	c := newCore("a", old)
	lead(t, c)
	c.Step(start, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: 1})
	require.Zero(t, c.Commit())
	c.Synced(c.Last(), start)
	c.Step(start, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	require.Equal(t, quorum.Index(2), c.Commit())
}

// The leader's own entry counts only once it is synced.
func TestUnsyncedEntryDoesNotCount(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	lead(t, c)
	c.TakeOutput()
	c.Step(start, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), LogIndex: c.Last()})
	require.Zero(t, c.Commit())
	c.Synced(c.Last(), start)
	require.Equal(t, c.Last(), c.Commit())
}
