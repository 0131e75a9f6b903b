// Package claim ensures that a call that must not be retried is executed at
// most once, however often its caller sends it with the same Idempotency-Key.
//
// A few daemons in different data centres are claim replicas. The outbound
// proxy that receives a call with such a key forwards it only after a majority of
// the replicas has granted its claim, and reports the response to them afterwards.
// Any two majorities share at least one replica, so a retry finds the claim of
// the first call, and its response if one is stored.
package claim

import (
	"slices"
	"strings"
	"time"
)

// State is the progress of a claimed call. Its values are sent between
// processes.
type State uint8

// States of a claimed call.
const (
	StatePending   State = iota // It may be executing, or its attempt may have been cut off.
	StateCompleted              // Its response is stored.
	StateLost                   // Its outcome is unknown, or its response was too large to store.
)

// Response is the stored response of a completed call.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim is the exclusive right of one attempt to execute the call with a key.
type Claim struct {
	Key        string // The team and the caller's key, joined by MakeKey.
	Attempt    string // The attempt that may execute the call; empty if no attempt may.
	Digest     uint64 // A hash of the request, to detect that a key is reused for another one.
	State      State
	Answer     *Response     // Set in StateCompleted only.
	Age        time.Duration // Time since the claim was acquired; set only in claims sent to another replica.
	acquiredAt time.Time     // By the clock of this replica.
}

// Vote is a claim replica's reply to an attempt that requests a claim.
type Vote uint8

// Votes of a claim replica.
const (
	VoteAbstain Vote = iota // The replica may lack claims granted before its start, or its table is full.
	VoteGranted             // The attempt holds the claim.
	VoteTaken               // Another attempt holds the claim.
)

const (
	// maxClaims limits the number of claims in a table. A full replica
	// abstains, since dropping a claim before it expires could let a call
	// execute twice.
	maxClaims = 200_000
	// maxClockRatio is the assumed bound on the speed of a replica's clock: at
	// most this many times that of any other process.
	maxClockRatio = 1.1
)

// Table holds the claims of one replica. It reads no clock and is not safe for
// concurrent use. Create one with NewTable.
type Table struct {
	lifetime time.Duration
	started  time.Time
	complete bool // Set once the claims granted before the start have been merged.
	claims   map[string]*Claim
	byAge    []datedKey // In the order of acquisition, oldest first; may name released claims.
}

// datedKey is a key with the time at which its claim was acquired. A key that
// was released and claimed again has several entries, which the times tell
// apart.
type datedKey struct {
	key        string
	acquiredAt time.Time
}

// NewTable returns the empty table of a replica that starts at now. Claims
// expire after lifetime.
func NewTable(now time.Time, lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, started: now, claims: map[string]*Claim{}}
}

// Complete reports whether the table holds every unexpired claim that this
// replica may have granted: it has merged the claims of the other replicas, or
// all claims granted before its start have expired.
func (t *Table) Complete(now time.Time) bool {
	return t.complete || now.Sub(t.started) > t.retention()
}

// retention returns how long this replica stores a claim by its own clock: the
// lifetime, extended for a clock that runs fast.
func (t *Table) retention() time.Duration { return time.Duration(float64(t.lifetime) * maxClockRatio) }

// Len returns the number of stored claims. Expired claims count until the next
// call of Acquire or Copy.
func (t *Table) Len() int { return len(t.claims) }

// Acquire grants the claim of key to an attempt, unless another attempt holds
// it. The attempt that holds it may ask again. The returned claim is the
// current one, or the zero value if the vote is VoteAbstain. A table that is not
// complete grants no claim, not even one that it has copied: the replica may have
// granted another attempt that claim before its start.
func (t *Table) Acquire(now time.Time, key, attempt string, digest uint64) (Vote, Claim) {
	t.expire(now)
	c := t.claims[key]
	switch {
	case c != nil && c.Attempt != attempt:
		return VoteTaken, *c
	case !t.Complete(now):
		return VoteAbstain, Claim{}
	case c != nil:
		return VoteGranted, *c
	case len(t.claims) >= maxClaims:
		return VoteAbstain, Claim{}
	}
	c = &Claim{Key: key, Attempt: attempt, Digest: digest, acquiredAt: now}
	t.insert(c)
	return VoteGranted, *c
}

