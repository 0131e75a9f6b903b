package balance

import (
	"math"
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
)

// estimate is the expected timing of one more call at an upstream.
type estimate struct {
	wait    float64 // Seconds until the call gets a slot.
	service float64 // Seconds that the upstream takes to execute it.
}

// estimateFor returns the expected timing of one more call at a target. The
// calls of other daemons come from the latest load report: its running and
// queued calls without those of this daemon. As the report gets older, the mean
// load of the service takes its place; otherwise upstreams whose load is not known
// would look idle and attract the calls of all daemons.
func (b *Balancer) estimateFor(now time.Time, t feed.Target) estimate {
	mean := b.services[zonedService{service: t.Service, zone: t.Zone}]
	limit, service := float64(t.Slots), max(defaultServiceTime.Seconds(), mean.serviceSeconds)
	own, others, age := 0.0, 0.0, loadTTL
	if s := b.states[keyOf(t)]; s != nil {
		own = float64(s.running)
		if s.load.Limit > 0 {
			limit = float64(s.load.Limit)
			service = max(s.load.Service, time.Microsecond).Seconds()
			others = float64(max(0, s.load.Running+s.load.Queued-s.ownCallsAtLoad))
			age = min(loadTTL, now.Sub(s.loadTime))
		}
	}
	weight := age.Seconds() / loadTTL.Seconds()
	running := own + (1-weight)*others + weight*max(0, mean.utilization*limit-own)
	e := estimate{service: service}
	if running >= limit {
		e.wait = e.service * (running - limit + 1) / limit
	}
	e.service *= 1 + contentionFactor*(running+1)/limit
	return e
}

// cost returns a number by which targets are compared: the lowest is best. For
// a call with an objective it is approximately the probability that the
// objective is missed, and otherwise the seconds until the response. A target
// in slow start is penalised at random, the more often the newer it is.
func (b *Balancer) cost(now time.Time, q Query, t feed.Target, random func() float64) float64 {
	e := b.estimateFor(now, t)
	seconds := e.wait + e.service
	share := b.slowStartShare(now, t)
	penalised := random() > share
	if !q.HasObjective {
		if t.Zone != b.config.Zone {
			seconds += b.config.RemoteZonePenalty.Seconds()
		}
		if penalised {
			seconds /= share
		}
		return seconds
	}
	cost := missProbability(e, q.Objective.Seconds()) + costPerSecond*seconds + b.failureCost(now, q, t)
	if t.Zone != b.config.Zone {
		cost += b.remoteCost(q)
	}
	if penalised {
		cost += slowStartPenalty
	}
	return cost
}

// remoteCost returns the cost of a call with a latency objective that leaves the data
// centre. Among the calls that may leave it, those with few bytes do so first. The
// bytes do not count for a call that has been rejected, since it would be refused
// otherwise.
func (b *Balancer) remoteCost(q Query) float64 {
	cost := b.config.RemoteZoneCost
	if b.config.RemoteBytesPerMiss > 0 && !q.Rejected {
		cost += q.Bytes / b.config.RemoteBytesPerMiss
	}
	return cost
}

const (
	// contentionFactor is how much longer a call takes at an upstream whose
	// slots are all busy, as a fraction of its service time.
	contentionFactor = 0.3
	// costPerSecond is the cost of each second until the response. It selects
	// the faster upstream among those that all meet or all miss an objective.
	costPerSecond = 0.2
	// slowStartPenalty is added to the cost of a new upstream.
	slowStartPenalty = 0.5
	// failureCost is the cost of a call that fails. retryableFailureCost is
	// that of a retryable call, which may succeed elsewhere if time and the
	// retry budget allow it.
	failureCost          = 1.0
	retryableFailureCost = 0.5
	// failureDecay is the time in which the cost of a reported failure rate
	// falls to 1/e.
	failureDecay = 6 * time.Second
	thousandths  = 1000 // The unit of call.Load.Failing.
	// tailScale is the scale of the distribution of service times above their
	// mean, as a fraction of the mean.
	tailScale = 0.85
)

// failureCost returns the cost of the failure rate that the inbound proxy of a
// target has reported. The cost decays with the age of the report, so that the
// upstream is tried again.
func (b *Balancer) failureCost(now time.Time, q Query, t feed.Target) float64 {
	s := b.states[keyOf(t)]
	if s == nil || s.load.Failing == 0 {
		return 0
	}
	age := now.Sub(s.loadTime).Seconds()
	cost := failureCost
	if q.Retryable {
		cost = retryableFailureCost
	}
	return cost * float64(s.load.Failing) / thousandths * math.Exp(-age/failureDecay.Seconds())
}

// missProbability returns the approximate probability that a call misses an
// objective with the given seconds remaining; they may be negative.
func missProbability(e estimate, remaining float64) float64 {
	if remaining <= e.wait {
		return 1
	}
	return math.Exp(-(remaining - e.wait) / (tailScale * e.service))
}

// slowStartShare returns the fraction of its share of calls that a target gets.
// It grows linearly to 1 while the target is new.
func (b *Balancer) slowStartShare(now time.Time, t feed.Target) float64 {
	age := now.Sub(t.Since)
	if age >= b.config.SlowStart {
		return 1
	}
	return max(minSlowStartShare, age.Seconds()/b.config.SlowStart.Seconds())
}
