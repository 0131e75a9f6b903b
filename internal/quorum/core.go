package quorum

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// defaultBatchSize is the maximum number of entries in one append message if
// Config.BatchSize is 0.
const defaultBatchSize = 256

// initialElectionDivisor divides the first election timeout after a start, so
// that a replica that has just started looks for a leader sooner.
const initialElectionDivisor = 3

// progress is what a leader knows about another member.
type progress struct {
	match        Index     // The last index known to be synced by the member.
	next         Index     // The next index to send.
	ackedRound   uint64    // The newest round that the member has acknowledged.
	lastReply    time.Time // When the member's last reply arrived.
	snapshotSent time.Time // When a snapshot was last sent.
	// probing is set while the last index at which the member's log matches is
	// unknown. One append is then sent per round and next stays unchanged. If
	// all later entries were sent too, the member would reject each of these
	// messages, and each rejection would cause all of them to be sent again. The
	// probe itself holds none.
	probing   bool
	probeSent bool // The probe of this round has been sent.
}

// Core is the Raft state of one replica. It is not safe for concurrent use.
// Create one with New.
type Core struct {
	config      Config
	hard        HardState
	emittedHard HardState // The hard state last returned by TakeOutput.
	log         memoryLog // The entries after the newest snapshot.
	snapshot    *Snapshot
	memberLists []memberList // Oldest first; the last one is in force.
	role        Role
	leader      string // The leader's ID, or "" if it is unknown.
	commit      Index  // The last index known to be committed.
	applied     Index  // The last index returned as committed.
	synced      Index  // The last index synced by this replica.

	electionDeadline time.Time            // When a voter that is not the leader starts an election.
	leaderContact    time.Time            // When the last message from a leader arrived.
	upToDateAt       time.Time            // When this replica last held everything that its leader had committed.
	nextHeartbeat    time.Time            // When the leader starts the next round.
	inPreVote        bool                 // The candidate's election is in its pre-vote phase.
	votes            map[string]bool      // The voters that granted their vote in this phase, by ID.
	progress         map[string]*progress // All members by ID, this replica included; nil unless it leads.
	round            uint64               // The number of the leader's newest round.
	reads            []pendingRead        // Oldest first.
	output           Output               // What the next TakeOutput returns.

	membersVersion uint64 // Returned by MembersVersion.

	lastTick time.Time // When Tick was last called; zero before the first call.
	stallEnd time.Time // When the last stall ended; see noteStall. Zero if there was none.
}

// InitialState is the synced state that a replica starts from. The zero value
// is a replica that knows no members.
type InitialState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
	Members  []Member // Used only if neither Snapshot nor Entries contains a member list.
}

// New returns a follower that starts from s at time now. A zero
// config.BatchSize is replaced by the default.
func New(config Config, s InitialState, now time.Time) *Core {
	if config.BatchSize == 0 {
		config.BatchSize = defaultBatchSize
	}
	c := &Core{config: config, hard: s.Hard, emittedHard: s.Hard, snapshot: s.Snapshot}
	c.memberLists = []memberList{{members: s.Members}}
	if s.Snapshot != nil {
		c.log.reset(s.Snapshot.Index, s.Snapshot.Term)
		c.memberLists[0] = memberList{index: s.Snapshot.Index, members: s.Snapshot.Members}
		c.commit = s.Snapshot.Index
		c.applied = s.Snapshot.Index
	}
	for _, e := range s.Entries {
		c.log.entries = append(c.log.entries, e)
		if e.Kind == EntryMembers {
			c.activateMembers(e)
		}
	}
	c.synced = c.log.last()
	c.membersVersion++
	c.resetElection(now)
	// After a restart no leader is known, and a pre-vote does not disturb a
	// leader that the other voters still follow.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / initialElectionDivisor)
	return c
}

// Role returns whether the replica is a follower, candidate or leader. A
// learner is a follower.
func (c *Core) Role() Role { return c.role }

// Leader returns the ID of the leader in the current term, or "" if it is
// unknown. A leader returns its own ID.
func (c *Core) Leader() string { return c.leader }

// Term returns the current term, which may not be synced yet.
func (c *Core) Term() Term { return c.hard.Term }

// Commit returns the last index known to be committed.
func (c *Core) Commit() Index { return c.commit }

// Last returns the index of the last entry in the log, synced or not.
func (c *Core) Last() Index { return c.log.last() }

// SnapshotIndex returns the last index that the snapshot covers, or 0 if there
// is none.
func (c *Core) SnapshotIndex() Index { return c.log.baseIndex }

// Match returns the last index known to be synced by the member with the given
// ID. For other members only a leader knows it; otherwise the result is 0.
func (c *Core) Match(id string) Index {
	if id == c.config.ID {
		return c.synced
	}
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// UpToDateAt returns the last time at which this replica is known to have held
// everything that its leader had committed, or the zero time if there is none.
// For a leader it is the time of its last contact with a quorum.
func (c *Core) UpToDateAt(now time.Time) time.Time {
	if c.role == RoleLeader {
		return c.quorumContact(now)
	}
	return c.upToDateAt
}

// Propose appends a command to the leader's log and returns its index and term.
// The command is committed once an entry with both appears in Output.Committed;
// a later leader may replace it before that. It returns ErrNotLeader if this
// replica does not lead.
func (c *Core) Propose(data []byte) (Index, Term, error) {
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	i := c.appendEntry(EntryNormal, data)
	return i, c.hard.Term, nil
}

// appendEntry appends a new entry of the current term and returns its index.
// Only a leader may call it.
func (c *Core) appendEntry(kind EntryKind, data []byte) Index {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.output.Append = append(c.output.Append, e)
	if kind == EntryMembers {
		c.activateMembers(e)
	}
	return e.Index
}

// Tick starts elections and heartbeats that are due at time now. Call it
// several times per heartbeat interval.
func (c *Core) Tick(now time.Time) {
	c.noteStall(now)
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.electionDeadline) && c.isVoter(c.config.ID) && !c.toleratesSilence(now, c.leaderContact) {
		c.campaign(now, true)
	}
}

