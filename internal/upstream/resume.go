package upstream

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// resumeLeaseTTL is how long an upstream that is known from the daemon's previous
// incarnation gets calls without an announcement. It is slightly more than the
// interval between two announcements, 1.5 s by default (platform.heartbeat_s of the
// settings). It is less than the time after which an upstream that has left must
// get no more calls, 2 s.
const resumeLeaseTTL = 1800 * time.Millisecond

// Resume registers upstreams that the daemon's previous incarnation knew at its
// graceful shutdown, until they announce themselves again. That takes up to a
// whole announcement interval, in which their slots would be unused. address is
// that of the local upstream. Upstreams that were not ready, or whose ID or
// address is already known, are skipped. Resume returns how many upstreams it
// registered.
//
// Each call names the upstream that it is for, so that a different upstream at the
// address does not execute it.
func (p *Proxy) Resume(now time.Time, address string, previous []directory.Upstream) int {
	count := 0
	for _, u := range previous {
		a := Announcement{
			ID: u.ID, Service: u.Service, Version: u.Version, Address: address,
			Slots: u.Slots, Connections: u.Connections, Lease: config.Duration(resumeLeaseTTL),
		}
		if u.State != directory.StateReady || p.isKnown(a) || p.announce(now, u.Since, a) != nil {
			continue
		}
		p.mutex.Lock()
		if r := p.upstreams[u.ID]; r != nil && r.incarnation == (Incarnation{}) {
			r.resumed, r.unconfirmed = true, false
		}
		p.mutex.Unlock()
		count++
	}
	return count
}

// isKnown reports whether the upstream, or another one at its address, is
// registered, or whether the upstream has ended.
func (p *Proxy) isKnown(a Announcement) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.ended[a.ID]; ok {
		return true
	}
	for id, r := range p.upstreams {
		if id == a.ID || r.announcement.Address == a.Address {
			return true
		}
	}
	return false
}

// sameUpstream reports whether two announcements are equal apart from lease,
// connections and start.
func (a Announcement) sameUpstream(other Announcement) bool {
	a.Lease, a.Connections, a.Start = other.Lease, other.Connections, other.Start
	return a == other
}
