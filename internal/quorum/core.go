package quorum

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const defaultBatch = 256

// startFraction is how many times sooner than usual a replica that has just started
// looks for a leader.
const startFraction = 3

// progress is what a leader knows of another member.
type progress struct {
	match  Index // The last index known to be synced there.
	next   Index // The next index to send.
	round  uint64
	active time.Time // When it last answered.
	sent   time.Time // When a snapshot was last sent.
	// probing is set while it is not known where the member's log agrees. Then
	// one append at a time is sent, and next stays where it is: if everything
	// behind it were sent too, each message of it would be rejected, and each
	// rejection would have it all sent again.
	probing bool
	probed  bool // The probe has been sent in this round.
}

// Core is one replica's part in the consensus.
type Core struct {
	config   Config
	hard     HardState
	saved    HardState
	log      memoryLog
	snapshot *Snapshot
	changes  []memberChange
	role     Role
	leader   string
	commit   Index
	applied  Index
	synced   Index

	electionAt  time.Time
	heardAt     time.Time // When a leader was last heard.
	currentAt   time.Time // When everything that a leader had committed was held.
	heartbeatAt time.Time
	preVote     bool
	votes       map[string]bool
	progress    map[string]*progress
	round       uint64
	reads       []pendingRead
	out         Output

	memberChanges uint64
}

// InitialState is the synced state that a replica starts from.
type InitialState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
	Members  []Member // Used only where neither snapshot nor entries name any.
}

// New returns a follower that starts from s at time now.
func New(config Config, s InitialState, now time.Time) *Core {
	if config.BatchSize == 0 {
		config.BatchSize = defaultBatch
	}
	c := &Core{config: config, hard: s.Hard, saved: s.Hard, snapshot: s.Snapshot}
	c.changes = []memberChange{{members: s.Members}}
	if s.Snapshot != nil {
		c.log.reset(s.Snapshot.Index, s.Snapshot.Term)
		c.changes[0] = memberChange{index: s.Snapshot.Index, members: s.Snapshot.Members}
		c.commit = s.Snapshot.Index
		c.applied = s.Snapshot.Index
	}
	for _, e := range s.Entries {
		c.log.entries = append(c.log.entries, e)
		if e.Kind == EntryMembers {
			c.noteMembers(e)
		}
	}
	c.synced = c.log.last()
	c.memberChanges++
	c.resetElection(now)
	// After a restart nobody is known to lead, and a pre-vote disturbs no leader.
	c.electionAt = now.Add(c.electionAt.Sub(now) / startFraction)
	return c
}

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

// Leader returns the ID of the leader that this replica follows, or "".
func (c *Core) Leader() string { return c.leader }

// Term returns the current term.
func (c *Core) Term() Term { return c.hard.Term }

// Commit returns the last index known to be committed.
func (c *Core) Commit() Index { return c.commit }

// Last returns the last index in the log.
func (c *Core) Last() Index { return c.log.last() }

// SnapshotIndex returns the last index that the snapshot covers.
func (c *Core) SnapshotIndex() Index { return c.log.baseIndex }

// Match returns the last index known to be synced by a member. Only a leader
// knows it.
func (c *Core) Match(id string) Index {
	if id == c.config.ID {
		return c.synced
	}
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// UpToDateAt returns when this replica was last known to hold everything that its
// leader had committed. A leader hears itself through a quorum.
func (c *Core) UpToDateAt(now time.Time) time.Time {
	if c.role == RoleLeader {
		return c.quorumActive(now)
	}
	return c.currentAt
}

// Propose appends a command to the leader's log.
func (c *Core) Propose(data []byte) (Index, Term, error) {
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	i := c.appendOwn(EntryNormal, data)
	return i, c.hard.Term, nil
}

func (c *Core) appendOwn(kind EntryKind, data []byte) Index {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.out.Append = append(c.out.Append, e)
	if kind == EntryMembers {
		c.noteMembers(e)
	}
	return e.Index
}

// Tick lets time pass. Call it several times in each heartbeat.
func (c *Core) Tick(now time.Time) {
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.electionAt) && c.isVoter(c.config.ID) {
		c.campaign(now, true)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.quorumActive(now)) >= c.config.Election {
		c.follow(c.hard.Term, "", now)
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.broadcast(now)
	}
}

// quorumActive returns the latest time at which a quorum, this replica among
// it, is known to have been in touch.
func (c *Core) quorumActive(now time.Time) time.Time {
	var times []time.Time
	for _, id := range c.voters() {
		if id == c.config.ID {
			times = append(times, now)
		} else if p := c.progress[id]; p != nil {
			times = append(times, p.active)
		}
	}
	if len(times) < c.quorum() {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[c.quorum()-1]
}

// Synced tells the core that all records of Outputs taken so far, up to index
// i, are on disk.
func (c *Core) Synced(i Index, now time.Time) {
	c.synced = min(i, c.log.last())
	if c.role == RoleLeader {
		c.advance(now)
	}
}

// TakeOutput returns what has to be done since the last TakeOutput.
func (c *Core) TakeOutput() Output {
	if c.role == RoleLeader {
		c.sendPending()
	}
	out := c.out
	c.out = Output{}
	if c.hard != c.saved {
		h := c.hard
		out.Hard = &h
		c.saved = h
	}
	if c.commit > c.applied {
		out.Committed = c.log.slice(c.applied+1, int(c.commit-c.applied))
		c.applied = c.commit
	}
	return out
}

// Compact tells the core that s holds everything up to s.Index, which must
// have been applied.
func (c *Core) Compact(s Snapshot) {
	if s.Index > c.applied {
		return
	}
	c.snapshot = &s
	for len(c.changes) > 1 && c.changes[1].index <= s.Index {
		c.changes = c.changes[1:]
	}
	c.log.compact(s.Index)
}

// MembersAt returns the member list in force at index i, for a snapshot.
func (c *Core) MembersAt(i Index) []Member {
	found := c.changes[0].members
	for _, ch := range c.changes {
		if ch.index <= i {
			found = ch.members
		}
	}
	return slices.Clone(found)
}

// resetElection draws the next election time. The spread comes from a hash of
// ID and term, so that replicas differ and the core stays deterministic.
func (c *Core) resetElection(now time.Time) {
	key := fmt.Sprintf("%s/%d/%d", c.config.ID, c.hard.Term, now.UnixNano())
	spread := time.Duration(xxh3.HashString(key) % uint64(c.config.Election))
	c.electionAt = now.Add(c.config.Election + spread)
}

func (c *Core) send(m Message) {
	m.From = c.config.ID
	m.Term = max(m.Term, c.hard.Term)
	c.out.Messages = append(c.out.Messages, m)
}

// HardState returns the replica's term and vote.
func (c *Core) HardState() HardState { return c.hard }

// EntriesAfterSnapshot returns the entries behind the snapshot.
func (c *Core) EntriesAfterSnapshot() []Entry {
	return c.log.slice(c.log.baseIndex+1, len(c.log.entries))
}

// Applied returns the last index handed out as committed.
func (c *Core) Applied() Index { return c.applied }

// TermAt returns the term of the entry at i, or 0 if it is not known.
func (c *Core) TermAt(i Index) Term {
	t, _ := c.log.term(i)
	return t
}
