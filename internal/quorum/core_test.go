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

// A learner that was made a voter by an entry that it does not have yet votes for
// the candidate that has the entry. If the leader's disk is lost at that moment,
// there is no quorum without its vote.
func TestLearnerVotesForCandidateThatPromotedIt(t *testing.T) {
	members := []quorum.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "a+"}}
	c := newCore("a+", quorum.InitialState{Members: members})
	for _, kind := range []quorum.MessageKind{quorum.MessagePreVote, quorum.MessageVote} {
		c.Step(startTime.Add(time.Hour), quorum.Message{Kind: kind, From: "b", To: "a+", Term: 9, LogIndex: 1, LogTerm: 8})
	}
	replies := c.TakeOutput().Messages
	require.Len(t, replies, 2)
	for _, m := range replies {
		require.False(t, m.Reject)
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

// tickUntil calls Tick four times per heartbeat interval after from, and at until.
func tickUntil(c *quorum.Core, from, until time.Time) {
	for now := from.Add(heartbeat / 4); now.Before(until); now = now.Add(heartbeat / 4) {
		c.Tick(now)
	}
	c.Tick(until)
}

// A leader that was held up itself has not handled the replies that arrived meanwhile. It
// stepped down for their lack, in calm, whenever a round took longer than an election
// timeout. Without replies it steps down soon.
func TestStalledLeaderDoesNotStepDownAtOnce(t *testing.T) {
	for _, answered := range []bool{true, false} {
		c := newCore("a", quorum.InitialState{Members: threeVoters()})
		electLeader(t, c)
		woken := startTime.Add(3*election + 2*election)
		c.Tick(woken)
		require.Equal(t, quorum.RoleLeader, c.Role())
		if answered {
			c.Step(woken, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: c.Term(), Round: 1, LogIndex: c.Last()})
		}
		tickUntil(c, woken, woken.Add(election/2))
		require.Equal(t, answered, c.Role() == quorum.RoleLeader)
	}
}

// A follower that was held up itself has not handled its leader's heartbeats.
func TestStalledFollowerDoesNotCampaignAtOnce(t *testing.T) {
	for _, heard := range []bool{true, false} {
		c := newCore("b", quorum.InitialState{Members: threeVoters()})
		heartbeatOfLeader := quorum.Message{Kind: quorum.MessageAppend, From: "a", To: "b", Term: 1}
		c.Tick(startTime)
		c.Step(startTime, heartbeatOfLeader)
		woken := startTime.Add(3 * election)
		c.Tick(woken)
		require.Equal(t, quorum.RoleFollower, c.Role())
		if heard {
			c.Step(woken, heartbeatOfLeader)
		}
		tickUntil(c, woken, woken.Add(election/2))
		require.Equal(t, heard, c.Role() == quorum.RoleFollower)
	}
}

// A leader that is held up again and again must not keep its role without contact.
func TestOftenStalledLeaderStepsDown(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, c)
	now := startTime.Add(3 * election)
	for range 20 {
		now = now.Add(3 * heartbeat)
		c.Tick(now)
	}
	require.NotEqual(t, quorum.RoleLeader, c.Role())
}

// A probe is sent in each round until the member has answered. With entries it was the
// whole log, for each heartbeat.
func TestProbeCarriesNoEntries(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, c)
	for range 100 {
		_, _, err := c.Propose([]byte("command"))
		require.NoError(t, err)
	}
	c.TakeOutput()
	now := startTime.Add(3 * election)
	c.Step(now, quorum.Message{Kind: quorum.MessageAppendReply, From: "c", To: "a", Term: c.Term(), Round: 1, Reject: true, LogIndex: c.Last(), Hint: 0})
	for range 5 {
		c.StartRound(now)
		for _, m := range c.TakeOutput().Messages {
			if m.To == "c" {
				require.Empty(t, m.Entries)
			}
		}
	}
	c.Step(now, quorum.Message{Kind: quorum.MessageAppendReply, From: "c", To: "a", Term: c.Term(), Round: 2, LogIndex: 0})
	sent := 0
	for _, m := range c.TakeOutput().Messages {
		if m.To == "c" {
			sent += len(m.Entries)
		}
	}
	require.Equal(t, int(c.Last()), sent)
}

