package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// maxWait bounds the time for which a child's call may wait for changes.
	maxWait = 5 * time.Second
	// batchDelay is how long a reply with directory changes alone is held back, so
	// that further changes go out in the same reply. Configuration is never held
	// back.
	batchDelay = 20 * time.Millisecond
	// relayDelay is added to the wait of a pull at a relay that will get a newer freshness
	// by a pull of its own, which takes somewhat longer than the child's wait.
	relayDelay = 250 * time.Millisecond
	// maxFullPerSecond is how many limited full states a process sends per second.
	maxFullPerSecond = 50
	// maxUnlimitedObjects is how many objects a full state may have to be exempt
	// from maxFullPerSecond.
	maxUnlimitedObjects = 64
)

// Service serves the calls of children, and of other processes that compare
// directories. Its exported methods are called through net/rpc. It is safe for
// concurrent use.
type Service struct {
	hub    *Hub
	clock  func() time.Time
	source *Source // Nil on daemons.
}

// Source answers, on a source replica, the calls that need a quorum of the source. Its
// functions must be safe for concurrent use.
type Source struct {
	Latest func(LatestArgs) (LatestReply, error)
	Retire func(RetireArgs) error
}

// NewService returns the service of a hub. source is nil on daemons. clock must be safe
// for concurrent use.
func NewService(h *Hub, clock func() time.Time, source *Source) *Service {
	return &Service{hub: h, clock: clock, source: source}
}

// Pull waits for something newer than the child has, at most for args.Wait. A newer
// freshness counts according to freshnessGoal. If the
// last contact with the source's leader becomes stale meanwhile, it replies at
// once, so that the child can choose another parent. It returns ErrBadMessage for
// an invalid host name or a negative wait.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	arrived := s.hub.config.BootClock()
	goal, hasGoal := freshnessGoal(arrived, args.FreshnessAge, s.hub.config.Source)
	wait := args.Wait
	if hasGoal && !s.hub.config.Source && wait > 0 {
		wait += relayDelay
	}
	return s.await(args.Host, wait, s.hub.Changed, s.hub.untilStale, func() bool {
		*reply = s.hub.replyTo(s.clock(), arrived, args)
		if reply.Delta != nil || reply.Busy > 0 || reply.Elsewhere {
			s.hub.compress(reply)
			return true
		}
		if len(reply.Records) == 0 {
			return hasGoal && reply.FreshRevision > 0 && arrived+reply.Fresh >= goal
		}
		time.Sleep(batchDelay)
		*reply = s.hub.replyTo(s.clock(), arrived, args)
		s.hub.compress(reply)
		return true
	})
}

// Notice waits for a revision newer than the child has, at most for args.Wait. It
// returns ErrBadMessage for an invalid host name or a negative wait.
func (s *Service) Notice(args NoticeArgs, reply *NoticeReply) error {
	return s.await(args.Host, args.Wait, s.hub.Published, nil, func() bool {
		state := s.hub.State()
		if len(config.MissingFeatures(state.Requires(), args.Features)) > 0 {
			reply.Revision = args.Have
			return false
		}
		reply.Revision = state.Revision()
		return reply.Revision > args.Have
	})
}

