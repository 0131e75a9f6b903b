// Package expand turns configuration objects, such as templates and parameters,
// into the table of routes and limits that callers' calls are matched with.
//
// The source expands a change before accepting it, to find its faults. Every
// daemon expands the same objects again with the same code, so that only the
// template and the parameters are distributed, not each expanded route.
// Expansion is pure: the same objects give the same table.
package expand

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Route is a route of a team, expanded from a template, or a host route. It is
// immutable and safe for concurrent use.
type Route struct {
	team      string
	name      string
	method    string
	path      string
	service   string
	retryable bool
	timeout   time.Duration

	// Set for host routes only.
	host         string
	objective    time.Duration
	priority     int
	attempts     int
	destinations []config.Destination
	anonymous    bool
	bulk         bool
}

// Team returns the team of the route, or "" for a host route.
func (r *Route) Team() string { return r.team }

// Name returns the name of the route: "template.route" for the route of a team,
// and the configured name for a host route.
func (r *Route) Name() string { return r.name }

// Method returns the HTTP method, or "" for a host route, which applies to all
// methods.
func (r *Route) Method() string { return r.method }

// Path returns the path prefix that the route matches. That of a host route
// begins and ends with a slash.
func (r *Route) Path() string { return r.path }

// Service returns the service that the calls go to, or "" for a host route,
// which has Destinations instead.
func (r *Route) Service() string { return r.service }

// Retryable reports whether a call may be executed more than once.
func (r *Route) Retryable() bool { return r.retryable }

// Timeout returns the maximum duration of a call, all attempts included.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Host returns the Host header that a host route matches, or "" for the route
// of a team.
func (r *Route) Host() string { return r.host }

// Objective returns the latency objective, within which responses should
// arrive, or 0 if there is none.
func (r *Route) Objective() time.Duration { return r.objective }

// Priority returns the priority of the route's calls; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Attempts returns the maximum number of attempts of a call, each on one
// upstream, or 0 for the route of a team, which does not set one.
func (r *Route) Attempts() int { return r.attempts }

// Destinations returns the weighted destinations of a host route, or nil.
// Callers must not modify the slice.
func (r *Route) Destinations() []config.Destination { return r.destinations }

// Anonymous reports whether calls need no API key, also in a keyed configuration.
func (r *Route) Anonymous() bool { return r.anonymous }

// Bulk reports whether the responses are large.
func (r *Route) Bulk() bool { return r.bulk }

// Limit is the rate limit of a team, from its contract. It is immutable and
// safe for concurrent use.
type Limit struct {
	team   string
	amount int
	unit   string
	window time.Duration
	costs  map[string]int
}

// Amount returns how many units the calls of the team may cost in each window,
// over the whole fleet.
func (l *Limit) Amount() int { return l.amount }

// Unit returns the name of the unit that the limit counts.
func (l *Limit) Unit() string { return l.unit }

// Window returns the duration that Amount applies to.
func (l *Limit) Window() time.Duration { return l.window }

// Cost returns what one call of the route costs, in units. The route is named
// as by Route.Name; an unknown one costs 0.
func (l *Limit) Cost(route string) int { return l.costs[route] }

// VersionSplit says how a service's traffic is divided between two versions.
type VersionSplit struct {
	From  string // Empty until the service has a version.
	To    string // Empty unless a move is running.
	Share int    // Share of To, in thousandths.
}

// Table is the expanded configuration at one revision. Create one with
// Builder.Build. It is immutable and safe for concurrent use.
type Table struct {
	revision   config.Revision
	teamRoutes map[string]map[string]map[string]*Route // By team, method and path.
	limits     map[string]*Limit                       // By team.
	services   map[string]config.Service
	moves      map[string]config.Move       // By service.
	hostRoutes map[string]map[string]*Route // By host and prefix.
	fleet      config.Fleet

	teams       map[string]*Team // By name.
	teamsByKey  map[string]*Team // By the digest of a key.
	evacuations map[string]bool  // By data centre.
}

// Revision returns the revision of the configuration that the table was built
// from.
func (t *Table) Revision() config.Revision { return t.revision }

