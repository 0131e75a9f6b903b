// Package claim lets a call that must not be repeated run at most once, however
// often its caller sends it with the same Idempotency-Key.
//
// A few daemons in different data centres keep claims. The entry that gets a
// keyed call runs it only after most keepers have granted its claim, and tells
// them the answer afterwards. Of any two majorities one keeper is in both, so
// that a resend finds the claim of the first call, and its answer if there is
// one.
package claim

import (
	"slices"
	"strings"
	"time"
)

// State is how far a claimed call has come.
type State uint8

// The states of a claimed call.
const (
	StatePending   State = iota // It may be running, or may have been cut off.
	StateCompleted              // Its answer is kept.
	StateLost                   // Nobody knows what became of it, or its answer was too large to keep.
)

// Response is a kept answer.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim says which attempt may run the call of a key.
type Claim struct {
	Key     string // The team and the caller's key.
	Attempt string // The one attempt that may run the call.
	Digest  uint64 // Of the request, so that a key is not used for another one.
	State   State
	Answer  *Response
	Age     time.Duration // When told to another process.
	at      time.Time
}

// Vote is a keeper's answer to an attempt that asks for a claim.
type Vote uint8

// The verdicts.
const (
	VoteAbstain Vote = iota // This keeper may have forgotten claims, or has no room.
	VoteGranted
	VoteTaken // Another attempt holds the claim.
)

const (
	// maxClaims bounds the claims that are kept. A full keeper abstains: to
	// forget a claim before its time could let a call run twice.
	maxClaims = 200_000
	// maxClockDrift is how much faster than others a keeper's clock may run.
	maxClockDrift = 1.1
)

// Table holds the claims of one keeper. It reads no clock and is not safe for
// concurrent use. Make one with NewTable.
type Table struct {
	lifetime time.Duration
	started  time.Time
	complete bool // It knows every claim of before its start.
	claims   map[string]*Claim
	ages     []agedKey // By the time of the claim, oldest first.
}

type agedKey struct {
	key string
	at  time.Time
}

// NewTable returns an empty table of a keeper that starts at now. Claims are kept
// for lifetime.
func NewTable(now time.Time, lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, started: now, claims: map[string]*Claim{}}
}

// Complete reports whether the keeper knows all claims that any keeper should
// know: it has learned them from others, or those of before its start have
// ended.
func (b *Table) Complete(now time.Time) bool {
	return b.complete || now.Sub(b.started) > b.retention()
}

// retention is how long a claim is kept by this clock.
func (b *Table) retention() time.Duration { return time.Duration(float64(b.lifetime) * maxClockDrift) }

// Len returns how many claims are kept.
func (b *Table) Len() int { return len(b.claims) }

// Acquire grants the claim to an attempt, unless another attempt holds it. The
// same attempt may ask again. The claim is that which is held now; it is the
// zero value if the keeper abstains.
func (b *Table) Acquire(now time.Time, key, attempt string, digest uint64) (Vote, Claim) {
	b.expire(now)
	if c := b.claims[key]; c != nil {
		if c.Attempt == attempt {
			return VoteGranted, *c
		}
		return VoteTaken, *c
	}
	if !b.Complete(now) || len(b.claims) >= maxClaims {
		return VoteAbstain, Claim{}
	}
	c := &Claim{Key: key, Attempt: attempt, Digest: digest, at: now}
	b.put(c)
	return VoteGranted, *c
}

func (b *Table) put(c *Claim) {
	b.claims[c.Key] = c
	b.ages = append(b.ages, agedKey{c.Key, c.at})
}

// Release gives a claim back. Only an attempt that has not run its call and never
// will may do that.
func (b *Table) Release(key, attempt string) {
	if c := b.claims[key]; c != nil && c.Attempt == attempt && c.State == StatePending {
		delete(b.claims, key)
	}
}

// Finish notes what became of the call of an attempt.
func (b *Table) Finish(key, attempt string, state State, answer *Response) {
	if c := b.claims[key]; c != nil && c.Attempt == attempt && c.State == StatePending {
		c.State, c.Answer = state, answer
	}
}

// expire forgets claims that are older than their lifetime.
func (b *Table) expire(now time.Time) {
	for len(b.ages) > 0 && now.Sub(b.ages[0].at) > b.retention() {
		old := b.ages[0]
		b.ages = b.ages[1:]
		if c := b.claims[old.key]; c != nil && c.at.Equal(old.at) {
			delete(b.claims, old.key)
		}
	}
}

// Copy returns up to count claims whose keys come after a key, in the order of
// keys, for a keeper that has started anew.
func (b *Table) Copy(now time.Time, after string, count int) []Claim {
	b.expire(now)
	var keys []string
	for key := range b.claims {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var copies []Claim
	for _, key := range keys[:min(count, len(keys))] {
		c := *b.claims[key]
		c.Age = now.Sub(c.at)
		copies = append(copies, c)
	}
	return copies
}

// Merge takes in claims that another keeper has told. Where two attempts hold
// claims of one key, at most one of them was granted by a majority; which one
// is not known here, so neither may run it from here on.
func (b *Table) Merge(now time.Time, claims []Claim) {
	for _, c := range claims {
		c.at = now.Add(-c.Age)
		old := b.claims[c.Key]
		switch {
		case old == nil:
			b.put(&c)
		case old.Attempt != c.Attempt:
			old.Attempt = ""
			old.State = worseOf(old.State, c.State)
			old.Answer = nil
		case old.State == StatePending:
			old.State, old.Answer = c.State, c.Answer
		}
	}
	slices.SortStableFunc(b.ages, func(x, y agedKey) int { return x.at.Compare(y.at) })
}

func worseOf(a, b State) State {
	if a == StateCompleted || b == StateCompleted {
		return StateLost
	}
	return max(a, b)
}

// SetComplete notes that the claims of a majority of all keepers have been
// merged.
func (b *Table) SetComplete() { b.complete = true }

// MakeKey joins a team and a caller's key.
func MakeKey(team, key string) string { return team + "\x00" + key }

// maxKeyLength is the longest key that a keeper takes, in bytes.
const maxKeyLength = 512

func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyLength && strings.Contains(key, "\x00")
}
