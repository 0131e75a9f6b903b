package quorum

// pendingRead is a read that completes when a quorum has acknowledged its round
// or a later one.
type pendingRead struct {
	id    uint64
	index Index  // The commit index when the read was requested.
	round uint64 // The first round that started after the request.
}

// hasCommittedInTerm reports whether the leader has committed an entry of its
// own term. Before that it does not know which entries of earlier terms are
// committed.
func (c *Core) hasCommittedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.hard.Term
}

// Read starts a linearizable read, one that sees everything committed before
// the call. The result appears in Output.Reads under the same ID, once a quorum
// has confirmed that this replica still leads. It fails at once if this replica
// does not lead or has committed nothing in its term yet. A caller may shorten the wait
// for the quorum with StartRound.
func (c *Core) Read(id uint64) {
	if c.role != RoleLeader || !c.hasCommittedInTerm() {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: id})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.commit, round: c.round + 1})
	if len(c.voters()) == 1 {
		c.round++
		c.confirmReads()
	}
}

// confirmReads completes the pending reads whose round a quorum has
// acknowledged.
func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		r := c.reads[0]
		if c.countRoundAcks(r.round) < c.quorumSize() {
			return
		}
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Index: r.index, OK: true})
		c.reads = c.reads[1:]
	}
}

// countRoundAcks returns the number of voters that have acknowledged round or a
// later one, counting the leader itself.
func (c *Core) countRoundAcks(round uint64) int {
	count := 0
	for _, id := range c.voters() {
		if id == c.config.ID && c.round >= round {
			count++
		} else if p := c.progress[id]; p != nil && p.ackedRound >= round {
			count++
		}
	}
	return count
}

// failReads completes all pending reads as failed.
func (c *Core) failReads() {
	for _, r := range c.reads {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id})
	}
	c.reads = nil
}