// Match returns the route of a team with the method and the longest path that
// is equal to the path of the call or a prefix of whole segments of it. It
// returns false if there is none.
func (t *Table) Match(team, method, path string) (*Route, bool) {
	byPath := t.teamRoutes[team][method]
	for prefix := path; byPath != nil; {
		if r, ok := byPath[prefix]; ok {
			return r, true
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 || prefix == "/" {
			break
		}
		prefix = prefix[:max(slash, 1)]
	}
	return nil, false
}

// MatchHost returns the route of a host with the longest prefix that path
// begins with, and false if there is none.
func (t *Table) MatchHost(host, path string) (*Route, bool) {
	byPrefix := t.hostRoutes[host]
	for end := len(path); byPrefix != nil && end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := byPrefix[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// Fleet returns the settings that apply to the whole fleet. They are zero if
// the configuration has none.
func (t *Table) Fleet() config.Fleet { return t.fleet }

// HasTeam reports whether a team has any route.
func (t *Table) HasTeam(team string) bool { return t.teamRoutes[team] != nil }

// Limit returns the limit of a team, and false if it has no contract.
func (t *Table) Limit(team string) (*Limit, bool) {
	l, ok := t.limits[team]
	return l, ok
}

// Service returns the service with the given name, and false if there is none.
func (t *Table) Service(name string) (config.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Move returns the newest move of a service, running or ended, and false if
// there has been none.
func (t *Table) Move(service string) (config.Move, bool) {
	m, ok := t.moves[service]
	return m, ok
}

// VersionSplit returns how a service's traffic is divided between versions at
// this revision.
func (t *Table) VersionSplit(service string) VersionSplit {
	s := VersionSplit{From: t.services[service].Version}
	if m, ok := t.moves[service]; ok && m.State == config.MoveRunning {
		s.To = m.To
		s.Share = m.Share
	}
	return s
}

// Routes returns all routes, sorted by team, method, host and path.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, methods := range t.teamRoutes {
		for _, paths := range methods {
			for _, r := range paths {
				all = append(all, r)
			}
		}
	}
	for _, prefixes := range t.hostRoutes {
		for _, r := range prefixes {
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sortKey() < all[j].sortKey() })
	return all
}

func (r *Route) sortKey() string {
	return r.team + "\x00" + r.method + "\x00" + r.host + "\x00" + r.path
}

// sortedLimits returns all limits, sorted by team.
func (t *Table) sortedLimits() []*Limit {
	all := make([]*Limit, 0, len(t.limits))
	for _, l := range t.limits {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].team < all[j].team })
	return all
}

// Digest returns a hash of the routes, limits, version splits, teams and evacuations. Equal tables
// have equal digests in all processes. Costs of limits and other settings of
// services and of the fleet are not included, so tables that differ only in
// these have equal digests too.
func (t *Table) Digest() uint64 {
	h := xxh3.New()
	write := func(parts ...string) {
		for _, p := range parts {
			h.WriteString(p)
			h.Write([]byte{0})
		}
	}
	for _, r := range t.Routes() {
		write(r.team, r.name, r.method, r.path, r.service, r.timeout.String(), strconv.FormatBool(r.retryable))
		if r.host != "" {
			write(r.host, r.objective.String(), strconv.Itoa(r.priority), strconv.Itoa(r.attempts), fmt.Sprint(r.destinations))
		}
		if r.anonymous || r.bulk {
			write("anonymous", strconv.FormatBool(r.anonymous), "bulk", strconv.FormatBool(r.bulk))
		}
	}
	for _, l := range t.sortedLimits() {
		write(l.team, strconv.Itoa(l.amount), l.unit, l.window.String())
	}
	for _, name := range t.Services() {
		s := t.VersionSplit(name)
		write(name, s.From, s.To, strconv.Itoa(s.Share))
	}
	for _, name := range t.Teams() {
		write(t.teams[name].digestParts()...)
	}
	for _, zone := range t.Evacuations() {
		write("evacuation", zone)
	}
	return h.Sum64()
}
