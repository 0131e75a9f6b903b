package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

// replica is a core and its simulated disk. The disk keeps only what was
// synced.
type replica struct {
	core     *quorum.Core
	hard     quorum.HardState // On disk.
	entries  []quorum.Entry   // On disk, after the snapshot.
	snapshot *quorum.Snapshot // On disk, or nil.
	applied  []string         // Hexadecimal commands in the order in which they were applied.
	down     bool             // Not running.
	diskLost bool
}

// group simulates replicas under a random schedule. Messages are lost,
// duplicated and reordered. Replicas are isolated, frozen for short times,
// killed and restarted.
type group struct {
	t                *testing.T
	random           *rand.Rand
	now              time.Time
	ids              []string
	replicas         map[string]*replica
	network          []quorum.Message // Messages in transit.
	isolated         map[string]bool  // Replicas whose messages are dropped in both directions.
	leaderByTerm     map[quorum.Term]string
	committed        map[quorum.Index]string // The first command applied at each index.
	proposed         int                     // Number of commands proposed so far.
	reads            map[uint64]pendingRead  // Started and not completed, by read ID.
	nextRead         uint64
	lossRate         float64           // Fraction of messages that are lost.
	replacements     map[string]string // New IDs of replicas that lost their disk, by old ID.
	diskLosses       int               // Number of disks lost so far.
	initialMembers   []quorum.Member
	proposalsStopped bool
	killsDisabled    bool
	killsOneAtATime  bool // processOutput kills a replica only if all others are up and all lost members are replaced.
}

// pendingRead is a read that was started and has not completed.
type pendingRead struct {
	minIndex quorum.Index // The highest index that any replica knew to be committed when the read started.
}

const (
	heartbeat = 10 * time.Millisecond
	election  = 60 * time.Millisecond
)

// newGroup starts a group of size voters. The same seed gives the same
// schedule.
func newGroup(t *testing.T, seed uint64, size int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		replicas: map[string]*replica{}, isolated: map[string]bool{},
		leaderByTerm: map[quorum.Term]string{}, committed: map[quorum.Index]string{},
		reads: map[uint64]pendingRead{}, lossRate: 0.05, replacements: map[string]string{},
	}
	for i := range size {
		g.ids = append(g.ids, fmt.Sprintf("r%d", i))
	}
	for _, id := range g.ids {
		g.initialMembers = append(g.initialMembers, quorum.Member{ID: id, Voter: true})
	}
	for _, id := range g.ids {
		g.replicas[id] = &replica{}
		g.restart(id)
	}
	return g
}

// bootstrapMembers returns the members that a replica starts with if its disk
// holds no log.
func (g *group) bootstrapMembers() []quorum.Member { return g.initialMembers }

// restart starts a replica from its disk. Only a founding member knows the
// other members without a log.
func (g *group) restart(id string) {
	members := g.bootstrapMembers()
	if !slices.Contains(members, quorum.Member{ID: id, Voter: true}) {
		members = nil
	}
	g.start(id, members)
}

// start starts a replica from its disk. Members are used only if the disk holds
// no member list.
func (g *group) start(id string, members []quorum.Member) {
	r := g.replicas[id]
	r.down = false
	r.applied = nil
	if r.snapshot != nil {
		r.applied = slices.Clone(decode(r.snapshot.Data))
	}
	r.core = quorum.New(quorum.Config{ID: id, Heartbeat: heartbeat, Election: election, BatchSize: 4},
		quorum.InitialState{Hard: r.hard, Snapshot: r.snapshot, Entries: slices.Clone(r.entries), Members: members}, g.now)
}

// encode returns the applied commands as snapshot data; decode reverses it.
func encode(applied []string) []byte { return []byte(fmt.Sprint(len(applied)) + "|" + join(applied)) }

func join(commands []string) string {
	s := ""
	for _, a := range commands {
		s += a + ","
	}
	return s
}

func decode(data []byte) []string {
	var count int
	var rest string
	fmt.Sscanf(string(data), "%d|%s", &count, &rest)
	var commands []string
	command := ""
	for _, c := range rest {
		if c == ',' {
			commands = append(commands, command)
			command = ""
			continue
		}
		command += string(c)
	}
	return commands
}

// step advances the clock by 1 to 4 ms, ticks the replicas, delivers messages
// and sometimes proposes a command or starts a read.
func (g *group) step() {
	g.now = g.now.Add(time.Duration(1+g.random.IntN(4)) * time.Millisecond)
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down || g.random.Float64() < 0.02 { // A skipped tick is a short freeze.
			continue
		}
		r.core.Tick(g.now)
		g.processOutput(id)
	}
	g.deliver()
	if !g.proposalsStopped && g.random.Float64() < 0.3 {
		g.propose()
	}
	if g.random.Float64() < 0.1 {
		g.beginRead()
	}
}

