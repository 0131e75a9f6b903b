package balance

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
)

// fullKey identifies the calls that a full upstream rejects alike.
type fullKey struct {
	route     string
	returning bool // The caller was rejected before, and has less time left.
}

// fullState records that an upstream has rejected calls because its queue was full.
//
// It is for services that get more calls than their upstreams have slots for.
// Without it, each call would be sent, with its body, to one full queue after the
// other. The upstream says how long it would reject such calls if no others arrived;
// but others do arrive. A rejection therefore doubles the pause between two such calls,
// and a success shortens it a little: each daemon finds the rate at which the upstream
// serves its calls, however many others it serves.
type fullState struct {
	until time.Time     // Gets no such calls before this time.
	pause time.Duration // Between two such calls.
}

// pace makes the next such call wait for the pause, after one was sent to the upstream.
func (s *upstreamState) pace(now time.Time, q Query) {
	k := fullKey{route: q.Route, returning: q.Returning}
	if f, ok := s.full[k]; ok {
		f.until = now.Add(f.pause)
		s.full[k] = f
	}
}

const (
	minFullPause = 16 * time.Millisecond
	// maxLocalFullPause and maxRemoteFullPause bound the pause. A full queue holds work
	// for longer than the first, so that no slot is free meanwhile. The second is longer,
	// since each call in vain to another data centre costs its transfer.
	maxLocalFullPause  = 100 * time.Millisecond
	maxRemoteFullPause = 400 * time.Millisecond
	// fullPauseDecrease is the factor that a success applies to the pause. A rejection
	// doubles it, so the pause settles where about one call in three is rejected.
	fullPauseDecrease = 0.7
	// maxFullKeys bounds the kinds of calls that are recorded for one upstream. When it
	// is reached, all of them are dropped.
	maxFullKeys = 64
)

// isFull reports whether a target is expected to reject the call of q at now.
func (b *Balancer) isFull(now time.Time, q Query, t feed.Target) bool {
	s := b.states[keyOf(t)]
	if s == nil {
		return false
	}
	f, ok := s.full[fullKey{route: q.Route, returning: q.Returning}]
	return ok && now.Before(f.until)
}

// recordFull records whether a target has rejected a call because its queue was full.
// Other failures must not be recorded.
func (b *Balancer) recordFull(now time.Time, t feed.Target, s *upstreamState, r Result) {
	k := fullKey{route: r.Route, returning: r.Returning}
	f := s.full[k]
	if !r.Rejected {
		f.pause = time.Duration(fullPauseDecrease * float64(f.pause))
		if f.pause < minFullPause {
			delete(s.full, k)
		} else {
			s.full[k] = f
		}
		return
	}
	longest := maxLocalFullPause
	if t.Zone != b.config.Zone {
		longest = maxRemoteFullPause
	}
	f.pause = min(longest, max(minFullPause, 2*f.pause))
	f.until = now.Add(min(longest, max(f.pause, r.Opens)))
	if s.full == nil || len(s.full) >= maxFullKeys {
		s.full = map[fullKey]fullState{}
	}
	s.full[k] = f
}

// Opens returns how long it takes at now until the first of the targets is expected to
// admit a call like that of q. It returns false if no target is full, so that a call
// that found no target has found none for another reason.
func (b *Balancer) Opens(now time.Time, q Query, targets []feed.Target) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shortest, found := time.Duration(0), false
	for _, t := range targets {
		if t.State != 0 || !b.isFull(now, q, t) {
			continue
		}
		f := b.states[keyOf(t)].full[fullKey{route: q.Route, returning: q.Returning}]
		if wait := f.until.Sub(now); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}
