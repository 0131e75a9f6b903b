// Package balance chooses an upstream for a call.
//
// It compares the calls that this daemon has in flight with the loads that the
// inbound proxies report with their responses. The current time and random
// numbers are arguments.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// Config configures a Balancer. Zero fields get the defaults given here.
type Config struct {
	Zone string // The data centre of this daemon.
	// RemoteZonePenalty is added to the estimated duration of a call without a
	// latency objective in another data centre. The default is 1 ms.
	RemoteZonePenalty time.Duration
	// SlowStart is how long a new upstream gets less than its share of calls.
	// The default is 5 s.
	SlowStart time.Duration
	// RemoteZoneCost is the additional cost of a call with a latency objective
	// in another data centre, as a fraction of the cost of missing the
	// objective. The default is 0.1.
	RemoteZoneCost float64
	// RemoteBytesPerMiss is how many bytes between data centres cost as much as a
	// call that misses its latency objective. 0 means that they cost nothing.
	RemoteBytesPerMiss float64
	// BaseEjection is how long a failing upstream is ejected at first. Each
	// further ejection doubles the time, at most five times and up to 30 s. The
	// default is 1 s.
	BaseEjection time.Duration
	// LocalCandidates and RemoteCandidates are how many upstreams are drawn at
	// random from the same data centre and from other ones. The defaults are 2
	// and 1. If the own data centre has too few, more are drawn from other
	// ones. With more candidates the best upstream is found more often. With
	// fewer, daemons whose load reports have the same age choose the same
	// upstream less often.
	LocalCandidates  int
	RemoteCandidates int
}

const (
	maxEjection         = 30 * time.Second // How long an upstream is ejected at most.
	minEjectionFailures = 3                // Consecutive failures after which an upstream is ejected.
	loadTTL             = time.Second      // How long the running and queued calls of a load report are used.
	defaultServiceTime  = time.Millisecond // Assumed for an upstream that has not reported its load.
	stateTTL            = time.Minute      // How long the state of an upstream without calls is kept; also the interval of the cleanup.
	drainingEjection    = 2 * time.Second  // How long an upstream that accepts no new calls is ejected.
	minSlowStartShare   = 0.1              // The fraction of its share that a new upstream gets at first.
)

// key identifies an upstream of one incarnation of its daemon.
type key struct {
	host        string
	id          string
	incarnation uint64
}

// upstreamState is what a Balancer records about one upstream.
type upstreamState struct {
	running        int       // Calls of this daemon in flight.
	load           call.Load // The latest load report, also if it is older than loadTTL.
	loadTime       time.Time // When load was received.
	ownCallsAtLoad int       // Calls of this daemon that were in flight when load was received.
	failures       int       // Consecutive failures.
	ejectedUntil   time.Time // Not used before this time if there are others.
	ejections      int       // Consecutive ejections; a success resets them.
	lastUsed       time.Time // When a call last started or ended.
	full           map[fullKey]fullState
}

// Balancer chooses upstreams. It is safe for concurrent use. Create one with
// New.
type Balancer struct {
	config    Config
	mutex     sync.Mutex
	states    map[key]*upstreamState
	services  map[zonedService]serviceLoad
	lastSweep time.Time
}

// New returns a balancer without any recorded load.
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
	return &Balancer{config: c, states: map[key]*upstreamState{}, services: map[zonedService]serviceLoad{}}
}

func keyOf(t feed.Target) key { return key{host: t.Host, id: t.ID, incarnation: t.Incarnation} }

// Query describes a call that needs an upstream.
type Query struct {
	Exclude      map[string]bool // Upstreams that must not be used, since they were tried already, as "host/id".
	Objective    time.Duration   // The remaining time of the latency objective of the call; negative once it is missed.
	HasObjective bool            // Whether the call has a latency objective.
	Retryable    bool            // Whether the call may be retried after a failure.
	Route        string          // The name of the route of the call.
	Returning    bool            // Whether the caller was rejected before.
	Bytes        float64         // The expected size of the call with its response.
	Rejected     bool            // Whether a full upstream has rejected this call already.
}

