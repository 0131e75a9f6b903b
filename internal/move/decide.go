package move

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/evidence"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Policy holds the bounds of the decision. Zero fields get defaults.
type Policy struct {
	// Ladder holds the shares of the new version, in thousandths, rising. The
	// last one leaves the old version some calls to compare with; a move is
	// done from there.
	Ladder []int
	// Doubt is about the largest probability of taking a good version back.
	Doubt float64
	// Ramp is the part of the time up to the deadline in which the share
	// rises; after that the new version is watched at the last share.
	Ramp float64
	// Proof is how many calls of the new version a step needs before the next.
	// A service with little traffic needs fewer.
	Proof int64
}

// DefaultLadder dwells on small shares, so that a version that is bad at once
// or on one route touches few calls.
var DefaultLadder = []int{5, 10, 50, 200, 500, 900}

const (
	// doneAt is the part of the time after which a proved move is done. It
	// leaves time for the change to be in force before the deadline.
	doneAt = 0.97
	// proofPart is the part of a service's calls during a move that a step's
	// proof may take.
	proofPart = 0.01
	// proofLeast is the least proof of a step.
	proofLeast = 8
	// restarts makes up for bets that begin anew: each new beginning is a new
	// chance to take a good version back.
	restarts = 20
)

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
	// without holds, for each host of the new version, the trials of the
	// routes as they would be if that host did not exist.
	without map[string]map[string]*trial
	stepAt  int64 // Calls of the new version when the share was set.
	share   int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge(p Policy) *Judge {
	return &Judge{
		policy: p.withDefaults(), routes: map[string]*trial{},
		without: map[string]map[string]*trial{}, share: -1,
	}
}

