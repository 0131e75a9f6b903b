package feed

import "github.com/endivewalk/endivewalk/internal/directory"

// Target is an upstream with the data of its daemon that a call needs.
type Target struct {
	directory.Upstream
	Host        string
	Incarnation uint64
	Zone        string
	Inbound     string // Address of the daemon's inbound proxy.
}

// View is an index of the directory's upstreams by service and version. It is
// immutable: callers must not modify what its methods return.
type View struct {
	live    []directory.Record
	staying targets // Of daemons that are not leaving.
	leaving targets
}

// targets holds upstreams by service, then by version.
type targets map[string]map[string][]Target

func newView(live []directory.Record) *View {
	v := &View{live: live, staying: targets{}, leaving: targets{}}
	for _, r := range live {
		if r.Leaving {
			v.leaving.add(r)
		} else {
			v.staying.add(r)
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

// Live returns the records of all daemons that are not gone, sorted by host.
func (v *View) Live() []directory.Record { return v.live }

// Targets returns the upstreams of a version of a service, sorted by host, or of
// all versions in no particular order if version is "". Upstreams of daemons that
// are leaving are returned only if there are no others: their inbound proxies
// take calls until they are closed.
func (v *View) Targets(service, version string) []Target {
	if found := v.staying.find(service, version); len(found) > 0 {
		return found
	}
	return v.leaving.find(service, version)
}

// find returns the upstreams of a version of a service, or of all its versions
// if version is "".
func (s targets) find(service, version string) []Target {
	if version != "" {
		return s[service][version]
	}
	var all []Target
	for _, ofVersion := range s[service] {
		all = append(all, ofVersion...)
	}
	return all
}

// Versions returns the upstreams of a service by version, without those of
// daemons that are leaving.
func (v *View) Versions(service string) map[string][]Target {
	return v.staying[service]
}

// Staying returns the records of all daemons that are neither gone nor leaving,
// sorted by host.
func (v *View) Staying() []directory.Record {
	var staying []directory.Record
	for _, r := range v.live {
		if !r.Leaving {
			staying = append(staying, r)
		}
	}
	return staying
}
