package expand

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

func newHostRoute(r config.HostRoute) *Route {
	return &Route{
		name: r.Name, host: r.Host, path: r.Prefix, retryable: r.Repeat == config.RepeatSafe,
		timeout: time.Duration(r.Timeout), objective: time.Duration(r.Objective),
		priority: r.Priority, attempts: r.Attempts, split: r.Split,
	}
}

// addHostRoute adds a route by host. Objects have one key for each host and
// prefix, so that no two routes share both.
func (w *build) addHostRoute(r *Route) {
	byPrefix := w.table.hosts[r.host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		w.table.hosts[r.host] = byPrefix
	}
	byPrefix[r.path] = r
}

// checkHostRoutes refuses routes by host that point at services that do not
// exist.
func (w *build) checkHostRoutes() {
	for _, byPrefix := range w.table.hosts {
		for _, r := range byPrefix {
			for _, p := range r.split {
				if _, ok := w.table.services[p.Service]; !ok {
					key := config.HostRoute{Host: r.host, Prefix: r.path}.Key()
					w.fault(key, "split", "route %s points at service %q, which does not exist", r.name, p.Service)
				}
			}
		}
	}
}
