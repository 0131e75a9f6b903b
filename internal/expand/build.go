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

// Builder expands objects. It keeps decoded objects and the routes of each
// team's parameters between calls, so that a small change costs little. The zero
// value is ready; a Builder is not safe for concurrent use.
type Builder struct {
	decoded map[config.Key]decodedObject
	filled  map[config.Key]filled
}

// filled holds the routes that parameters and a template gave, by which both
// are known again. Sound ones alone are kept.
type filled struct {
	template   []byte
	parameters []byte
	routes     []*Route
}

type decodedObject struct {
	body  []byte
	value any
	route *Route // Of a HostRoute.
}

// build is one expansion under way.
type build struct {
	builder   *Builder
	filled    map[config.Key]filled
	table     *Table
	faults    Faults
	units     map[string]config.Unit
	templates map[string]config.Template
	fills     []config.Parameters
	byTeam    map[string][]config.Parameters
	contracts []config.Contract
}

// Build expands objects into the table of a revision. The error, if any, is a
// Faults in the order of the keys; then there is no table.
func (b *Builder) Build(revision config.Revision, objects map[config.Key]config.Object) (*Table, error) {
	w := &build{
		table: &Table{
			revision: revision,
			teams:    map[string]map[string]map[string]*Route{},
			limits:   map[string]*Limit{},
			services: map[string]config.Service{},
			moves:    map[string]config.Move{},
			hosts:    map[string]map[string]*Route{},
		},
		builder: b, filled: map[config.Key]filled{},
		units:     map[string]config.Unit{},
		templates: map[string]config.Template{},
		byTeam:    map[string][]config.Parameters{},
	}
	b.decode(objects, w)
	w.checkServices()
	w.checkHostRoutes()
	w.checkTemplates()
	w.expandAll()
	w.checkUnits()
	w.addLimits()
	w.checkMoves()
	b.filled = w.filled
	if len(w.faults) > 0 {
		sort.Slice(w.faults, func(i, j int) bool { return w.faults[i].String() < w.faults[j].String() })
		return nil, w.faults
	}
	return w.table, nil
}

func (b *Builder) decode(objects map[config.Key]config.Object, w *build) {
	if b.decoded == nil {
		b.decoded = make(map[config.Key]decodedObject, len(objects))
	}
	var others []config.Key // Of all kinds but routes by host, whose order matters.
	for k, o := range objects {
		d, ok := b.decodeOne(k, o, w)
		switch {
		case !ok:
		case d.route != nil:
			w.addHostRoute(d.route)
		default:
			others = append(others, k)
		}
	}
	slices.Sort(others)
	for _, k := range others {
		w.take(b.decoded[k].value)
	}
	if len(b.decoded) > len(objects) {
		maps.DeleteFunc(b.decoded, func(k config.Key, _ decodedObject) bool {
			_, ok := objects[k]
			return !ok
		})
	}
}

// decodeOne decodes an object unless it was decoded before.
func (b *Builder) decodeOne(k config.Key, o config.Object, w *build) (decodedObject, bool) {
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

func (w *build) take(value any) {
	switch v := value.(type) {
	case config.Unit:
		w.units[v.Name] = v
	case config.Template:
		w.templates[v.Name] = v
	case config.Parameters:
		w.fills = append(w.fills, v)
		w.byTeam[v.Team] = append(w.byTeam[v.Team], v)
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
	placeholder = regexp.MustCompile(`\$\{([^}]*)\}`)
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	methods     = []string{
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
	if !slices.Contains(methods, r.Method) {
		w.fault(key, path+".method", "%q is none of %s", r.Method, strings.Join(methods, ", "))
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

func (w *build) expandAll() {
	for _, p := range w.fills {
		key := config.MakeKey(config.KindParameters, p.Team+"/"+p.Template)
		t, ok := w.templates[p.Template]
		if !ok {
			w.fault(key, "template", "there is no template %q", p.Template)
			continue
		}
		w.fill(key, t, p)
	}
}

// fill adds the routes of a team's parameters for a template.
func (w *build) fill(key config.Key, t config.Template, p config.Parameters) {
	template := w.builder.decoded[config.MakeKey(config.KindTemplate, t.Name)].body
	parameters := w.builder.decoded[key].body
	f, ok := w.builder.filled[key]
	if !ok || !bytes.Equal(f.template, template) || !bytes.Equal(f.parameters, parameters) {
		before := len(w.faults)
		f = filled{template: template, parameters: parameters, routes: w.expand(key, t, p)}
		ok = len(w.faults) == before
	}
	if ok {
		w.filled[key] = f
	}
	for _, r := range f.routes {
		w.addRoute(key, r)
	}
}

// expand returns the sound routes of a team's parameters for a template.
func (w *build) expand(key config.Key, t config.Template, p config.Parameters) []*Route {
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

func (w *build) checkValues(key config.Key, t config.Template, p config.Parameters) bool {
	before := len(w.faults)
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
	return len(w.faults) == before
}

// expandRoute returns one route, or nil if it is not sound by itself.
func (w *build) expandRoute(key config.Key, t config.Template, p config.Parameters, r config.TemplateRoute) *Route {
	fill := func(text string) string {
		return placeholder.ReplaceAllStringFunc(text, func(m string) string {
			return p.Values[m[2:len(m)-1]]
		})
	}
	full := t.Name + "." + r.Name
	route := &Route{
		team: p.Team, name: full, method: r.Method, path: fill(r.Path),
		service: fill(r.Service), retryable: r.Repeat == config.RepeatSafe,
	}
	before := len(w.faults)
	var timeout config.Duration
	if err := timeout.UnmarshalText([]byte(fill(r.Timeout))); err != nil {
		w.fault(key, "", "route %s: timeout: %v", full, err)
	}
	route.timeout = time.Duration(timeout)
	if !pathPattern.MatchString(route.path) {
		w.fault(key, "", "route %s: %q is no path", full, route.path)
	}
	if len(w.faults) > before {
		return nil
	}
	return route
}

// addRoute adds a route if what it points at exists.
func (w *build) addRoute(key config.Key, r *Route) {
	if _, ok := w.table.services[r.service]; !ok {
		w.fault(key, "", "route %s points at service %q, which does not exist", r.name, r.service)
		return
	}
	byMethod := w.table.teams[r.team]
	if byMethod == nil {
		byMethod = map[string]map[string]*Route{}
		w.table.teams[r.team] = byMethod
	}
	if byMethod[r.method] == nil {
		byMethod[r.method] = map[string]*Route{}
	}
	if other, ok := byMethod[r.method][r.path]; ok {
		w.fault(key, "", "routes %s and %s of team %q both match %s %s", other.name, r.name, r.team, r.method, r.path)
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

func (w *build) hasTemplateRoute(full string) bool {
	template, name, _ := strings.Cut(full, ".")
	for _, r := range w.templates[template].Routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

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

// checkCosts refuses a limit that does not say what some call of the team
// costs: it would let that route through without limit.
func (w *build) checkCosts(key config.Key, c config.Contract, u config.Unit) {
	for _, p := range w.byTeam[c.Team] {
		for _, r := range w.templates[p.Template].Routes {
			full := p.Template + "." + r.Name
			if _, ok := u.Costs[full]; !ok {
				w.fault(key, "limit", "unit %q does not say what route %s of the team costs", u.Name, full)
			}
		}
	}
}

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
