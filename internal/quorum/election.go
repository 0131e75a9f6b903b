package quorum

import "time"

// Step handles a message received at time now. The messages to send in return
// are in the next Output.
func (c *Core) Step(now time.Time, m Message) {
	if c.ignoresVoteRequest(now, m) {
		return
	}
	if m.Term > c.hard.Term && senderHasEnteredTerm(m) {
		leader := ""
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader, now)
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.handleVoteRequest(now, m)
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

// ignoresVoteRequest reports whether m is a vote request to be ignored because
// this replica leads with a quorum or had contact with its leader within the
// last election timeout. Otherwise a replica that merely lost its connection
// could depose a working leader.
func (c *Core) ignoresVoteRequest(now time.Time, m Message) bool {
	if m.Kind != MessagePreVote && m.Kind != MessageVote {
		return false
	}
	if c.role == RoleLeader {
		return now.Sub(c.quorumContact(now)) < c.config.Election
	}
	return c.leader != "" && now.Sub(c.leaderContact) < c.config.Election
}

// senderHasEnteredTerm reports whether the sender of m has entered the term
// that m names. A pre-vote and a granted pre-vote reply name a term that no
// replica has entered yet.
func senderHasEnteredTerm(m Message) bool {
	if m.Kind == MessagePreVote {
		return false
	}
	return m.Kind != MessagePreVoteReply || m.Reject
}

// becomeFollower makes this replica a follower of leader, which is "" if it is
// unknown. A higher term resets the vote. Pending reads fail.
func (c *Core) becomeFollower(term Term, leader string, now time.Time) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.failReads()
	c.resetElection(now)
}

// campaign starts the pre-vote phase of an election or, after that is won, the
// vote phase in a new term.
func (c *Core) campaign(now time.Time, preVote bool) {
	c.role = RoleCandidate
	c.leader = ""
	c.inPreVote = preVote
	kind := MessagePreVote
	term := c.hard.Term + 1
	if !preVote {
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

// handleVoteRequest replies to a pre-vote or vote request. A member grants it
// only if the candidate's log is at least as up to date as its own. It grants
// one vote per term; a pre-vote grant is not recorded. Learners vote, too: a
// learner may have been made a voter by an entry that it does not have yet, and
// candidates count only the votes of those that they know to be voters.
func (c *Core) handleVoteRequest(now time.Time, m Message) {
	isPreVote := m.Kind == MessagePreVote
	upToDate := m.LogTerm > c.log.lastTerm() ||
		(m.LogTerm == c.log.lastTerm() && m.LogIndex >= c.log.last())
	grant := upToDate && m.Term >= c.hard.Term && c.isMember(c.config.ID)
	if isPreVote {
		grant = grant && m.Term > c.hard.Term
	} else {
		grant = grant && (c.hard.Vote == "" || c.hard.Vote == m.From)
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: !grant}
	if isPreVote {
		reply.Kind = MessagePreVoteReply
		if grant {
			reply.Term = m.Term
		}
	}
	if grant && !isPreVote {
		c.hard.Vote = m.From
		c.resetElection(now)
	}
	c.send(reply)
}

// handleVoteReply counts a granted vote. Rejections and replies of another
// phase or term are ignored.
func (c *Core) handleVoteReply(now time.Time, m Message) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	if c.inPreVote != (m.Kind == MessagePreVoteReply) {
		return
	}
	wantTerm := c.hard.Term
	if c.inPreVote {
		wantTerm++
	}
	if m.Term != wantTerm {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

// countVotes starts the vote phase or becomes leader if a quorum has granted
// its votes.
func (c *Core) countVotes(now time.Time) {
	granted := 0
	for _, id := range c.voters() {
		if c.votes[id] {
			granted++
		}
	}
	if granted < c.quorumSize() {
		return
	}
	if c.inPreVote {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader makes this replica the leader. It appends an empty entry,
// because entries of earlier terms are committed only through an entry of the
// current term.
func (c *Core) becomeLeader(now time.Time) {
	c.role = RoleLeader
	c.leader = c.config.ID
	c.progress = map[string]*progress{}
	for _, m := range c.members() {
		c.progress[m.ID] = &progress{next: c.log.last() + 1, lastReply: now}
	}
	c.appendEntry(EntryEmpty, nil)
	c.broadcast(now)
}