// Observe takes in the sums of the evidence of a move at now.
func (j *Judge) Observe(now time.Time, m config.Move, rows []evidence.Row) {
	routes := map[string][2]counts{}
	hosts := map[string]map[string]counts{}
	for _, r := range rows {
		side := sideOf(m, r)
		if side < 0 {
			continue
		}
		c := routes[r.Route]
		c[side].add(r)
		routes[r.Route] = c
		if side != newSide {
			continue
		}
		if hosts[r.Host] == nil {
			hosts[r.Host] = map[string]counts{}
		}
		h := hosts[r.Host][r.Route]
		h.add(r)
		hosts[r.Host][r.Route] = h
	}
	for route, c := range routes {
		look(now, j.routes, route, c)
		for host, own := range hosts {
			if j.without[host] == nil {
				j.without[host] = map[string]*trial{}
			}
			look(now, j.without[host], route, [2]counts{c[oldSide], c[newSide].minus(own[route])})
		}
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
	found, reason := j.judge(j.bound())
	late := !now.Before(m.By)
	switch {
	case found == verdictBad, found == verdictUnclear && late:
		return j.takeBack(d, reason)
	case slots[newSide] == 0 && m.Share > 0:
		return j.takeBack(d, "no upstream of the new version is left")
	case late:
		return j.atDeadline(d, m, deadline)
	case found == verdictUnclear:
		// Each reason told is a revision, so it is told once.
		if !strings.HasPrefix(m.Reason, waits) {
			d.Reason = reason
		}
		return d
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

// verdict is what the evidence says of the new version.
type verdict uint8

const (
	verdictNothing verdict = iota // Nothing speaks against it.
	verdictBad
	verdictUnclear // It is bad, or one of its hosts is.
	verdictOneHost // One of its hosts is bad, not the version.
)

// bound returns the evidence, as the logarithm of odds, at which a route speaks
// against the new version. It rises with the number of routes, each of which
// may do so by chance.
func (j *Judge) bound() float64 {
	return math.Log(float64(max(1, len(j.routes))) / j.policy.Doubt * restarts)
}

const (
	// alonePart is the part of the evidence that must be left without a host
	// for that host not to stand alone.
	alonePart = 0.5
	// clearFactor is how many times the bound it takes to blame one host.
	clearFactor = 2
	// othersProof is how many calls the other hosts must have taken for that.
	othersProof = 30
)

// judge weighs the routes. Were the version bad, most of the evidence would be
// left if one of its hosts did not exist; if hardly any is left without some
// host, it is that host.
func (j *Judge) judge(bound float64) (verdict, string) {
	route, what, strongest := j.worst(bound)
	if route == "" {
		return verdictNothing, ""
	}
	host, left := j.leastWithout(route, what)
	switch {
	case len(j.without) < 2 || left >= alonePart*strongest:
		return verdictBad, j.describe(route, what)
	case strongest < clearFactor*bound || j.callsWithout(host, route) < othersProof:
		return verdictUnclear, waits + " for more evidence: route " + route + " is " + string(what) + ", mostly on host " + host
	default:
		return verdictOneHost, "only host " + host + " of the new version is " + string(what)
	}
}

// worst returns the route with the strongest evidence, if that reaches bound.
func (j *Judge) worst(bound float64) (route string, what kind, strongest float64) {
	strongest = bound
	for name, t := range j.routes {
		for _, k := range []kind{kindFailing, kindSlow} {
			s := t.strength(k)
			if s > strongest || (s == strongest && (route == "" || name < route)) {
				route, what, strongest = name, k, s
			}
		}
	}
	return route, what, strongest
}

// leastWithout returns the host without which the least evidence is left on a
// route, and how much that is.
func (j *Judge) leastWithout(route string, what kind) (host string, left float64) {
	left = math.Inf(1)
	for name, trials := range j.without {
		t := trials[route]
		if t == nil {
			continue
		}
		if s := t.strength(what); s < left || (s == left && name < host) {
			host, left = name, s
		}
	}
	return host, left
}

// callsWithout returns the calls of the new version on a route that went to
// other hosts.
func (j *Judge) callsWithout(host, route string) int64 {
	return j.without[host][route].total[newSide].calls
}

func (j *Judge) describe(route string, what kind) string {
	t := j.routes[route]
	if what == kindFailing {
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
	last := j.policy.Ladder[len(j.policy.Ladder)-1]
	if m.Share >= last {
		return finish(d, "in time, and nothing speaks against the new version")
	}
	if deadline == config.DeadlineTakeBack {
		return j.takeBack(d, fmt.Sprintf("time ran out at a share of %.1f %% without proof", float64(m.Share)/10))
	}
	return finish(d, fmt.Sprintf("time ran out at a share of %.1f %%; nothing speaks against the new version", float64(m.Share)/10))
}

func finish(d Decision, reason string) Decision {
	d.State = config.MoveDone
	d.Share = config.FullShare
	d.Reason = reason
	return d
}

// climb takes the next step of the ladder when its time has come and the
// present one has been proved.
func (j *Judge) climb(now time.Time, d Decision, m config.Move, slots [2]int, deadline, note string) Decision {
	if slots[newSide] == 0 {
		return d
	}
	plan := j.plan(now, m)
	i := slices.IndexFunc(plan.ladder, func(share int) bool { return share > m.Share })
	switch {
	case i < 0 && !now.Before(at(m, doneAt)):
		return finish(d, "in time, and nothing speaks against the new version")
	case i < 0:
		return d
	case i == 0:
		d.Share = plan.ladder[0]
		d.Reason = "begins"
		return d
	case now.Before(plan.due[i]):
		return d
	}
	proved := d.Touched-j.stepAt >= plan.proof
	if !proved && !(deadline == config.DeadlineFinish && now.After(plan.due[i].Add(plan.patience))) {
		return d
	}
	d.Share = plan.ladder[i]
	d.Reason = "nothing speaks against the new version"
	switch {
	case !proved:
		d.Reason = "few calls, but time runs short"
	case note != "":
		d.Reason = note
	}
	return d
}

// plan is what the steps of a move are at its present traffic.
type plan struct {
	ladder   []int
	due      []time.Time
	proof    int64
	patience time.Duration // How long a step may wait for its proof.
}

// plan spreads the steps evenly over the part of the time in which the share
// rises. With little traffic it begins with a share that can be proved in a
// step's time, and asks for less proof.
func (j *Judge) plan(now time.Time, m config.Move) plan {
	window := m.By.Sub(m.Start)
	span := time.Duration(float64(window) * j.policy.Ramp)
	p := plan{ladder: j.policy.Ladder, proof: j.policy.Proof, patience: span / time.Duration(2*len(j.policy.Ladder))}
	expected, known := j.expectedCalls(now, m)
	if known {
		p.proof = min(p.proof, max(proofLeast, int64(expected*proofPart)))
		inStep := expected * j.policy.Ramp / float64(len(p.ladder))
		least := int(math.Ceil(float64(p.proof) * provable / max(inStep, 1) * config.FullShare))
		least = min(least, firstMost)
		first := slices.IndexFunc(p.ladder, func(share int) bool { return share >= least })
		if first < 0 {
			first = len(p.ladder) - 1
		}
		p.ladder = p.ladder[first:]
	}
	for i := range p.ladder {
		part := float64(span) * float64(i) / float64(max(1, len(p.ladder)-1))
		p.due = append(p.due, m.Start.Add(time.Duration(part)))
	}
	return p
}

// provable is how many times its proof a step's share should bring.
const provable = 1.3

const (
	// firstMost is the largest share that a move may begin with, in
	// thousandths, however little traffic there is.
	firstMost = 200
	// rateKnownAfter is the part of the time, and rateKnownLeast the time,
	// after which the traffic is known well enough to plan by.
	rateKnownAfter = 0.02
	rateKnownLeast = 5 * time.Second
)

// expectedCalls returns how many calls a service is likely to get during the
// whole move.
func (j *Judge) expectedCalls(now time.Time, m config.Move) (float64, bool) {
	passed := now.Sub(m.Start)
	if now.Before(at(m, rateKnownAfter)) || passed < rateKnownLeast {
		return 0, false
	}
	calls := int64(0)
	for _, t := range j.routes {
		calls += t.total[oldSide].calls + t.total[newSide].calls
	}
	// Without any evidence nothing is known of the traffic.
	return float64(calls) / passed.Seconds() * m.By.Sub(m.Start).Seconds(), calls > 0
}

// at returns the moment at which a part of a move's time has passed.
func at(m config.Move, part float64) time.Time {
	return m.Start.Add(time.Duration(float64(m.By.Sub(m.Start)) * part))
}

// Bad reports whether the evidence of one daemon alone speaks against the new
// version, and why. It asks for stronger evidence than Decide does, since each
// of many daemons asks.
func (j *Judge) Bad() (bool, string) {
	found, reason := j.judge(j.bound() + brakeMore)
	return found == verdictBad, reason
}

// waits begins the reason of a move whose evidence is unclear.
const waits = "waits"

// brakeMore is how much stronger the evidence of one daemon must be, as a
// logarithm.
const brakeMore = 4.6
