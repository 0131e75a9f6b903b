package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/expand"
)

// quotas counts what each team has used in the present window.
type quotas struct {
	mutex sync.Mutex
	teams map[string]*usage
}

type usage struct {
	window int64 // Number of the window since 1970.
	used   int
}

func newQuotas() *quotas { return &quotas{teams: map[string]*usage{}} }

// takeQuota takes units of a team's contract. Each daemon has an equal part of
// the limit.
func (d *Daemon) takeQuota(now time.Time, l *expand.Limit, team string, cost int) bool {
	share := l.Amount() / max(1, len(d.hub.View().Live()))
	return d.quotas.take(now, l.Window(), team, cost, share)
}

func (c *quotas) take(now time.Time, window time.Duration, team string, cost, share int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	u := c.teams[team]
	if u == nil {
		u = &usage{}
		c.teams[team] = u
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
