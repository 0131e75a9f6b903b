package feed

import "github.com/endivewalk/endivewalk/internal/directory"

// Target is an upstream and the daemon beside it.
type Target struct {
	directory.Upstream
	Host        string
	Incarnation uint64
	Zone        string
	Gate        string
}

// View is the directory as calls need it. It is immutable.
type View struct {
	live     []directory.Record
	services map[string]map[string][]Target // By service and version.
}

func newView(live []directory.Record) *View {
	v := &View{live: live, services: map[string]map[string][]Target{}}
	for _, r := range live {
		if r.Leaving {
			continue
		}
		for _, u := range r.Upstreams {
			if v.services[u.Service] == nil {
				v.services[u.Service] = map[string][]Target{}
			}
			t := Target{Upstream: u, Host: r.Host, Incarnation: r.Incarnation, Zone: r.Zone, Gate: r.Gate}
			v.services[u.Service][u.Version] = append(v.services[u.Service][u.Version], t)
		}
	}
	return v
}

// Live returns the records of all daemons that are not gone, by host.
func (v *View) Live() []directory.Record { return v.live }

// Targets returns the upstreams of a version of a service, by host.
func (v *View) Targets(service, version string) []Target {
	return v.services[service][version]
}

// Versions returns the upstreams of a service by version.
func (v *View) Versions(service string) map[string][]Target {
	return v.services[service]
}

// Staying returns the records of all daemons that are neither gone nor about
// to leave, by host.
func (v *View) Staying() []directory.Record {
	var staying []directory.Record
	for _, r := range v.live {
		if !r.Leaving {
			staying = append(staying, r)
		}
	}
	return staying
}
