package upstream

import (
	"time"

	"github.com/zeebo/errs"
)

// Incarnation orders the announcements of one upstream, which may arrive out of
// order. The incarnation in a directory.Record is another one: that of a daemon.
type Incarnation struct {
	// Start is when the upstream started, in milliseconds since 1970. It must grow
	// with each start; 0 means unknown.
	Start int64
	// Sequence grows with each announcement of the same start.
	Sequence uint64
}

// startTime returns when an upstream started whose announcement arrives at now. If
// Start is unknown or in the future, that is now. A proxy that starts next to a
// long-running upstream must not present the upstream as a new one.
func (i Incarnation) startTime(now time.Time) time.Time {
	if start := time.UnixMilli(i.Start); i.Start > 0 && start.Before(now) {
		return start
	}
	return now
}

// ErrStale means that a newer announcement was accepted before, or that the
// upstream has ended. A stale announcement changes nothing.
var ErrStale = errs.New("upstream: stale announcement")

// endedUpstream is an upstream that is not registered any more: it has left, its
// lease has expired, or another one has replaced it at its address.
type endedUpstream struct {
	incarnation Incarnation // Of its last announcement.
	// lapsed means that the upstream may announce itself again without a new start: only
	// its lease has expired, as when it was paused.
	lapsed   bool
	recorded bool // The source has recorded the upstream's retirement.
	endedAt  time.Time
}

// precedes reports whether an announcement with incarnation i comes from after the
// end: from a later start or, if only the lease has expired, from later in the same
// one. Announcements without a sequence count as later then.
func (e endedUpstream) precedes(i Incarnation) bool {
	if i.Start != e.incarnation.Start {
		return i.Start > e.incarnation.Start
	}
	return e.lapsed && (i.Sequence == 0 || i.Sequence > e.incarnation.Sequence)
}

// endedRetention is how long an ended upstream is remembered, so that a delayed
// announcement does not add it again.
const endedRetention = 2 * time.Minute

// pruneEnded forgets upstreams that ended longer than endedRetention ago. The
// caller must hold p.mutex.
func (p *Proxy) pruneEnded(now time.Time) {
	for id, e := range p.ended {
		if now.Sub(e.endedAt) > endedRetention {
			delete(p.ended, id)
		}
	}
}

// maxStartAhead is how far the start of an upstream may be ahead of the clock. If one
// that is far ahead were accepted, all later announcements of the upstream would be
// stale.
const maxStartAhead = 24 * time.Hour

// check validates the incarnation of an announcement that arrives at now. The error
// matches ErrInvalid.
func (i Incarnation) check(now time.Time) error {
	if i.Start < 0 || i.Start > now.Add(maxStartAhead).UnixMilli() {
		return errs.Combine(ErrInvalid, errs.New("start: want milliseconds since 1970, got %d", i.Start))
	}
	return nil
}

// Heartbeat handles an announcement that may arrive late or out of order. A
// draining upstream gets no new calls until it restarts. Before SetRetirements,
// calls to the upstream wait. The error is ErrStale or
// ErrStopping, or matches ErrInvalid.
func (p *Proxy) Heartbeat(now time.Time, a Announcement, incarnation Incarnation, draining bool) error {
	if err := errs.Combine(a.Check(), incarnation.check(now)); err != nil {
		p.config.Counters.Add("announcements_refused", 1)
		return err
	}
	if p.isStopping() {
		return ErrStopping
	}
	if !p.admitHeartbeat(now, a, incarnation) {
		p.config.Counters.Add("announcements_stale", 1)
		return ErrStale
	}
	if r := p.lookup(a.ID); r != nil && p.renew(now, r, a, incarnation, draining) {
		return nil
	}
	if err := p.announce(now, incarnation.startTime(now), a); err != nil {
		return err
	}
	if r := p.lookup(a.ID); r != nil {
		p.mutex.Lock()
		r.incarnation = incarnation
		p.mutex.Unlock()
	}
	if draining {
		return p.Drain(now, a.ID)
	}
	return nil
}

func (p *Proxy) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopping
}

// admitHeartbeat reports whether an announcement is newer than the last one of the
// upstream and than the upstream that is registered at its address. An older
// upstream at the address is ended.
func (p *Proxy) admitHeartbeat(now time.Time, a Announcement, incarnation Incarnation) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e, ok := p.ended[a.ID]; ok && !e.precedes(incarnation) {
		return false
	}
	if r := p.upstreams[a.ID]; r != nil && !r.resumed && (incarnation.Start < r.incarnation.Start || incarnation.Start == r.incarnation.Start && incarnation.Sequence <= r.incarnation.Sequence) {
		return false
	}
	for id, r := range p.upstreams {
		if id != a.ID && r.announcement.Address != a.Address {
			continue
		}
		if !p.config.IsService(a.Service) && p.config.IsService(r.announcement.Service) {
			return false // Of another writer: it names no upstream to use.
		}
		if id == a.ID {
			continue
		}
		if !r.resumed && incarnation.Start < r.incarnation.Start {
			return false
		}
		p.endUpstream(now, id, r, false)
	}
	return true
}

// endUpstream removes an upstream and remembers that it has ended. lapsed is that of
// endedUpstream. The caller must hold p.mutex.
func (p *Proxy) endUpstream(now time.Time, id string, r *registration, lapsed bool) {
	delete(p.upstreams, id)
	p.closeRegistration(r)
	p.ended[id] = endedUpstream{incarnation: r.incarnation, lapsed: lapsed, recorded: r.recorded, endedAt: now}
}

// mayReturn reports whether an upstream whose lease expires, or that is removed, may
// announce itself again without a new start: it has not said that it leaves, or never
// says when it started.
func (r *registration) mayReturn() bool { return !r.draining || r.incarnation.Start == 0 }

// renew renews the lease of an upstream that has not restarted. If it has, or if
// it differs from the resumed one, renew removes the registration and returns
// false; the upstream must then be announced anew.
func (p *Proxy) renew(now time.Time, r *registration, a Announcement, incarnation Incarnation, draining bool) bool {
	p.mutex.Lock()
	if r.resumed && r.announcement.sameUpstream(a) {
		r.resumed, r.announcement, r.incarnation = false, a, incarnation
		r.unconfirmed = p.awaitsRetirements
	}
	if r.incarnation.Start != incarnation.Start {
		delete(p.upstreams, a.ID)
		p.closeRegistration(r)
		p.mutex.Unlock()
		return false
	}
	r.incarnation = incarnation
	r.leaseExpiry = now.Add(time.Duration(a.Lease))
	startDrain := draining && !r.draining
	p.mutex.Unlock()
	if startDrain {
		// Drain fails only if the upstream was removed meanwhile, so that there
		// is nothing to drain, or if the proxy is stopping.
		_ = p.Drain(now, a.ID)
	}
	return true
}
