package source

import (
	"slices"
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Status returns the state of the source and the fleet at time now, as known to
// this replica.
func (n *Node) Status(now time.Time) operator.Status {
	s, _ := inspect(n, func(c *consensus) operator.Status {
		return operator.Status{
			Term: uint64(c.core.Term()), Role: c.core.Role().String(), Revision: c.state.Revision(), Replicas: n.replicas(c),
		}
	})
	s.Replica, s.Zone, s.Leader = n.config.Name, n.config.Zone, n.Leader()
	if lastContact := n.hub.LastContact(); !lastContact.IsZero() {
		s.AgeMillis = now.Sub(lastContact).Milliseconds()
	} else {
		s.AgeMillis = -1
	}
	staying := n.hub.View().Staying()
	ack := n.hub.FleetAck()
	s.Fleet = operator.FleetStatus{Known: len(staying), Reporting: ack.Daemons, Low: ack.Low}
	if ack.Daemons > 0 && ack.Low < s.Revision {
		s.Fleet.Behind = slices.Clone(ack.Behind)
		slices.Sort(s.Fleet.Behind)
	}
	s.Fleet.InForce = ack.Daemons >= len(staying) && (ack.Daemons == 0 || ack.Low >= s.Revision)
	for _, r := range staying {
		for _, u := range r.Upstreams {
			s.Upstreams = append(s.Upstreams, operator.Upstream{
				ID: u.ID, Service: u.Service, Version: u.Version, State: u.State.String(), Host: r.Host, Zone: r.Zone,
			})
		}
	}
	return s
}

// replicas returns the members, sorted by name. Synced is 0 for other members
// unless this replica leads, because only the leader tracks their progress.
func (n *Node) replicas(c *consensus) []operator.Replica {
	var all []operator.Replica
	for _, m := range c.core.Members() {
		r := operator.Replica{Name: memberName(m.ID), ID: m.ID, Voter: m.Voter}
		if c.core.Role() == quorum.RoleLeader || m.ID == n.id {
			r.Synced = uint64(c.core.Match(m.ID))
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

// catchUpTimeout limits how long Confirm waits for this replica to apply the
// confirmed revision.
const catchUpTimeout = 2 * time.Second

// Configuration returns the objects in force with their last writers, at the
// revision that Confirm waited for or a newer one.
func (n *Node) Configuration() (operator.Configuration, error) {
	if err := n.Confirm(); err != nil {
		return operator.Configuration{}, err
	}
	return n.localConfiguration(), nil
}

// Confirm waits until this replica has applied everything that had been accepted
// before the call. Like Propose it waits for a leader. On an error this replica's state
// may be outdated.
func (n *Node) Confirm() error {
	newest, err := n.confirmWithin(leaderWaitTimeout, func() (confirmedRead, error) {
		return n.confirmations.do(n.confirmLatest)
	})
	if err != nil {
		return err
	}
	// The leader confirmed the revision, but this replica may not have applied it yet.
	if !n.WaitRevision(newest.revision, n.config.Clock().Add(catchUpTimeout)) {
		return feed.ErrUnconfirmed
	}
	return nil
}

// localConfiguration is Configuration without the confirmation.
func (n *Node) localConfiguration() operator.Configuration {
	configuration, _ := inspect(n, func(c *consensus) operator.Configuration {
		configuration := operator.Configuration{Revision: c.state.Revision()}
		for _, e := range c.state.Catalog().Entries() {
			w, _ := c.state.Writer(e.Object.Key)
			configuration.Objects = append(configuration.Objects, operator.Object{
				Object: e.Object, Revision: e.Revision, Operator: w.Operator, Request: w.Request, At: w.At,
			})
		}
		return configuration
	})
	return configuration
}

// WaitRevision waits until this replica has applied revision r or a newer one. It
// returns false at deadline or when the node stops.
func (n *Node) WaitRevision(r config.Revision, deadline time.Time) bool {
	for {
		changed := n.hub.Published()
		if n.hub.State().Revision() >= r {
			return true
		}
		remaining := deadline.Sub(n.config.Clock())
		if remaining <= 0 {
			return false
		}
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-n.stop:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}
