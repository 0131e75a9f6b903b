package claim

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// TakerConfig describes a Taker. All fields are required.
type TakerConfig struct {
	Host        string
	Incarnation uint64 // Of the daemon.
	Keepers     []string
	Lifetime    time.Duration
	Clock       func() time.Time
	Call        Call
}

// Taker is an entry's side towards the keepers. It is safe for concurrent use.
// Make one with NewTaker.
type Taker struct {
	config  TakerConfig
	list    uint64
	counter atomic.Uint64
	telling chan struct{} // Bounds the keepers that are being told at once.
}

// tellingMost bounds how many calls' ends are being told to keepers at once.
const tellingMost = 1024

// NewTaker returns a taker.
func NewTaker(c TakerConfig) *Taker {
	return &Taker{config: c, list: ListDigest(c.Keepers), telling: make(chan struct{}, tellingMost)}
}

// Held is a claim that an attempt holds.
type Held struct {
	taker   *Taker
	key     string
	attempt string
	until   time.Time
}

// Until is when others may forget the claim. The call must not be run from then
// on, also not by a process that was frozen meanwhile. Half of the lifetime is
// left for clocks that differ.
func (h *Held) Until() time.Time { return h.until }

// Take asks the keepers for the claim of a key. It returns the claim held, or
// the answer of the first call, or a refusal. A refusal says "not run" only of
// a key that came with another request; in all other cases an earlier call with
// that key may have run.
func (t *Taker) Take(deadline time.Time, key string, digest uint64) (*Held, *Answer, *call.Refusal) {
	if !validKey(key) {
		return nil, nil, call.Refuse(call.ReasonBadCall)
	}
	began := t.config.Clock()
	h := &Held{taker: t, key: key, attempt: t.nextAttempt(), until: began.Add(t.config.Lifetime / 2)}
	wait := min(roundMost, deadline.Sub(began))
	granted, taken := t.ask(h, digest, wait)
	// A process that was frozen meanwhile must not use what it gathered.
	inTime := t.config.Clock().Sub(began) <= roundMost
	if granted >= majority(len(t.config.Keepers)) && inTime {
		return h, nil, nil
	}
	h.Free()
	if taken == nil {
		return nil, nil, call.Unknown(call.ReasonKeyUnproved)
	}
	switch {
	case taken.Digest != digest:
		return nil, nil, call.Refuse(call.ReasonKeyReused)
	case taken.State == StateAnswered:
		return nil, taken.Answer, nil
	case taken.State == StateLost:
		return nil, nil, call.Unknown(call.ReasonKeyLost)
	default:
		return nil, nil, call.Unknown(call.ReasonKeyPending)
	}
}

func (t *Taker) nextAttempt() string {
	return t.config.Host + "/" + strconv.FormatUint(t.config.Incarnation, 36) + "/" + strconv.FormatUint(t.counter.Add(1), 36)
}

// ask asks all keepers at once. It stops as soon as most have granted the
// claim. Otherwise it returns the claim of another attempt that says most.
func (t *Taker) ask(h *Held, digest uint64, wait time.Duration) (granted int, taken *Claim) {
	args := TakeArgs{List: t.list, Key: h.key, Attempt: h.attempt, Digest: digest}
	replies := make(chan TakeReply, len(t.config.Keepers))
	for _, address := range t.config.Keepers {
		go func() {
			var reply TakeReply
			if t.config.Call(address, "Claims.Take", args, &reply, wait) != nil {
				reply = TakeReply{}
			}
			replies <- reply
		}()
	}
	for range t.config.Keepers {
		switch r := <-replies; {
		case r.Verdict == VerdictGranted && r.Claim.State == StateHeld:
			granted++
		case r.Verdict == VerdictTaken && (taken == nil || r.Claim.State == StateAnswered):
			taken = &r.Claim
		}
		if granted >= majority(len(t.config.Keepers)) {
			return granted, nil
		}
	}
	return granted, taken
}

// Free gives the claim back after a call that has not run.
func (h *Held) Free() {
	h.tell("Claims.Free", FreeArgs{Key: h.key, Attempt: h.attempt}, func() any { return &FreeReply{} })
}

// Answered has the keepers keep the answer.
func (h *Held) Answered(a *Answer) { h.finish(StateAnswered, a) }

// Lost tells the keepers that nobody knows what became of the call, or that its
// answer can't be kept.
func (h *Held) Lost() { h.finish(StateLost, nil) }

func (h *Held) finish(s State, a *Answer) {
	args := FinishArgs{Key: h.key, Attempt: h.attempt, State: s, Answer: a}
	h.tell("Claims.Finish", args, func() any { return &FinishReply{} })
}

// tell tells all keepers without waiting. If too many are being told already,
// it is left out: a resend then gets to know less, but is not run.
func (h *Held) tell(method string, args any, reply func() any) {
	select {
	case h.taker.telling <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-h.taker.telling }()
		done := make(chan error, len(h.taker.config.Keepers))
		for _, address := range h.taker.config.Keepers {
			go func() { done <- h.taker.config.Call(address, method, args, reply(), roundMost) }()
		}
		for range h.taker.config.Keepers {
			<-done
		}
	}()
}
