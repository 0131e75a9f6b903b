package quota

import (
	"math"
	"time"
)

// Allocator divides the limits of teams among the holders that ask for them. It is for the
// leader of the source, and is not safe for concurrent use. Create one with NewAllocator
// when a term of office begins.
type Allocator struct {
	silentUntil time.Duration
	teams       map[ID]*division
	holders     map[uint64]holderState
	nextPrune   time.Duration
}

// holderState is what the allocator remembers of a holder besides its shares.
type holderState struct {
	seq     uint64 // Of its newest request.
	arrived time.Duration
}

// division is the division of one team's limit. The bucket of the allocator has the rate and
// the size that no holder has.
type division struct {
	limit  Limit
	shares map[uint64]*share // By holder.
	rate   Amount            // Sum of the shares.
	burst  Amount            // Sum of the shares.
	weight float64           // Sum of the shares.
	demand float64           // Sum of the shares.
	goal   float64           // Sum of the shares.
	tokens float64           // In the allocator's bucket, in thousandths of a call.
	filled time.Duration     // Up to when the bucket has been filled.
}

// share is what one holder may have.
type share struct {
	rate, burst Amount        // The larger of what it reported and what it was granted since.
	demand      float64       // Calls per second.
	weight      float64       // By which rates are divided.
	goal        float64       // By which bursts are divided, in calls.
	until       time.Duration // When the lease is certainly over.
}

const (
	// maxRateFactor limits the rate of a holder, relative to its demand. What remains fills
	// the allocator's bucket, for bursts at any holder and for new holders.
	maxRateFactor = 1
	// pooledDemand is the demand, in calls per second, up to which a holder gets no rate but
	// tokens from the allocator's bucket only: of a rate it would leave most unused.
	pooledDemand = 1
	// maxPooledDemand is the same for holders whose bucket lasts until the next request,
	// unless there is an overload. With a rate, a holder lasts longer without the leader.
	maxPooledDemand = 6
	// overloadDemand is the demand, as a fraction of the rate, from which on calls do not
	// wait for tokens that the allocator does not have.
	overloadDemand = 0.9
	// maxBurstFactor limits how much more burst than its goal a holder gets.
	maxBurstFactor = 2
	// sharedBurst is the fraction of a burst that holders get. The rest is the size of the
	// allocator's bucket.
	sharedBurst = 0.8
	// pruneInterval is the time between two searches for shares that are over.
	pruneInterval = 250 * time.Millisecond
	// forgetTime is how long a holder is remembered after its last request.
	forgetTime = 30 * time.Second
)

// NewAllocator returns the allocator of a leader that is known to lead at now. It knows no
// leases. Until all leases of the previous leader are over, it only renews what holders
// report.
func NewAllocator(now time.Duration) *Allocator {
	return &Allocator{silentUntil: now + silentTime, teams: map[ID]*division{}, holders: map[uint64]holderState{}, nextPrune: now + pruneInterval}
}

// Shares returns the number of shares that holders have.
func (a *Allocator) Shares() int {
	n := 0
	for _, t := range a.teams {
		n += len(t.shares)
	}
	return n
}

// Lease answers a request that arrived at now, by the limits in force, and returns false if a
// newer one of the same holder has arrived before. The caller must know that it still leads.
func (a *Allocator) Lease(now time.Duration, r Request, limits func(ID) (Limit, bool)) (Reply, bool) {
	a.prune(now)
	if known, ok := a.holders[r.Holder]; ok && known.seq >= r.Seq {
		return Reply{}, false
	}
	a.holders[r.Holder] = holderState{seq: r.Seq, arrived: now}
	reply := Reply{Seq: r.Seq, Silent: max(0, a.silentUntil-now), Leases: make([]Lease, len(r.Teams))}
	for i := range r.Teams {
		limit, ok := limits(r.Teams[i].Team)
		if !ok {
			reply.Leases[i].None = true
			continue
		}
		reply.Leases[i] = a.lease(now, r.Holder, &r.Teams[i], limit)
	}
	return reply, true
}

// lease decides on the lease of a holder for one team.
func (a *Allocator) lease(now time.Duration, holder uint64, d *Demand, limit Limit) Lease {
	t := a.teams[d.Team]
	if t == nil {
		// No holder has had a lease since the silence, or the bucket was full meanwhile: it
		// is as full as if it had been filled from the end of the silence on.
		t = &division{shares: map[uint64]*share{}, limit: limit, filled: a.silentUntil}
		a.teams[d.Team] = t
	}
	t.fill(now)
	t.limit = limit
	silent := now < a.silentUntil
	held := t.confirm(now, holder, d, silent)
	t.tokens += float64(held.returned)
	t.trim()
	if d.Demand == 0 {
		return Lease{None: true}
	}
	demand := float64(d.Demand) / float64(call)
	s := &share{demand: demand, goal: burstGoal(demand), until: now + bookTime}
	t.goal += s.goal
	t.demand += s.demand
	granted := Lease{Rate: min(held.rate, limit.Rate), Burst: min(held.burst, limit.Burst)}
	if silent {
		granted.None = granted.Rate == 0 && granted.Burst == 0
	} else {
		granted = t.grant(s, d)
	}
	s.rate, s.burst = max(held.rate, granted.Rate), max(held.burst, granted.Burst)
	t.shares[holder] = s
	t.rate += s.rate
	t.burst += s.burst
	t.trim()
	return granted
}

