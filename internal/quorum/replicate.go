package quorum

import (
	"slices"
	"time"
)

// broadcast begins a new round: every member hears from the leader.
func (c *Core) broadcast(now time.Time) {
	c.round++
	c.heartbeatAt = now.Add(c.config.Heartbeat)
	for _, m := range c.members() {
		if m.ID == c.config.ID {
			continue
		}
		if p := c.progress[m.ID]; p != nil {
			p.probed = false
		}
		if !c.sendAppend(m.ID) {
			c.sendSnapshot(m.ID, now)
		}
	}
	c.confirmReads()
}

// sendPending sends entries that members have not been sent yet.
func (c *Core) sendPending() {
	for _, m := range c.members() {
		p := c.progress[m.ID]
		if m.ID == c.config.ID || p == nil || p.next > c.log.last() || p.probing && p.probed {
			continue
		}
		c.sendAppend(m.ID)
	}
}

// sendAppend sends what a member lacks. It returns false if the log no longer
// holds that, so that only a snapshot can help.
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
	entries := c.log.slice(p.next, c.config.BatchSize)
	if p.probing {
		p.probed = true
	} else {
		p.next += Index(len(entries))
	}
	c.send(Message{
		Kind: MessageAppend, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round,
	})
	return true
}

// snapshotPause is how many elections the leader waits for the answer to a
// snapshot before it sends it again.
const snapshotPause = 4

func (c *Core) sendSnapshot(id string, now time.Time) {
	p := c.progress[id]
	if c.snapshot == nil || now.Sub(p.sent) < snapshotPause*c.config.Election {
		return
	}
	p.sent = now
	c.send(Message{Kind: MessageSnapshot, To: id, Snapshot: c.snapshot, Round: c.round})
}

func (c *Core) handleAppend(now time.Time, m Message) {
	if m.Term < c.hard.Term {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
		return
	}
	c.heard(now, m.From)
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if m.LogIndex < c.log.baseIndex {
		reply.LogIndex = c.log.baseIndex
		c.send(reply)
		return
	}
	term, ok := c.log.term(m.LogIndex)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Hint = c.hint(m.LogIndex, term, ok)
		c.send(reply)
		return
	}
	c.store(m.Entries)
	reply.LogIndex = m.LogIndex + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.LogIndex))
	if c.commit >= m.Commit {
		c.currentAt = now
	}
	c.send(reply)
}

// hint returns the last index that may agree with the leader's log.
func (c *Core) hint(at Index, term Term, known bool) Index {
	if !known {
		return c.log.last()
	}
	for at > c.log.baseIndex {
		t, ok := c.log.term(at)
		if !ok || t != term {
			break
		}
		at--
	}
	return at
}

// store appends entries that the log lacks and truncates where it differs.
func (c *Core) store(entries []Entry) {
	for i, e := range entries {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.undoMembers(e.Index)
			c.synced = min(c.synced, e.Index-1)
			c.out.Append = slices.DeleteFunc(c.out.Append, func(o Entry) bool { return o.Index >= e.Index })
		}
		for _, added := range entries[i:] {
			c.log.entries = append(c.log.entries, added)
			if added.Kind == EntryMembers {
				c.noteMembers(added)
			}
		}
		c.out.Append = append(c.out.Append, entries[i:]...)
		return
	}
}

func (c *Core) heard(now time.Time, leader string) {
	if c.role != RoleFollower || c.leader != leader {
		c.follow(c.hard.Term, leader, now)
	}
	c.heardAt = now
	c.resetElection(now)
}

func (c *Core) handleSnapshot(now time.Time, m Message) {
	if m.Term < c.hard.Term || m.Snapshot == nil {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
		return
	}
	c.heard(now, m.From)
	s := m.Snapshot
	// Entries behind the snapshot may have been acknowledged, so a log that
	// agrees with the snapshot is kept.
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = max(c.commit, s.Index)
	} else if s.Index > c.commit {
		c.install(s)
	}
	c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, LogIndex: min(s.Index, c.commit)})
}

func (c *Core) install(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.changes = []memberChange{{index: s.Index, members: s.Members}}
	c.memberChanges++
	c.snapshot = s
	c.commit = s.Index
	c.applied = s.Index
	c.synced = s.Index
	c.out.Append = nil
	c.out.Committed = nil
	c.out.Install = s
}

func (c *Core) handleAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || m.Term != c.hard.Term || p == nil {
		return
	}
	p.active = now
	if m.Reject {
		if p.probing && m.LogIndex != p.next-1 {
			return // The answer to an earlier message.
		}
		p.next = max(p.match+1, min(m.LogIndex, m.Hint+1))
		p.probing, p.probed = true, false
		return
	}
	p.probing, p.probed = false, false
	p.round = max(p.round, m.Round)
	p.match = max(p.match, min(m.LogIndex, c.log.last()))
	p.next = max(p.next, p.match+1)
	c.advance(now)
	c.confirmReads()
}

// advance moves the commit index to what a quorum has synced in this term.
func (c *Core) advance(now time.Time) {
	var matches []Index
	for _, id := range c.voters() {
		matches = append(matches, c.Match(id))
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	if len(matches) < c.quorum() {
		return
	}
	reached := matches[c.quorum()-1]
	term, ok := c.log.term(reached)
	if !ok || term != c.hard.Term || reached <= c.commit {
		return
	}
	c.commit = reached
	c.broadcast(now)
	if !c.isVoter(c.config.ID) {
		c.follow(c.hard.Term, "", now)
	}
}

// Heartbeat begins a round before its time, so that waiting reads are answered
// after one exchange.
func (c *Core) Heartbeat(now time.Time) {
	if c.role == RoleLeader {
		c.broadcast(now)
	}
}
