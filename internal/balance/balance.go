// Package balance chooses an upstream for a call.
//
// It weighs what this daemon has in flight against what the gates told with
// their answers. The present time and random numbers are arguments.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// Config describes a Balancer. Zero fields get defaults.
type Config struct {
	Zone string
	// RemoteZonePenalty is the time that a call to another data centre costs: 1 ms.
	RemoteZonePenalty time.Duration
	// SlowStart is how long a new upstream gets less than its share: 5 s.
	SlowStart time.Duration
	// RemoteZoneCost is what a call with a latency objective costs more in another data
	// centre, as a part of what it costs when the objective is missed: 0.1.
	RemoteZoneCost float64
	// BaseEjection is how long an upstream that fails is left out at first: 1 s.
	BaseEjection time.Duration
	// LocalCandidates and RemoteCandidates are how many upstreams are drawn from the own data centre and
	// from the others: 2 and 1. More find the best one more often; fewer keep
	// daemons whose knowledge has the same age from choosing the same one.
	LocalCandidates  int
	RemoteCandidates int
}

const (
	maxEjection        = 30 * time.Second
	ejectionThreshold  = 3                // Failures in a row.
	loadLifetime       = time.Second      // How long a told load is believed.
	initialServiceTime = time.Millisecond // Taken for an upstream that never answered.
	forgetAfter        = time.Minute
	drainingPause      = 2 * time.Second // How long a target that takes no work is left out.
	minSlowStart       = 0.1             // The part of its share that a new upstream gets at once.
)

// key names one life of an upstream.
type key struct {
	host        string
	id          string
	incarnation uint64
}

type state struct {
	running   int // Calls of this daemon.
	load      call.Load
	loadAt    time.Time
	loadOwn   int // Of the calls told of, those of this daemon.
	failures  int
	ejected   time.Time // Left out until then.
	ejections int
	usedAt    time.Time
}

// Balancer chooses upstreams. It is safe for concurrent use. Make one with
// New.
type Balancer struct {
	config Config
	mutex  sync.Mutex
	states map[key]*state
	swept  time.Time
}

// New returns a balancer that knows no load yet.
func New(c Config) *Balancer {
	if c.RemoteZonePenalty == 0 {
		c.RemoteZonePenalty = time.Millisecond
	}
	if c.SlowStart == 0 {
		c.SlowStart = 5 * time.Second
	}
	if c.BaseEjection == 0 {
		c.BaseEjection = time.Second
	}
	if c.RemoteZoneCost == 0 {
		c.RemoteZoneCost = 0.1
	}
	if c.LocalCandidates == 0 {
		c.LocalCandidates = 2
	}
	if c.RemoteCandidates == 0 {
		c.RemoteCandidates = 1
	}
	return &Balancer{config: c, states: map[key]*state{}}
}

func keyOf(t feed.Target) key { return key{host: t.Host, id: t.ID, incarnation: t.Incarnation} }

// Query is what is known of a call that looks for an upstream.
type Query struct {
	Exclude      map[string]bool // Upstreams that refused it already, as "host/id".
	Objective    time.Duration   // What is left of its latency objective.
	HasObjective bool            // Whether it has one.
	Retryable    bool            // Whether it may be tried again after a failure.
}

// Pick chooses among targets at now and counts the call as running there; the
// caller must call Done. draw gives random numbers in [0, 1). It returns false if there is none.
//
// Some upstreams of the own data centre and some of the others are drawn, and
// the one that is likely to answer first is taken, so that calls stay near
// until that costs more than going away.
func (b *Balancer) Pick(now time.Time, q Query, targets []feed.Target, draw func() float64) (feed.Target, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	near, away := b.usable(now, targets, q.Exclude)
	var drawn []feed.Target
	drawn = append(drawn, sample(near, b.config.LocalCandidates, draw)...)
	drawn = append(drawn, sample(away, b.config.LocalCandidates+b.config.RemoteCandidates-len(drawn), draw)...)
	if len(drawn) == 0 {
		return feed.Target{}, false
	}
	best, least := drawn[0], math.Inf(1)
	for _, t := range drawn {
		if cost := b.cost(now, q, t, draw); cost < least {
			best, least = t, cost
		}
	}
	s := b.state(keyOf(best))
	s.running++
	s.usedAt = now
	return best, true
}

// usable splits the targets that may be used by data centre. If all have been
// left out for failing, all are tried again.
func (b *Balancer) usable(now time.Time, targets []feed.Target, skip map[string]bool) (near, away []feed.Target) {
	for _, failing := range []bool{false, true} {
		for _, t := range targets {
			if t.State != 0 || skip[t.Host+"/"+t.ID] || (!failing && b.isEjected(now, t)) {
				continue
			}
			if t.Zone == b.config.Zone {
				near = append(near, t)
			} else {
				away = append(away, t)
			}
		}
		if len(near)+len(away) > 0 {
			break
		}
	}
	return near, away
}

func (b *Balancer) isEjected(now time.Time, t feed.Target) bool {
	s := b.states[keyOf(t)]
	return s != nil && now.Before(s.ejected)
}

// sample draws up to count different targets.
func sample(from []feed.Target, count int, draw func() float64) []feed.Target {
	if len(from) <= count {
		return from
	}
	mixed := slices.Clone(from)
	for i := range count {
		j := i + int(draw()*float64(len(mixed)-i))
		mixed[i], mixed[j] = mixed[j], mixed[i]
	}
	return mixed[:count]
}

