package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/evidence"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Policy holds the bounds of the decision. Zero fields get defaults.
type Policy struct {
	// Ladder holds the shares of the new version, in thousandths, rising to
	// config.FullShare.
	Ladder []int
	// Doubt is the largest probability of taking a good version back.
	Doubt float64
	// Ramp is the part of the time up to the deadline in which the share
	// rises; in the rest the new version is watched at full share.
	Ramp float64
	// Proof is how many calls of the new version a step needs before the next.
	Proof int64
}

// DefaultLadder dwells on small shares, so that a version that is bad at once
// or on one route touches few calls.
var DefaultLadder = []int{5, 10, 50, 200, 500, config.FullShare}

func (p Policy) withDefaults() Policy {
	if len(p.Ladder) == 0 {
		p.Ladder = DefaultLadder
	}
	if p.Doubt == 0 {
		p.Doubt = 0.002
	}
	if p.Ramp == 0 {
		p.Ramp = 0.7
	}
	if p.Proof == 0 {
		p.Proof = 50
	}
	return p
}

// Decision is what to do with a move now.
type Decision struct {
	State   config.MoveState
	Share   int
	Reason  string
	Touched int64 // Calls of the new version so far.
	Failed  int64 // Those of them that failed.
}

// Judge weighs the evidence of one move. It is not safe for concurrent use.
// Make one with NewJudge.
type Judge struct {
	policy Policy
	routes map[string]*trial
	hosts  map[string]*trial
	others map[string]*trial // The new version without that host.
	stepAt int64             // Calls of the new version when the share was set.
	share  int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge(p Policy) *Judge {
	return &Judge{
		policy: p.withDefaults(), routes: map[string]*trial{},
		hosts: map[string]*trial{}, others: map[string]*trial{}, share: -1,
	}
}

// Observe takes in the sums of the evidence of a move at now.
func (j *Judge) Observe(now time.Time, m config.Move, rows []evidence.Row) {
	routes := map[string][2]counts{}
	hosts := map[string]counts{}
	var all [2]counts
	for _, r := range rows {
		side := sideOf(m, r)
		if side < 0 {
			continue
		}
		c := routes[r.Route]
		c[side].add(r)
		routes[r.Route] = c
		all[side].add(r)
		if side == newSide {
			h := hosts[r.Host]
			h.add(r)
			hosts[r.Host] = h
		}
	}
	for name, c := range routes {
		look(now, j.routes, name, c)
	}
	for name, h := range hosts {
		look(now, j.hosts, name, [2]counts{all[oldSide], h})
		look(now, j.others, name, [2]counts{all[oldSide], all[newSide].minus(h)})
	}
}

const (
	oldSide = 0
	newSide = 1
)

func sideOf(m config.Move, r evidence.Row) int {
	switch {
	case r.Move != m.Start.UnixMilli():
		return -1
	case r.Version == m.From:
		return oldSide
	case r.Version == m.To:
		return newSide
	default:
		return -1
	}
}

func look(now time.Time, trials map[string]*trial, name string, c [2]counts) {
	t := trials[name]
	if t == nil {
		t = newTrial()
		trials[name] = t
	}
	t.look(now, c)
}

// Decide says what to do with a move at now. Slots are those of the old and
// the new version that are ready.
func (j *Judge) Decide(now time.Time, m config.Move, slots [2]int, deadline string) Decision {
	calls, failed := j.touched()
	d := Decision{State: config.MoveRunning, Share: m.Share, Reason: m.Reason, Touched: calls, Failed: failed}
	if m.Share != j.share {
		j.share = m.Share
		j.stepAt = calls
	}
	bad, reason := j.verdict()
	switch {
	case bad:
		return j.takeBack(d, reason)
	case slots[newSide] == 0 && m.Share > 0:
		return j.takeBack(d, "no upstream of the new version is left")
	case !now.Before(m.By):
		return j.atDeadline(d, m, deadline)
	default:
		return j.climb(now, d, m, slots, deadline, reason)
	}
}

func (j *Judge) touched() (calls, failed int64) {
	for _, t := range j.routes {
		calls += t.total[newSide].calls
		failed += t.total[newSide].failed
	}
	return calls, failed
}

func (j *Judge) takeBack(d Decision, reason string) Decision {
	d.State = config.MoveTakenBack
	d.Share = 0
	d.Reason = reason
	return d
}

// verdict reports whether the new version is bad. If the evidence comes from
// one host alone, it is not the version that is bad; then the reason says so.
func (j *Judge) verdict() (bad bool, reason string) { return j.verdictAt(j.bound()) }

// bound returns the odds at which a route speaks against the new version. It
// rises with the number of routes, each of which may do so by chance.
func (j *Judge) bound() float64 { return float64(max(1, len(j.routes))) / j.policy.Doubt }

func (j *Judge) verdictAt(bound float64) (bad bool, reason string) {
	names := make([]string, 0, len(j.routes))
	for name := range j.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		odds, what := j.routes[name].strength()
		if odds < bound {
			continue
		}
		if host, one := j.oneHost(bound); one {
			return false, "waits: only host " + host + " of the new version is " + what
		}
		return true, j.describe(name, what)
	}
	return false, ""
}

