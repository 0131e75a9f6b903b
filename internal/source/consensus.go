package source

import (
	"errors"
	"time"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/queue"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// input is one thing for the consensus goroutine to do. Exactly one field is
// set.
type input struct {
	message *quorum.Message
	propose *proposal
	read    chan readResult
	join    *join
	inspect func(*consensus)
}

type proposal struct {
	command ledger.Command
	objects []config.Object    // All objects of a replacement, whose changes are still to be found.
	done    chan proposeResult // Buffered; receives one result.
}

type proposeResult struct {
	outcome ledger.Outcome
	err     error
}

type readResult struct {
	revision config.Revision
	err      error
}

type waiter struct {
	term quorum.Term
	done chan proposeResult
}

const (
	inputQueueSize     = 4096
	batchLimit         = 1024 // Inputs handled before one sync.
	ticksPerHeartbeat  = 4
	spaceCheckInterval = 200 * time.Millisecond
)

// consensus is the goroutine that owns the consensus core, the disk and the
// state machine.
type consensus struct {
	node           *Node
	core           *quorum.Core
	store          *disk.Store
	state          *ledger.State
	inputs         *queue.Queue[input]
	waiting        map[quorum.Index]waiter
	reading        map[uint64]chan readResult
	readID         uint64
	role           quorum.Role
	leader         string
	hasSpace       bool
	checkedSpaceAt time.Time
	members        uint64 // The change of members that the node knows of.
}

func newConsensus(n *Node, store *disk.Store, id string, start quorum.InitialState, now time.Time) (*consensus, error) {
	a := &consensus{
		node: n, store: store, state: ledger.New(),
		inputs:  queue.New[input](inputQueueSize),
		waiting: map[quorum.Index]waiter{},
		reading: map[uint64]chan readResult{},
	}
	if start.Snapshot != nil {
		state, err := ledger.Restore(start.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		a.state = state
	}
	t := n.config.Timing
	a.core = quorum.New(quorum.Config{ID: id, Heartbeat: t.Heartbeat, Election: t.Election}, start, now)
	a.publish()
	return a, nil
}

// run serves inputs until stop is closed.
func (a *consensus) run(stop <-chan struct{}) {
	ticker := time.NewTicker(a.node.config.Timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	defer a.store.Close()
	defer a.failAll()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		case in := <-a.inputs.Out():
			a.handle(in)
			a.drain()
		}
		now := a.node.config.Clock()
		a.core.Tick(now)
		if !a.flush(stop) {
			return
		}
		a.compact()
		a.noteMembers()
		a.noteRole(now)
		a.node.hub.SetLastContact(a.core.UpToDateAt(now))
	}
}

// drain handles what else is waiting, so that one sync serves many changes.
func (a *consensus) drain() {
	for range batchLimit {
		select {
		case in := <-a.inputs.Out():
			a.handle(in)
		default:
			return
		}
	}
}

func (a *consensus) handle(in input) {
	now := a.node.config.Clock()
	switch {
	case in.message != nil:
		if in.message.To == a.node.id {
			a.core.Step(now, *in.message)
		}
	case in.propose != nil:
		a.propose(now, in.propose)
	case in.read != nil:
		a.readID++
		a.reading[a.readID] = in.read
		a.core.Read(a.readID)
	case in.join != nil:
		in.join.done <- a.handleJoin(now, in.join)
	case in.inspect != nil:
		in.inspect(a)
	}
}

func (a *consensus) propose(now time.Time, p *proposal) {
	if a.core.Role() != quorum.RoleLeader {
		p.done <- proposeResult{err: ErrNoLeader}
		return
	}
	if !a.checkSpace(now) {
		p.done <- a.refuseFull(p.command)
		return
	}
	if p.command.Replace != nil {
		// A resent configuration is large, and need not pass the log again.
		if out, ok := a.state.PreviousOutcome(p.command); ok {
			p.done <- proposeResult{outcome: out}
			return
		}
	}
	a.plan(p)
	p.command.At = now.UTC().Round(0)
	data, err := p.command.Encode()
	if err != nil {
		p.done <- proposeResult{err: err}
		return
	}
	index, term, err := a.core.Propose(data)
	if err != nil {
		p.done <- proposeResult{err: ErrNoLeader}
		return
	}
	a.waiting[index] = waiter{term: term, done: p.done}
}

// refuseFull answers a command that there is no room for. One that has been
// decided already gets its answer; while others are on their way, it may be
// among them.
func (a *consensus) refuseFull(c ledger.Command) proposeResult {
	if out, ok := a.state.PreviousOutcome(c); ok {
		return proposeResult{outcome: out}
	}
	if len(a.waiting) > 0 {
		return proposeResult{err: ErrUnknown}
	}
	a.node.config.Counters.Add("changes_refused_disk_full", 1)
	return proposeResult{err: ErrDiskFull}
}

// checkSpace asks the file system at most once in spaceCheckInterval.
func (a *consensus) checkSpace(now time.Time) bool {
	if now.Sub(a.checkedSpaceAt) < spaceCheckInterval {
		return a.hasSpace
	}
	free, err := a.node.config.FreeBytes(a.node.config.Disk.Folder)
	a.checkedSpaceAt = now
	a.hasSpace = err != nil || free >= a.node.config.MinFreeBytes
	return a.hasSpace
}

// flush does all that the core asks for: sync, send, apply, answer. It returns
// false if the process has to end.
func (a *consensus) flush(stop <-chan struct{}) bool {
	if a.core.ReadsPending() > 0 {
		a.core.Heartbeat(a.node.config.Clock())
	}
	for {
		out := a.core.TakeOutput()
		if isEmpty(out) {
			return true
		}
		if !a.save(out, stop) {
			return false
		}
		if n := len(out.Append); n > 0 {
			a.core.Synced(out.Append[n-1].Index, a.node.config.Clock())
		}
		for _, m := range out.Messages {
			a.node.send(m)
		}
		a.install(out.Install)
		a.apply(out.Committed)
		a.answerReads(out.Reads)
	}
}

func isEmpty(o quorum.Output) bool {
	return o.Hard == nil && o.Install == nil && len(o.Append)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// save syncs. While the disk is full the replica falls silent, so that another
// one leads; what it already serves, it goes on serving.
func (a *consensus) save(out quorum.Output, stop <-chan struct{}) bool {
	for {
		err := a.store.Save(out)
		if err == nil {
			return true
		}
		if !errors.Is(err, disk.ErrFull) {
			a.node.config.Logger.Log("msg", "disk failed; the process ends", "err", err)
			a.node.config.Fatal(err)
			return false
		}
		a.node.config.Counters.Add("disk_full", 1)
		select {
		case <-stop:
			return false
		case <-time.After(spaceCheckInterval):
		}
	}
}

func (a *consensus) install(s *quorum.Snapshot) {
	if s == nil {
		return
	}
	state, err := ledger.Restore(s.Data)
	if err != nil {
		a.node.config.Fatal(err)
		return
	}
	a.state = state
	a.node.config.Counters.Add("snapshots_installed", 1)
	a.publish()
}

func (a *consensus) apply(entries []quorum.Entry) {
	before := a.state.Revision()
	for _, e := range entries {
		a.applyOne(e)
	}
	if a.state.Revision() > before {
		a.publish()
	}
}

func (a *consensus) applyOne(e quorum.Entry) {
	w, waited := a.waiting[e.Index]
	delete(a.waiting, e.Index)
	if waited && w.term != e.Term {
		w.done <- proposeResult{err: ErrNoLeader}
		waited = false
	}
	if e.Kind != quorum.EntryNormal {
		return
	}
	command, err := ledger.DecodeCommand(e.Data)
	if err != nil {
		a.node.config.Counters.Add("log_undecodable", 1)
		return
	}
	outcome := a.state.Apply(command)
	if !waited {
		return
	}
	w.done <- proposeResult{outcome: outcome}
	a.noteOutcome(command, outcome)
}

func (a *consensus) noteOutcome(c ledger.Command, o ledger.Outcome) {
	a.node.config.Counters.Add("changes_"+string(o.Status), 1)
	if o.Resent {
		a.node.config.Counters.Add("changes_resent", 1)
		return
	}
	kind, subject := describe(c)
	e := event.Event{Kind: kind + "-" + string(o.Status), Subject: subject, Request: c.Request, Text: o.Reason}
	if o.Status == ledger.StatusAccepted {
		e.Revision = o.Revision
		e.Text = "accepted from " + c.Operator
	}
	if c.Step != nil {
		e.Text = stepText(c.Step)
	}
	a.node.config.Events.Add(a.node.config.Clock(), e)
}

func (a *consensus) answerReads(results []quorum.ReadResult) {
	for _, r := range results {
		done := a.reading[r.ID]
		delete(a.reading, r.ID)
		if !r.OK {
			done <- readResult{err: ErrNoLeader}
			continue
		}
		done <- readResult{revision: a.state.Revision()}
	}
}

func (a *consensus) publish() {
	a.node.hub.Publish(a.state.Catalog().Clone(), a.state.Table())
}

// compact writes a snapshot once enough entries have been applied.
func (a *consensus) compact() {
	applied := a.core.Applied()
	if int(applied-a.core.SnapshotIndex()) < a.node.config.Timing.Snapshot {
		return
	}
	data, err := a.state.Snapshot()
	if err != nil {
		a.node.config.Logger.Log("msg", "snapshot failed", "err", err)
		return
	}
	s := quorum.Snapshot{Index: applied, Term: a.core.TermAt(applied), Members: a.core.MembersAt(applied), Data: data}
	a.core.Compact(s)
	err = a.store.Compact(s, a.core.HardState(), a.core.EntriesAfterSnapshot())
	if err != nil && !errors.Is(err, disk.ErrFull) {
		a.node.config.Fatal(err)
	}
	a.node.config.Counters.Add("snapshots_written", 1)
}

func (a *consensus) noteRole(now time.Time) {
	role, leader := a.core.Role(), a.core.Leader()
	if role == a.role && leader == a.leader {
		return
	}
	if role != quorum.RoleLeader && a.role == quorum.RoleLeader {
		a.failWaiting()
	}
	a.role, a.leader = role, leader
	a.node.setLeader(memberName(leader))
	a.node.config.Counters.Add("leader_changes", 1)
	a.node.config.Logger.Log("msg", "role changed", "role", role, "leader", memberName(leader), "term", a.core.Term())
	if role == quorum.RoleLeader {
		a.node.config.Events.Add(now, event.Event{Kind: "leader", Text: "leads the source"})
	}
}

// failWaiting answers proposals whose fate another leader decides.
func (a *consensus) failWaiting() {
	for i, w := range a.waiting {
		w.done <- proposeResult{err: ErrUnknown}
		delete(a.waiting, i)
	}
}

func (a *consensus) failAll() {
	a.failWaiting()
	for id, done := range a.reading {
		done <- readResult{err: ErrNoLeader}
		delete(a.reading, id)
	}
}
