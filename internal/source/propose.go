package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// proposal is a command that waits for its outcome.
type proposal struct {
	command ledger.Command
	objects []config.Object // All objects of a replacement; planReplacement computes the changes.
	// For replacements: the features that the configuration requires, and the error of its
	// CheckSupported.
	requires    []config.Feature
	unsupported error
	done        chan proposeResult // Buffered; receives one result.
	after       quorum.Index       // For parked proposals: propose it once this index is applied.
}

type proposeResult struct {
	outcome ledger.Outcome
	err     error
}

// pendingProposal is a proposal that is in the log but not yet applied.
type pendingProposal struct {
	term quorum.Term // Term in which the entry was appended.
	done chan proposeResult
}

// propose appends the command of p to the log if this replica leads. Otherwise,
// and if the outcome is already known, it sends the result at once.
func (c *consensus) propose(now time.Time, p *proposal) {
	if c.core.Role() != quorum.RoleLeader {
		p.done <- proposeResult{err: ErrNoLeader}
		return
	}
	if !c.checkSpace(now) {
		p.done <- c.diskFullResult(p.command)
		return
	}
	if p.command.Replace != nil {
		// Configurations are large: a resent one is not written to the log again.
		if out, ok := c.state.PreviousOutcome(p.command); ok {
			p.done <- proposeResult{outcome: out}
			return
		}
	}
	if c.mustWait(p) {
		c.park(p)
		return
	}
	if p.command.Replace != nil {
		if err := c.checkEnforced(p); err != nil {
			if p.after == 0 && c.core.Applied() < c.core.Last() {
				c.park(p) // The same request may be in the log and still get its first outcome.
				return
			}
			c.countRefusal(err)
			p.done <- proposeResult{err: err}
			return
		}
	}
	c.planReplacement(p)
	p.command.At, p.command.Rules = now.UTC().Round(0), ledger.CurrentRules
	data, err := encodeChecked(p.command)
	if err != nil {
		c.node.config.Counters.Add("changes_refused_invalid", 1)
		p.done <- proposeResult{outcome: c.state.Refuse(p.command, err)}
		return
	}
	index, term, err := c.core.Propose(data)
	if err != nil {
		p.done <- proposeResult{err: ErrNoLeader}
		return
	}
	c.pendingProposals[index] = pendingProposal{term: term, done: p.done}
}

// park keeps p until all present entries of the log are applied.
func (c *consensus) park(p *proposal) {
	p.after = c.core.Last()
	c.parkedProposals = append(c.parkedProposals, p)
}

// mustWait reports whether a replacement cannot be planned yet: it is based on a newer
// version than the one in force here, and the log has entries that this replica has not
// applied. After an election these may be all since the last snapshot. A replacement that
// is based on an older version is a conflict wherever it is applied.
func (c *consensus) mustWait(p *proposal) bool {
	r := p.command.Replace
	return r != nil && r.Base > c.state.Version() && c.core.Applied() < c.core.Last()
}

// proposeParked proposes the parked proposals again whose entries have been applied.
func (c *consensus) proposeParked(now time.Time) {
	parked := c.parkedProposals
	c.parkedProposals = nil
	for _, p := range parked {
		if c.core.Applied() < p.after {
			c.parkedProposals = append(c.parkedProposals, p)
			continue
		}
		c.propose(now, p)
	}
}

// encodeChecked returns the encoding of a valid command. It returns an error if a
// replica could not apply the command: committed, it could not be taken back.
func encodeChecked(command ledger.Command) ([]byte, error) {
	if err := command.Check(); err != nil {
		return nil, err
	}
	if command.Change != nil {
		// Not a part of Command.Check, by which replicas decide on entries of older builds.
		for _, o := range command.Change.Put {
			if err := o.CheckSupported(); err != nil {
				return nil, err
			}
		}
	}
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	_, err = ledger.DecodeCommand(data)
	return data, err
}

// diskFullResult returns the result of a command for which the disk has no room.
// A resent command gets its stored outcome. If proposals are pending, the
// result is ErrUnknown, because one of them may carry the same command.
func (c *consensus) diskFullResult(command ledger.Command) proposeResult {
	if out, ok := c.state.PreviousOutcome(command); ok {
		return proposeResult{outcome: out}
	}
	if len(c.pendingProposals) > 0 {
		return proposeResult{err: ErrUnknown}
	}
	c.node.config.Counters.Add("changes_refused_disk_full", 1)
	return proposeResult{err: ErrDiskFull}
}

// checkSpace reports whether the disk has room for changes. It returns true if
// the free space cannot be determined; if the disk is full then, saveOutput finds
// out. It queries the file system at most once per spaceCheckInterval.
func (c *consensus) checkSpace(now time.Time) bool {
	if now.Sub(c.spaceCheckedAt) < spaceCheckInterval {
		return c.hasSpace
	}
	free, err := c.node.config.FreeBytes(c.node.config.Disk.Folder)
	c.spaceCheckedAt = now
	c.hasSpace = err != nil || free >= c.node.config.MinFreeBytes
	return c.hasSpace
}

// failPendingProposals completes all pending proposals with ErrUnknown: a later
// leader may still commit them. Parked ones are not in the log and get ErrNoLeader.
func (c *consensus) failPendingProposals() {
	for _, p := range c.parkedProposals {
		p.done <- proposeResult{err: ErrNoLeader}
	}
	c.parkedProposals = nil
	for i, p := range c.pendingProposals {
		p.done <- proposeResult{err: ErrUnknown}
		delete(c.pendingProposals, i)
	}
}