// injectFault picks a random replica. It restarts it if it is down, and
// otherwise kills it, isolates or reconnects it, compacts its log or does
// nothing.
func (g *group) injectFault() {
	id := g.ids[g.random.IntN(len(g.ids))]
	r := g.replicas[id]
	switch {
	case r.down:
		g.restart(id)
	case g.random.Float64() < 0.4:
		r.down = true // Anything not synced is lost.
	case g.random.Float64() < 0.5:
		g.isolated[id] = !g.isolated[id]
	case r.core.Applied() > 0:
		g.compact(id)
	}
}

// compact takes a snapshot of what a replica has applied and removes the
// entries that it covers.
func (g *group) compact(id string) {
	r := g.replicas[id]
	at := r.core.Applied()
	s := quorum.Snapshot{Index: at, Term: r.core.TermAt(at), Members: r.core.MembersAt(at), Data: encode(r.applied)}
	r.core.Compact(s)
	r.snapshot = &s
	r.entries = r.core.EntriesAfterSnapshot()
}

// processOutput carries out what a core requires of its caller: sync, send,
// apply. Sometimes it kills the replica before the sync.
func (g *group) processOutput(id string) {
	r := g.replicas[id]
	for {
		out := r.core.TakeOutput()
		if out.Hard == nil && out.InstallSnapshot == nil && len(out.Append)+len(out.Messages)+len(out.Committed)+len(out.Reads) == 0 {
			break
		}
		if g.killAllowed() && g.random.Float64() < 0.002 {
			r.down = true // Killed before the sync.
			return
		}
		g.persist(r, out)
		g.network = append(g.network, out.Messages...)
		if out.InstallSnapshot != nil {
			r.applied = slices.Clone(decode(out.InstallSnapshot.Data))
		}
		for _, e := range out.Committed {
			g.apply(id, r, e)
		}
		for _, result := range out.Reads {
			g.endRead(result)
		}
	}
	g.checkLeader(id, r)
}

// killAllowed reports whether processOutput may kill a replica.
func (g *group) killAllowed() bool {
	return !g.killsDisabled && (!g.killsOneAtATime || g.allUp() && g.lostMembersReplaced())
}

// persist writes the records of out to the simulated disk and reports them as
// synced.
func (g *group) persist(r *replica, out quorum.Output) {
	if out.Hard != nil {
		r.hard = *out.Hard
	}
	if out.InstallSnapshot != nil {
		r.snapshot = out.InstallSnapshot
		r.entries = nil
	}
	for _, e := range out.Append {
		base := quorum.Index(0)
		if r.snapshot != nil {
			base = r.snapshot.Index
		}
		keep := int(e.Index - base - 1)
		if keep > len(r.entries) {
			g.t.Fatalf("entry %d does not follow the log, which holds %d entries after index %d", e.Index, len(r.entries), base)
		}
		r.entries = append(r.entries[:keep:keep], e)
	}
	if n := len(out.Append); n > 0 {
		r.core.MarkSynced(out.Append[n-1].Index, g.now)
	}
}

// apply fails the test if another command was applied at the same index before.
func (g *group) apply(id string, r *replica, e quorum.Entry) {
	command := fmt.Sprintf("%d:%s", e.Kind, e.Data)
	if committed, ok := g.committed[e.Index]; ok && committed != command {
		g.t.Fatalf("%s applies %q at index %d, expected the committed command %q", id, command, e.Index, committed)
	}
	g.committed[e.Index] = command
	r.applied = append(r.applied, fmt.Sprintf("%x", command))
}

// checkLeader fails the test if another replica has led in the same term.
func (g *group) checkLeader(id string, r *replica) {
	if r.core.Role() != quorum.RoleLeader {
		return
	}
	term := r.core.Term()
	if other, ok := g.leaderByTerm[term]; ok && other != id {
		g.t.Fatalf("term %d has two leaders, %s and %s", term, other, id)
	}
	g.leaderByTerm[term] = id
}

// deliver shuffles the messages in transit and delivers a random number of
// them. Some are dropped, some are delivered twice.
func (g *group) deliver() {
	g.random.Shuffle(len(g.network), func(i, j int) { g.network[i], g.network[j] = g.network[j], g.network[i] })
	count := g.random.IntN(len(g.network) + 1)
	due := g.network[:count]
	g.network = slices.Clone(g.network[count:])
	for _, m := range due {
		r := g.replicas[m.To]
		if r == nil || r.down || g.isolated[m.From] || g.isolated[m.To] || g.random.Float64() < g.lossRate {
			continue
		}
		if g.random.Float64() < 0.05 {
			g.network = append(g.network, m) // A duplicate.
		}
		r.core.Step(g.now, m)
		g.processOutput(m.To)
	}
}