// A leader that has no contact with a quorum for an election timeout must step
// down and must not confirm reads, since another leader may have been elected.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, c)
	elected := startTime.Add(3 * election)
	c.Read(7)
	tickUntil(c, elected, elected.Add(election-time.Millisecond))
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

// exchange passes the messages between two cores until none is left. Each core
// syncs what it appends.
func exchange(now time.Time, cores map[string]*quorum.Core) {
	for range 20 {
		idle := true
		for _, id := range []string{"a", "b"} {
			out := cores[id].TakeOutput()
			if n := len(out.Append); n > 0 {
				cores[id].MarkSynced(out.Append[n-1].Index, now)
			}
			for _, m := range out.Messages {
				if to := cores[m.To]; to != nil {
					to.Step(now, m)
					idle = false
				}
			}
		}
		if idle {
			return
		}
	}
}

// A follower whose disk lost entries that it had acknowledged is repaired by the
// leader of the same term. Until then, the lost entries do not count as synced by
// it; the third voter is away.
func TestFollowerThatLostAcknowledgedEntriesIsRepaired(t *testing.T) {
	a := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, a)
	now := startTime.Add(3 * election)
	b := newCore("b", quorum.InitialState{Members: threeVoters()})
	cores := map[string]*quorum.Core{"a": a, "b": b}
	for range 3 {
		_, _, err := a.Propose([]byte("x"))
		require.NoError(t, err)
	}
	exchange(now, cores)
	require.Equal(t, a.Last(), a.Match("b"))
	require.Equal(t, a.Last(), a.Commit())

	kept := b.EntriesAfterSnapshot()[:2]
	cores["b"] = newCore("b", quorum.InitialState{Hard: b.HardState(), Members: threeVoters(), Entries: kept})
	_, _, err := a.Propose([]byte("y"))
	require.NoError(t, err)
	a.MarkSynced(a.Last(), now)
	for range 5 {
		now = now.Add(heartbeat)
		a.Tick(now)
		exchange(now, cores)
	}
	require.Equal(t, a.Last(), cores["b"].Last())
	require.Equal(t, a.Last(), a.Commit(), "nothing is committed while the third voter is away")
}

// While a follower has not been repaired, the entries that it lost count only for
// the voters that still have them.
func TestLostEntriesDoNotCountForCommit(t *testing.T) {
	a := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, a)
	now := startTime.Add(3 * election)
	_, _, err := a.Propose([]byte("x"))
	require.NoError(t, err)
	a.TakeOutput()
	a.Step(now, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: a.Term(), LogIndex: a.Last()})
	a.Step(now, quorum.Message{
		Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: a.Term(), Reject: true, LogIndex: a.Last(), Hint: a.Last() - 1,
	})
	a.MarkSynced(a.Last(), now)
	require.Equal(t, a.Last()-1, a.Match("b"))
	require.Equal(t, a.Last()-1, a.Commit())
}

// A rejection that a newer acknowledgement has overtaken does not take that
// acknowledgement back.
func TestOvertakenRejectionIsIgnored(t *testing.T) {
	a := newCore("a", quorum.InitialState{Members: threeVoters()})
	electLeader(t, a)
	now := startTime.Add(3 * election)
	a.TakeOutput()
	a.Step(now, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: a.Term(), LogIndex: a.Last(), Round: 2})
	a.Step(now, quorum.Message{Kind: quorum.MessageAppendReply, From: "b", To: "a", Term: a.Term(), Reject: true, LogIndex: a.Last(), Round: 1})
	require.Equal(t, a.Last(), a.Match("b"))
}
