package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

// replica is a core with a disk that holds what was synced.
type replica struct {
	core    *quorum.Core
	hard    quorum.HardState
	entries []quorum.Entry
	snap    *quorum.Snapshot
	applied []string // Commands in the order of their application.
	down    bool
	gone    bool // Its disk is lost.
}

// group runs cores under a random schedule: messages are lost, repeated and
// overtake each other, replicas are cut off, frozen, killed and restarted.
type group struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	ids       []string
	replicas  map[string]*replica
	network   []quorum.Message
	cut       map[string]bool
	leaders   map[quorum.Term]string
	committed map[quorum.Index]string // The first command seen committed there.
	proposed  int
	reads     map[uint64]read
	nextRead  uint64
	loss      float64
	lost      map[string]string // Lost members and those that replace them.
	losses    int
	founders  []quorum.Member
	quiet     bool // Nothing new is proposed.
	calm      bool // Nobody is killed.
	careful   bool // Nobody is killed unless all others are up.
}

type read struct {
	commit quorum.Index // What anyone knew to be committed when it began.
}

const (
	heartbeat = 10 * time.Millisecond
	election  = 60 * time.Millisecond
)

func newGroup(t *testing.T, seed uint64, size int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		replicas: map[string]*replica{}, cut: map[string]bool{},
		leaders: map[quorum.Term]string{}, committed: map[quorum.Index]string{},
		reads: map[uint64]read{}, loss: 0.05, lost: map[string]string{},
	}
	for i := range size {
		g.ids = append(g.ids, fmt.Sprintf("r%d", i))
	}
	for _, id := range g.ids {
		g.founders = append(g.founders, quorum.Member{ID: id, Voter: true})
	}
	for _, id := range g.ids {
		g.replicas[id] = &replica{}
		g.startAgain(id)
	}
	return g
}

// first returns the members that a replica of the first start knows without a
// log.
func (g *group) first() []quorum.Member { return g.founders }

func (g *group) startAgain(id string) {
	members := g.first()
	if !slices.Contains(members, quorum.Member{ID: id, Voter: true}) {
		members = nil
	}
	g.start(id, members)
}

func (g *group) start(id string, members []quorum.Member) {
	r := g.replicas[id]
	r.down = false
	r.applied = nil
	if r.snap != nil {
		r.applied = slices.Clone(decode(r.snap.Data))
	}
	r.core = quorum.New(quorum.Config{ID: id, Heartbeat: heartbeat, Election: election, BatchSize: 4},
		quorum.InitialState{Hard: r.hard, Snapshot: r.snap, Entries: slices.Clone(r.entries), Members: members}, g.now)
}

func encode(applied []string) []byte { return []byte(fmt.Sprint(len(applied)) + "|" + join(applied)) }

func join(all []string) string {
	s := ""
	for _, a := range all {
		s += a + ","
	}
	return s
}

func decode(data []byte) []string {
	var count int
	var rest string
	fmt.Sscanf(string(data), "%d|%s", &count, &rest)
	var all []string
	word := ""
	for _, c := range rest {
		if c == ',' {
			all = append(all, word)
			word = ""
			continue
		}
		word += string(c)
	}
	return all
}

// step lets a little time pass and a few things happen.
func (g *group) step() {
	g.now = g.now.Add(time.Duration(1+g.random.IntN(4)) * time.Millisecond)
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down || g.random.Float64() < 0.02 { // A skipped tick is a short freeze.
			continue
		}
		r.core.Tick(g.now)
		g.flush(id)
	}
	g.deliver()
	if !g.quiet && g.random.Float64() < 0.3 {
		g.propose()
	}
	if g.random.Float64() < 0.1 {
		g.beginRead()
	}
}

// disturb kills, restarts, cuts off and heals replicas, but leaves a quorum up
// most of the time.
func (g *group) disturb() {
	id := g.ids[g.random.IntN(len(g.ids))]
	r := g.replicas[id]
	switch {
	case r.down:
		g.startAgain(id)
	case g.random.Float64() < 0.4:
		r.down = true // What was not synced is gone with it.
	case g.random.Float64() < 0.5:
		g.cut[id] = !g.cut[id]
	case r.core.Applied() > 0:
		g.compact(id)
	}
}

func (g *group) compact(id string) {
	r := g.replicas[id]
	at := r.core.Applied()
	s := quorum.Snapshot{Index: at, Term: r.core.TermAt(at), Members: r.core.MembersAt(at), Data: encode(r.applied)}
	r.core.Compact(s)
	r.snap = &s
	r.entries = r.core.EntriesAfterSnapshot()
}

// flush does what a replica's caller has to do: sync, send, apply.
func (g *group) flush(id string) {
	r := g.replicas[id]
	for {
		out := r.core.TakeOutput()
		if out.Hard == nil && out.Install == nil && len(out.Append)+len(out.Messages)+len(out.Committed)+len(out.Reads) == 0 {
			break
		}
		if g.mayKill() && g.random.Float64() < 0.002 {
			r.down = true // Killed before the sync.
			return
		}
		g.sync(r, out)
		g.network = append(g.network, out.Messages...)
		if out.Install != nil {
			r.applied = slices.Clone(decode(out.Install.Data))
		}
		for _, e := range out.Committed {
			g.apply(id, r, e)
		}
		for _, answer := range out.Reads {
			g.endRead(answer)
		}
	}
	g.checkLeader(id, r)
}

func (g *group) mayKill() bool {
	return !g.calm && (!g.careful || g.allUp() && g.repaired())
}