// Pick chooses one of the targets at now and counts the call as in flight
// there. The caller must call Done when the call ends. random returns numbers
// in [0, 1). Pick returns false if no target may be used.
//
// Pick draws candidates from the same data centre and from other ones, and
// returns the one with the lowest cost. Calls stay in their data centre until
// that costs more than leaving it.
func (b *Balancer) Pick(now time.Time, q Query, targets []feed.Target, random func() float64) (feed.Target, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	local, remote := b.eligible(now, q, targets)
	var candidates []feed.Target
	candidates = append(candidates, sample(local, b.config.LocalCandidates, random)...)
	candidates = append(candidates, sample(remote, b.config.LocalCandidates+b.config.RemoteCandidates-len(candidates), random)...)
	if len(candidates) == 0 {
		return feed.Target{}, false
	}
	best, lowest := candidates[0], math.Inf(1)
	for _, t := range candidates {
		if cost := b.cost(now, q, t, random); cost < lowest {
			best, lowest = t, cost
		}
	}
	s := b.state(keyOf(best))
	s.running++
	s.lastUsed = now
	s.pace(now, q)
	return best, true
}

// eligible returns the ready targets that may be used and are not full, split into
// those of the same data centre and those of other ones. If all of them are ejected,
// it returns the ejected ones. The caller must hold mutex, as for all unexported
// methods of Balancer.
func (b *Balancer) eligible(now time.Time, q Query, targets []feed.Target) (local, remote []feed.Target) {
	for _, includeEjected := range []bool{false, true} {
		for _, t := range targets {
			if t.State != 0 || q.Exclude[t.Host+"/"+t.ID] || b.isFull(now, q, t) || (!includeEjected && b.isEjected(now, t)) {
				continue
			}
			if t.Zone == b.config.Zone {
				local = append(local, t)
			} else {
				remote = append(remote, t)
			}
		}
		if len(local)+len(remote) > 0 {
			break
		}
	}
	return local, remote
}

func (b *Balancer) isEjected(now time.Time, t feed.Target) bool {
	s := b.states[keyOf(t)]
	return s != nil && now.Before(s.ejectedUntil)
}

// sample returns up to count distinct targets, chosen at random.
func sample(from []feed.Target, count int, random func() float64) []feed.Target {
	if len(from) <= count {
		return from
	}
	shuffled := slices.Clone(from)
	for i := range count {
		j := i + int(random()*float64(len(shuffled)-i))
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	}
	return shuffled[:count]
}

// state returns the state of an upstream, which it creates if needed.
func (b *Balancer) state(k key) *upstreamState {
	s := b.states[k]
	if s == nil {
		s = &upstreamState{}
		b.states[k] = s
	}
	return s
}

// Result is the outcome of a call to a target.
type Result struct {
	Load         call.Load // The zero value if no load was reported.
	Failed       bool      // The target could not be reached, or the call failed without a response.
	Draining     bool      // The target accepts no new calls; it is ejected for a fixed time.
	Unresponsive bool      // The host acknowledges nothing at TCP level; a failed call ejects the target at once.
	Route        string    // As in the Query.
	Returning    bool      // As in the Query.
	Rejected     bool      // The call was rejected because the queue was full.
	Abandoned    bool      // The caller left, which says nothing about the target; Failed is ignored.
	// Opens is how long the target would reject such calls if no others arrived; 0 if
	// unknown.
	Opens time.Duration
}

// Done ends a call that Pick has counted, and records its outcome. Each further
// ejection after failures lasts twice as long as the one before, with at most
// five doublings and at most maxEjection.
func (b *Balancer) Done(now time.Time, t feed.Target, r Result) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.state(keyOf(t))
	s.running--
	s.lastUsed = now
	if r.Abandoned {
		return
	}
	if r.Load.Limit > 0 {
		s.load = r.Load
		s.loadTime = now
		s.ownCallsAtLoad = s.running
		b.recordServiceLoad(t, r.Load)
	}
	if r.Rejected || !r.Failed && !r.Draining {
		b.recordFull(now, t, s, r)
	}
	if r.Draining {
		s.ejectedUntil = now.Add(drainingEjection)
		return
	}
	if !r.Failed {
		s.failures, s.ejections = 0, 0
		return
	}
	s.failures++
	if (r.Unresponsive || s.failures >= minEjectionFailures) && !now.Before(s.ejectedUntil) {
		s.ejectedUntil = now.Add(min(b.config.BaseEjection<<min(s.ejections, 5), maxEjection))
		s.ejections++
	}
}

// sweep drops the state of upstreams that have no calls in flight and were not
// used for stateTTL.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < stateTTL {
		return
	}
	b.lastSweep = now
	for k, s := range b.states {
		if s.running <= 0 && now.Sub(s.lastUsed) > stateTTL {
			delete(b.states, k)
		}
	}
}
