package upstream

import (
	"time"

	"github.com/zeebo/errs"
)

// Life tells announcements of one upstream apart that arrive out of order.
type Life struct {
	Born     int64 // Grows with each start of the upstream; 0 if not known.
	Sequence uint64
}

// since returns since when an upstream has been there that is heard of at now.
// A gate that has just started, beside an upstream that has long been at work,
// must not present it as a new one.
func (l Life) since(now time.Time) time.Time {
	if born := time.UnixMilli(l.Born); l.Born > 0 && born.Before(now) {
		return born
	}
	return now
}

// ErrStale means that an announcement was overtaken by a newer one, or comes
// from an upstream that has ended. It changes nothing.
var ErrStale = errs.New("upstream: overtaken announcement")

// ended is an upstream that is no longer there.
type ended struct {
	life Life
	at   time.Time
}

// endedMemory is how long the end of an upstream is remembered, so that an
// announcement that was held up does not bring it back.
const endedMemory = 2 * time.Minute

func (g *Gate) forgetEnded(now time.Time) {
	for id, e := range g.ended {
		if now.Sub(e.at) > endedMemory {
			delete(g.ended, id)
		}
	}
}

// Hear takes in an announcement that may arrive late. An upstream that drains
// takes no new work until it starts again.
func (g *Gate) Hear(now time.Time, a Announcement, l Life, draining bool) error {
	if err := a.Check(); err != nil {
		g.config.Counters.Add("announcements_refused", 1)
		return err
	}
	if g.isRetired() {
		return ErrRetired
	}
	if !g.admitLife(now, a, l) {
		g.config.Counters.Add("announcements_stale", 1)
		return ErrStale
	}
	if e := g.entry(a.ID); e != nil && g.renew(now, e, a, l, draining) {
		return nil
	}
	if err := g.announce(now, l.since(now), a); err != nil {
		return err
	}
	if e := g.entry(a.ID); e != nil {
		g.mutex.Lock()
		e.life = l
		g.mutex.Unlock()
	}
	if draining {
		return g.Drain(now, a.ID)
	}
	return nil
}

func (g *Gate) isRetired() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.retired
}

// admitLife reports whether an announcement is newer than what is known of the
// upstream and of the address. An older upstream at the address has ended.
func (g *Gate) admitLife(now time.Time, a Announcement, l Life) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if e, ok := g.ended[a.ID]; ok && l.Born <= e.life.Born {
		return false
	}
	if e := g.upstreams[a.ID]; e != nil && !e.resumed && (l.Born < e.life.Born || l.Born == e.life.Born && l.Sequence <= e.life.Sequence) {
		return false
	}
	for id, e := range g.upstreams {
		if id == a.ID || e.said.Address != a.Address {
			continue
		}
		if !e.resumed && l.Born < e.life.Born {
			return false
		}
		g.end(now, id, e)
	}
	return true
}

// end takes an upstream out. The caller holds the lock.
func (g *Gate) end(now time.Time, id string, e *entry) {
	delete(g.upstreams, id)
	g.close(e)
	g.ended[id] = ended{life: e.life, at: now}
}

// renew prolongs the lease of an upstream that goes on with the same life. It
// returns false if the upstream has to be announced anew.
func (g *Gate) renew(now time.Time, e *entry, a Announcement, l Life, draining bool) bool {
	g.mutex.Lock()
	if e.resumed && e.said.continues(a) {
		e.resumed, e.said, e.life = false, a, l
	}
	if e.life.Born != l.Born {
		g.end(now, a.ID, e)
		delete(g.ended, a.ID)
		g.mutex.Unlock()
		return false
	}
	e.life = l
	e.until = now.Add(time.Duration(a.Lease))
	drains := draining && !e.draining
	g.mutex.Unlock()
	if drains {
		// The upstream was there a moment ago; if it has left meanwhile, there
		// is nothing to drain.
		_ = g.Drain(now, a.ID)
	}
	return true
}
