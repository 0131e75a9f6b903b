package quota

import (
	"math"
	"time"

	"github.com/endivewalk/endivewalk/internal/retryafter"
)

const (
	// requestInterval is the time between two requests of a holder with leases.
	requestInterval = 500 * time.Millisecond
	// lowInterval is the minimum time between two requests of a holder with a bucket that
	// is nearly empty, and earlyInterval of one with calls that wait for a reply.
	lowInterval   = 200 * time.Millisecond
	earlyInterval = 40 * time.Millisecond
	// demandTime is the time constant of the measured demand. It is shorter if demandCalls
	// calls arrive in less.
	demandTime  = time.Second
	demandCalls = 30
	// firstDemandTime is the time for which the first calls of a team are counted.
	firstDemandTime = 3 * time.Second
	// idleTime is how long after the last call of a team its lease is given up.
	idleTime = time.Second
	// lowFraction is the fraction of the wanted tokens below which a bucket is nearly empty.
	lowFraction = 0.3
	// lostFailures is the number of failed requests in a row after which calls no longer
	// wait for a reply.
	lostFailures = 2
	// unknownRetryTime is after how long a call should be retried if there is no lease, and
	// unknownRetryInterval the time between two such calls.
	unknownRetryTime     = 500 * time.Millisecond
	unknownRetryInterval = 20 * time.Millisecond
)

// Holder holds the leases of one daemon, and grants calls by them. It is not safe for
// concurrent use. Create one with NewHolder.
type Holder struct {
	id       uint64
	seq      uint64
	teams    map[ID]*bucket
	pending  []ID          // The teams of the request in flight, in order; nil if there is none.
	sentAt   time.Duration // When the newest request was built.
	everSent bool
	failures int           // Failed requests since the last reply.
	silent   time.Duration // Up to when the leader only renews leases.
}

// bucket is the token bucket of a team. Without a lease its rate, size and tokens are 0.
type bucket struct {
	rate, burst float64 // In thousandths.
	tokens      float64 // In thousandths of a call.
	filled      time.Duration
	until       time.Duration // When the lease ends.
	leased      bool
	exhausted   bool // The allocator had no tokens left at the last reply.

	arrived    int // Calls since measured.
	waiting    int // Calls since the newest request that may wait for a reply.
	demand     float64
	measured   time.Duration
	hasDemand  bool // demand has been measured before.
	lastCall   time.Duration
	retryAfter retryafter.Spacing
}

// NewHolder returns a holder without leases. id must differ for each start of each daemon.
func NewHolder(id uint64) *Holder { return &Holder{id: id, teams: map[ID]*bucket{}} }

// Result is what was decided on a call.
type Result struct {
	Granted bool
	// Limited reports, for a call that was not granted, whether the limit of the team is
	// reached. If not, it is not known whether it is.
	Limited bool
	// Wait reports whether the call may be granted after the next reply, so that it may
	// wait for that and then call Retake.
	Wait       bool
	RetryAfter time.Duration // For calls that were not granted.
	// Ask reports whether the next request may be due earlier because of the call.
	Ask bool
}

// Take decides on a call of a team at now and takes its token. limit is the limit of the team
// over all daemons according to the daemon's configuration, which may be lower than when the
// lease was granted.
func (h *Holder) Take(now time.Duration, team ID, limit Limit) Result {
	b := h.teams[team]
	if b == nil {
		b = &bucket{measured: now}
		h.teams[team] = b
	}
	b.arrived++
	b.lastCall = now
	return h.decide(now, b, limit)
}

// Retake decides again on a call that has waited.
func (h *Holder) Retake(now time.Duration, team ID, limit Limit) Result {
	b := h.teams[team]
	if b == nil {
		return h.Take(now, team, limit)
	}
	return h.decide(now, b, limit)
}

// decide implements Take and Retake.
func (h *Holder) decide(now time.Duration, b *bucket, limit Limit) Result {
	b.fill(now, limit)
	reachable := h.failures < lostFailures
	switch {
	case b.tokens >= float64(call):
		b.tokens -= float64(call)
		return Result{Granted: true, Ask: b.isLow()}
	case !b.leased && now < h.silent:
		return Result{RetryAfter: b.delay(now, h.silent-now, unknownRetryInterval), Ask: true}
	case !b.leased:
		if reachable {
			b.waiting++
		}
		return Result{Wait: reachable, RetryAfter: b.delay(now, unknownRetryTime, unknownRetryInterval), Ask: true}
	}
	rate := min(b.rate, float64(limit.Rate))
	wait, interval := max(requestInterval, h.silent-now), requestInterval
	if rate > 0 {
		interval = secondsOf(float64(call) / rate)
		wait = secondsOf((float64(call) - b.tokens) / rate)
		if limit.Rate > 0 {
			// The holder may get another share before.
			wait = min(wait, max(requestInterval, secondsOf(float64(call)/float64(limit.Rate))))
		}
	}
	// A silent leader gives no tokens, whether the limit is reached or not.
	granting := now >= h.silent
	r := Result{Limited: granting, Wait: granting && reachable && !b.exhausted}
	r.Ask = r.Wait
	if r.Wait {
		b.waiting++
	}
	r.RetryAfter = b.delay(now, wait, interval)
	return r
}

// delay returns after how long a call should be retried that could be granted after wait, if one
// more can in each interval.
func (b *bucket) delay(now, wait, interval time.Duration) time.Duration {
	return b.retryAfter.Delay(time.Unix(0, int64(now)), wait, interval)
}

