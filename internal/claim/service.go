package claim

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/wait"
)

// Errors of Service that callers test with errors.Is. Their texts are sent to other
// processes, where a claim replica is called a keeper.
var (
	ErrBadMessage      = errs.New("claim: malformed message")
	ErrReplicaMismatch = errs.New("claim: the keeper's settings name other keepers")
	ErrNotComplete     = errs.New("claim: the keeper has not learned all claims yet")
)

// ListDigest returns a hash of a list of replica addresses. Clients and
// replicas whose settings list different replicas must not work together, since
// their majorities need not overlap.
func ListDigest(replicas []string) uint64 {
	h := xxh3.New()
	for _, address := range replicas {
		h.WriteString(address)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// TakeArgs requests a claim.
type TakeArgs struct {
	List    uint64 // The ListDigest of the client's replicas.
	Key     string // Made by MakeKey.
	Attempt string // Identifies the attempt; not empty.
	Digest  uint64 // A hash of the request.
}

// TakeReply is the replica's vote, whose name between processes is Verdict. Claim is
// the current claim of the key, or the zero value if the replica abstains.
type TakeReply struct {
	Verdict Vote
	Claim   Claim
}

// FreeArgs releases the claim of an attempt.
type FreeArgs struct{ Key, Attempt string }

// FreeReply is empty.
type FreeReply struct{}

// FinishArgs reports the outcome of a call. Answer is set if, and only if,
// State is StateCompleted.
type FinishArgs struct {
	Key, Attempt string
	State        State
	Answer       *Response
}

// FinishReply is empty.
type FinishReply struct{}

// CopyArgs requests the claims whose keys sort after a key.
type CopyArgs struct {
	List  uint64 // The ListDigest of the requesting replica.
	After string
}

// CopyReply holds claims in key order. An empty reply marks the end of the
// claims.
type CopyReply struct{ Claims []Claim }

const (
	maxCopyClaims    = 500      // The maximum number of claims in one CopyReply.
	maxCopyBodyBytes = 1 << 20  // A CopyReply ends with the claim that brings the total size of its stored bodies above this, in bytes.
	maxResponseBytes = 64 << 10 // The maximum size in bytes of a stored response body.
)

// Service is a claim replica: it serves clients and other replicas. Its methods
// Take, Free, Finish and Copy have the form that net/rpc requires. It is safe
// for concurrent use. Create one with NewService.
type Service struct {
	listDigest uint64
	clock      func() time.Time
	mutex      sync.Mutex
	table      *Table
	// votes counts the replies to Take by vote.
	votes                [VoteTaken + 1]int64
	copied, copyFailures int64 // See Synced.
}

// NewService returns a replica that starts now. With firstStart it is complete
// at once; this is correct only if none of these replicas has ever granted a
// claim, which only an operator can know.
func NewService(replicas []string, lifetime time.Duration, clock func() time.Time, firstStart bool) *Service {
	s := &Service{listDigest: ListDigest(replicas), clock: clock, table: NewTable(clock(), lifetime)}
	if firstStart {
		s.table.SetComplete()
	}
	return s
}

// Take votes on a client's request for a claim.
func (s *Service) Take(args TakeArgs, reply *TakeReply) error {
	switch {
	case !validKey(args.Key) || args.Attempt == "":
		return ErrBadMessage
	case args.List != s.listDigest:
		return ErrReplicaMismatch
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply.Verdict, reply.Claim = s.table.Acquire(s.clock(), args.Key, args.Attempt, args.Digest)
	s.votes[reply.Verdict]++
	return nil
}

// Free releases a claim, as described at Table.Release.
func (s *Service) Free(args FreeArgs, _ *FreeReply) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Release(args.Key, args.Attempt)
	return nil
}

// Finish records the outcome of a call, as described at Table.Finish.
func (s *Service) Finish(args FinishArgs, _ *FinishReply) error {
	if args.State > StateLost || (args.State == StateCompleted) != (args.Answer != nil) {
		return ErrBadMessage
	}
	if args.Answer != nil && len(args.Answer.Body) > maxResponseBytes {
		return ErrBadMessage
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Finish(args.Key, args.Attempt, args.State, args.Answer)
	return nil
}

// Copy returns some of the claims of this replica to a replica that has
// restarted. It returns ErrNotComplete if this replica may itself lack claims.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	if args.List != s.listDigest {
		return ErrReplicaMismatch
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if !s.table.Complete(now) {
		return ErrNotComplete
	}
	size := 0
	for _, c := range s.table.Copy(now, args.After, maxCopyClaims) {
		if c.Answer != nil {
			size += len(c.Answer.Body)
		}
		reply.Claims = append(reply.Claims, c)
		if size > maxCopyBodyBytes {
			break
		}
	}
	return nil
}

// Votes returns how often Take has replied with a vote.
func (s *Service) Votes(v Vote) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.votes[v]
}

// Len returns the number of stored claims, as described at Table.Len.
func (s *Service) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// Complete reports whether the replica grants claims: it abstains until its
// table is complete.
func (s *Service) Complete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Complete(s.clock())
}

