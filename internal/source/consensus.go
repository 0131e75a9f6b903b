package source

import (
	"errors"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/queue"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// input is an item in the queue of the consensus goroutine. Exactly one field
// is set.
type input struct {
	message *quorum.Message
	propose *proposal
	read    *readRequest
	join    *joinRequest
	inspect func(*consensus) // Called in the consensus goroutine.
}

// readRequest asks for a confirmed read.
type readRequest struct {
	done chan readResult // Buffered; receives one result.
	// patient means that the read waits for the leader's next regular heartbeat.
	patient bool
}

type readResult struct {
	confirmedRead
	err error
}

// confirmedRead is a point in the log that includes everything that was committed
// before the read began.
type confirmedRead struct {
	revision config.Revision
	applied  quorum.Index // 0 if a leader of an older build confirmed the read.
	term     quorum.Term  // Of this replica if it confirmed the read and still leads; 0 otherwise.
	// retired holds the retirements by host; set by confirmRetirements only.
	retired map[string][]directory.Retirement
}

const (
	maxQueuedInputs   = 4096
	maxBatchInputs    = 1024 // Inputs handled before one sync to disk.
	ticksPerHeartbeat = 4
	// spaceCheckInterval is the minimum time between two checks of free disk
	// space, and the pause before a write to a full disk is retried.
	spaceCheckInterval = 200 * time.Millisecond
	// slowRound is the duration of a round from which on it is logged.
	slowRound = 150 * time.Millisecond
)

// consensus owns the consensus core, the data folder and the replicated state
// machine. Only the goroutine that executes run uses them; other goroutines send
// inputs.
type consensus struct {
	node             *Node
	core             *quorum.Core
	store            *disk.Store
	state            *ledger.State
	inputs           *queue.Queue[input]
	pendingProposals map[quorum.Index]pendingProposal
	parkedProposals  []*proposal // Not in the log; see mustWait.
	pendingReads     map[uint64]*readRequest
	urgentReads      int // Of pendingReads, those that are not patient.
	lastReadID       uint64
	role             quorum.Role
	leader           string
	hasSpace         bool
	spaceCheckedAt   time.Time
	membersVersion   uint64 // MembersVersion of the member list that was last passed to the node.
	roundStart       time.Time
}

// newConsensus restores the state machine from the snapshot in start, if there
// is one, and publishes it to the hub. id is the member ID of this replica.
func newConsensus(n *Node, store *disk.Store, id string, start quorum.InitialState, now time.Time) (*consensus, error) {
	c := &consensus{
		node: n, store: store, state: ledger.New(),
		inputs:           queue.New[input](maxQueuedInputs),
		pendingProposals: map[quorum.Index]pendingProposal{},
		pendingReads:     map[uint64]*readRequest{},
	}
	if start.Snapshot != nil {
		state, err := ledger.Restore(start.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		c.state = state
	}
	timing := n.config.Timing
	c.core = quorum.New(quorum.Config{ID: id, Heartbeat: timing.Heartbeat, Election: timing.Election}, start, now)
	c.publish()
	return c, nil
}

// run handles inputs until stop is closed or the disk fails. It closes the store
// and fails all pending proposals and reads when it returns.
func (c *consensus) run(stop <-chan struct{}) {
	ticker := time.NewTicker(c.node.config.Timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	defer c.store.Close()
	defer c.failPending()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.roundStart = c.node.config.Clock()
		case in := <-c.inputs.Out():
			c.roundStart = c.node.config.Clock()
			c.handle(in)
		}
		// Also before a tick: silence counts only if no message waits.
		c.handleQueued()
		now := c.node.config.Clock()
		c.core.Tick(now)
		if !c.processOutput(stop) {
			return
		}
		if len(c.parkedProposals) > 0 {
			c.proposeParked(now)
			if !c.processOutput(stop) {
				return
			}
		}
		c.compact()
		c.updateMembers()
		c.updateRole(now)
		c.node.hub.SetLastContact(c.core.UpToDateAt(now))
		c.recordRound(c.node.config.Clock())
	}
}

// recordRound records how long the goroutine was busy with the round that ends at now.
// Meanwhile it has neither received nor sent a message.
func (c *consensus) recordRound(now time.Time) {
	took := now.Sub(c.roundStart)
	c.node.config.Counters.Observe("consensus_round", "role", c.role.String(), took)
	if took < slowRound {
		return
	}
	c.node.config.Counters.Add("consensus_slow_rounds", 1)
	c.node.config.Logger.Log("msg", "a round of the consensus was slow", "took", took, "role", c.role,
		"applied", c.core.Applied(), "last", c.core.Last(), "queued", len(c.inputs.Out()))
}

// handleQueued handles up to maxBatchInputs inputs that are already queued, so
// that one sync to disk covers many changes.
func (c *consensus) handleQueued() {
	for range maxBatchInputs {
		select {
		case in := <-c.inputs.Out():
			c.handle(in)
		default:
			return
		}
	}
}

func (c *consensus) handle(in input) {
	now := c.node.config.Clock()
	switch {
	case in.message != nil:
		if in.message.To == c.node.id {
			c.core.Step(now, *in.message)
		}
	case in.propose != nil:
		c.propose(now, in.propose)
	case in.read != nil:
		c.lastReadID++
		c.pendingReads[c.lastReadID] = in.read
		if !in.read.patient {
			c.urgentReads++
		}
		c.core.Read(c.lastReadID)
	case in.join != nil:
		in.join.done <- c.handleJoin(now, in.join)
	case in.inspect != nil:
		in.inspect(c)
	}
}

// processOutput carries out the outputs of the core until there are none: it
// syncs records, sends messages, applies committed entries and completes reads.
// It returns false if the consensus goroutine must end.
func (c *consensus) processOutput(stop <-chan struct{}) bool {
	if c.urgentReads > 0 {
		c.core.StartRound(c.node.config.Clock())
	}
	for {
		out := c.core.TakeOutput()
		if isEmpty(out) {
			return true
		}
		if !c.saveOutput(out, stop) {
			return false
		}
		if n := len(out.Append); n > 0 {
			c.core.MarkSynced(out.Append[n-1].Index, c.node.config.Clock())
		}
		for _, m := range out.Messages {
			c.node.send(m)
		}
		c.installSnapshot(out.InstallSnapshot)
		c.applyEntries(out.Committed)
		c.completeReads(out.Reads)
	}
}

func isEmpty(o quorum.Output) bool {
	return o.Hard == nil && o.InstallSnapshot == nil && len(o.Append)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// saveOutput syncs the records of out to disk. While the disk is full it retries
// and blocks the consensus goroutine: the replica sends no messages, so that
// another one is elected, but still serves the configuration that it has
// published. saveOutput returns false if stop is closed or the disk failed.
func (c *consensus) saveOutput(out quorum.Output, stop <-chan struct{}) bool {
	for {
		err := c.store.Save(out)
		if err == nil {
			return true
		}
		if !errors.Is(err, disk.ErrFull) {
			c.node.config.Logger.Log("msg", "saving records to disk failed; the process exits", "err", err)
			c.node.config.Fatal(err)
			return false
		}
		c.node.config.Counters.Add("disk_full", 1)
		select {
		case <-stop:
			return false
		case <-time.After(spaceCheckInterval):
		}
	}
}

// installSnapshot replaces the state machine by a snapshot that the leader sent.
// A nil snapshot changes nothing.
func (c *consensus) installSnapshot(s *quorum.Snapshot) {
	if s == nil {
		return
	}
	state, err := ledger.Restore(s.Data)
	if err != nil {
		c.node.config.Fatal(err)
		return
	}
	c.state = state
	c.node.config.Counters.Add("snapshots_installed", 1)
	c.publish()
}

func (c *consensus) applyEntries(entries []quorum.Entry) {
	before := c.state.Revision()
	for _, e := range entries {
		c.applyEntry(e)
	}
	if c.state.Revision() > before {
		c.publish()
	}
}

// applyEntry applies a committed entry and completes the proposal that waits for
// it. A proposal from another term gets ErrNoLeader: another leader's entry took
// its place in the log.
//
// A command that cannot be decoded is counted and skipped. Decoding depends on
// the entry alone, so replicas of the same build skip the same entries. A
// proposal that waits for it gets no result and times out.
func (c *consensus) applyEntry(e quorum.Entry) {
	pending, found := c.pendingProposals[e.Index]
	delete(c.pendingProposals, e.Index)
	if found && pending.term != e.Term {
		pending.done <- proposeResult{err: ErrNoLeader}
		found = false
	}
	if e.Kind != quorum.EntryNormal {
		return
	}
	command, err := ledger.DecodeCommand(e.Data)
	if err != nil {
		c.node.config.Counters.Add("log_undecodable", 1)
		return
	}
	outcome := c.state.Apply(command)
	if !found {
		return
	}
	pending.done <- proposeResult{outcome: outcome}
	c.recordOutcome(command, outcome)
}

// recordOutcome counts the outcome of a command proposed on this replica and
// adds an event, unless the command was resent.
func (c *consensus) recordOutcome(command ledger.Command, outcome ledger.Outcome) {
	if command.Retire != nil {
		c.node.config.Counters.Add("upstreams_retired", 1)
		return // The daemon has added the event.
	}
	c.node.config.Counters.Add("changes_"+string(outcome.Status), 1)
	if outcome.Resent {
		c.node.config.Counters.Add("changes_resent", 1)
		return
	}
	kind, subject := describeCommand(command)
	e := event.Event{Kind: kind + "-" + string(outcome.Status), Subject: subject, Request: command.Request, Text: outcome.Reason}
	if outcome.Status == ledger.StatusAccepted {
		e.Revision = outcome.Revision
		e.Text = "accepted from " + command.Operator
	}
	if command.Step != nil {
		e.Text = stepText(command.Step)
	}
	c.node.config.Events.Add(c.node.config.Clock(), e)
}

// completeReads sends the results of reads. By then all entries that were
// committed before the read have been applied.
func (c *consensus) completeReads(results []quorum.ReadResult) {
	term := quorum.Term(0)
	if c.core.Role() == quorum.RoleLeader {
		term = c.core.Term()
	}
	for _, r := range results {
		request := c.pendingReads[r.ID]
		delete(c.pendingReads, r.ID)
		if !request.patient {
			c.urgentReads--
		}
		if !r.OK {
			request.done <- readResult{err: ErrNoLeader}
			continue
		}
		request.done <- readResult{confirmedRead: confirmedRead{revision: c.state.Revision(), applied: c.core.Applied(), term: term}}
	}
}

// publish puts the configuration of the state machine in force in the hub.
func (c *consensus) publish() {
	c.node.hub.Publish(c.state.Catalog().Clone(), c.state.Table())
}

// compact writes a snapshot and truncates the log once
// Timing.SnapshotEntries entries have been applied since the last snapshot.
func (c *consensus) compact() {
	applied := c.core.Applied()
	if int(applied-c.core.SnapshotIndex()) < c.node.config.Timing.SnapshotEntries {
		return
	}
	data, err := c.state.Snapshot()
	if err != nil {
		c.node.config.Logger.Log("msg", "encoding the snapshot failed", "err", err)
		return
	}
	s := quorum.Snapshot{Index: applied, Term: c.core.TermAt(applied), Members: c.core.MembersAt(applied), Data: data}
	c.core.Compact(s)
	err = c.store.Compact(s, c.core.HardState(), c.core.EntriesAfterSnapshot())
	// If the disk is full, the replica can still restart from its data folder: it
	// holds the previous snapshot or the new one, and the old log. The next
	// snapshot replaces both.
	if err != nil && !errors.Is(err, disk.ErrFull) {
		c.node.config.Fatal(err)
	}
	c.node.config.Counters.Add("snapshots_written", 1)
}

// updateRole passes a change of role or leader on to the node and fails the
// pending proposals of a replica that no longer leads.
func (c *consensus) updateRole(now time.Time) {
	role, leader := c.core.Role(), c.core.Leader()
	if role == c.role && leader == c.leader {
		return
	}
	if role != quorum.RoleLeader && c.role == quorum.RoleLeader {
		c.failPendingProposals()
	}
	c.role, c.leader = role, leader
	c.node.setLeader(memberName(leader))
	c.node.config.Counters.Add("leader_changes", 1)
	c.node.config.Logger.Log("msg", "role changed", "role", role, "leader", memberName(leader), "term", c.core.Term())
	if role == quorum.RoleLeader {
		c.node.config.Events.Add(now, event.Event{Kind: "leader", Text: "leads the source"})
	}
}

// failPending completes all pending proposals and reads with an error.
func (c *consensus) failPending() {
	c.failPendingProposals()
	for id, request := range c.pendingReads {
		request.done <- readResult{err: ErrNoLeader}
		delete(c.pendingReads, id)
	}
}
