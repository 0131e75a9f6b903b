package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	maxWait = 5 * time.Second
	// batchDelay is how long directory news are held back to travel together.
	// Configuration is never held back.
	batchDelay = 20 * time.Millisecond
	// wholePerSecond bounds how many whole states a process hands out.
	wholePerSecond = 50
	// wholeSmall is how many objects a state may have to be handed out without
	// bound.
	wholeSmall = 64
)

// Service answers the calls of children. Its exported methods are those of
// net/rpc.
type Service struct {
	hub    *Hub
	clock  func() time.Time
	latest func() (config.Revision, error)
}

// NewService returns the service of a hub. latest confirms the newest revision
// with a quorum; it is nil on daemons.
func NewService(h *Hub, clock func() time.Time, latest func() (config.Revision, error)) *Service {
	return &Service{hub: h, clock: clock, latest: latest}
}

// Pull waits for something newer than the child has. If this process ceases to
// hear of the source's leader meanwhile, it answers at once, so that the child
// can look for a better parent.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	return s.await(args.Host, args.Wait, s.hub.untilStale, func() bool {
		*reply = s.hub.answer(s.clock(), args)
		if reply.Delta != nil || reply.Busy > 0 || reply.Elsewhere {
			s.hub.compress(reply)
			return true
		}
		if len(reply.Records) == 0 {
			return false
		}
		time.Sleep(batchDelay)
		*reply = s.hub.answer(s.clock(), args)
		s.hub.compress(reply)
		return true
	})
}

// Notice waits for a revision newer than the child has.
func (s *Service) Notice(args NoticeArgs, reply *NoticeReply) error {
	return s.await(args.Host, args.Wait, nil, func() bool {
		reply.Revision = s.hub.State().Revision()
		return reply.Revision > args.Have
	})
}

// await looks for an answer at each piece of news until there is one or the
// child's wait is over. It also ends when until, if it is not nil, returns 0;
// until tells how long after now that can't be.
func (s *Service) await(host string, wait time.Duration, until func(now time.Time) time.Duration, found func() bool) error {
	if !config.ValidName(host) || wait < 0 {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	check := time.NewTimer(maxWait)
	defer check.Stop()
	if until != nil {
		if left := until(s.clock()); left > 0 {
			check.Reset(left)
		}
	}
	for {
		wake := s.hub.Changed()
		if found() {
			return nil
		}
		select {
		case <-wake:
		case <-deadline.C:
			return nil
		case <-check.C:
			if until == nil {
				continue
			}
			left := until(s.clock())
			if left == 0 {
				found() // Tells how old the source's word is now.
				return nil
			}
			check.Reset(left)
		}
	}
}

// untilStale returns how long the source's word can't be stale yet, or 0 if it
// is.
func (h *Hub) untilStale(now time.Time) time.Duration {
	left := staleAge - now.Sub(h.LastContact())
	if left < 0 {
		return 0
	}
	return left + time.Millisecond
}

// answer returns what is newer than the child has at this moment.
func (h *Hub) answer(now time.Time, args PullArgs) PullReply {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reply := PullReply{Instance: h.config.Instance, Index: h.directory.Last(), Age: now.Sub(h.lastContact)}
	sources := h.Sources()
	if directory.DigestSources(sources) != args.Sources {
		reply.Sources = sources
	}
	if args.Zone != "" && h.config.Source && args.Zone != h.config.Zone && directory.HasSourceIn(sources, args.Zone) {
		reply.Elsewhere = true
		return reply
	}
	reply.Digest = h.directory.Digest()
	// A child that has just come compares its directory first; from then on it
	// knows the parent's instance.
	if args.Instance == h.config.Instance && args.Records != reply.Digest {
		reply.Records = h.directory.Since(args.Index, func(learned string) bool { return learned != args.Host })
	}
	c := h.state.Load().catalog
	if c.Revision() <= args.Have {
		return reply
	}
	d := c.Delta(args.Have, args.Digest)
	if d.Whole && c.Len() > wholeSmall {
		if wait := h.transfers.admit(now); wait > 0 {
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

// Report takes in what a child says of itself and those below it.
func (s *Service) Report(args ReportArgs, _ *ReportReply) error {
	if !config.ValidName(args.Host) {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	s.hub.takeReport(s.clock(), args)
	return nil
}

func (h *Hub) takeReport(now time.Time, args ReportArgs) {
	h.mutex.Lock()
	old := h.children[args.Host]
	changed := args.Leaving || old.ack.Low != args.Ack.Low || old.ack.Daemons != args.Ack.Daemons
	if args.Leaving {
		delete(h.children, args.Host)
	} else {
		h.children[args.Host] = child{ack: args.Ack, at: now}
	}
	if changed {
		h.notify()
	}
	h.mutex.Unlock()
	h.MergeRecords(now, args.Host, args.Records...)
	h.MergeCallStats(args.Host, args.Reports...)
}

// Latest confirms the newest accepted revision. Only source replicas can.
func (s *Service) Latest(_ LatestArgs, reply *LatestReply) error {
	if s.latest == nil {
		return ErrNotSource
	}
	r, err := s.latest()
	reply.Revision = r
	return err
}

// Compare returns the records in which two daemons differ.
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

// Tell takes in directory records.
func (s *Service) Tell(args TellArgs, _ *TellReply) error {
	if !config.ValidName(args.Host) {
		s.hub.config.Counters.Add("feed_bad_messages", 1)
		return ErrBadMessage
	}
	s.hub.MergeRecords(s.clock(), args.Host, args.Records...)
	return nil
}

// RecordsDigest identifies the directory.
func (h *Hub) RecordsDigest() directory.Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.directory.Digest()
}

// fullLimiter bounds how many whole states are handed out in a second.
type fullLimiter struct {
	window time.Time
	count  int
}

// admit returns zero if a whole state may go out at now, and otherwise how
// long the child should wait. Later askers are told longer times, so that a
// herd comes back spread out.
func (a *fullLimiter) admit(now time.Time) time.Duration {
	if now.Sub(a.window) >= time.Second {
		a.window = now
		a.count = 0
	}
	a.count++
	if a.count <= wholePerSecond {
		return 0
	}
	return time.Duration(a.count) * time.Second / wholePerSecond
}
