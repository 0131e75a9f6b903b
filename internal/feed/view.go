package feed

import "github.com/endivewalk/endivewalk/internal/directory"

// Target is an upstream and the daemon beside it.
type Target struct {
	directory.Upstream
	Host        string
	Incarnation uint64
	Zone        string
	Inbound     string
}

// View is the directory as calls need it. It is immutable.
type View struct {
	live     []directory.Record
	services targets // Of daemons that stay.
	leaving  targets
}

// targets holds upstreams by service and version.
type targets map[string]map[string][]Target

func newView(live []directory.Record) *View {
	v := &View{live: live, services: targets{}, leaving: targets{}}
	for _, r := range live {
		if r.Leaving {
			v.leaving.add(r)
		} else {
			v.services.add(r)
		}
	}
	return v
}

func (s targets) add(r directory.Record) {
	for _, u := range r.Upstreams {
		if s[u.Service] == nil {
			s[u.Service] = map[string][]Target{}
		}
		t := Target{Upstream: u, Host: r.Host, Incarnation: r.Incarnation, Zone: r.Zone, Inbound: r.Gate}
		s[u.Service][u.Version] = append(s[u.Service][u.Version], t)
	}
}

// Live returns the records of all daemons that are not gone, by host.
func (v *View) Live() []directory.Record { return v.live }

// Targets returns the upstreams of a version of a service, by host, or of all
// its versions if version is "". Those beside
// daemons that leave are returned only if there are no others: their gates take
// calls until they are closed.
func (v *View) Targets(service, version string) []Target {
	if staying := v.services.of(service, version); len(staying) > 0 {
		return staying
	}
	return v.leaving.of(service, version)
}

func (s targets) of(service, version string) []Target {
	if version != "" {
		return s[service][version]
	}
	var all []Target
	for _, some := range s[service] {
		all = append(all, some...)
	}
	return all
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