// insert adds a claim. The caller keeps byAge sorted if the claim is not the
// newest.
func (t *Table) insert(c *Claim) {
	t.claims[c.Key] = c
	t.byAge = append(t.byAge, datedKey{c.Key, c.acquiredAt})
}

// Release drops the pending claim of an attempt, so that another attempt can
// acquire it. Only an attempt that has not executed its call and never will may
// release its claim.
func (t *Table) Release(key, attempt string) {
	if c := t.claims[key]; c != nil && c.Attempt == attempt && c.State == StatePending {
		delete(t.claims, key)
	}
}

// Finish records the outcome of the call of an attempt. It does nothing unless
// the attempt holds the claim and the claim is pending.
func (t *Table) Finish(key, attempt string, state State, response *Response) {
	if c := t.claims[key]; c != nil && c.Attempt == attempt && c.State == StatePending {
		c.State, c.Answer = state, response
	}
}

// expire drops claims that are older than the retention.
func (t *Table) expire(now time.Time) {
	for len(t.byAge) > 0 && now.Sub(t.byAge[0].acquiredAt) > t.retention() {
		oldest := t.byAge[0]
		t.byAge = t.byAge[1:]
		if c := t.claims[oldest.key]; c != nil && c.acquiredAt.Equal(oldest.acquiredAt) {
			delete(t.claims, oldest.key)
		}
	}
}

// Copy returns up to limit claims whose keys sort after a key, in key order,
// for a replica that has restarted.
func (t *Table) Copy(now time.Time, after string, limit int) []Claim {
	t.expire(now)
	// The buffer holds the smallest keys so far. Whenever it is full, the larger half goes.
	keys := make([]string, 0, 2*limit)
	cutoff := "" // No key from here on is among the smallest; empty if unknown.
	for key := range t.claims {
		if key <= after || cutoff != "" && key >= cutoff {
			continue
		}
		if keys = append(keys, key); len(keys) == 2*limit {
			slices.Sort(keys)
			keys = keys[:limit]
			cutoff = keys[limit-1]
		}
	}
	slices.Sort(keys)
	var copies []Claim
	for _, key := range keys[:min(limit, len(keys))] {
		c := *t.claims[key]
		c.Age = now.Sub(c.acquiredAt)
		copies = append(copies, c)
	}
	return copies
}

// Merge adds claims received from another replica. If two attempts hold claims
// of one key, at most one of them was granted by a majority. Which one is
// unknown here, so from now on this replica grants the claim to neither.
func (t *Table) Merge(now time.Time, claims []Claim) {
	for _, c := range claims {
		c.acquiredAt = now.Add(-c.Age)
		known := t.claims[c.Key]
		switch {
		case known == nil:
			t.insert(&c)
		case known.Attempt != c.Attempt:
			known.Attempt = ""
			known.State = conflictState(known.State, c.State)
			known.Answer = nil
		case known.State == StatePending:
			known.State, known.Answer = c.State, c.Answer
		}
	}
	slices.SortStableFunc(t.byAge, func(x, y datedKey) int { return x.acquiredAt.Compare(y.acquiredAt) })
}

// conflictState returns the state of a key that two attempts claim. A stored
// response is not used, since it may be that of the attempt without a majority.
func conflictState(a, b State) State {
	if a == StateCompleted || b == StateCompleted {
		return StateLost
	}
	return max(a, b)
}

// SetComplete records that the claims of a majority of all replicas have been
// merged, or that no claims were ever granted.
func (t *Table) SetComplete() { t.complete = true }

// MakeKey joins a team and a caller's key, so that keys of different teams
// never collide.
func MakeKey(team, key string) string { return team + "\x00" + key }

// maxKeyBytes is the maximum length in bytes of a key with its team.
const maxKeyBytes = 512

// validKey reports whether key has the form that MakeKey returns and is not too
// long.
func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && strings.Contains(key, "\x00")
}
