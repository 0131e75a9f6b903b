// Package quota enforces the limits of teams over all daemons: a Holder at each daemon is
// a token bucket per team, whose rate and size are a share of the team's limit, and the
// Allocator at the leader of the source divides each limit into such shares, as leases.
//
// Both are decision cores: they read no clock and do no I/O. Times are those of a clock
// that also counts while the host is suspended, since a lease ends by the time.
//
// In every window of length w, the calls that all holders together grant to a team are at
// most Limit.Rate x w + Limit.Burst. The shares of all holders and the allocator's own add
// up to at most the limit, at any time, and so do the tokens in all buckets: what a holder
// gets more, the allocator takes from its own bucket.
package quota

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// The times of a lease. The allocator counts from the arrival of a request and the holder
// from its sending, so that the holder is always the first to regard the lease as over.
const (
	// LeaseTime is how long a lease lasts after its holder sent the request.
	LeaseTime = 2 * time.Second
	// ReplyTime is how long after its request a reply is accepted.
	ReplyTime = 500 * time.Millisecond
	// LeaderTime is how long after a quorum confirmed its leadership a leader grants.
	LeaderTime = 500 * time.Millisecond
	// bookTime is how long the allocator keeps a share after a request. A holder may
	// have sent a request at the end of its lease to a new leader, which renews the lease
	// while the previous leader may still grant.
	bookTime = LeaseTime + ReplyTime + LeaderTime
	// silentTime is how long a new leader only renews. By then all leases of the previous
	// leader are over, or the new one has renewed them.
	silentTime = LeaseTime + LeaderTime + 100*time.Millisecond
)

// Amount is a number of calls, or of calls per second, in thousandths.
type Amount int64

// call is the Amount of one call.
const call Amount = 1000

// amountOf returns f calls as an Amount, rounded down and limited to what shares can add up
// to without an overflow.
func amountOf(f float64) Amount {
	return Amount(math.Floor(max(0, min(f, maxCalls)) * float64(call)))
}

// maxCalls limits a rate, in calls per second, and a burst, in calls.
const maxCalls = 1e12

// Limit is the limit of a team over all daemons. The zero value allows no calls.
type Limit struct {
	Rate  Amount // Per second.
	Burst Amount
}

// Config tells how much of what is tolerated beyond the configured limits is used. The zero
// value uses nothing.
type Config struct {
	// In each Window, a team may make Over of its limit (0.1: a tenth) and Slack calls
	// more.
	Window time.Duration
	Over   float64
	Slack  float64
	// Used is the fraction of that which is used. Calls that arrive at random at many
	// daemons need larger buckets than one daemon alone would.
	Used float64
	// Sustained is the fraction of the burst, with what is used, that a team gets anew in
	// each Window, as a higher rate in place of a larger bucket. What a team may do in a
	// Window is the same.
	Sustained float64
}

// Limit returns the limit to enforce for a team with a rate, in calls per second, and a
// burst, in calls.
func (c Config) Limit(rate, burst float64) Limit {
	window := c.Window.Seconds()
	burst += c.Used * (c.Over*(rate*window+burst) + c.Slack)
	if c.Sustained == 0 {
		return Limit{Rate: amountOf(rate), Burst: amountOf(burst)}
	}
	return Limit{Rate: amountOf(rate + c.Sustained*burst/window), Burst: amountOf((1 - c.Sustained) * burst)}
}

// ID identifies a team in messages. Teams with equal IDs share the smallest of their limits.
type ID uint32

// IDOf returns the ID of the team with the given name.
func IDOf(name string) ID { return ID(xxh3.HashString(name)) }

// burstGoal returns the bucket size, in calls, that a daemon with a rate needs at the given
// demand, in calls per second, so that calls which arrive at random seldom find the bucket
// empty between two requests.
func burstGoal(demand float64) float64 {
	const deviations = 3
	return deviations * math.Sqrt(demand*requestInterval.Seconds())
}

// needBetweenRequests returns how many calls, at the given demand in calls per second, may
// arrive between two requests.
func needBetweenRequests(demand float64) float64 {
	const deviations = 2
	mean := demand * requestInterval.Seconds()
	return mean + deviations*math.Sqrt(mean)
}
