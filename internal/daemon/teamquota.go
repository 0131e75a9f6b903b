package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quota"
)

const (
	// maxLeaseWait is how long a call of a team without a lease waits for one, and
	// maxTokenWait a call of a team whose lease is used up.
	maxLeaseWait = 300 * time.Millisecond
	maxTokenWait = 100 * time.Millisecond
	// preferredSourceInterval is how long a daemon asks another replica of the source than
	// the preferred one after that has failed.
	preferredSourceInterval = 5 * time.Second
)

// teamQuota holds this daemon's leases of the limits of teams, and asks for them. It is safe
// for concurrent use.
type teamQuota struct {
	mutex  sync.Mutex
	holder *quota.Holder
	next   chan struct{} // Closed and replaced when a request has ended.
	lost   bool          // The source could not be asked lately.

	wake chan struct{} // Signals that the next request may be due earlier.

	// The next three are used by runTeamQuota only. The connections are separate from those
	// for the configuration, because a request that times out closes its connection.
	clients  map[string]*peer.Client
	failed   int           // Index of the source that is asked, relative to the preferred one.
	failedAt time.Duration // When the source before it failed.
}

// newTeamQuota sets d.teamQuota.
func (d *Daemon) newTeamQuota() {
	id := xxh3.HashString(d.config.Host) ^ d.hub.Instance()
	d.teamQuota = &teamQuota{
		holder: quota.NewHolder(id), next: make(chan struct{}), wake: make(chan struct{}, 1), clients: map[string]*peer.Client{},
	}
	d.config.Counters.Gauge("team_leases", func() any {
		q := d.teamQuota
		q.mutex.Lock()
		defer q.mutex.Unlock()
		return q.holder.Leases(d.config.BootClock())
	})
}

// TeamLimiter returns the limiter of the limits of teams, which the outbound proxy uses.
func (d *Daemon) TeamLimiter() caller.TeamLimiter {
	return caller.TeamLimiter{Take: d.takeTeamQuota, GiveBack: d.giveBackTeamQuota}
}

// takeTeamQuota implements caller.TeamLimiter.Take.
func (d *Daemon) takeTeamQuota(ctx context.Context, t *expand.Team) *call.Error {
	if t.Rate() == 0 {
		return nil
	}
	id, limit := quota.IDOf(t.Name()), d.config.TeamLimits.Limit(t.Rate(), t.Burst())
	q := d.teamQuota
	q.mutex.Lock()
	start := d.config.BootClock()
	r := q.holder.Take(start, id, limit)
	next := q.next
	q.mutex.Unlock()
	if r.Ask {
		q.wakeUp()
	}
	for !r.Granted && r.Wait {
		rest := maxLeaseWait
		if r.Limited {
			rest = maxTokenWait
		}
		rest -= d.config.BootClock() - start
		if rest <= 0 || !q.await(ctx, next, rest) {
			break
		}
		q.mutex.Lock()
		r = q.holder.Retake(d.config.BootClock(), id, limit)
		next = q.next
		q.mutex.Unlock()
		if r.Ask {
			q.wakeUp()
		}
	}
	if r.Granted {
		d.config.Counters.Add("team_calls_granted", 1)
		return nil
	}
	reason := call.ReasonLimitUnknown
	if r.Limited {
		reason = call.ReasonLimit
		d.config.Counters.Add("team_calls_over_limit", 1)
	} else {
		d.config.Counters.Add("team_calls_limit_unknown", 1)
	}
	callErr := call.NotExecutedError(reason)
	callErr.RetryAfter = r.RetryAfter
	return callErr
}