// await calls poll at once and whenever the channel of changed is closed, until it returns
// true or wait is over. If untilStale is not nil, await also returns once the source
// contact has become stale during the call. Either way, there is a last poll. untilStale
// returns how long the contact stays fresh at least, or 0 if it is stale.
func (s *Service) await(host string, wait time.Duration, changed func() <-chan struct{}, untilStale func(now time.Time) time.Duration, poll func() bool) error {
	if !config.ValidName(host) || wait < 0 {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	staleness := time.NewTimer(maxWait)
	defer staleness.Stop()
	if untilStale != nil {
		if remaining := untilStale(s.clock()); remaining > 0 {
			staleness.Reset(remaining)
		}
	}
	for {
		wake := changed()
		if poll() {
			return nil
		}
		select {
		case <-wake:
		case <-deadline.C:
			poll() // Puts the present ages into the reply.
			return nil
		case <-staleness.C:
			if untilStale == nil {
				continue
			}
			remaining := untilStale(s.clock())
			if remaining == 0 {
				poll()
				return nil
			}
			staleness.Reset(remaining)
		}
	}
}

// untilStale returns the time until the last contact with the source's leader is
// older than staleAge, or 0 if it is already.
func (h *Hub) untilStale(now time.Time) time.Duration {
	remaining := staleAge - now.Sub(h.LastContact())
	if remaining < 0 {
		return 0
	}
	// The result is positive, and a timer of this length ends after the limit.
	return remaining + time.Millisecond
}

// replyTo returns what is newer than the child's state now, without waiting. arrived is the
// boot time at which the pull arrived.
func (h *Hub) replyTo(now time.Time, arrived time.Duration, args PullArgs) PullReply {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reply := PullReply{Instance: h.config.Instance, Index: h.directory.LastIndex(), Age: now.Sub(h.lastContact)}
	sources := h.Sources()
	if directory.DigestSources(sources) != args.Sources {
		reply.Sources = sources
	}
	if args.Zone != "" && h.config.Source && args.Zone != h.config.Zone && directory.HasSourceIn(sources, args.Zone) {
		reply.Elsewhere = true
		return reply
	}
	reply.Digest = h.directory.Digest()
	// At first contact a child does not know the parent's instance, and reconciles
	// its directory instead.
	if args.Instance == h.config.Instance && args.Records != reply.Digest {
		reply.Records = h.directory.Since(args.Index, func(from string) bool { return from != args.Host })
	}
	if h.withhold(now, args, &reply) {
		return reply
	}
	state := h.state.Load()
	reply.setFreshness(state, arrived)
	c := state.catalog
	if c.Revision() <= args.Have {
		return reply
	}
	d := c.Delta(args.Have, args.Digest)
	if d.Whole && c.Len() > maxUnlimitedObjects {
		if wait := h.fullTransfers.admit(now); wait > 0 {
			h.config.Counters.Add("feed_whole_deferred", 1)
			reply.Busy = wait
			return reply
		}
	}
	if d.Whole {
		h.config.Counters.Add("feed_whole_sent", 1)
	}
	h.config.Counters.Add("feed_deltas_sent", 1)
	reply.Delta = &d
	return reply
}

// Report merges a child's report on itself and the daemons below it. It returns
// ErrBadMessage for an invalid host name.
func (s *Service) Report(args ReportArgs, reply *ReportReply) error {
	if !config.ValidName(args.Host) {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	s.hub.mergeReport(s.clock(), args)
	reply.Instance, reply.Partial = s.hub.config.Instance, true
	return nil
}

// mergeReport records a child's acknowledgement, or removes a child that leaves,
// and merges its directory records and call statistics.
func (h *Hub) mergeReport(now time.Time, args ReportArgs) {
	h.mutex.Lock()
	old := h.children[args.Host]
	changed := args.Leaving || !old.ack.Covers(args.Ack)
	if args.Leaving {
		delete(h.children, args.Host)
	} else {
		h.children[args.Host] = child{ack: args.Ack, lastReport: now}
	}
	if changed {
		h.acknowledged.raise()
	}
	h.mutex.Unlock()
	h.MergeRecords(now, args.Host, args.Records...)
	h.MergeCallStats(args.Host, args.Reports...)
}

// Latest returns the newest accepted revision, confirmed by a quorum of the source,
// and the retirements of the caller's upstreams. It returns ErrNotSource on daemons.
func (s *Service) Latest(args LatestArgs, reply *LatestReply) error {
	if s.source == nil {
		return ErrNotSource
	}
	latest, err := s.source.Latest(args)
	*reply = latest
	return err
}

// Retire records the retirement of one of the caller's upstreams. No error means that
// a quorum of the source has it on disk. It returns ErrNotSource on daemons.
func (s *Service) Retire(args RetireArgs, _ *RetireReply) error {
	if s.source == nil {
		return ErrNotSource
	}
	return s.source.Retire(args)
}

// Compare returns the buckets in which the two directories differ, and this
// process's records in them. It returns ErrBadMessage for an invalid host name or
// a wrong number of buckets.
func (s *Service) Compare(args CompareArgs, reply *CompareReply) error {
	if !config.ValidName(args.Host) || len(args.Buckets) != directory.BucketCount {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	s.hub.mutex.Lock()
	defer s.hub.mutex.Unlock()
	reply.Differing, reply.Records = s.hub.directory.Differing(args.Buckets)
	return nil
}

// Tell merges directory records that the calling process has found to be missing
// here. It returns ErrBadMessage for an invalid host name.
func (s *Service) Tell(args TellArgs, _ *TellReply) error {
	if !config.ValidName(args.Host) {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	s.hub.MergeRecords(s.clock(), args.Host, args.Records...)
	return nil
}

// RecordsDigest returns the digest of the directory's records.
func (h *Hub) RecordsDigest() directory.Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.directory.Digest()
}

// fullLimiter limits full states to maxFullPerSecond. The zero value is ready to
// use. It is not safe for concurrent use.
type fullLimiter struct {
	windowStart time.Time // Of the current second.
	requests    int       // In the current second, including deferred ones.
}

// admit returns 0 if a full state may be sent now, and otherwise how long the
// child should wait before it asks again. The wait grows with each request, so
// that a thundering herd is spread out.
func (l *fullLimiter) admit(now time.Time) time.Duration {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.requests = 0
	}
	l.requests++
	if l.requests <= maxFullPerSecond {
		return 0
	}
	return time.Duration(l.requests) * time.Second / maxFullPerSecond
}