func (g *group) sync(r *replica, out quorum.Output) {
	if out.Hard != nil {
		r.hard = *out.Hard
	}
	if out.Install != nil {
		r.snap = out.Install
		r.entries = nil
	}
	for _, e := range out.Append {
		base := quorum.Index(0)
		if r.snap != nil {
			base = r.snap.Index
		}
		keep := int(e.Index - base - 1)
		if keep > len(r.entries) {
			g.t.Fatalf("entry %d appended behind %d entries from %d on", e.Index, len(r.entries), base)
		}
		r.entries = append(r.entries[:keep:keep], e)
	}
	if n := len(out.Append); n > 0 {
		r.core.Synced(out.Append[n-1].Index, g.now)
	}
}

func (g *group) apply(id string, r *replica, e quorum.Entry) {
	command := fmt.Sprintf("%d:%s", e.Kind, e.Data)
	if first, ok := g.committed[e.Index]; ok && first != command {
		g.t.Fatalf("%s applies %q at %d, where %q was committed", id, command, e.Index, first)
	}
	g.committed[e.Index] = command
	r.applied = append(r.applied, fmt.Sprintf("%x", command))
}

func (g *group) checkLeader(id string, r *replica) {
	if r.core.Role() != quorum.RoleLeader {
		return
	}
	term := r.core.Term()
	if other, ok := g.leaders[term]; ok && other != id {
		g.t.Fatalf("term %d has two leaders, %s and %s", term, other, id)
	}
	g.leaders[term] = id
}

func (g *group) deliver() {
	g.random.Shuffle(len(g.network), func(i, j int) { g.network[i], g.network[j] = g.network[j], g.network[i] })
	count := g.random.IntN(len(g.network) + 1)
	now := g.network[:count]
	g.network = slices.Clone(g.network[count:])
	for _, m := range now {
		r := g.replicas[m.To]
		if r == nil || r.down || g.cut[m.From] || g.cut[m.To] || g.random.Float64() < g.loss {
			continue
		}
		if g.random.Float64() < 0.05 {
			g.network = append(g.network, m) // It comes once more.
		}
		r.core.Step(g.now, m)
		g.flush(m.To)
	}
}

func (g *group) propose() {
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down {
			continue
		}
		g.proposed++
		if _, _, err := r.core.Propose([]byte(fmt.Sprintf("c%d", g.proposed))); err == nil {
			g.flush(id)
		}
	}
}

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
		g.reads[g.nextRead] = read{commit: newest}
		r.core.Read(g.nextRead)
		g.flush(id)
	}
}

func (g *group) endRead(answer quorum.ReadResult) {
	r := g.reads[answer.ID]
	delete(g.reads, answer.ID)
	if answer.OK && answer.Index < r.commit {
		g.t.Fatalf("a confirmed read sees %d, but %d had been committed before it began", answer.Index, r.commit)
	}
}

// loseDisk wipes a replica. It comes back under a new ID that nobody has made a
// member yet.
func (g *group) loseDisk(id string) {
	g.replicas[id].down = true
	g.replicas[id].gone = true
	fresh := fmt.Sprintf("%s+", id)
	g.ids = slices.DeleteFunc(g.ids, func(o string) bool { return o == id })
	g.ids = append(g.ids, fresh)
	g.replicas[fresh] = &replica{}
	g.start(fresh, nil)
	g.lost[id] = fresh
	for old, replaced := range g.lost {
		if replaced == id {
			delete(g.lost, old) // It has been replaced already, by the one lost now.
		}
	}
	g.losses++
}

// repair has the leader replace lost members, one change at a time.
func (g *group) repair() {
	for _, id := range g.ids {
		r := g.replicas[id]
		if r.down || r.core.Role() != quorum.RoleLeader {
			continue
		}
		for old, fresh := range g.lost {
			g.repairOne(r, old, fresh)
		}
		g.flush(id)
	}
}

func (g *group) repairOne(leader *replica, old, fresh string) {
	members := leader.core.Members()
	at := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == old })
	learner := slices.Index(members, quorum.Member{ID: fresh})
	switch {
	case at >= 0:
		leader.core.ProposeMembers(slices.Delete(members, at, at+1))
	case slices.Contains(members, quorum.Member{ID: fresh, Voter: true}):
	case learner < 0:
		leader.core.ProposeMembers(append(members, quorum.Member{ID: fresh}))
	default:
		members[learner].Voter = true
		leader.core.ProposeMembers(members)
	}
}

// repaired reports whether every lost member has been replaced for good.
func (g *group) repaired() bool {
	for _, fresh := range g.lost {
		done := false
		for _, id := range g.ids {
			r := g.replicas[id]
			if !r.down && slices.Contains(r.core.MembersAt(r.core.Commit()), quorum.Member{ID: fresh, Voter: true}) {
				done = true
			}
		}
		if !done {
			return false
		}
	}
	return true
}

// settle heals everything and checks that all replicas end alike.
func (g *group) settle() {
	g.loss = 0
	g.calm = true
	for _, id := range g.ids {
		g.cut[id] = false
		if g.replicas[id].down {
			g.startAgain(id)
		}
	}
	for range 1000 {
		g.step()
	}
	g.quiet = true
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
			g.t.Fatalf("%s has applied %d of %d commands after everything healed", id, len(applied), longest)
		}
		for i, a := range applied {
			for _, other := range g.ids {
				o := g.replicas[other].applied
				if i < len(o) && o[i] != a {
					g.t.Fatalf("%s and %s differ at command %d", id, other, i)
				}
			}
		}
	}
	if len(g.committed) == 0 {
		g.t.Fatal("nothing was ever committed")
	}
}
