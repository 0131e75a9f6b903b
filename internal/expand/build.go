package expand

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Builder builds tables from configuration objects. Between calls it keeps the
// decoded objects and the expanded routes of each team's parameters, so that a
// small change is cheap. The zero value is ready to use. It is not safe for
// concurrent use.
type Builder struct {
	decoded  map[config.Key]decodedObject
	expanded map[config.Key]expandedRoutes // Of the previous build, by key of the Parameters.
}

// expandedRoutes holds the routes of a team's parameters for a template, with
// the bodies of both objects. They are reused while both bodies stay the same.
// Only valid routes are kept.
type expandedRoutes struct {
	template   []byte
	parameters []byte
	routes     []*Route
}

// buildState is the state of one call of Builder.Build.
type buildState struct {
	builder          *Builder
	expanded         map[config.Key]expandedRoutes
	table            *Table
	faults           Faults
	units            map[string]config.Unit
	templates        map[string]config.Template
	parameters       []config.Parameters
	parametersByTeam map[string][]config.Parameters
	contracts        []config.Contract
}

// Build returns the table of a revision. If objects are invalid, it returns no
// table and Faults with all faults found, sorted by their text. Build keeps the
// bodies of the objects; callers must not change them.
func (b *Builder) Build(revision config.Revision, objects map[config.Key]config.Object) (*Table, error) {
	bs := b.build(revision, objects)
	b.prune(objects)
	b.expanded = bs.expanded
	if err := bs.err(); err != nil {
		return nil, err
	}
	return bs.table, nil
}

// Check returns the Faults of a part of the objects, as if there were no others.
// The part must include what its objects refer to. The decoded objects are kept
// for the next Build.
func (b *Builder) Check(part map[config.Key]config.Object) error {
	return b.build(0, part).err()
}

// build expands objects and records the faults.
func (b *Builder) build(revision config.Revision, objects map[config.Key]config.Object) *buildState {
	bs := &buildState{
		table: &Table{
			revision:   revision,
			teamRoutes: map[string]map[string]map[string]*Route{},
			limits:     map[string]*Limit{},
			services:   map[string]config.Service{},
			moves:      map[string]config.Move{},
			hostRoutes: map[string]map[string]*Route{},

			teams: map[string]*Team{}, teamsByKey: map[string]*Team{}, evacuations: map[string]bool{},
		},
		builder: b, expanded: map[config.Key]expandedRoutes{},
		units:            map[string]config.Unit{},
		templates:        map[string]config.Template{},
		parametersByTeam: map[string][]config.Parameters{},
	}
	b.decode(objects, bs)
	bs.checkServices()
	bs.checkHostRoutes()
	bs.checkTemplates()
	bs.expandAll()
	bs.checkUnits()
	bs.addLimits()
	bs.checkMoves()
	return bs
}

// err returns the faults, sorted by their text, or nil if there are none.
func (bs *buildState) err() error {
	if len(bs.faults) == 0 {
		return nil
	}
	sort.Slice(bs.faults, func(i, j int) bool { return bs.faults[i].String() < bs.faults[j].String() })
	return bs.faults
}

// add adds a decoded object to the build. Host routes are added by
// addHostRoute.
func (bs *buildState) add(value any) {
	switch v := value.(type) {
	case config.Unit:
		bs.units[v.Name] = v
	case config.Template:
		bs.templates[v.Name] = v
	case config.Parameters:
		bs.parameters = append(bs.parameters, v)
		bs.parametersByTeam[v.Team] = append(bs.parametersByTeam[v.Team], v)
	case config.Contract:
		bs.contracts = append(bs.contracts, v)
	case config.Service:
		bs.table.services[v.Name] = v
	case config.Move:
		bs.table.moves[v.Service] = v
	case config.Fleet:
		bs.table.fleet = v
	case config.Team:
		bs.addTeam(v)
	case config.Evacuation:
		bs.table.evacuations[v.Zone] = true
	}
}

