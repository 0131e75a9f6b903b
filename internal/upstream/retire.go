package upstream

import (
	"context"
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
// nothing here, but must be recorded: the daemon's next incarnation may get a late
// announcement of that start first. An upstream that is not registered is remembered as
// ended. The error is ErrStopping, or matches ErrInvalid.
func (p *Proxy) Retire(now time.Time, id string, start int64) (retirement directory.Retirement, recorded bool, err error) {
	if err := errs.Combine((directory.Retirement{ID: id, Start: start}).Check(), Incarnation{Start: start}.check(now)); err != nil {
		return directory.Retirement{}, false, errs.Combine(ErrInvalid, err)
	}
	p.mutex.Lock()
	if p.stopping {
		p.mutex.Unlock()
		return directory.Retirement{}, false, ErrStopping
	}
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

// MarkRecorded states that the source has recorded a retirement that Retire returned.
// Retirements of the same start need not be recorded again.
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

// retirementsTimeout is how long a call waits at most until it is known whether its
// upstream has retired.
const retirementsTimeout = 300 * time.Millisecond

// lookupConfirmed returns the registration of an upstream, or nil. If it is not known
// yet whether the upstream has retired, lookupConfirmed waits, at most for
// retirementsTimeout and until ctx ends, and returns ok=false if that was not enough.
func (p *Proxy) lookupConfirmed(ctx context.Context, id string) (r *registration, ok bool) {
	r, confirmed := p.lookupState(id)
	if r == nil || confirmed {
		return r, true
	}
	timer := time.NewTimer(retirementsTimeout)
	defer timer.Stop()
	select {
	case <-p.retirementsKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	r, confirmed = p.lookupState(id)
	return r, r == nil || confirmed
}

// lookupState returns the registration of an upstream, or nil, and whether it may get
// calls.
func (p *Proxy) lookupState(id string) (r *registration, confirmed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r = p.upstreams[id]
	return r, r != nil && !r.unconfirmed
}

// SetRetirements gives the proxy the retirements that the source has recorded for this
// daemon. Registered upstreams to which one applies are ended, and their late
// announcements are stale. The others get calls from now on.
func (p *Proxy) SetRetirements(now time.Time, retired []directory.Retirement) {
	p.mutex.Lock()
	var left []Announcement
	for _, d := range retired {
		e := p.endRetired(now, d)
		if r := p.upstreams[d.ID]; r != nil && !e.precedes(r.ownIncarnation()) {
			delete(p.upstreams, d.ID)
			p.closeRegistration(r)
			left = append(left, r.announcement)
		}
	}
	for _, r := range p.upstreams {
		r.unconfirmed = false
	}
	p.stopAwaiting()
	p.mutex.Unlock()
	for _, a := range left {
		p.recordChange(now, "left", a, "left before this daemon started")
	}
}

// endRetired remembers a recorded retirement, unless a later start of the upstream has
// ended, and returns how the upstream ended. The caller must hold p.mutex.
func (p *Proxy) endRetired(now time.Time, d directory.Retirement) endedUpstream {
	e := endedUpstream{incarnation: Incarnation{Start: d.Start, Sequence: d.Sequence}, lapsed: d.Start == 0, recorded: true, endedAt: now}
	if known, ok := p.ended[d.ID]; ok {
		switch {
		case known.incarnation.Start > d.Start:
			return known
		case known.incarnation.Start == d.Start:
			e.incarnation.Sequence = max(e.incarnation.Sequence, known.incarnation.Sequence)
		}
	}
	p.ended[d.ID] = e
	return e
}

// ReleaseAnnouncements ends the wait for SetRetirements: upstreams that announce
// themselves from now on get calls. The announcements before may be late ones of
// upstreams that have left, so these upstreams are ended until they announce themselves
// again. It returns how many these are.
func (p *Proxy) ReleaseAnnouncements(now time.Time) int {
	p.mutex.Lock()
	var ended []Announcement
	for id, r := range p.upstreams {
		if r.unconfirmed {
			p.endUpstream(now, id, r, r.mayReturn())
			ended = append(ended, r.announcement)
		}
	}
	p.stopAwaiting()
	p.mutex.Unlock()
	for _, a := range ended {
		p.recordChange(now, "expired", a, "may have left before this daemon started")
	}
	return len(ended)
}

// stopAwaiting wakes the calls that wait for retirements. The caller must hold p.mutex.
func (p *Proxy) stopAwaiting() {
	if p.awaitsRetirements {
		p.awaitsRetirements = false
		close(p.retirementsKnown)
	}
}

// ownIncarnation returns the incarnation of a registered upstream. That of a resumed one
// is only known by its start time.
func (r *registration) ownIncarnation() Incarnation {
	if r.resumed {
		return Incarnation{Start: r.startTime.UnixMilli()}
	}
	return r.incarnation
}