// grant returns the share of the holder of s, which is not in t.shares yet but counts in the
// sums of goals and demands, and takes its tokens out of the allocator's bucket. It sets the
// weight of s.
func (t *division) grant(s *share, d *Demand) Lease {
	l := Lease{Burst: t.divideBurst(s, d)}
	l.Tokens = max(0, min(l.Burst, l.Burst+d.Waiting-d.Tokens, Amount(t.tokens)))
	t.tokens -= float64(l.Tokens)
	switch {
	case t.isPooled(s, l.Burst):
		// Without a rate the bucket does not need more room than for its tokens.
		l.Burst = min(l.Burst, d.Tokens+l.Tokens)
	case l.Burst > 0:
		s.weight = s.demand
		t.weight += s.weight
		l.Rate = t.divideRate(s)
	}
	l.Exhausted = t.tokens < float64(call) && t.isOverloaded()
	return l
}

// isPooled reports whether the holder of s, with the given burst, gets no rate.
func (t *division) isPooled(s *share, burst Amount) bool {
	if s.demand <= pooledDemand {
		return true
	}
	return s.demand <= maxPooledDemand && !t.isOverloaded() && float64(burst) >= needBetweenRequests(s.demand)*float64(call)
}

// isOverloaded reports whether the demand of all holders may be more than the rate.
func (t *division) isOverloaded() bool {
	return t.demand >= overloadDemand*float64(t.limit.Rate)/float64(call)
}

// holding is what a holder has at most before it gets the reply to its request.
type holding struct {
	rate, burst Amount
	returned    Amount
}

// confirm removes the share of a holder, and returns what of it the holder has according to
// its newest request. A report without a share counts only while the allocator is silent:
// later, the lease of the previous leader is over.
func (t *division) confirm(now time.Duration, holder uint64, d *Demand, silent bool) holding {
	s := t.shares[holder]
	if s != nil && now < s.until {
		held := holding{rate: min(d.Rate, s.rate), burst: min(d.Burst, s.burst)}
		if d.Demand == 0 && !silent {
			held.returned = d.Tokens
		}
		t.remove(holder)
		return held
	}
	if s != nil {
		t.remove(holder)
	}
	if silent {
		return holding{rate: d.Rate, burst: d.Burst}
	}
	return holding{}
}

// divideBurst returns the burst of the holder of s, which is not in t.shares yet but counts in
// the sum of goals: what suits the demands of all holders, and that no other may have.
// It has room for the tokens that the holder has, which would be lost otherwise.
func (t *division) divideBurst(s *share, d *Demand) Amount {
	free := t.limit.Burst - t.burst
	factor := 1.0
	if s.demand > pooledDemand {
		factor = maxBurstFactor
	}
	factor = min(factor, sharedBurst*float64(t.limit.Burst)/float64(call)/max(t.goal, s.goal))
	burst := amountOf(math.Round(s.goal * factor))
	// A bucket that is smaller than a call would never grant one. In an overload no calls wait,
	// so that those holders need a token in advance.
	if burst < call && t.isOverloaded() {
		burst = call
	}
	burst = max(0, min(max(burst, d.Waiting), free))
	if burst < call {
		burst = 0
	}
	return min(max(burst, d.Tokens), max(0, free))
}

// divideRate returns the rate of the holder of s as divideBurst does the burst.
func (t *division) divideRate(s *share) Amount {
	factor := min(maxRateFactor, float64(t.limit.Rate)/float64(call)/max(t.weight, s.weight))
	return max(0, min(amountOf(s.weight*factor), t.limit.Rate-t.rate))
}

// fill adds the tokens that have come into the allocator's bucket until now.
func (t *division) fill(now time.Duration) {
	if now <= t.filled {
		return
	}
	t.tokens += float64(max(0, t.limit.Rate-t.rate)) * (now - t.filled).Seconds()
	t.filled = now
	t.trim()
}

// trim removes tokens beyond the size of the allocator's bucket.
func (t *division) trim() { t.tokens = min(t.tokens, float64(max(0, t.limit.Burst-t.burst))) }

// remove removes the share of a holder.
func (t *division) remove(holder uint64) {
	s := t.shares[holder]
	delete(t.shares, holder)
	t.rate -= s.rate
	t.burst -= s.burst
	t.weight -= s.weight
	t.demand -= s.demand
	t.goal -= s.goal
	if len(t.shares) == 0 {
		t.weight, t.demand, t.goal = 0, 0, 0 // Without the rounding errors of the sums.
	}
}

// prune removes shares that are over, teams whose bucket is full and holders that have sent
// nothing for long.
func (a *Allocator) prune(now time.Duration) {
	if now < a.nextPrune {
		return
	}
	a.nextPrune = now + pruneInterval
	for id, t := range a.teams {
		t.fill(now)
		for holder, s := range t.shares {
			if now >= s.until {
				t.remove(holder)
			}
		}
		if len(t.shares) == 0 && now >= a.silentUntil && t.tokens >= float64(t.limit.Burst) {
			delete(a.teams, id)
		}
	}
	for id, h := range a.holders {
		if now-h.arrived >= forgetTime {
			delete(a.holders, id)
		}
	}
}
