package source

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/internal/quota"
)

// quotaLeader holds the allocator while this replica leads. The zero value is ready for use.
// It is safe for concurrent use.
type quotaLeader struct {
	reads     confirmations
	mutex     sync.Mutex
	term      quorum.Term // In which allocator was created.
	allocator *quota.Allocator
	// confirmedAt is a time on the boot clock before which no other replica was elected after
	// term.
	confirmedAt time.Duration
	table       *expand.Table // Of which limits was made.
	limits      map[quota.ID]quota.Limit
}

// leaderConfirmInterval is the age of the confirmation of this replica's leadership from
// which on it is renewed before leases are granted.
const leaderConfirmInterval = quota.LeaderTime / 2

// quotaRetryPause is the time after which a new leader tries again to be confirmed.
const quotaRetryPause = 50 * time.Millisecond

// quotaService implements the RPC service Quota, which leases shares of the limits of teams to
// daemons.
type quotaService struct{ node *Node }

// Lease answers a daemon's request for leases, or forwards it to the leader. An error means
// that the request is malformed.
func (s *quotaService) Lease(args quota.LeaseArgs, reply *quota.LeaseReply) error {
	n := s.node
	leader, changed := n.currentLeader()
	if leader == n.config.Name {
		return n.lease(args, reply)
	}
	client := n.links.client(leader)
	if client == nil || args.Forwarded {
		n.config.Counters.Add("quota_requests_without_leader", 1)
		return nil
	}
	args.Forwarded = true
	var forwarded quota.LeaseReply
	if err := n.callLeader(client, changed, "Quota.Lease", args, &forwarded); err != nil {
		n.config.Counters.Add("quota_requests_without_leader", 1)
		return nil
	}
	n.config.Counters.Add("quota_requests_forwarded", 1)
	*reply = forwarded
	return nil
}

// lease answers a request if this replica still leads.
func (n *Node) lease(args quota.LeaseArgs, reply *quota.LeaseReply) error {
	demands, err := quota.DecodeDemands(args.Teams)
	if err != nil {
		n.config.Counters.Add("feed_bad_messages", 1)
		return feed.ErrBadMessage
	}
	n.confirmQuotaLeader()
	answer, ok := n.quota.lease(n.config.BootClock(), quota.Request{Holder: args.Holder, Seq: args.Seq, Teams: demands}, n.hub.State().Table(), n.config.TeamLimits)
	if !ok {
		n.config.Counters.Add("quota_requests_not_granted", 1)
		return nil
	}
	n.config.Counters.Add("quota_requests_granted", 1)
	reply.Granted, reply.Silent, reply.Leases = true, answer.Silent, quota.EncodeLeases(answer.Leases)
	return nil
}

// confirmQuotaLeader renews the confirmation that this replica leads, if it is due.
func (n *Node) confirmQuotaLeader() {
	if n.quota.isConfirmed(n.config.BootClock(), leaderConfirmInterval) {
		return
	}
	// The result is in n.quota. Concurrent requests share it.
	_, _ = n.quota.reads.do(func() (confirmedRead, error) {
		start := n.config.BootClock()
		confirmed, err := n.latestLocally(false)
		if err == nil {
			n.quota.confirm(start, n.config.BootClock(), confirmed.term)
		}
		return confirmed, err
	})
}

// runQuotaLeader creates the allocator when this replica becomes the leader, until the node
// stops. The time in which it only renews leases is then over before most first calls.
func (n *Node) runQuotaLeader() {
	for {
		leader, changed := n.currentLeader()
		if leader == n.config.Name {
			n.confirmQuotaLeader()
			if !n.quota.isConfirmed(n.config.BootClock(), quota.LeaderTime) && n.pause(quotaRetryPause) {
				continue
			}
		}
		select {
		case <-n.stop:
			return
		case <-changed:
		}
	}
}

// isConfirmed reports whether this replica led less than age ago.
func (q *quotaLeader) isConfirmed(now, age time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.allocator != nil && now-q.confirmedAt < age
}

// confirm records that a quorum confirmed between start and now that this replica leads in
// term. In a new term it knows no leases. Term 0 is that of a replica that no longer leads.
func (q *quotaLeader) confirm(start, now time.Duration, term quorum.Term) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if term == 0 || term < q.term {
		return
	}
	if q.allocator == nil || term > q.term {
		q.term, q.allocator = term, quota.NewAllocator(now)
	}
	q.confirmedAt = start
}

// lease answers a request by the limits in table. It returns false if this replica may not
// lead any more or if the request is outdated.
func (q *quotaLeader) lease(now time.Duration, r quota.Request, table *expand.Table, c quota.Config) (quota.Reply, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.allocator == nil || now-q.confirmedAt >= quota.LeaderTime {
		return quota.Reply{}, false
	}
	if q.table != table {
		q.table, q.limits = table, limitsOf(table, c)
	}
	return q.allocator.Lease(now, r, func(id quota.ID) (quota.Limit, bool) {
		l, ok := q.limits[id]
		return l, ok
	})
}

// shares returns the number of shares that daemons have of limits, if this replica leads.
func (q *quotaLeader) shares() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.allocator == nil {
		return 0
	}
	return q.allocator.Shares()
}

// limitsOf returns the limits of the teams in a table. Of teams with equal IDs it is the
// smallest.
func limitsOf(table *expand.Table, c quota.Config) map[quota.ID]quota.Limit {
	limits := map[quota.ID]quota.Limit{}
	for _, name := range table.Teams() {
		t, ok := table.Team(name)
		if !ok || t.Rate() == 0 {
			continue
		}
		id, limit := quota.IDOf(name), c.Limit(t.Rate(), t.Burst())
		if other, ok := limits[id]; ok {
			limit = quota.Limit{Rate: min(limit.Rate, other.Rate), Burst: min(limit.Burst, other.Burst)}
		}
		limits[id] = limit
	}
	return limits
}
