package quorum

import "time"

// Step handles a message received at time now.
func (c *Core) Step(now time.Time, m Message) {
	if c.ignoresVote(now, m) {
		return
	}
	if m.Term > c.hard.Term && raisesTerm(m) {
		leader := ""
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			leader = m.From
		}
		c.follow(m.Term, leader, now)
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.handleVote(now, m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(now, m)
	case MessageAppend:
		c.handleAppend(now, m)
	case MessageSnapshot:
		c.handleSnapshot(now, m)
	case MessageAppendReply:
		c.handleAppendReply(now, m)
	}
}

// ignoresVote reports whether a vote request comes from a replica that merely
// lost touch while the others still hear their leader.
func (c *Core) ignoresVote(now time.Time, m Message) bool {
	if m.Kind != MessagePreVote && m.Kind != MessageVote {
		return false
	}
	if c.role == RoleLeader {
		return now.Sub(c.quorumActive(now)) < c.config.Election
	}
	return c.leader != "" && now.Sub(c.heardAt) < c.config.Election
}

// raisesTerm reports whether a message's term is one that its sender has
// really entered. Pre-votes name a term that nobody has entered yet.
func raisesTerm(m Message) bool {
	if m.Kind == MessagePreVote {
		return false
	}
	return m.Kind != MessagePreVoteReply || m.Reject
}

func (c *Core) follow(term Term, leader string, now time.Time) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.failReads()
	c.resetElection(now)
}

// campaign starts a pre-vote or, once that is won, a vote.
func (c *Core) campaign(now time.Time, pre bool) {
	c.role = RoleCandidate
	c.leader = ""
	c.preVote = pre
	kind := MessagePreVote
	term := c.hard.Term + 1
	if !pre {
		c.hard = HardState{Term: term, Vote: c.config.ID}
		kind = MessageVote
	}
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElection(now)
	for _, id := range c.voters() {
		if id == c.config.ID {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm()})
	}
	c.countVotes(now)
}

func (c *Core) handleVote(now time.Time, m Message) {
	pre := m.Kind == MessagePreVote
	upToDate := m.LogTerm > c.log.lastTerm() ||
		(m.LogTerm == c.log.lastTerm() && m.LogIndex >= c.log.last())
	grant := upToDate && m.Term >= c.hard.Term && c.isVoter(c.config.ID)
	if pre {
		grant = grant && m.Term > c.hard.Term
	} else {
		grant = grant && (c.hard.Vote == "" || c.hard.Vote == m.From)
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: !grant}
	if pre {
		reply.Kind = MessagePreVoteReply
		if grant {
			reply.Term = m.Term
		}
	}
	if grant && !pre {
		c.hard.Vote = m.From
		c.resetElection(now)
	}
	c.send(reply)
}

func (c *Core) handleVoteReply(now time.Time, m Message) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	if c.preVote != (m.Kind == MessagePreVoteReply) {
		return
	}
	want := c.hard.Term
	if c.preVote {
		want++
	}
	if m.Term != want {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	granted := 0
	for _, id := range c.voters() {
		if c.votes[id] {
			granted++
		}
	}
	if granted < c.quorum() {
		return
	}
	if c.preVote {
		c.campaign(now, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Time) {
	c.role = RoleLeader
	c.leader = c.config.ID
	c.progress = map[string]*progress{}
	for _, m := range c.members() {
		c.progress[m.ID] = &progress{next: c.log.last() + 1, active: now}
	}
	c.appendOwn(EntryEmpty, nil)
	c.broadcast(now)
}
