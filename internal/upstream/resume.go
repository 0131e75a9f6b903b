package upstream

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// resumeLease is how long an upstream that is known from the daemon's earlier
// life gets calls without having announced itself. It is a little more than the
// time between two announcements, and less than the time after which an
// upstream that leaves must get no more calls.
const resumeLease = 1800 * time.Millisecond

// Resume goes on with upstreams that an earlier life of the daemon knew when it
// stopped in an orderly way, until they announce themselves again: it is up to
// a whole interval between announcements until then, in which their slots would
// stand empty. address is that of the upstream beside the daemon. It returns how
// many were resumed.
//
// Each call names the upstream that is meant, so that another one at the
// address does not run it.
func (g *Proxy) Resume(now time.Time, address string, known []directory.Upstream) int {
	count := 0
	for _, u := range known {
		a := Announcement{
			ID: u.ID, Service: u.Service, Version: u.Version, Address: address,
			Slots: u.Slots, Connections: u.Connections, Lease: config.Duration(resumeLease),
		}
		if u.State != directory.StateReady || g.isKnown(a) || g.announce(now, u.Since, a) != nil {
			continue
		}
		g.mutex.Lock()
		if e := g.upstreams[u.ID]; e != nil && e.incarnation == (Incarnation{}) {
			e.resumed = true
		}
		g.mutex.Unlock()
		count++
	}
	return count
}

// isKnown reports whether an upstream has been heard of, or another one at its
// address.
func (g *Proxy) isKnown(a Announcement) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, ok := g.ended[a.ID]; ok {
		return true
	}
	for id, e := range g.upstreams {
		if id == a.ID || e.announcement.Address == a.Address {
			return true
		}
	}
	return false
}

// continues reports whether an announcement is of the same upstream, whatever
// its lease.
func (a Announcement) continues(b Announcement) bool {
	a.Lease, a.Connections = b.Lease, b.Connections
	return a == b
}