// propose proposes a new command at every replica; only leaders accept it.
func (g *group) propose() {
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down {
			continue
		}
		g.proposed++
		if _, _, err := r.core.Propose([]byte(fmt.Sprintf("c%d", g.proposed))); err == nil {
			g.processOutput(id)
		}
	}
}

// beginRead starts a read at every replica that considers itself the leader.
func (g *group) beginRead() {
	newest := quorum.Index(0)
	for i := range g.committed {
		newest = max(newest, i)
	}
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down || r.core.Role() != quorum.RoleLeader {
			continue
		}
		g.nextRead++
		g.reads[g.nextRead] = pendingRead{minIndex: newest}
		r.core.Read(g.nextRead)
		g.processOutput(id)
	}
}

// endRead fails the test if a confirmed read misses an entry that was committed
// before the read started.
func (g *group) endRead(result quorum.ReadResult) {
	r := g.reads[result.ID]
	delete(g.reads, result.ID)
	if result.OK && result.Index < r.minIndex {
		g.t.Fatalf("a confirmed read covers index %d, expected at least %d, which was committed before it started", result.Index, r.minIndex)
	}
}

// loseDisk removes a replica with its disk and starts one with an empty disk
// under a new ID, which is not a member yet.
func (g *group) loseDisk(id string) {
	g.replicas[id].down = true
	g.replicas[id].diskLost = true
	newID := fmt.Sprintf("%s+", id)
	g.ids = slices.DeleteFunc(g.ids, func(o string) bool { return o == id })
	g.ids = append(g.ids, newID)
	g.replicas[newID] = &replica{}
	g.start(newID, nil)
	g.replacements[id] = newID
	for oldID, replaced := range g.replacements {
		if replaced == id {
			delete(g.replacements, oldID) // That member was replaced by the one lost now.
		}
	}
	g.diskLosses++
}

// replaceLostMembers proposes, at every leader, the next step of replacing the
// lost members.
func (g *group) replaceLostMembers() {
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down || r.core.Role() != quorum.RoleLeader {
			continue
		}
		for oldID, newID := range g.replacements {
			g.replaceLostMember(r, oldID, newID)
		}
		g.processOutput(id)
	}
}

// replaceLostMember proposes one step: remove the old member, add the new one
// as a learner, then make it a voter. Rejected proposals are retried with the
// next call.
func (g *group) replaceLostMember(leader *replica, oldID, newID string) {
	members := leader.core.Members()
	oldAt := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == oldID })
	learnerAt := slices.Index(members, quorum.Member{ID: newID})
	switch {
	case oldAt >= 0:
		leader.core.ProposeMembers(slices.Delete(members, oldAt, oldAt+1))
	case slices.Contains(members, quorum.Member{ID: newID, Voter: true}):
	case learnerAt < 0:
		leader.core.ProposeMembers(append(members, quorum.Member{ID: newID}))
	default:
		members[learnerAt].Voter = true
		leader.core.ProposeMembers(members)
	}
}

// lostMembersReplaced reports whether a committed member list contains every
// replacement as a voter.
func (g *group) lostMembersReplaced() bool {
	for _, newID := range g.replacements {
		done := false
		for _, id := range g.ids {
			r := g.replicas[id]
			if !r.down && slices.Contains(r.core.MembersAt(r.core.Commit()), quorum.Member{ID: newID, Voter: true}) {
				done = true
			}
		}
		if !done {
			return false
		}
	}
	return true
}

// healAndCheck ends all faults, lets the group run, and fails the test unless
// all replicas have applied the same commands.
func (g *group) healAndCheck() {
	g.lossRate = 0
	g.killsDisabled = true
	for _, id := range g.ids {
		g.isolated[id] = false
		if g.replicas[id].down {
			g.restart(id)
		}
	}
	for range 1000 {
		g.step()
	}
	g.proposalsStopped = true
	for range 1000 {
		g.step()
	}
	longest := 0
	for _, id := range g.ids {
		longest = max(longest, len(g.replicas[id].applied))
	}
	for _, id := range g.ids {
		applied := g.replicas[id].applied
		if len(applied) != longest {
			g.t.Fatalf("%s has applied %d of %d commands after all faults ended", id, len(applied), longest)
		}
		for i, a := range applied {
			for _, other := range g.ids {
				o := g.replicas[other].applied
				if i < len(o) && o[i] != a {
					g.t.Fatalf("%s and %s have applied different commands at position %d", id, other, i)
				}
			}
		}
	}
	if len(g.committed) == 0 {
		g.t.Fatal("no command was committed")
	}
}