// oneHost reports whether one host of several stands alone against the new
// version: it is bad by itself, and the others have answered as many calls
// without speaking against the version.
func (j *Judge) oneHost(bound float64) (string, bool) {
	if len(j.hosts) < 2 {
		return "", false
	}
	for name, t := range j.hosts {
		odds, _ := t.strength()
		rest, _ := j.others[name].strength()
		enough := j.others[name].total[newSide].calls >= t.total[newSide].calls
		if odds >= bound && rest < 2 && enough {
			return name, true
		}
	}
	return "", false
}

func (j *Judge) describe(route, what string) string {
	t := j.routes[route]
	if what == "failing" {
		return fmt.Sprintf("route %s is failing: %d of %d calls of the new version, %d of %d of the old",
			route, t.total[newSide].failed, t.total[newSide].calls, t.total[oldSide].failed, t.total[oldSide].calls)
	}
	newAnswered, newSlow := t.total[newSide].over(t.gate)
	oldAnswered, oldSlow := t.total[oldSide].over(t.gate)
	return fmt.Sprintf("route %s is slow: over %v in %d of %d calls of the new version, %d of %d of the old",
		route, evidence.BucketLimit(t.gate), newSlow, newAnswered, oldSlow, oldAnswered)
}

// atDeadline ends a move whose time is up by the policy of its service.
func (j *Judge) atDeadline(d Decision, m config.Move, deadline string) Decision {
	if m.Share == config.FullShare {
		d.State = config.MoveDone
		d.Reason = "in time, and nothing speaks against the new version"
		return d
	}
	if deadline == config.DeadlineTakeBack {
		return j.takeBack(d, fmt.Sprintf("time ran out at a share of %.1f %% without proof", float64(m.Share)/10))
	}
	d.State = config.MoveDone
	d.Share = config.FullShare
	d.Reason = fmt.Sprintf("time ran out at a share of %.1f %%; nothing speaks against the new version", float64(m.Share)/10)
	return d
}

// climb takes the next step of the ladder when its time has come and the
// present one has been proved.
func (j *Judge) climb(now time.Time, d Decision, m config.Move, slots [2]int, deadline, waits string) Decision {
	i := slices.IndexFunc(j.policy.Ladder, func(share int) bool { return share > m.Share })
	if waits != "" {
		d.Reason = waits
		return d
	}
	if i < 0 || slots[newSide] == 0 {
		return d
	}
	next := j.policy.Ladder[i]
	if i == 0 {
		d.Share = next
		d.Reason = "begins"
		return d
	}
	if now.Before(j.stepTime(m, i)) {
		return d
	}
	proved := d.Touched-j.stepAt >= j.policy.Proof
	if !proved && !j.hurries(now, m, i, deadline) {
		return d
	}
	d.Share = next
	d.Reason = "nothing speaks against the new version"
	if !proved {
		d.Reason = "few calls, but time runs short"
	}
	return d
}

// stepTime returns when step i of the ladder is due: steps are spread evenly
// over the part of the time in which the share rises.
func (j *Judge) stepTime(m config.Move, i int) time.Time {
	span := m.By.Sub(m.Start).Seconds() * j.policy.Ramp
	part := span * float64(i) / float64(len(j.policy.Ladder)-1)
	return m.Start.Add(time.Duration(part * float64(time.Second)))
}

// hurries reports whether a step is taken without proof. Where the policy
// favours finishing, that is after half a step's time of waiting; where it
// favours taking back, never.
func (j *Judge) hurries(now time.Time, m config.Move, i int, deadline string) bool {
	if deadline == config.DeadlineTakeBack {
		return false
	}
	wait := j.stepTime(m, 1).Sub(m.Start) / 2
	return !now.Before(j.stepTime(m, i).Add(wait))
}

// Bad reports whether the evidence of one daemon alone speaks against the new
// version, and why. It asks for stronger evidence than Decide does, since each
// of many daemons asks.
func (j *Judge) Bad() (bool, string) { return j.verdictAt(j.bound() * brakeFactor) }

// brakeFactor is how much stronger the evidence of one daemon must be.
const brakeFactor = 100