// wakeUp lets runTeamQuota check whether a request is due.
func (q *teamQuota) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// await waits until a request has ended. It returns false if rest passes or ctx ends before.
func (q *teamQuota) await(ctx context.Context, next <-chan struct{}, rest time.Duration) bool {
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case <-next:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// giveBackTeamQuota implements caller.TeamLimiter.GiveBack.
func (d *Daemon) giveBackTeamQuota(t *expand.Team) {
	if t.Rate() == 0 {
		return
	}
	q := d.teamQuota
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.holder.GiveBack(d.config.BootClock(), quota.IDOf(t.Name()), d.config.TeamLimits.Limit(t.Rate(), t.Burst()))
	d.config.Counters.Add("team_calls_given_back", 1)
}

// runTeamQuota requests leases while there is demand, until the daemon stops.
func (d *Daemon) runTeamQuota() {
	q := d.teamQuota
	defer func() {
		for _, c := range q.clients {
			c.Close()
		}
	}()
	for {
		q.mutex.Lock()
		now := d.config.BootClock()
		wait, due := q.holder.Due(now)
		var request quota.Request
		if due && wait == 0 {
			request = q.holder.Request(now)
		}
		q.mutex.Unlock()
		if request.Seq != 0 {
			d.requestLeases(now, request)
			continue
		}
		if !d.waitForDemand(wait, due) {
			return
		}
	}
}

// waitForDemand waits until a request may be due: for wait if due is set, and at most until a
// call needs a lease. It returns false when the daemon stops.
func (d *Daemon) waitForDemand(wait time.Duration, due bool) bool {
	var timer <-chan time.Time
	if due {
		t := time.NewTimer(wait)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-d.stop:
		return false
	case <-timer:
	case <-d.teamQuota.wake:
	}
	return true
}

// requestLeases sends a request that was made at now, and applies the reply.
func (d *Daemon) requestLeases(now time.Duration, r quota.Request) {
	q := d.teamQuota
	reply, err := d.callQuota(now, r)
	q.mutex.Lock()
	accepted := err == nil && q.holder.Accept(d.config.BootClock(), reply)
	if !accepted {
		q.holder.Fail()
	}
	lost := q.holder.Lost()
	changed := lost != q.lost
	q.lost = lost
	close(q.next)
	q.next = make(chan struct{})
	q.mutex.Unlock()
	d.config.Counters.Add("team_lease_requests", 1)
	if !accepted {
		d.config.Counters.Add("team_lease_requests_failed", 1)
	}
	if changed {
		d.recordQuotaContact(lost, err)
	}
}

// recordQuotaContact logs and adds an event that the source can no longer, or again, be asked
// for leases.
func (d *Daemon) recordQuotaContact(lost bool, err error) {
	kind, text := "team-limits-known", "gets leases of the limits of teams again"
	if lost {
		kind, text = "team-limits-unknown", "cannot get leases of the limits of teams"
	}
	d.config.Logger.Log("msg", text, "err", err)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: d.config.Host, Text: text})
}

// errNotGranted means that the source has no leader, or that the request was outdated.
var errNotGranted = errs.New("daemon: the source has granted no leases")

// callQuota sends a request to a source replica. After a failure the next request goes to
// another one.
func (d *Daemon) callQuota(now time.Duration, r quota.Request) (quota.Reply, error) {
	q := d.teamQuota
	sources := d.feedClient.Sources()
	if len(sources) == 0 {
		return quota.Reply{}, errNotGranted
	}
	if q.failed > 0 && now-q.failedAt >= preferredSourceInterval {
		q.failed = 0
	}
	address := sources[q.failed%len(sources)]
	client := q.clients[address]
	if client == nil {
		client = peer.NewClient(address, d.config.Dial, &d.traffic)
		q.clients[address] = client
	}
	args := quota.LeaseArgs{Holder: r.Holder, Seq: r.Seq, Teams: quota.EncodeDemands(r.Teams)}
	var reply quota.LeaseReply
	err := client.Call("Quota.Lease", args, &reply, quota.ReplyTime)
	if err == nil && !reply.Granted {
		err = errNotGranted
	}
	if err != nil {
		q.failed++
		q.failedAt = now
		return quota.Reply{}, err
	}
	leases, err := quota.DecodeLeases(reply.Leases)
	return quota.Reply{Seq: r.Seq, Silent: reply.Silent, Leases: leases}, err
}
