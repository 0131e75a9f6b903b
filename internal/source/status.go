package source

import (
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Status tells how the source and the fleet are at now, as far as this replica
// knows.
func (n *Node) Status(now time.Time) operator.Status {
	s := operator.Status{Replica: n.config.Name, Zone: n.config.Zone, Leader: n.Leader()}
	n.inspect(func(a *consensus) {
		s.Term = uint64(a.core.Term())
		s.Role = a.core.Role().String()
		s.Revision = a.state.Revision()
		s.Replicas = n.replicas(a)
	})
	if heard := n.hub.LastContact(); !heard.IsZero() {
		s.AgeMillis = now.Sub(heard).Milliseconds()
	} else {
		s.AgeMillis = -1
	}
	live := n.hub.View().Staying()
	ack := n.hub.Total()
	s.Fleet = operator.Fleet{Known: len(live), Reporting: ack.Daemons, Low: ack.Low}
	if ack.Daemons > 0 && ack.Low < s.Revision {
		s.Fleet.Behind = slices.Clone(ack.Behind)
		slices.Sort(s.Fleet.Behind)
	}
	s.Fleet.InForce = ack.Daemons >= len(live) && (ack.Daemons == 0 || ack.Low >= s.Revision)
	for _, r := range live {
		for _, u := range r.Upstreams {
			s.Upstreams = append(s.Upstreams, operator.Upstream{
				ID: u.ID, Service: u.Service, Version: u.Version, State: u.State.String(), Host: r.Host, Zone: r.Zone,
			})
		}
	}
	return s
}

// replicas lists the members. Only the leader knows what the others have
// synced.
func (n *Node) replicas(a *consensus) []operator.Replica {
	var all []operator.Replica
	for _, m := range a.core.Members() {
		r := operator.Replica{Name: memberName(m.ID), ID: m.ID, Voter: m.Voter}
		if a.core.Role() == quorum.RoleLeader || m.ID == n.id {
			r.Synced = uint64(a.core.Match(m.ID))
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y operator.Replica) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return all
}

// readTimeout bounds how long a confirmed read waits for this replica to catch
// up.
const readTimeout = 2 * time.Second

// Configuration returns the objects in force and who wrote them, at a revision
// that a quorum has confirmed.
func (n *Node) Configuration() (operator.Configuration, error) {
	if err := n.Confirm(); err != nil {
		return operator.Configuration{}, err
	}
	return n.configurationHere(), nil
}

// Confirm waits until this replica has applied everything that had been
// accepted before the call.
func (n *Node) Confirm() error {
	newest, err := n.Latest()
	if err != nil {
		return err
	}
	// The leader has confirmed the revision; this replica may still lag.
	if !n.WaitRevision(newest, n.config.Clock().Add(readTimeout)) {
		return feed.ErrUnconfirmed
	}
	return nil
}

func (n *Node) configurationHere() operator.Configuration {
	var c operator.Configuration
	n.inspect(func(a *consensus) {
		c.Revision = a.state.Revision()
		for _, e := range a.state.Catalog().Entries() {
			w, _ := a.state.Writer(e.Object.Key)
			c.Objects = append(c.Objects, operator.Object{
				Object: e.Object, Revision: e.Revision, Operator: w.Operator, Request: w.Request, At: w.At,
			})
		}
	})
	return c
}

// WaitRevision waits until this replica has applied a revision.
func (n *Node) WaitRevision(r config.Revision, deadline time.Time) bool {
	for {
		wake := n.hub.Changed()
		if n.hub.State().Revision() >= r {
			return true
		}
		left := deadline.Sub(n.config.Clock())
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-wake:
		case <-timer.C:
		case <-n.stop:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}
