package expand

import (
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

func newHostRoute(r config.HostRoute) *Route {
	return &Route{
		name: r.Name, host: r.Host, path: r.Prefix, retryable: r.Repeat == config.RepeatSafe,
		timeout: time.Duration(r.Timeout), objective: time.Duration(r.Objective),
		priority: r.Priority, attempts: r.Attempts, destinations: r.Split,
		anonymous: r.Anonymous, bulk: r.Bulk,
	}
}

// addHostRoute adds a host route. The key of its object is derived from host
// and prefix, so no two routes have both in common.
func (bs *buildState) addHostRoute(r *Route) {
	byPrefix := bs.table.hostRoutes[r.host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		bs.table.hostRoutes[r.host] = byPrefix
	}
	byPrefix[r.path] = r
}

// checkHostRoutes records a fault for each destination whose service does not
// exist.
func (bs *buildState) checkHostRoutes() {
	for _, byPrefix := range bs.table.hostRoutes {
		for _, r := range byPrefix {
			for _, d := range r.destinations {
				if _, ok := bs.table.services[d.Service]; !ok {
					key := config.HostRoute{Host: r.host, Prefix: r.path}.Key()
					bs.fault(key, "split", "route %s points at service %q, which does not exist", r.name, d.Service)
				}
			}
		}
	}
}
