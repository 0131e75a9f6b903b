package claim

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/wait"
)

// Errors of a keeper that callers test with errors.Is.
var (
	ErrBadMessage      = errs.New("claim: malformed message")
	ErrReplicaMismatch = errs.New("claim: the keeper's settings name other keepers")
	ErrNotComplete     = errs.New("claim: the keeper has not learned all claims yet")
)

// ListDigest identifies a list of keepers. Entries and keepers whose settings
// differ must not work together: their majorities need not meet.
func ListDigest(keepers []string) uint64 {
	h := xxh3.New()
	for _, k := range keepers {
		h.WriteString(k)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// TakeArgs asks for a claim.
type TakeArgs struct {
	List    uint64
	Key     string
	Attempt string
	Digest  uint64
}

// TakeReply is the keeper's verdict, and the claim held if there is one.
type TakeReply struct {
	Verdict Vote
	Claim   Claim
}

// FreeArgs gives a claim back.
type FreeArgs struct{ Key, Attempt string }

// FreeReply carries nothing.
type FreeReply struct{}

// FinishArgs tells what became of a call.
type FinishArgs struct {
	Key, Attempt string
	State        State
	Answer       *Response
}

// FinishReply carries nothing.
type FinishReply struct{}

// CopyArgs asks for the claims after a key.
type CopyArgs struct {
	List  uint64
	After string
}

// CopyReply holds claims in the order of their keys; none are left if it is
// empty.
type CopyReply struct{ Claims []Claim }

const (
	maxCopyClaims = 500
	maxCopyBytes  = 1 << 20 // Bytes of answers in one reply.
	maxResponse   = 64 << 10
)

// Service answers entries and other keepers. Its exported methods are those of
// net/rpc. It is safe for concurrent use. Make one with NewService.
type Service struct {
	list  uint64
	clock func() time.Time
	mutex sync.Mutex
	table *Table
	// votes counts the answers to attempts.
	votes [VoteTaken + 1]int64
}

// NewService returns a keeper that starts now. It is complete at once if nothing
// has ever been claimed from these keepers, which only an operator can know.
func NewService(keepers []string, lifetime time.Duration, clock func() time.Time, first bool) *Service {
	k := &Service{list: ListDigest(keepers), clock: clock, table: NewTable(clock(), lifetime)}
	if first {
		k.table.SetComplete()
	}
	return k
}

// Take answers an entry that asks for a claim.
func (k *Service) Take(args TakeArgs, reply *TakeReply) error {
	switch {
	case !validKey(args.Key) || args.Attempt == "":
		return ErrBadMessage
	case args.List != k.list:
		return ErrReplicaMismatch
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	reply.Verdict, reply.Claim = k.table.Acquire(k.clock(), args.Key, args.Attempt, args.Digest)
	k.votes[reply.Verdict]++
	return nil
}

// Free takes a claim back.
func (k *Service) Free(args FreeArgs, _ *FreeReply) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.table.Release(args.Key, args.Attempt)
	return nil
}

// Finish notes what became of a call.
func (k *Service) Finish(args FinishArgs, _ *FinishReply) error {
	if args.State > StateLost || (args.State == StateCompleted) != (args.Answer != nil) {
		return ErrBadMessage
	}
	if args.Answer != nil && len(args.Answer.Body) > maxResponse {
		return ErrBadMessage
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.table.Finish(args.Key, args.Attempt, args.State, args.Answer)
	return nil
}

// Copy tells a keeper that has started anew what this one knows.
func (k *Service) Copy(args CopyArgs, reply *CopyReply) error {
	if args.List != k.list {
		return ErrReplicaMismatch
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	if !k.table.Complete(now) {
		return ErrNotComplete
	}
	size := 0
	for _, c := range k.table.Copy(now, args.After, maxCopyClaims) {
		if c.Answer != nil {
			size += len(c.Answer.Body)
		}
		reply.Claims = append(reply.Claims, c)
		if size > maxCopyBytes {
			break
		}
	}
	return nil
}

// Votes returns how many attempts have got a verdict.
func (k *Service) Votes(v Vote) int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.votes[v]
}

// Len returns how many claims are kept.
func (k *Service) Len() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Len()
}

// Complete reports whether the keeper grants claims.
func (k *Service) Complete() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Complete(k.clock())
}

const (
	// maxRound is how long an attempt may gather grants.
	maxRound = 500 * time.Millisecond
	// syncDelay is how long a keeper that has started waits before it learns
	// from others: until every attempt that an earlier life of it granted has
	// gathered its majority or given up.
	syncDelay      = 4 * maxRound
	syncRetryPause = time.Second
)

// Call calls a method of the process at an address.
type Call func(address, method string, args, reply any, timeout time.Duration) error

// Sync makes a keeper that has started complete, by what a majority of all
// keepers know. It returns when it is, or when stop is closed. Two keepers of
// three that start at once can't learn from each other; what they granted
// before has to run out first.
func (k *Service) Sync(keepers []string, own string, call Call, stop <-chan struct{}) {
	if !wait.For(syncDelay, stop) {
		return
	}
	learned := map[string]bool{}
	for !k.Complete() {
		for _, address := range keepers {
			if address != own && !learned[address] {
				learned[address] = k.syncFrom(address, call)
			}
		}
		if count(learned) >= majority(len(keepers)) {
			k.mutex.Lock()
			k.table.SetComplete()
			k.mutex.Unlock()
			return
		}
		if !wait.For(syncRetryPause, stop) {
			return
		}
	}
}

func count(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}

// majority returns how many keepers most of them are.
func majority(keepers int) int { return keepers/2 + 1 }

func (k *Service) syncFrom(address string, call Call) bool {
	for after := ""; ; {
		var reply CopyReply
		if call(address, "Claims.Copy", CopyArgs{List: k.list, After: after}, &reply, syncRetryPause) != nil {
			return false
		}
		if len(reply.Claims) == 0 {
			return true
		}
		after = reply.Claims[len(reply.Claims)-1].Key
		k.mutex.Lock()
		k.table.Merge(k.clock(), reply.Claims)
		k.mutex.Unlock()
	}
}