// fault records a fault of the object with the given key, at path within it.
func (bs *buildState) fault(key config.Key, path, format string, args ...any) {
	bs.faults = append(bs.faults, Fault{Key: key, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (bs *buildState) checkServices() {
	for name, s := range bs.table.services {
		key := config.MakeKey(config.KindService, name)
		if s.Version != "" && !config.ValidName(s.Version) {
			bs.fault(key, "version", "%q is no valid version name", s.Version)
		}
		if s.Deadline != config.DeadlineFinish && s.Deadline != config.DeadlineRollBack {
			bs.fault(key, "deadline", "want %q or %q, got %q", config.DeadlineFinish, config.DeadlineRollBack, s.Deadline)
		}
	}
}

var (
	placeholder  = regexp.MustCompile(`\$\{([^}]*)\}`)
	pathPattern  = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	validMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

func (bs *buildState) checkTemplates() {
	for name, t := range bs.templates {
		key := config.MakeKey(config.KindTemplate, name)
		if len(t.Routes) == 0 {
			bs.fault(key, "routes", "a template needs at least one route")
		}
		seen := map[string]bool{}
		for i, r := range t.Routes {
			path := fmt.Sprintf("routes[%d]", i)
			if !config.ValidName(r.Name) || seen[r.Name] {
				bs.fault(key, path+".name", "%q is no valid name or stands twice", r.Name)
			}
			seen[r.Name] = true
			bs.checkTemplateRoute(key, path, t, r)
		}
	}
}

func (bs *buildState) checkTemplateRoute(key config.Key, path string, t config.Template, r config.TemplateRoute) {
	if !slices.Contains(validMethods, r.Method) {
		bs.fault(key, path+".method", "%q is none of %s", r.Method, strings.Join(validMethods, ", "))
	}
	if r.Repeat != config.RepeatSafe && r.Repeat != config.RepeatNever {
		bs.fault(key, path+".repeat", "want %q or %q, got %q", config.RepeatSafe, config.RepeatNever, r.Repeat)
	}
	texts := [][2]string{{".path", r.Path}, {".service", r.Service}, {".timeout", r.Timeout}}
	for _, text := range texts {
		for _, m := range placeholder.FindAllStringSubmatch(text[1], -1) {
			if !slices.Contains(t.Parameters, m[1]) {
				bs.fault(key, path+text[0], "parameter %q is not declared", m[1])
			}
		}
	}
}

// expandAll adds the routes of all teams' parameters.
func (bs *buildState) expandAll() {
	for _, p := range bs.parameters {
		key := config.MakeKey(config.KindParameters, p.Team+"/"+p.Template)
		t, ok := bs.templates[p.Template]
		if !ok {
			bs.fault(key, "template", "there is no template %q", p.Template)
			continue
		}
		bs.addTemplateRoutes(key, t, p)
	}
}

// addTemplateRoutes adds the routes of a team's parameters for a template. It
// reuses the routes of the previous build if neither object has changed.
func (bs *buildState) addTemplateRoutes(key config.Key, t config.Template, p config.Parameters) {
	template := bs.builder.decoded[config.MakeKey(config.KindTemplate, t.Name)].body
	parameters := bs.builder.decoded[key].body
	e, ok := bs.builder.expanded[key]
	if !ok || !bytes.Equal(e.template, template) || !bytes.Equal(e.parameters, parameters) {
		faultsBefore := len(bs.faults)
		e = expandedRoutes{template: template, parameters: parameters, routes: bs.expandTemplate(key, t, p)}
		ok = len(bs.faults) == faultsBefore
	}
	if ok {
		bs.expanded[key] = e
	}
	for _, r := range e.routes {
		bs.addRoute(key, r)
	}
}

// expandTemplate returns the routes of a team's parameters for a template,
// without those that are invalid by themselves.
func (bs *buildState) expandTemplate(key config.Key, t config.Template, p config.Parameters) []*Route {
	if !bs.checkValues(key, t, p) {
		return nil
	}
	var routes []*Route
	for _, r := range t.Routes {
		if route := bs.expandRoute(key, t, p, r); route != nil {
			routes = append(routes, route)
		}
	}
	return routes
}

// checkValues reports whether the parameters have a value for exactly the
// declared names, and records a fault for each difference.
func (bs *buildState) checkValues(key config.Key, t config.Template, p config.Parameters) bool {
	faultsBefore := len(bs.faults)
	for _, name := range t.Parameters {
		if _, ok := p.Values[name]; !ok {
			bs.fault(key, "values", "template %q needs a value for %q", t.Name, name)
		}
	}
	for name := range p.Values {
		if !slices.Contains(t.Parameters, name) {
			bs.fault(key, "values."+name, "template %q has no such parameter", t.Name)
		}
	}
	return len(bs.faults) == faultsBefore
}

// expandRoute returns one route, or nil if it is invalid by itself.
func (bs *buildState) expandRoute(key config.Key, t config.Template, p config.Parameters, r config.TemplateRoute) *Route {
	substitute := func(text string) string {
		return placeholder.ReplaceAllStringFunc(text, func(m string) string {
			return p.Values[m[2:len(m)-1]]
		})
	}
	fullName := t.Name + "." + r.Name
	route := &Route{
		team: p.Team, name: fullName, method: r.Method, path: substitute(r.Path),
		service: substitute(r.Service), retryable: r.Repeat == config.RepeatSafe,
	}
	faultsBefore := len(bs.faults)
	var timeout config.Duration
	if err := timeout.UnmarshalText([]byte(substitute(r.Timeout))); err != nil {
		bs.fault(key, "", "route %s: timeout: %v", fullName, err)
	}
	route.timeout = time.Duration(timeout)
	if !pathPattern.MatchString(route.path) {
		bs.fault(key, "", "route %s: %q is no path", fullName, route.path)
	}
	if len(bs.faults) > faultsBefore {
		return nil
	}
	return route
}

// addRoute adds a route to the table, or records a fault if its service does
// not exist or another route of the team has the same method and path.
func (bs *buildState) addRoute(key config.Key, r *Route) {
	if _, ok := bs.table.services[r.service]; !ok {
		bs.fault(key, "", "route %s points at service %q, which does not exist", r.name, r.service)
		return
	}
	byMethod := bs.table.teamRoutes[r.team]
	if byMethod == nil {
		byMethod = map[string]map[string]*Route{}
		bs.table.teamRoutes[r.team] = byMethod
	}
	if byMethod[r.method] == nil {
		byMethod[r.method] = map[string]*Route{}
	}
	if existing, ok := byMethod[r.method][r.path]; ok {
		bs.fault(key, "", "routes %s and %s of team %q both match %s %s", existing.name, r.name, r.team, r.method, r.path)
		return
	}
	byMethod[r.method][r.path] = r
}

func (bs *buildState) checkUnits() {
	for name, u := range bs.units {
		key := config.MakeKey(config.KindUnit, name)
		if u.Window <= 0 {
			bs.fault(key, "window", "want a positive time span")
		}
		for route, cost := range u.Costs {
			if cost < 0 {
				bs.fault(key, "costs."+route, "a cost can't be negative")
			}
			if !bs.hasTemplateRoute(route) {
				bs.fault(key, "costs."+route, "there is no route %q; want \"template.route\"", route)
			}
		}
	}
}

// hasTemplateRoute reports whether a "template.route" exists.
func (bs *buildState) hasTemplateRoute(fullName string) bool {
	template, name, _ := strings.Cut(fullName, ".")
	for _, r := range bs.templates[template].Routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

// addLimits adds the limits of the contracts.
func (bs *buildState) addLimits() {
	for _, c := range bs.contracts {
		key := config.MakeKey(config.KindContract, c.Team)
		amount, unitName, err := c.ParseLimit()
		if err != nil {
			bs.fault(key, "limit", "%v", err)
			continue
		}
		u, ok := bs.units[unitName]
		if !ok {
			bs.fault(key, "limit", "unit %q is not defined", unitName)
			continue
		}
		bs.checkCosts(key, c, u)
		bs.table.limits[c.Team] = &Limit{
			team: c.Team, amount: amount, unit: unitName,
			window: time.Duration(u.Window), costs: u.Costs,
		}
	}
}

// checkCosts records a fault for each route of the contract's team that the
// unit has no cost for. Such a route would pass without limit.
func (bs *buildState) checkCosts(key config.Key, c config.Contract, u config.Unit) {
	for _, p := range bs.parametersByTeam[c.Team] {
		for _, r := range bs.templates[p.Template].Routes {
			fullName := p.Template + "." + r.Name
			if _, ok := u.Costs[fullName]; !ok {
				bs.fault(key, "limit", "unit %q does not say what route %s of the team costs", u.Name, fullName)
			}
		}
	}
}

// checkMoves checks the running moves against their services.
func (bs *buildState) checkMoves() {
	for name, m := range bs.table.moves {
		key := config.MakeKey(config.KindMove, name)
		if m.State != config.MoveRunning {
			continue
		}
		s, ok := bs.table.services[name]
		if !ok {
			bs.fault(key, "service", "a move is under way, so service %q must stay", name)
			continue
		}
		if s.Version != m.From {
			bs.fault(key, "from", "the move comes from version %q, but the service has %q", m.From, s.Version)
		}
		if m.Share < 0 || m.Share > config.FullShare {
			bs.fault(key, "share", "want 0 to %d, got %d", config.FullShare, m.Share)
		}
	}
}
