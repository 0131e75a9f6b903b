package claim

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// ClientConfig describes a Client. All fields are required.
type ClientConfig struct {
	Host        string
	Incarnation uint64 // Of the daemon.
	Replicas    []string
	Lifetime    time.Duration
	Clock       func() time.Time
	Call        Call
}

// Client is an entry's side towards the keepers. It is safe for concurrent use.
// Make one with NewClient.
type Client struct {
	config    ClientConfig
	list      uint64
	counter   atomic.Uint64
	notifying chan struct{} // Bounds the keepers that are being told at once.
}

// maxNotifying bounds how many calls' ends are being told to keepers at once.
const maxNotifying = 1024

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, list: ListDigest(c.Replicas), notifying: make(chan struct{}, maxNotifying)}
}

// Grant is a claim that an attempt holds.
type Grant struct {
	client  *Client
	key     string
	attempt string
	expiry  time.Time
}

// Expiry is when others may forget the claim. The call must not be run from then
// on, also not by a process that was frozen meanwhile. Half of the lifetime is
// left for clocks that differ.
func (h *Grant) Expiry() time.Time { return h.expiry }

// Acquire asks the keepers for the claim of a key. It returns the claim held, or
// the answer of the first call, or a refusal. A refusal says "not run" only of
// a key that came with another request; in all other cases an earlier call with
// that key may have run.
func (t *Client) Acquire(deadline time.Time, key string, digest uint64) (*Grant, *Response, *call.Error) {
	if !validKey(key) {
		return nil, nil, call.NotExecutedError(call.ReasonBadCall)
	}
	began := t.config.Clock()
	h := &Grant{client: t, key: key, attempt: t.nextAttempt(), expiry: began.Add(t.config.Lifetime / 2)}
	wait := min(maxRound, deadline.Sub(began))
	granted, taken := t.ask(h, digest, wait)
	// A process that was frozen meanwhile must not use what it gathered.
	inTime := t.config.Clock().Sub(began) <= maxRound
	if granted >= majority(len(t.config.Replicas)) && inTime {
		return h, nil, nil
	}
	h.Release()
	if taken == nil {
		return nil, nil, call.UnknownError(call.ReasonKeyUnproved)
	}
	switch {
	case taken.Digest != digest:
		return nil, nil, call.NotExecutedError(call.ReasonKeyReused)
	case taken.State == StateCompleted:
		return nil, taken.Answer, nil
	case taken.State == StateLost:
		return nil, nil, call.UnknownError(call.ReasonKeyLost)
	default:
		return nil, nil, call.UnknownError(call.ReasonKeyPending)
	}
}

func (t *Client) nextAttempt() string {
	return t.config.Host + "/" + strconv.FormatUint(t.config.Incarnation, 36) + "/" + strconv.FormatUint(t.counter.Add(1), 36)
}

// ask asks all keepers at once. It stops as soon as most have granted the
// claim. Otherwise it returns the claim of another attempt that says most.
func (t *Client) ask(h *Grant, digest uint64, wait time.Duration) (granted int, taken *Claim) {
	args := TakeArgs{List: t.list, Key: h.key, Attempt: h.attempt, Digest: digest}
	replies := make(chan TakeReply, len(t.config.Replicas))
	for _, address := range t.config.Replicas {
		go func() {
			var reply TakeReply
			if t.config.Call(address, "Claims.Take", args, &reply, wait) != nil {
				reply = TakeReply{}
			}
			replies <- reply
		}()
	}
	for range t.config.Replicas {
		switch r := <-replies; {
		case r.Verdict == VoteGranted && r.Claim.State == StatePending:
			granted++
		case r.Verdict == VoteTaken && (taken == nil || r.Claim.State == StateCompleted):
			taken = &r.Claim
		}
		if granted >= majority(len(t.config.Replicas)) {
			return granted, nil
		}
	}
	return granted, taken
}

// Release gives the claim back after a call that has not run.
func (h *Grant) Release() {
	h.notify("Claims.Free", FreeArgs{Key: h.key, Attempt: h.attempt}, func() any { return &FreeReply{} })
}

// Complete has the keepers keep the answer.
func (h *Grant) Complete(a *Response) { h.finish(StateCompleted, a) }

// MarkLost tells the keepers that nobody knows what became of the call, or that its
// answer can't be kept.
func (h *Grant) MarkLost() { h.finish(StateLost, nil) }

func (h *Grant) finish(s State, a *Response) {
	args := FinishArgs{Key: h.key, Attempt: h.attempt, State: s, Answer: a}
	h.notify("Claims.Finish", args, func() any { return &FinishReply{} })
}

// notify tells all keepers without waiting. If too many are being told already,
// it is left out: a resend then gets to know less, but is not run.
func (h *Grant) notify(method string, args any, reply func() any) {
	select {
	case h.client.notifying <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-h.client.notifying }()
		done := make(chan error, len(h.client.config.Replicas))
		for _, address := range h.client.config.Replicas {
			go func() { done <- h.client.config.Call(address, method, args, reply(), maxRound) }()
		}
		for range h.client.config.Replicas {
			<-done
		}
	}()
}
