package claim

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// ClientConfig configures a Client. All fields are required.
type ClientConfig struct {
	Host        string        // Of this daemon.
	Incarnation uint64        // Of this daemon, so that attempts of different incarnations differ.
	Replicas    []string      // The addresses of all claim replicas.
	Lifetime    time.Duration // How long the replicas store a claim.
	Clock       func() time.Time
	Call        CallFunc
}

// Client acquires claims from the claim replicas for an outbound proxy. It is
// safe for concurrent use. Create one with NewClient.
type Client struct {
	config        ClientConfig
	listDigest    uint64
	lastAttempt   atomic.Uint64 // The number of the newest attempt.
	notifications chan struct{} // Holds one element for each notification in progress.
}

// maxNotifications limits how many notifications of finished or released claims
// may be in progress at once.
const maxNotifications = 1024

// NewClient returns a client for the replicas of c.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, listDigest: ListDigest(c.Replicas), notifications: make(chan struct{}, maxNotifications)}
}

// Grant is a claim that a majority of the replicas has granted to an attempt.
// Its owner ends it with one call of Release, Complete or MarkLost. These return
// at once and report no failure. If the replicas do not get the request, a retry of
// the call finds the claim pending until the claim expires.
type Grant struct {
	client  *Client
	key     string
	attempt string
	expiry  time.Time
}

// Expiry returns the time from which the call must not be executed any more. It
// must be checked just before the call is sent to the upstream, since the process
// may have been paused. It is half of the lifetime after the attempt began; the
// other half allows for clock drift before the replicas drop the claim.
func (g *Grant) Expiry() time.Time { return g.expiry }

// Acquire requests the claim of a key from all replicas. It waits for their votes,
// at most for roundTimeout and until the deadline. Exactly one result is not nil:
// the granted claim, which the caller must end, or the stored response of an
// earlier call, or an error. The error has the execution state NotExecuted only if
// the key is malformed or was used for another request. In all other cases an
// earlier call with that key may have been executed.
func (c *Client) Acquire(deadline time.Time, key string, digest uint64) (*Grant, *Response, *call.Error) {
	if !validKey(key) {
		return nil, nil, call.NotExecutedError(call.ReasonBadCall)
	}
	start := c.config.Clock()
	g := &Grant{client: c, key: key, attempt: c.nextAttempt(), expiry: start.Add(c.config.Lifetime / 2)}
	timeout := min(roundTimeout, deadline.Sub(start))
	granted, existing := c.requestVotes(g, digest, timeout)
	// A process that was paused meanwhile must not use votes that are too old.
	inTime := c.config.Clock().Sub(start) <= roundTimeout
	if granted >= majority(len(c.config.Replicas)) && inTime {
		return g, nil, nil
	}
	g.Release()
	if existing == nil {
		return nil, nil, call.UnknownError(call.ReasonKeyUnproved)
	}
	switch {
	case existing.Digest != digest:
		return nil, nil, call.NotExecutedError(call.ReasonKeyReused)
	case existing.State == StateCompleted:
		return nil, existing.Answer, nil
	case existing.State == StateLost:
		return nil, nil, call.UnknownError(call.ReasonKeyLost)
	default:
		return nil, nil, call.UnknownError(call.ReasonKeyPending)
	}
}

// nextAttempt returns an identifier that no other attempt of any daemon has.
func (c *Client) nextAttempt() string {
	return c.config.Host + "/" + strconv.FormatUint(c.config.Incarnation, 36) + "/" + strconv.FormatUint(c.lastAttempt.Add(1), 36)
}

// requestVotes asks all replicas at once. It returns as soon as a majority has
// granted the claim. Otherwise it returns a claim that another attempt holds,
// if any; a completed one is preferred.
func (c *Client) requestVotes(g *Grant, digest uint64, timeout time.Duration) (granted int, existing *Claim) {
	args := TakeArgs{List: c.listDigest, Key: g.key, Attempt: g.attempt, Digest: digest}
	replies := make(chan TakeReply, len(c.config.Replicas))
	for _, address := range c.config.Replicas {
		go func() {
			var reply TakeReply
			if c.config.Call(address, "Claims.Take", args, &reply, timeout) != nil {
				replies <- TakeReply{} // A late response may still be written to reply.
				return
			}
			replies <- reply
		}()
	}
	for range c.config.Replicas {
		switch r := <-replies; {
		case r.Verdict == VoteGranted && r.Claim.State == StatePending:
			granted++
		case r.Verdict == VoteTaken && (existing == nil || r.Claim.State == StateCompleted):
			existing = &r.Claim
		}
		if granted >= majority(len(c.config.Replicas)) {
			return granted, nil
		}
	}
	return granted, existing
}

// Release lets other attempts acquire the claim, after a call that was not
// executed.
func (g *Grant) Release() {
	g.notify("Claims.Free", FreeArgs{Key: g.key, Attempt: g.attempt}, func() any { return &FreeReply{} })
}

// Complete stores the response at the replicas, for retries of the call.
func (g *Grant) Complete(r *Response) { g.finish(StateCompleted, r) }

// MarkLost records at the replicas that the outcome of the call is unknown, or
// that its response cannot be stored.
func (g *Grant) MarkLost() { g.finish(StateLost, nil) }

func (g *Grant) finish(s State, r *Response) {
	args := FinishArgs{Key: g.key, Attempt: g.attempt, State: s, Answer: r}
	g.notify("Claims.Finish", args, func() any { return &FinishReply{} })
}

// notify sends a request to all replicas without waiting for the replies. It
// drops the request if maxNotifications are in progress. A retry of the call
// then finds the claim still pending, and is not executed.
func (g *Grant) notify(method string, args any, newReply func() any) {
	select {
	case g.client.notifications <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-g.client.notifications }()
		done := make(chan error, len(g.client.config.Replicas))
		for _, address := range g.client.config.Replicas {
			go func() { done <- g.client.config.Call(address, method, args, newReply(), roundTimeout) }()
		}
		for range g.client.config.Replicas {
			<-done
		}
	}()
}
