package upstream

import (
	"time"

	"github.com/zeebo/errs"
)

// Incarnation tells announcements of one upstream apart that arrive out of order.
type Incarnation struct {
	Start    int64 // Grows with each start of the upstream; 0 if not known.
	Sequence uint64
}

// since returns since when an upstream has been there that is heard of at now.
// A gate that has just started, beside an upstream that has long been at work,
// must not present it as a new one.
func (l Incarnation) since(now time.Time) time.Time {
	if born := time.UnixMilli(l.Start); l.Start > 0 && born.Before(now) {
		return born
	}
	return now
}

// ErrStale means that an announcement was overtaken by a newer one, or comes
// from an upstream that has ended. It changes nothing.
var ErrStale = errs.New("upstream: overtaken announcement")

// endedUpstream is an upstream that is no longer there.
type endedUpstream struct {
	incarnation Incarnation
	at          time.Time
}

// endedRetention is how long the end of an upstream is remembered, so that an
// announcement that was held up does not bring it back.
const endedRetention = 2 * time.Minute

func (g *Proxy) forgetEnded(now time.Time) {
	for id, e := range g.ended {
		if now.Sub(e.at) > endedRetention {
			delete(g.ended, id)
		}
	}
}

// Heartbeat takes in an announcement that may arrive late. An upstream that drains
// takes no new work until it starts again.
func (g *Proxy) Heartbeat(now time.Time, a Announcement, l Incarnation, draining bool) error {
	if err := a.Check(); err != nil {
		g.config.Counters.Add("announcements_refused", 1)
		return err
	}
	if g.isStopping() {
		return ErrStopping
	}
	if !g.admitIncarnation(now, a, l) {
		g.config.Counters.Add("announcements_stale", 1)
		return ErrStale
	}
	if e := g.registration(a.ID); e != nil && g.renew(now, e, a, l, draining) {
		return nil
	}
	if err := g.announce(now, l.since(now), a); err != nil {
		return err
	}
	if e := g.registration(a.ID); e != nil {
		g.mutex.Lock()
		e.incarnation = l
		g.mutex.Unlock()
	}
	if draining {
		return g.Drain(now, a.ID)
	}
	return nil
}

func (g *Proxy) isStopping() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.stopping
}

// admitIncarnation reports whether an announcement is newer than what is known of the
// upstream and of the address. An older upstream at the address has ended.
func (g *Proxy) admitIncarnation(now time.Time, a Announcement, l Incarnation) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if e, ok := g.ended[a.ID]; ok && l.Start <= e.incarnation.Start {
		return false
	}
	if e := g.upstreams[a.ID]; e != nil && !e.resumed && (l.Start < e.incarnation.Start || l.Start == e.incarnation.Start && l.Sequence <= e.incarnation.Sequence) {
		return false
	}
	for id, e := range g.upstreams {
		if id == a.ID || e.announcement.Address != a.Address {
			continue
		}
		if !e.resumed && l.Start < e.incarnation.Start {
			return false
		}
		g.end(now, id, e)
	}
	return true
}

// end takes an upstream out. The caller holds the lock.
func (g *Proxy) end(now time.Time, id string, e *registration) {
	delete(g.upstreams, id)
	g.close(e)
	g.ended[id] = endedUpstream{incarnation: e.incarnation, at: now}
}

// renew prolongs the lease of an upstream that goes on with the same life. It
// returns false if the upstream has to be announced anew.
func (g *Proxy) renew(now time.Time, e *registration, a Announcement, l Incarnation, draining bool) bool {
	g.mutex.Lock()
	if e.resumed && e.announcement.continues(a) {
		e.resumed, e.announcement, e.incarnation = false, a, l
	}
	if e.incarnation.Start != l.Start {
		g.end(now, a.ID, e)
		delete(g.ended, a.ID)
		g.mutex.Unlock()
		return false
	}
	e.incarnation = l
	e.expiry = now.Add(time.Duration(a.Lease))
	drains := draining && !e.draining
	g.mutex.Unlock()
	if drains {
		// The upstream was there a moment ago; if it has left meanwhile, there
		// is nothing to drain.
		_ = g.Drain(now, a.ID)
	}
	return true
}