// secondsOf returns a duration of the given length in seconds, at most an hour.
func secondsOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// GiveBack returns the token of a call that was granted and has not been executed.
func (h *Holder) GiveBack(now time.Duration, team ID, limit Limit) {
	b := h.teams[team]
	if b == nil {
		return
	}
	b.fill(now, limit)
	if b.leased {
		b.tokens = min(b.tokens+float64(call), min(b.burst, float64(limit.Burst)))
	}
}

// fill adds the tokens that have come into the bucket until now, and empties it if the lease
// has ended.
func (b *bucket) fill(now time.Duration, limit Limit) {
	if !b.leased {
		return
	}
	if now >= b.until {
		b.rate, b.burst, b.tokens, b.leased = 0, 0, 0, false
		return
	}
	if now > b.filled {
		b.tokens += min(b.rate, float64(limit.Rate)) * (now - b.filled).Seconds()
		b.filled = now
	}
	b.tokens = min(b.tokens, b.burst, float64(limit.Burst))
}

// noLimit is for the methods that do not know the limit of the team.
var noLimit = Limit{Rate: math.MaxInt64, Burst: math.MaxInt64}

// Due returns after how long the next request should be sent, and false if none is needed
// until a call arrives.
func (h *Holder) Due(now time.Duration) (time.Duration, bool) {
	if len(h.teams) == 0 {
		return 0, false
	}
	interval := requestInterval
	if h.failures > 0 {
		interval = lowInterval
	}
	for _, b := range h.teams {
		b.fill(now, noLimit)
		switch {
		case b.waiting > 0 && now >= h.silent && h.failures == 0:
			interval = min(interval, earlyInterval)
		case b.isLow():
			interval = min(interval, lowInterval)
		}
	}
	if !h.everSent {
		return 0, true
	}
	return max(0, h.sentAt+interval-now), true
}

// isLow reports whether the bucket may be empty before the next regular request, and whether the
// allocator may have tokens for it.
func (b *bucket) isLow() bool {
	return b.leased && !b.exhausted && b.arrived > 0 && b.tokens < lowFraction*b.wanted()
}

// wanted returns how many tokens the bucket should hold, in thousandths of a call.
func (b *bucket) wanted() float64 { return burstGoal(b.demand) * float64(call) }

// Request returns the next request, to be sent at once. Replies to earlier ones are not
// accepted any more.
func (h *Holder) Request(now time.Duration) Request {
	h.seq++
	h.sentAt, h.everSent = now, true
	h.pending = make([]ID, 0, len(h.teams))
	r := Request{Holder: h.id, Seq: h.seq, Teams: make([]Demand, 0, len(h.teams))}
	for id, b := range h.teams {
		b.fill(now, noLimit)
		d := Demand{Team: id, Rate: Amount(b.rate), Burst: Amount(b.burst), Tokens: Amount(b.tokens), Waiting: Amount(b.waiting) * call}
		if now-b.lastCall >= idleTime && b.waiting == 0 {
			delete(h.teams, id)
		} else {
			b.measure(now)
			d.Demand = max(1, amountOf(b.demand))
			b.waiting = 0
		}
		r.Teams = append(r.Teams, d)
		h.pending = append(h.pending, id)
	}
	return r
}

// measure updates the demand from the calls that have arrived.
func (b *bucket) measure(now time.Duration) {
	passed := (now - b.measured).Seconds()
	switch {
	case !b.hasDemand:
		b.demand = float64(b.arrived) / max(passed, firstDemandTime.Seconds())
		b.hasDemand = true
	case passed > 0:
		observed := float64(b.arrived) / passed
		average := min(demandTime.Seconds(), demandCalls/max(b.demand, observed, 1e-9))
		b.demand += (1 - math.Exp(-passed/average)) * (observed - b.demand)
	default:
		return
	}
	b.arrived, b.measured = 0, now
}

// Accept applies the reply to the newest request, and returns false if it is of another one
// or too late.
func (h *Holder) Accept(now time.Duration, r Reply) bool {
	if h.pending == nil || r.Seq != h.seq || now >= h.sentAt+ReplyTime || len(r.Leases) != len(h.pending) {
		return false
	}
	h.failures = 0
	h.silent = now + r.Silent
	for i, l := range r.Leases {
		b := h.teams[h.pending[i]]
		if b == nil {
			continue
		}
		b.fill(now, noLimit)
		b.exhausted = l.Exhausted
		if l.None {
			b.rate, b.burst, b.tokens, b.leased = 0, 0, 0, false
			continue
		}
		b.rate, b.burst = float64(l.Rate), float64(l.Burst)
		b.tokens = min(b.tokens+float64(l.Tokens), b.burst)
		b.leased, b.until, b.filled = true, h.sentAt+LeaseTime, now
	}
	h.pending = nil
	return true
}

// Fail records that the newest request got no reply that was accepted.
func (h *Holder) Fail() {
	h.pending = nil
	h.failures++
}

// Lost reports whether the source could not be asked lately.
func (h *Holder) Lost() bool { return h.failures >= lostFailures }

// Leases returns the number of leases that have not ended.
func (h *Holder) Leases(now time.Duration) int {
	n := 0
	for _, b := range h.teams {
		if b.leased && now < b.until {
			n++
		}
	}
	return n
}
