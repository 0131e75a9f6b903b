package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/expand"
)

// quotas counts the units that each team has used of its quota in the current
// window. It is safe for concurrent use.
type quotas struct {
	mutex sync.Mutex
	teams map[string]*usage // By name of the team.
}

// usage is the use of a quota in one window.
type usage struct {
	window int64 // Number of the window, counted from 1970 in the quota's window length.
	used   int   // Units.
}

func newQuotas() *quotas { return &quotas{teams: map[string]*usage{}} }

// takeQuota takes cost units from a team's quota, or returns false if too few are
// left. Each daemon has an equal share of the limit.
func (d *Daemon) takeQuota(now time.Time, l *expand.Limit, team string, cost int) bool {
	share := l.Amount() / max(1, len(d.hub.View().Live()))
	return d.quotas.take(now, l.Window(), team, cost, share)
}

// take adds cost units to a team's use in the window that now is in, if that stays
// within share units. Otherwise it returns false and adds nothing.
func (q *quotas) take(now time.Time, window time.Duration, team string, cost, share int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	u := q.teams[team]
	if u == nil {
		u = &usage{}
		q.teams[team] = u
	}
	if number := now.UnixNano() / int64(window); number != u.window {
		*u = usage{window: number}
	}
	if u.used+cost > share {
		return false
	}
	u.used += cost
	return true
}