const (
	// stallHeartbeats is the number of heartbeat intervals between two calls of Tick
	// from which on this replica itself was held up.
	stallHeartbeats = 2
	// maxStalledElections is the number of election timeouts after which silence counts
	// however often this replica was held up.
	maxStalledElections = 4
)

// noteStall records that this replica was held up until now, if the last call of Tick is
// long ago.
func (c *Core) noteStall(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > stallHeartbeats*c.config.Heartbeat {
		c.stallEnd = now
	}
	c.lastTick = now
}

// toleratesSilence reports whether a lack of messages since contact may be due to a stall
// of this replica. Messages that have arrived meanwhile are still to be handled, and
// replies to what it did not send are missing.
func (c *Core) toleratesSilence(now, contact time.Time) bool {
	return !c.stallEnd.IsZero() && now.Sub(c.stallEnd) < c.config.Election/2 && now.Sub(contact) < maxStalledElections*c.config.Election
}

// tickLeader steps down if the leader has had no contact with a quorum for an
// election timeout, and otherwise starts a round when it is due.
func (c *Core) tickLeader(now time.Time) {
	contact := c.quorumContact(now)
	if now.Sub(contact) >= c.config.Election && !c.toleratesSilence(now, contact) {
		c.becomeFollower(c.hard.Term, "", now)
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.broadcast(now)
	}
}

// quorumContact returns the latest time by which a quorum, counting this
// replica at time now, is known to have been reachable.
func (c *Core) quorumContact(now time.Time) time.Time {
	var times []time.Time
	for _, id := range c.voters() {
		if id == c.config.ID {
			times = append(times, now)
		} else if p := c.progress[id]; p != nil {
			times = append(times, p.lastReply)
		}
	}
	if len(times) < c.quorumSize() {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[c.quorumSize()-1]
}

// MarkSynced records that the log entries up to index i are on disk. Call it
// after the Append entries of an Output have been synced, with the index of the
// last one. An index above Last counts as Last. A snapshot to install needs no
// call: the core counts it as synced.
func (c *Core) MarkSynced(i Index, now time.Time) {
	c.synced = min(i, c.log.last())
	if c.role == RoleLeader {
		c.advanceCommit(now)
	}
}

// TakeOutput returns the actions that became necessary since the last call. The
// caller must carry them out in the order that Output describes.
func (c *Core) TakeOutput() Output {
	if c.role == RoleLeader {
		c.sendPending()
	}
	out := c.output
	c.output = Output{}
	if c.hard != c.emittedHard {
		h := c.hard
		out.Hard = &h
		c.emittedHard = h
	}
	if c.commit > c.applied {
		out.Committed = c.log.slice(c.applied+1, int(c.commit-c.applied))
		c.applied = c.commit
	}
	return out
}

// Compact replaces all entries up to s.Index by snapshot s. It does nothing if
// s.Index has not been applied yet.
func (c *Core) Compact(s Snapshot) {
	if s.Index > c.applied {
		return
	}
	c.snapshot = &s
	for len(c.memberLists) > 1 && c.memberLists[1].index <= s.Index {
		c.memberLists = c.memberLists[1:]
	}
	c.log.compact(s.Index)
}

// MembersAt returns a copy of the member list in force at index i, to be stored
// in a snapshot. The index must not be before the newest snapshot.
func (c *Core) MembersAt(i Index) []Member {
	members := c.memberLists[0].members
	for _, l := range c.memberLists {
		if l.index <= i {
			members = l.members
		}
	}
	return slices.Clone(members)
}

// resetElection sets the next election deadline to one to two election timeouts
// from now. The spread is a hash of the ID, term and time, so that replicas
// differ and the core stays deterministic.
func (c *Core) resetElection(now time.Time) {
	key := fmt.Sprintf("%s/%d/%d", c.config.ID, c.hard.Term, now.UnixNano())
	spread := time.Duration(xxh3.HashString(key) % uint64(c.config.Election))
	c.electionDeadline = now.Add(c.config.Election + spread)
}

// send queues m for the next Output, with this replica as the sender. A message
// without a higher term gets the current term.
func (c *Core) send(m Message) {
	m.From = c.config.ID
	m.Term = max(m.Term, c.hard.Term)
	c.output.Messages = append(c.output.Messages, m)
}

// HardState returns the replica's current term and vote, which may not be
// synced yet.
func (c *Core) HardState() HardState { return c.hard }

// EntriesAfterSnapshot returns the log entries that follow the snapshot. The
// slice is a copy; the Data of the entries is shared.
func (c *Core) EntriesAfterSnapshot() []Entry {
	return c.log.slice(c.log.baseIndex+1, len(c.log.entries))
}

// Applied returns the last index returned as committed by TakeOutput or covered
// by the snapshot.
func (c *Core) Applied() Index { return c.applied }

// TermAt returns the term of the entry at i, or 0 if i is not in the log.
func (c *Core) TermAt(i Index) Term {
	t, _ := c.log.term(i)
	return t
}
