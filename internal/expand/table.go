// Package expand turns templates and parameters into the routes of a fleet.
//
// The source expands a change before it accepts it, and every daemon expands
// the same objects again with the same code, so that templates travel once and
// parameters as parameters. Expansion is pure: the same objects give the same
// table.
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

// Route is one expanded route of a team.
type Route struct {
	team      string
	name      string
	method    string
	path      string
	service   string
	retryable bool
	timeout   time.Duration

	// Of routes by host only.
	host      string
	objective time.Duration
	priority  int
	attempts  int
	split     []config.Destination
}

// Team returns the team that the route belongs to.
func (r *Route) Team() string { return r.team }

// Name returns the route's name as "template.route".
func (r *Route) Name() string { return r.name }

// Method returns the HTTP method.
func (r *Route) Method() string { return r.method }

// Path returns the path prefix.
func (r *Route) Path() string { return r.path }

// Service returns the name of the service that the route points at.
func (r *Route) Service() string { return r.service }

// Retryable reports whether a call may be run more than once.
func (r *Route) Retryable() bool { return r.retryable }

// Timeout returns how long a call may take altogether.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Host returns the Host header that the route applies to, or "" if it belongs
// to a team.
func (r *Route) Host() string { return r.host }

// Objective returns the time within which an answer is worth most, or 0.
func (r *Route) Objective() time.Duration { return r.objective }

// Priority returns the rank of the route's calls; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Attempts returns how many upstreams a call may reach, or 0 if the route does
// not say.
func (r *Route) Attempts() int { return r.attempts }

// Destinations returns the services that share the route's calls. Callers must not
// change it.
func (r *Route) Destinations() []config.Destination { return r.split }

// Limit is a team's contract in its unit.
type Limit struct {
	team   string
	amount int
	unit   string
	window time.Duration
	costs  map[string]int
}

// Amount returns how many units the team may use in each window.
func (l *Limit) Amount() int { return l.amount }

// Unit returns the name of the unit.
func (l *Limit) Unit() string { return l.unit }

// Window returns the time over which the limit runs.
func (l *Limit) Window() time.Duration { return l.window }

// Cost returns what one call of the route costs, in units.
func (l *Limit) Cost(route string) int { return l.costs[route] }

// Split says how a service's traffic is shared between two versions.
type Split struct {
	From  string
	To    string // Empty unless a move is under way.
	Share int    // Of To, in thousandths.
}

// Table is the expanded configuration at one revision. It is immutable and so
// safe for concurrent use.
type Table struct {
	revision config.Revision
	teams    map[string]map[string]map[string]*Route // By team, method, path.
	limits   map[string]*Limit
	services map[string]config.Service
	moves    map[string]config.Move
	hosts    map[string]map[string]*Route // By host and prefix.
	fleet    config.Fleet
}

// Revision returns the revision that the table was expanded at.
func (t *Table) Revision() config.Revision { return t.revision }

// Match returns the route of a team for a call: the one with the longest path
// that is the call's path or a prefix of whole segments of it.
func (t *Table) Match(team, method, path string) (*Route, bool) {
	byPath := t.teams[team][method]
	for at := path; byPath != nil; {
		if r, ok := byPath[at]; ok {
			return r, true
		}
		cut := strings.LastIndexByte(at, '/')
		if cut < 0 || at == "/" {
			break
		}
		at = at[:max(cut, 1)]
	}
	return nil, false
}

// MatchHost returns the route of a host with the longest prefix of path.
func (t *Table) MatchHost(host, path string) (*Route, bool) {
	byPrefix := t.hosts[host]
	for end := len(path); byPrefix != nil && end > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			break
		}
		if r, ok := byPrefix[path[:cut+1]]; ok {
			return r, true
		}
		end = cut
	}
	return nil, false
}

// Fleet returns what holds for the whole fleet.
func (t *Table) Fleet() config.Fleet { return t.fleet }

// HasTeam reports whether any route belongs to team.
func (t *Table) HasTeam(team string) bool { return t.teams[team] != nil }

// Limit returns the contract of a team, if it has one.
func (t *Table) Limit(team string) (*Limit, bool) {
	l, ok := t.limits[team]
	return l, ok
}

// Service returns a service.
func (t *Table) Service(name string) (config.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services in order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Move returns the newest move of a service.
func (t *Table) Move(service string) (config.Move, bool) {
	m, ok := t.moves[service]
	return m, ok
}

// Split returns how a service's traffic is shared now.
func (t *Table) Split(service string) Split {
	s := Split{From: t.services[service].Version}
	if m, ok := t.moves[service]; ok && m.State == config.MoveRunning {
		s.To = m.To
		s.Share = m.Share
	}
	return s
}

// Routes returns all routes in the order of team, method, host and path.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, methods := range t.teams {
		for _, paths := range methods {
			for _, r := range paths {
				all = append(all, r)
			}
		}
	}
	for _, prefixes := range t.hosts {
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

func (t *Table) sortedLimits() []*Limit {
	all := make([]*Limit, 0, len(t.limits))
	for _, l := range t.limits {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].team < all[j].team })
	return all
}

// Digest identifies the expanded routes, limits and splits.
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
			write(r.host, r.objective.String(), strconv.Itoa(r.priority), strconv.Itoa(r.attempts), fmt.Sprint(r.split))
		}
	}
	for _, l := range t.sortedLimits() {
		write(l.team, strconv.Itoa(l.amount), l.unit, l.window.String())
	}
	for _, name := range t.Services() {
		s := t.Split(name)
		write(name, s.From, s.To, strconv.Itoa(s.Share))
	}
	return h.Sum64()
}
