package quorum

// pendingRead waits for a quorum to answer a round that began after it.
type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// committedInTerm reports whether the leader has committed an entry of its
// own term. Before that it does not know how far the log is committed.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.hard.Term
}

// Read asks for a read that sees everything committed so far. The answer
// comes in Output.Reads once a quorum has confirmed that this replica still
// leads.
func (c *Core) Read(id uint64) {
	if c.role != RoleLeader || !c.committedInTerm() {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.commit, round: c.round + 1})
	if len(c.voters()) == 1 {
		c.round++
		c.confirmReads()
	}
}

// ReadsPending returns how many reads wait for a round. A caller that holds
// reads may begin the round at once with Heartbeat.
func (c *Core) ReadsPending() int { return len(c.reads) }

func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		r := c.reads[0]
		if c.roundQuorum(r.round) < c.quorum() {
			return
		}
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Index: r.index, OK: true})
		c.reads = c.reads[1:]
	}
}

// roundQuorum counts the voters that have answered round or a later one.
func (c *Core) roundQuorum(round uint64) int {
	count := 0
	for _, id := range c.voters() {
		if id == c.config.ID && c.round >= round {
			count++
		} else if p := c.progress[id]; p != nil && p.round >= round {
			count++
		}
	}
	return count
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id})
	}
	c.reads = nil
}