const (
	// roundTimeout is how long an attempt may collect votes.
	roundTimeout = 500 * time.Millisecond
	// syncDelay is how long a restarted replica waits before it copies claims
	// from others. By then every attempt that its previous incarnation voted
	// for has a majority or has failed.
	syncDelay = 4 * roundTimeout
	// syncRetryDelay is the pause between two rounds of Sync, and the timeout
	// of each of its requests.
	syncRetryDelay = time.Second
)

// CallFunc calls an RPC method of the process at an address.
type CallFunc func(address, method string, args, reply any, timeout time.Duration) error

// Sync makes a restarted replica complete by copying the claims of other replicas,
// as many as a majority of all. This replica, whose address is own, does not count,
// since it has lost the claims that it granted before. Of three replicas, Sync
// needs both others. It returns when the replica is complete or stop is closed. If
// two of three replicas restart at once, they cannot copy from each other; they
// become complete once the claims granted before have expired.
func (s *Service) Sync(replicas []string, own string, call CallFunc, stop <-chan struct{}) {
	if !wait.For(syncDelay, stop) {
		return
	}
	synced := map[string]bool{}
	positions := map[string]string{}
	for !s.Complete() {
		for _, address := range replicas {
			if address != own && !synced[address] {
				positions[address], synced[address] = s.syncFrom(address, positions[address], call)
			}
		}
		if countTrue(synced) >= majority(len(replicas)) {
			s.mutex.Lock()
			s.table.SetComplete()
			s.mutex.Unlock()
			return
		}
		if !wait.For(syncRetryDelay, stop) {
			return
		}
	}
}

func countTrue(set map[string]bool) int {
	n := 0
	for _, ok := range set {
		if ok {
			n++
		}
	}
	return n
}

// majority returns the smallest number of replicas that is more than half of
// them.
func majority(replicas int) int { return replicas/2 + 1 }

// syncFrom merges the claims of the replica at an address whose keys sort after a key. It
// returns the last key received, and false if a request failed. The next round goes on from
// there: claims granted since the first request were granted without this replica, so it
// need not know them. So a reply that is not full is the last one.
func (s *Service) syncFrom(address, after string, call CallFunc) (last string, ok bool) {
	for {
		var reply CopyReply
		if call(address, "Claims.Copy", CopyArgs{List: s.listDigest, After: after}, &reply, syncRetryDelay) != nil {
			s.addSync(0, 1)
			return after, false
		}
		if len(reply.Claims) > 0 {
			after = reply.Claims[len(reply.Claims)-1].Key
		}
		s.mutex.Lock()
		s.table.Merge(s.clock(), reply.Claims)
		s.mutex.Unlock()
		s.addSync(int64(len(reply.Claims)), 0)
		if !isFull(reply.Claims) {
			return after, true
		}
	}
}

// isFull reports whether a CopyReply has as many claims as it may, so that others may follow.
func isFull(claims []Claim) bool {
	size := 0
	for _, c := range claims {
		if c.Answer != nil {
			size += len(c.Answer.Body)
		}
	}
	return len(claims) >= maxCopyClaims || size > maxCopyBodyBytes
}

// addSync counts claims copied from other replicas, and requests for them that failed.
func (s *Service) addSync(claims, failures int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copied += claims
	s.copyFailures += failures
}

// Synced returns how many claims Sync has copied from other replicas, and how many of its
// requests have failed.
func (s *Service) Synced() (claims, failures int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.copied, s.copyFailures
}
