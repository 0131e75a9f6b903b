package upstream

import (
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// Retire stops new calls to an upstream that has said that it leaves, as Drain does,
// and returns the retirement to record with the source before the upstream is
// answered. recorded means that MarkRecorded was called for it, or that it binds no
// announcement.
//
// start is when the upstream started that leaves, in milliseconds since 1970; 0 means
// the one that is registered. The retirement of an earlier start than that changes
// nothing here, but must be recorded: the next incarnation may get a late announcement
// of that start first. An upstream that is not registered is remembered as ended. The error is
// ErrStopping, or matches ErrInvalid.
func (p *Proxy) Retire(now time.Time, id string, start int64) (retirement directory.Retirement, recorded bool, err error) {
	if err := errs.Combine((directory.Retirement{ID: id, Start: start}).Check(), Incarnation{Start: start}.check(now)); err != nil {
		return directory.Retirement{}, false, errs.Combine(ErrInvalid, err)
	}
	p.mutex.Lock()
	if p.stopping {
		p.mutex.Unlock()
		return directory.Retirement{}, false, ErrStopping
	}
	p.admitHeld(id)
	r := p.upstreams[id]
	if r == nil {
		defer p.mutex.Unlock()
		return p.retireEnded(now, id, start)
	}
	if start != 0 && !r.resumed && start < r.incarnation.Start {
		p.mutex.Unlock()
		return directory.Retirement{ID: id, Start: start}, false, nil
	}
	if r.resumed || start > r.incarnation.Start {
		// The retirement is of a start that has not announced itself here.
		r.incarnation = unknownIncarnation(now, start)
		r.recorded = false
	}
	changed := !r.draining
	r.draining = true
	r.scheduler.drain(false)
	retirement = retirementOf(id, r.incarnation)
	recorded = r.recorded || !retirement.Binds()
	p.mutex.Unlock()
	if changed {
		p.recordChange(now, "draining", r.announcement, "takes no new work")
	}
	return retirement, recorded, nil
}

// retireEnded is Retire for an upstream that is not registered. The caller must hold
// p.mutex.
func (p *Proxy) retireEnded(now time.Time, id string, start int64) (directory.Retirement, bool, error) {
	e, known := p.ended[id]
	switch {
	case known && start != 0 && start < e.incarnation.Start:
		return directory.Retirement{ID: id, Start: start}, e.recorded, nil
	case !known || start > e.incarnation.Start:
		e = endedUpstream{incarnation: unknownIncarnation(now, start), endedAt: now}
	case e.lapsed && e.incarnation.Start > 0:
		e.lapsed, e.recorded = false, false
	}
	p.ended[id] = e
	retirement := retirementOf(id, e.incarnation)
	return retirement, e.recorded || !retirement.Binds(), nil
}

// unknownIncarnation returns the last incarnation that may belong to an upstream that
// leaves at now and of which only the start is known, or nothing if that is 0.
func unknownIncarnation(now time.Time, start int64) Incarnation {
	if start == 0 {
		start = now.UnixMilli()
	}
	return Incarnation{Start: start, Sequence: math.MaxUint64}
}

func retirementOf(id string, i Incarnation) directory.Retirement {
	return directory.Retirement{ID: id, Start: i.Start, Sequence: i.Sequence}
}

// MarkRecorded notes that the source has recorded a retirement. Retirements of the same
// start need not be recorded again.
func (p *Proxy) MarkRecorded(retirement directory.Retirement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r := p.upstreams[retirement.ID]; r != nil && r.draining && r.incarnation.Start == retirement.Start {
		r.recorded = true
	}
	if e, ok := p.ended[retirement.ID]; ok && e.incarnation.Start == retirement.Start {
		e.recorded = true
		p.ended[retirement.ID] = e
	}
}

// heldAnnouncement is the newest announcement of an upstream that waits for
// SetRetirements.
type heldAnnouncement struct {
	announcement Announcement
	incarnation  Incarnation
	draining     bool
	arrived      time.Time
}

// hold keeps an announcement until SetRetirements, if the proxy waits for that and
// does not know the upstream from its own announcements. It returns false otherwise.
// The caller must hold p.mutex.
func (p *Proxy) hold(h heldAnnouncement) bool {
	if p.held == nil {
		return false
	}
	id := h.announcement.ID
	if r := p.upstreams[id]; r != nil && !r.resumed {
		return false
	}
	if old, ok := p.held[id]; !ok || !h.incarnation.before(old.incarnation) {
		p.held[id] = h
	}
	return true
}

// before reports whether i is from an earlier announcement than other.
func (i Incarnation) before(other Incarnation) bool {
	if i.Start != other.Start {
		return i.Start < other.Start
	}
	return i.Sequence < other.Sequence
}

// admitHeld makes a held announcement count as the last one of an upstream that
// retires. The caller must hold p.mutex.
func (p *Proxy) admitHeld(id string) {
	h, ok := p.held[id]
	if !ok {
		return
	}
	delete(p.held, id)
	if _, known := p.ended[id]; !known {
		p.ended[id] = endedUpstream{incarnation: h.incarnation, endedAt: h.arrived}
	}
}

// SetRetirements gives the proxy the retirements that the source has recorded for this
// daemon, so that late announcements of these upstreams are stale. Registered upstreams
// to which one applies are ended. Then the held announcements are handled, as of the
// time at which they arrived.
func (p *Proxy) SetRetirements(now time.Time, retired []directory.Retirement) {
	p.mutex.Lock()
	held := p.held
	p.held = nil
	var left []Announcement
	for _, d := range retired {
		e := endedUpstream{incarnation: Incarnation{Start: d.Start, Sequence: d.Sequence}, lapsed: d.Start == 0, recorded: true, endedAt: now}
		if known, ok := p.ended[d.ID]; !ok || known.incarnation.before(e.incarnation) {
			p.ended[d.ID] = e
		}
		if r := p.upstreams[d.ID]; r != nil && !e.precedes(r.ownIncarnation()) {
			delete(p.upstreams, d.ID)
			p.closeRegistration(r)
			left = append(left, r.announcement)
		}
	}
	p.mutex.Unlock()
	for _, a := range left {
		p.recordChange(now, "left", a, "left before this daemon started")
	}
	for _, h := range held {
		// The upstream has been answered; a stale announcement changes nothing.
		_ = p.Heartbeat(h.arrived, h.announcement, h.incarnation, h.draining)
	}
}

// ReleaseAnnouncements ends the wait for SetRetirements: announcements from now on are
// accepted. The held ones may be late ones of upstreams that have left, and are
// dropped. It returns how many these are.
func (p *Proxy) ReleaseAnnouncements() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	dropped := len(p.held)
	p.held = nil
	return dropped
}

// ownIncarnation returns the incarnation of a registered upstream. That of a resumed one
// is only known by its start time.
func (r *registration) ownIncarnation() Incarnation {
	if r.resumed {
		return Incarnation{Start: r.startTime.UnixMilli()}
	}
	return r.incarnation
}
