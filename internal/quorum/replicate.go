package quorum

import (
	"slices"
	"time"
)

// broadcast starts a new round: it sends an append, which is also the
// heartbeat, or a snapshot to every other member.
func (c *Core) broadcast(now time.Time) {
	c.round++
	c.nextHeartbeat = now.Add(c.config.Heartbeat)
	for _, m := range c.members() {
		if m.ID == c.config.ID {
			continue
		}
		if p := c.progress[m.ID]; p != nil {
			p.probeSent = false
		}
		if !c.sendAppend(m.ID) {
			c.sendSnapshot(m.ID, now)
		}
	}
	c.confirmReads()
}

// sendPending sends new entries to the members that have not been sent them
// yet. A member that is probed gets one append per round.
func (c *Core) sendPending() {
	for _, m := range c.members() {
		p := c.progress[m.ID]
		if m.ID == c.config.ID || p == nil || p.next > c.log.last() || p.probing && p.probeSent {
			continue
		}
		c.sendAppend(m.ID)
	}
}

// sendAppend sends the next entries to a member, at most one batch. It returns
// false if the log no longer contains them, so that a snapshot is needed.
func (c *Core) sendAppend(id string) bool {
	p := c.progress[id]
	if p == nil {
		return true
	}
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		return false
	}
	// A probe carries no entries: it is repeated in each round, and entries are large.
	var entries []Entry
	if p.probing {
		p.probeSent = true
	} else {
		entries = c.log.slice(p.next, c.config.BatchSize)
		p.next += Index(len(entries))
	}
	c.send(Message{
		Kind: MessageAppend, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round,
	})
	return true
}

// snapshotRetryElections is the number of election timeouts that the leader
// waits before it sends a snapshot to the same member again.
const snapshotRetryElections = 4

// sendSnapshot sends the newest snapshot to a member, unless one was sent
// recently.
func (c *Core) sendSnapshot(id string, now time.Time) {
	p := c.progress[id]
	if c.snapshot == nil || now.Sub(p.snapshotSent) < snapshotRetryElections*c.config.Election {
		return
	}
	p.snapshotSent = now
	c.send(Message{Kind: MessageSnapshot, To: id, Snapshot: c.snapshot, Round: c.round})
}

// handleAppend appends the leader's entries to the log if the log matches the
// leader's at m.LogIndex, and moves the commit index. Otherwise the reply
// carries the last index that may match.
func (c *Core) handleAppend(now time.Time, m Message) {
	if m.Term < c.hard.Term {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
		return
	}
	c.recordLeaderContact(now, m.From)
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if m.LogIndex < c.log.baseIndex {
		// The entries up to the snapshot are committed, so they match the
		// leader's. The reply makes the leader continue after them.
		reply.LogIndex = c.log.baseIndex
		c.send(reply)
		return
	}
	term, ok := c.log.term(m.LogIndex)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Hint = c.conflictHint(m.LogIndex, term, ok)
		c.send(reply)
		return
	}
	c.mergeEntries(m.Entries)
	reply.LogIndex = m.LogIndex + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.LogIndex))
	if c.commit >= m.Commit {
		c.upToDateAt = now
	}
	c.send(reply)
}

// conflictHint returns the last index that may match the leader's log after a
// mismatch at index i. If this log has an entry there (known), all entries of
// that entry's term are skipped.
func (c *Core) conflictHint(i Index, term Term, known bool) Index {
	if !known {
		return c.log.last()
	}
	for i > c.log.baseIndex {
		t, ok := c.log.term(i)
		if !ok || t != term {
			break
		}
		i--
	}
	return i
}

// mergeEntries appends the entries that the log lacks. From the first entry
// whose term differs, it truncates the log before it appends.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.revertMembers(e.Index)
			c.synced = min(c.synced, e.Index-1)
			c.output.Append = slices.DeleteFunc(c.output.Append, func(o Entry) bool { return o.Index >= e.Index })
		}
		for _, missing := range entries[i:] {
			c.log.entries = append(c.log.entries, missing)
			if missing.Kind == EntryMembers {
				c.activateMembers(missing)
			}
		}
		c.output.Append = append(c.output.Append, entries[i:]...)
		return
	}
}

// recordLeaderContact follows leader, which sent a valid message of the current
// term, and restarts the election timeout.
func (c *Core) recordLeaderContact(now time.Time, leader string) {
	if c.role != RoleFollower || c.leader != leader {
		c.becomeFollower(c.hard.Term, leader, now)
	}
	c.leaderContact = now
	c.resetElection(now)
}

// handleSnapshot replaces the log by a snapshot that is ahead of it.
func (c *Core) handleSnapshot(now time.Time, m Message) {
	if m.Term < c.hard.Term || m.Snapshot == nil {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
		return
	}
	c.recordLeaderContact(now, m.From)
	s := m.Snapshot
	// The log is kept if it matches the snapshot, because this replica may have
	// acknowledged entries that follow the snapshot.
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = max(c.commit, s.Index)
	} else if s.Index > c.commit {
		c.installSnapshot(s)
	}
	c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, LogIndex: min(s.Index, c.commit)})
}

// installSnapshot replaces the log, the member list and all output that has not
// been taken yet by s.
func (c *Core) installSnapshot(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.memberLists = []memberList{{index: s.Index, members: s.Members}}
	c.membersVersion++
	c.snapshot = s
	c.commit = s.Index
	c.applied = s.Index
	c.synced = s.Index
	c.output.Append = nil
	c.output.Committed = nil
	c.output.InstallSnapshot = s
}

// handleAppendReply updates the progress of a member. A rejection starts a
// probe for the last index at which its log matches. If that is before an index
// that the member has acknowledged, its disk has lost entries: they no longer
// count as synced by it, and it gets them again.
func (c *Core) handleAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || m.Term != c.hard.Term || p == nil {
		return
	}
	p.lastReply = now
	if m.Reject {
		if p.probing && m.LogIndex != p.next-1 || m.Round < p.ackedRound {
			return // This reply belongs to an earlier message.
		}
		p.match = min(p.match, m.Hint)
		p.next = max(p.match+1, min(m.LogIndex, m.Hint+1))
		p.probing, p.probeSent = true, false
		return
	}
	p.probing, p.probeSent = false, false
	p.ackedRound = max(p.ackedRound, m.Round)
	p.match = max(p.match, min(m.LogIndex, c.log.last()))
	p.next = max(p.next, p.match+1)
	c.advanceCommit(now)
	c.confirmReads()
}

// advanceCommit moves the commit index to the highest entry of the current term
// that a quorum has synced. A leader that is no longer a voter steps down after
// that.
func (c *Core) advanceCommit(now time.Time) {
	var matches []Index
	for _, id := range c.voters() {
		matches = append(matches, c.Match(id))
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	if len(matches) < c.quorumSize() {
		return
	}
	newCommit := matches[c.quorumSize()-1]
	term, ok := c.log.term(newCommit)
	if !ok || term != c.hard.Term || newCommit <= c.commit {
		return
	}
	c.commit = newCommit
	c.broadcast(now)
	if !c.isVoter(c.config.ID) {
		c.becomeFollower(c.hard.Term, "", now)
	}
}

// StartRound starts a round of heartbeats before it is due, so that pending
// reads complete after one exchange of messages. It does nothing unless this
// replica leads.
func (c *Core) StartRound(now time.Time) {
	if c.role == RoleLeader {
		c.broadcast(now)
	}
}
