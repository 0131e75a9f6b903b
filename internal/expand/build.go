package expand

import (
	"bytes"
	"fmt"
	"maps"
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

// decodedObject is an object in decoded form, with the body that it was decoded
// from.
type decodedObject struct {
	body  []byte
	value any
	route *Route // Set for a HostRoute only.
}

// build is the state of one call of Builder.Build.
type build struct {
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
	w := &build{
		table: &Table{
			revision:   revision,
			teamRoutes: map[string]map[string]map[string]*Route{},
			limits:     map[string]*Limit{},
			services:   map[string]config.Service{},
			moves:      map[string]config.Move{},
			hostRoutes: map[string]map[string]*Route{},
		},
		builder: b, expanded: map[config.Key]expandedRoutes{},
		units:            map[string]config.Unit{},
		templates:        map[string]config.Template{},
		parametersByTeam: map[string][]config.Parameters{},
	}
	b.decode(objects, w)
	w.checkServices()
	w.checkHostRoutes()
	w.checkTemplates()
	w.expandAll()
	w.checkUnits()
	w.addLimits()
	w.checkMoves()
	b.expanded = w.expanded
	if len(w.faults) > 0 {
		sort.Slice(w.faults, func(i, j int) bool { return w.faults[i].String() < w.faults[j].String() })
		return nil, w.faults
	}
	return w.table, nil
}

// decode decodes all objects, adds them to w, and drops objects from the cache
// that are gone.
func (b *Builder) decode(objects map[config.Key]config.Object, w *build) {
	if b.decoded == nil {
		b.decoded = make(map[config.Key]decodedObject, len(objects))
	}
	var otherKeys []config.Key // Of all kinds but host routes. Their order matters.
	for k, o := range objects {
		d, ok := b.decodeObject(k, o, w)
		switch {
		case !ok:
		case d.route != nil:
			w.addHostRoute(d.route)
		default:
			otherKeys = append(otherKeys, k)
		}
	}
	slices.Sort(otherKeys)
	for _, k := range otherKeys {
		w.add(b.decoded[k].value)
	}
	if len(b.decoded) > len(objects) {
		maps.DeleteFunc(b.decoded, func(k config.Key, _ decodedObject) bool {
			_, ok := objects[k]
			return !ok
		})
	}
}

// decodeObject decodes an object, unless the cache holds it with the same body.
// If that fails, it records a fault and returns false.
func (b *Builder) decodeObject(k config.Key, o config.Object, w *build) (decodedObject, bool) {
	d, ok := b.decoded[k]
	if ok && bytes.Equal(d.body, o.Body) {
		return d, true
	}
	value, err := o.Value()
	if err != nil {
		delete(b.decoded, k)
		w.fault(k, "", "%v", err)
		return decodedObject{}, false
	}
	d = decodedObject{body: o.Body, value: value}
	if r, ok := value.(config.HostRoute); ok {
		d.route = newHostRoute(r)
	}
	b.decoded[k] = d
	return d, true
}

// add adds a decoded object to the build. Host routes are added by
// addHostRoute.
func (w *build) add(value any) {
	switch v := value.(type) {
	case config.Unit:
		w.units[v.Name] = v
	case config.Template:
		w.templates[v.Name] = v
	case config.Parameters:
		w.parameters = append(w.parameters, v)
		w.parametersByTeam[v.Team] = append(w.parametersByTeam[v.Team], v)
	case config.Contract:
		w.contracts = append(w.contracts, v)
	case config.Service:
		w.table.services[v.Name] = v
	case config.Move:
		w.table.moves[v.Service] = v
	case config.Fleet:
		w.table.fleet = v
	}
}

// fault records a fault of the object with the given key, at path within it.
func (w *build) fault(key config.Key, path, format string, args ...any) {
	w.faults = append(w.faults, Fault{Key: key, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (w *build) checkServices() {
	for name, s := range w.table.services {
		key := config.MakeKey(config.KindService, name)
		if s.Version != "" && !config.ValidName(s.Version) {
			w.fault(key, "version", "%q is no valid version name", s.Version)
		}
		if s.Deadline != config.DeadlineFinish && s.Deadline != config.DeadlineRollBack {
			w.fault(key, "deadline", "want %q or %q, got %q", config.DeadlineFinish, config.DeadlineRollBack, s.Deadline)
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

func (w *build) checkTemplates() {
	for name, t := range w.templates {
		key := config.MakeKey(config.KindTemplate, name)
		if len(t.Routes) == 0 {
			w.fault(key, "routes", "a template needs at least one route")
		}
		seen := map[string]bool{}
		for i, r := range t.Routes {
			path := fmt.Sprintf("routes[%d]", i)
			if !config.ValidName(r.Name) || seen[r.Name] {
				w.fault(key, path+".name", "%q is no valid name or stands twice", r.Name)
			}
			seen[r.Name] = true
			w.checkTemplateRoute(key, path, t, r)
		}
	}
}

func (w *build) checkTemplateRoute(key config.Key, path string, t config.Template, r config.TemplateRoute) {
	if !slices.Contains(validMethods, r.Method) {
		w.fault(key, path+".method", "%q is none of %s", r.Method, strings.Join(validMethods, ", "))
	}
	if r.Repeat != config.RepeatSafe && r.Repeat != config.RepeatNever {
		w.fault(key, path+".repeat", "want %q or %q, got %q", config.RepeatSafe, config.RepeatNever, r.Repeat)
	}
	texts := [][2]string{{".path", r.Path}, {".service", r.Service}, {".timeout", r.Timeout}}
	for _, text := range texts {
		for _, m := range placeholder.FindAllStringSubmatch(text[1], -1) {
			if !slices.Contains(t.Parameters, m[1]) {
				w.fault(key, path+text[0], "parameter %q is not declared", m[1])
			}
		}
	}
}

// expandAll adds the routes of all teams' parameters.
func (w *build) expandAll() {
	for _, p := range w.parameters {
		key := config.MakeKey(config.KindParameters, p.Team+"/"+p.Template)
		t, ok := w.templates[p.Template]
		if !ok {
			w.fault(key, "template", "there is no template %q", p.Template)
			continue
		}
		w.addTemplateRoutes(key, t, p)
	}
}

// addTemplateRoutes adds the routes of a team's parameters for a template. It
// reuses the routes of the previous build if neither object has changed.
func (w *build) addTemplateRoutes(key config.Key, t config.Template, p config.Parameters) {
	template := w.builder.decoded[config.MakeKey(config.KindTemplate, t.Name)].body
	parameters := w.builder.decoded[key].body
	e, ok := w.builder.expanded[key]
	if !ok || !bytes.Equal(e.template, template) || !bytes.Equal(e.parameters, parameters) {
		faultsBefore := len(w.faults)
		e = expandedRoutes{template: template, parameters: parameters, routes: w.expandTemplate(key, t, p)}
		ok = len(w.faults) == faultsBefore
	}
	if ok {
		w.expanded[key] = e
	}
	for _, r := range e.routes {
		w.addRoute(key, r)
	}
}

// expandTemplate returns the routes of a team's parameters for a template,
// without those that are invalid by themselves.
func (w *build) expandTemplate(key config.Key, t config.Template, p config.Parameters) []*Route {
	if !w.checkValues(key, t, p) {
		return nil
	}
	var routes []*Route
	for _, r := range t.Routes {
		if route := w.expandRoute(key, t, p, r); route != nil {
			routes = append(routes, route)
		}
	}
	return routes
}

// checkValues reports whether the parameters have a value for exactly the
// declared names, and records a fault for each difference.
func (w *build) checkValues(key config.Key, t config.Template, p config.Parameters) bool {
	faultsBefore := len(w.faults)
	for _, name := range t.Parameters {
		if _, ok := p.Values[name]; !ok {
			w.fault(key, "values", "template %q needs a value for %q", t.Name, name)
		}
	}
	for name := range p.Values {
		if !slices.Contains(t.Parameters, name) {
			w.fault(key, "values."+name, "template %q has no such parameter", t.Name)
		}
	}
	return len(w.faults) == faultsBefore
}

// expandRoute returns one route, or nil if it is invalid by itself.
func (w *build) expandRoute(key config.Key, t config.Template, p config.Parameters, r config.TemplateRoute) *Route {
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
	faultsBefore := len(w.faults)
	var timeout config.Duration
	if err := timeout.UnmarshalText([]byte(substitute(r.Timeout))); err != nil {
		w.fault(key, "", "route %s: timeout: %v", fullName, err)
	}
	route.timeout = time.Duration(timeout)
	if !pathPattern.MatchString(route.path) {
		w.fault(key, "", "route %s: %q is no path", fullName, route.path)
	}
	if len(w.faults) > faultsBefore {
		return nil
	}
	return route
}

// addRoute adds a route to the table, or records a fault if its service does
// not exist or another route of the team has the same method and path.
func (w *build) addRoute(key config.Key, r *Route) {
	if _, ok := w.table.services[r.service]; !ok {
		w.fault(key, "", "route %s points at service %q, which does not exist", r.name, r.service)
		return
	}
	byMethod := w.table.teamRoutes[r.team]
	if byMethod == nil {
		byMethod = map[string]map[string]*Route{}
		w.table.teamRoutes[r.team] = byMethod
	}
	if byMethod[r.method] == nil {
		byMethod[r.method] = map[string]*Route{}
	}
	if existing, ok := byMethod[r.method][r.path]; ok {
		w.fault(key, "", "routes %s and %s of team %q both match %s %s", existing.name, r.name, r.team, r.method, r.path)
		return
	}
	byMethod[r.method][r.path] = r
}

func (w *build) checkUnits() {
	for name, u := range w.units {
		key := config.MakeKey(config.KindUnit, name)
		if u.Window <= 0 {
			w.fault(key, "window", "want a positive time span")
		}
		for route, cost := range u.Costs {
			if cost < 0 {
				w.fault(key, "costs."+route, "a cost can't be negative")
			}
			if !w.hasTemplateRoute(route) {
				w.fault(key, "costs."+route, "there is no route %q; want \"template.route\"", route)
			}
		}
	}
}

// hasTemplateRoute reports whether a "template.route" exists.
func (w *build) hasTemplateRoute(fullName string) bool {
	template, name, _ := strings.Cut(fullName, ".")
	for _, r := range w.templates[template].Routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

// addLimits adds the limits of the contracts.
func (w *build) addLimits() {
	for _, c := range w.contracts {
		key := config.MakeKey(config.KindContract, c.Team)
		amount, unitName, err := c.Split()
		if err != nil {
			w.fault(key, "limit", "%v", err)
			continue
		}
		u, ok := w.units[unitName]
		if !ok {
			w.fault(key, "limit", "unit %q is not defined", unitName)
			continue
		}
		w.checkCosts(key, c, u)
		w.table.limits[c.Team] = &Limit{
			team: c.Team, amount: amount, unit: unitName,
			window: time.Duration(u.Window), costs: u.Costs,
		}
	}
}

// checkCosts records a fault for each route of the contract's team that the
// unit has no cost for. Such a route would pass without limit.
func (w *build) checkCosts(key config.Key, c config.Contract, u config.Unit) {
	for _, p := range w.parametersByTeam[c.Team] {
		for _, r := range w.templates[p.Template].Routes {
			fullName := p.Template + "." + r.Name
			if _, ok := u.Costs[fullName]; !ok {
				w.fault(key, "limit", "unit %q does not say what route %s of the team costs", u.Name, fullName)
			}
		}
	}
}

// checkMoves checks the running moves against their services.
func (w *build) checkMoves() {
	for name, m := range w.table.moves {
		key := config.MakeKey(config.KindMove, name)
		if m.State != config.MoveRunning {
			continue
		}
		s, ok := w.table.services[name]
		if !ok {
			w.fault(key, "service", "a move is under way, so service %q must stay", name)
			continue
		}
		if s.Version != m.From {
			w.fault(key, "from", "the move comes from version %q, but the service has %q", m.From, s.Version)
		}
		if m.Share < 0 || m.Share > config.FullShare {
			w.fault(key, "share", "want 0 to %d, got %d", config.FullShare, m.Share)
		}
	}
}