// estimate is how an upstream is likely to serve one more call.
type estimate struct {
	wait    float64 // Seconds until the call runs.
	service float64 // Seconds that it runs.
}

func (b *Balancer) estimate(now time.Time, t feed.Target) estimate {
	running, limit, service := 0, t.Slots, initialServiceTime
	if s := b.states[keyOf(t)]; s != nil {
		running = s.running
		if s.load.Limit > 0 {
			limit = s.load.Limit
			service = max(s.load.Service, time.Microsecond)
		}
		if now.Sub(s.loadAt) < loadLifetime {
			others := s.load.Running + s.load.Queued - s.loadOwn
			running += max(0, others)
		}
	}
	o := estimate{service: service.Seconds()}
	if running >= limit {
		o.wait = o.service * float64(running-limit+1) / float64(limit)
	}
	o.service *= 1 + contentionFactor*float64(running+1)/float64(limit)
	return o
}

// cost compares targets: the lower the better. For a call with an objective it
// is about the probability of missing it, and otherwise the seconds to an
// answer.
func (b *Balancer) cost(now time.Time, q Query, t feed.Target, draw func() float64) float64 {
	o := b.estimate(now, t)
	seconds := o.wait + o.service
	ramp := b.slowStartShare(now, t)
	cold := draw() > ramp
	if !q.HasObjective {
		if t.Zone != b.config.Zone {
			seconds += b.config.RemoteZonePenalty.Seconds()
		}
		if cold {
			seconds /= ramp
		}
		return seconds
	}
	cost := missProbability(o, q.Objective.Seconds()) + tieBreakWeight*seconds + b.failureCost(now, q, t)
	if t.Zone != b.config.Zone {
		cost += b.config.RemoteZoneCost
	}
	if cold {
		cost += slowStartCost
	}
	return cost
}

const (
	// contentionFactor is how much longer a call takes at an upstream whose slots are
	// all busy, as a part of its time.
	contentionFactor = 0.3
	// tieBreakWeight is the cost of a second, so that among upstreams that all make
	// or all miss an objective the faster one is taken.
	tieBreakWeight = 0.2
	// slowStartCost is the cost of an upstream that has just come.
	slowStartCost = 0.5
	// failureCost is the cost of a call that fails, and retryableFailureCost that of one
	// that may be tried again, if there is time and a retry left.
	failureCost          = 1.0
	retryableFailureCost = 0.5
	// failureDecay is the time in which the word of failures falls to 1/e.
	failureDecay = 6 * time.Second
	thousandths  = 1000
	// tailScale is the scale of the distribution of the time of calls above their
	// mean, as a part of the mean.
	tailScale = 0.85
)

// failureCost returns the cost of the failures that the gate of a target told of.
// Old word counts for less, so that an upstream is tried again.
func (b *Balancer) failureCost(now time.Time, q Query, t feed.Target) float64 {
	s := b.states[keyOf(t)]
	if s == nil || s.load.Failing == 0 {
		return 0
	}
	age := now.Sub(s.loadAt).Seconds()
	cost := failureCost
	if q.Retryable {
		cost = retryableFailureCost
	}
	return cost * float64(s.load.Failing) / thousandths * math.Exp(-age/failureDecay.Seconds())
}

// missProbability returns about the probability that a call misses an objective.
func missProbability(o estimate, left float64) float64 {
	if left <= o.wait {
		return 1
	}
	return math.Exp(-(left - o.wait) / (tailScale * o.service))
}

// slowStartShare returns the part of its share that a target gets, which grows while
// it is new.
func (b *Balancer) slowStartShare(now time.Time, t feed.Target) float64 {
	age := now.Sub(t.Since)
	if age >= b.config.SlowStart {
		return 1
	}
	return max(minSlowStart, age.Seconds()/b.config.SlowStart.Seconds())
}

func (b *Balancer) state(k key) *state {
	s := b.states[k]
	if s == nil {
		s = &state{}
		b.states[k] = s
	}
	return s
}

// Result is how a call to a target ended.
type Result struct {
	Load         call.Load // Zero if none was told.
	Failed       bool      // The target could not be reached or broke off.
	Draining     bool      // The target takes no new work.
	Unresponsive bool      // The target's host acknowledges nothing; it is left out at once.
}

// Done ends a call that Pick counted.
func (b *Balancer) Done(now time.Time, t feed.Target, r Result) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.state(keyOf(t))
	s.running--
	s.usedAt = now
	if r.Load.Limit > 0 {
		s.load = r.Load
		s.loadAt = now
		s.loadOwn = s.running
	}
	if r.Draining {
		s.ejected = now.Add(drainingPause)
		return
	}
	if !r.Failed {
		s.failures, s.ejections = 0, 0
		return
	}
	s.failures++
	if (r.Unresponsive || s.failures >= ejectionThreshold) && !now.Before(s.ejected) {
		s.ejected = now.Add(min(b.config.BaseEjection<<min(s.ejections, 5), maxEjection))
		s.ejections++
	}
}

// sweep forgets upstreams that have not been used for long.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) < forgetAfter {
		return
	}
	b.swept = now
	for k, s := range b.states {
		if s.running <= 0 && now.Sub(s.usedAt) > forgetAfter {
			delete(b.states, k)
		}
	}
}
