package expand_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// makeObjects returns the objects of configuration values, by key.
func makeObjects(t *testing.T, values ...any) map[config.Key]config.Object {
	t.Helper()
	all := map[config.Key]config.Object{}
	for _, v := range values {
		o, err := config.MakeObject(v)
		require.NoError(t, err)
		all[o.Key] = o
	}
	return all
}

// parseObjects returns the objects of an operator's file, by key.
func parseObjects(t *testing.T, data []byte) map[config.Key]config.Object {
	t.Helper()
	d, err := config.Parse("mesh.jsonc", data)
	require.NoError(t, err)
	all := map[config.Key]config.Object{}
	for _, o := range d.Objects() {
		all[o.Key] = o
	}
	return all
}

// Compares the expanded routes of both example configurations with golden
// files, so that a change of expansion is visible in review.
func TestExampleRoutesMatchGoldenFiles(t *testing.T) {
	for name, data := range map[string][]byte{"kilele": examples.KileleMesh, "board": examples.BoardMesh} {
		var b expand.Builder
		table, err := b.Build(1, parseObjects(t, data))
		require.NoError(t, err)
		text := ""
		for _, r := range table.Routes() {
			text += fmt.Sprintln(r.Team(), r.Method(), r.Path(), r.Service(), r.Timeout(), r.Retryable(), r.Name())
		}
		goldie.New(t).Assert(t, name, []byte(text))
	}
}

// A prefix must not match a path that continues within a segment, and a team
// must not get the routes of another.
func TestMatchFindsLongestPrefixOfWholeSegments(t *testing.T) {
	var b expand.Builder
	table, err := b.Build(1, parseObjects(t, examples.KileleMesh))
	require.NoError(t, err)
	for _, test := range []struct {
		team, method, path, want string
	}{
		{"counters", "GET", "/counters/benches", "benches.look"},
		{"counters", "GET", "/counters/benches/7/today", "benches.look"},
		{"counters", "GET", "/counters/benches-closed", ""},
		{"counters", "POST", "/counters/benches", ""},
		{"clubs", "GET", "/counters/benches", ""},
		{"counters", "GET", "/", ""},
		{"counters", "GET", "", ""},
		{"nobody", "GET", "/counters/benches", ""},
	} {
		r, ok := table.Match(test.team, test.method, test.path)
		require.Equal(t, test.want != "", ok, "%v", test)
		if ok {
			require.Equal(t, test.want, r.Name())
		}
	}
}

// Each invalid set of objects must give no table and a fault that names the
// reason.
func TestBuildReportsFaults(t *testing.T) {
	service := config.Service{Name: "s", Version: "v1", Deadline: "finish"}
	route := config.TemplateRoute{Name: "r", Method: "GET", Path: "/${p}", Service: "s", Repeat: "safe", Timeout: "1s"}
	template := config.Template{Name: "t", Parameters: []string{"p"}, Routes: []config.TemplateRoute{route}}
	parameters := config.Parameters{Team: "a", Template: "t", Values: map[string]string{"p": "x"}}
	withRoute := func(change func(*config.TemplateRoute)) config.Template {
		r := route
		change(&r)
		return config.Template{Name: "t", Parameters: []string{"p"}, Routes: []config.TemplateRoute{r}}
	}
	for name, test := range map[string]struct {
		values []any
		want   string
	}{
		"unknown service":  {[]any{template, parameters}, `points at service "s"`},
		"unknown template": {[]any{service, parameters}, `no template "t"`},
		"missing value":    {[]any{service, template, config.Parameters{Team: "a", Template: "t"}}, `needs a value for "p"`},
		"unknown value": {[]any{service, template, config.Parameters{Team: "a", Template: "t",
			Values: map[string]string{"p": "x", "q": "y"}}}, "no such parameter"},
		"undeclared parameter": {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Path = "/${q}" }), parameters}, `"q" is not declared`},
		"unknown method":       {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Method = "FETCH" }), parameters}, `"FETCH" is none of`},
		"bad repeat":           {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Repeat = "maybe" }), parameters}, `got "maybe"`},
		"bad timeout":          {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Timeout = "soon" }), parameters}, "time span"},
		"bad path":             {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Path = "x//${p}" }), parameters}, "is no path"},
		"duplicate route": {[]any{service, template, parameters,
			config.Template{Name: "u", Routes: []config.TemplateRoute{{Name: "r", Method: "GET", Path: "/x", Service: "s", Repeat: "safe", Timeout: "1s"}}},
			config.Parameters{Team: "a", Template: "u"}}, "both match GET /x"},
		"undefined unit":        {[]any{config.Contract{Team: "a", Limit: "5 ponies"}}, `unit "ponies" is not defined`},
		"malformed limit":       {[]any{config.Contract{Team: "a", Limit: "many"}}, "amount and a unit"},
		"cost of unknown route": {[]any{config.Unit{Name: "u", Window: 1, Costs: map[string]int{"t.q": 1}}}, `no route "t.q"`},
		"route without cost":    {[]any{service, template, parameters, config.Unit{Name: "u", Window: 1}, config.Contract{Team: "a", Limit: "5 u"}}, "does not say what route t.r"},
		"negative cost":         {[]any{service, template, config.Unit{Name: "u", Window: 1, Costs: map[string]int{"t.r": -1}}}, "negative"},
		"bad deadline":          {[]any{config.Service{Name: "s", Version: "v1", Deadline: "later"}}, `got "later"`},
		"move without service": {[]any{config.Move{Service: "s", From: "v1", To: "v2", State: config.MoveRunning}},
			`service "s" must stay`},
	} {
		t.Run(name, func(t *testing.T) {
			var b expand.Builder
			table, err := b.Build(1, makeObjects(t, test.values...))
			require.Nil(t, table)
			require.ErrorContains(t, err, test.want)
		})
	}
}

// The same objects must give the same faults in the same order. Otherwise
// replicas of the source would store different outcomes of one change.
func TestFaultsHaveFixedOrder(t *testing.T) {
	all := makeObjects(t,
		config.Parameters{Team: "a", Template: "t", Values: map[string]string{"p": "x", "q": "x", "r": "x", "s": "x"}},
		config.Template{Name: "t", Routes: []config.TemplateRoute{{Name: "r", Method: "X", Path: "", Service: "", Repeat: "", Timeout: ""}}},
		config.Contract{Team: "a", Limit: "5 ponies"}, config.Contract{Team: "b", Limit: "5 ponies"})
	var first string
	for i := range 50 {
		var b expand.Builder
		_, err := b.Build(1, all)
		if i == 0 {
			first = err.Error()
		}
		require.Equal(t, first, err.Error())
	}
}

// A builder that has built earlier revisions must return the same tables and
// faults as a new one. Stale entries of its caches would break that.
func TestReusedBuilderMatchesNewBuilder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reused expand.Builder
		all := map[config.Key]config.Object{}
		for revision := range rapid.IntRange(1, 12).Draw(t, "revisions") {
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				o, err := config.MakeObject(drawObject(t))
				require.NoError(t, err)
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					delete(all, o.Key)
				} else {
					all[o.Key] = o
				}
			}
			var fresh expand.Builder
			got, gotErr := reused.Build(config.Revision(revision), all)
			want, wantErr := fresh.Build(config.Revision(revision), all)
			require.Equal(t, wantErr, gotErr)
			if wantErr == nil {
				require.Equal(t, want.Digest(), got.Digest())
				require.Equal(t, want.Routes(), got.Routes())
			}
		}
	})
}

// drawObject returns a random small object, which may be invalid alone or
// together with others.
func drawObject(t *rapid.T) any {
	name := rapid.SampledFrom([]string{"a", "b"})
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return config.Service{Name: name.Draw(t, "service"), Version: "v1", Deadline: "finish"}
	case 1:
		return config.Template{Name: name.Draw(t, "template"), Parameters: []string{"s"}, Routes: []config.TemplateRoute{{
			Name: "r", Method: "GET", Path: rapid.SampledFrom([]string{"/x", "/y", "z"}).Draw(t, "path"),
			Service: "${s}", Repeat: "safe", Timeout: rapid.SampledFrom([]string{"1s", "soon"}).Draw(t, "timeout"),
		}}}
	case 2:
		return config.Unit{Name: "u", Window: 1, Costs: map[string]int{name.Draw(t, "costs") + ".r": 1}}
	case 3:
		return config.Contract{Team: name.Draw(t, "team"), Limit: "5 u"}
	default:
		return config.Parameters{
			Team: name.Draw(t, "team"), Template: name.Draw(t, "of"),
			Values: map[string]string{rapid.SampledFrom([]string{"s", "t"}).Draw(t, "parameter"): name.Draw(t, "value")},
		}
	}
}

// makeSizedObjects returns objects of the size expected in two years, for a
// number of teams. All routes of the template begin with path.
func makeSizedObjects(t testing.TB, teams int, path string) map[config.Key]config.Object {
	var values []any
	for i := range 1200 {
		values = append(values, config.Service{Name: fmt.Sprintf("s%d", i), Version: "v1", Deadline: "finish"})
	}
	values = append(values, config.Template{Name: "t", Parameters: []string{"s", "p"}, Routes: []config.TemplateRoute{
		{Name: "a", Method: "GET", Path: path + "/${p}/a", Service: "${s}", Repeat: "safe", Timeout: "1s"},
		{Name: "b", Method: "POST", Path: path + "/${p}/b", Service: "${s}", Repeat: "never", Timeout: "1s"},
	}})
	for i := range teams {
		values = append(values, config.Parameters{Team: fmt.Sprintf("team%d", i), Template: "t", Values: map[string]string{"p": "p", "s": fmt.Sprintf("s%d", i%1200)}})
	}
	all := map[config.Key]config.Object{}
	for _, v := range values {
		o, err := config.MakeObject(v)
		require.NoError(t, err)
		all[o.Key] = o
	}
	return all
}

// BenchmarkBuild measures a build from scratch, and one after a change of one
// team's parameters.
func BenchmarkBuild(b *testing.B) {
	for _, teams := range []int{100, 1000} {
		all := makeSizedObjects(b, teams, "")
		b.Run(fmt.Sprintf("full/teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				var builder expand.Builder
				if _, err := builder.Build(1, all); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("change/teams=%d", teams), func(b *testing.B) {
			var builder expand.Builder
			for i := 0; b.Loop(); i++ {
				o, err := config.MakeObject(config.Parameters{Team: "team0", Template: "t", Values: map[string]string{"p": fmt.Sprintf("p%d", i), "s": "s0"}})
				require.NoError(b, err)
				all[o.Key] = o
				if _, err := builder.Build(1, all); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTemplateDeltaBytes compares the size of what a daemon receives when
// a template changes: the delta with the template, and the expanded routes that
// would be sent instead. Both are encoded as between peers.
func BenchmarkTemplateDeltaBytes(b *testing.B) {
	type sentRoute struct{ Team, Name, Method, Path, Service, Timeout string }
	for _, teams := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				before, after := makeSizedObjects(b, teams, ""), makeSizedObjects(b, teams, "/new")
				var c catalog.Catalog
				c.Change(slices.Collect(maps.Values(before)), nil)
				old := c.Clone()
				key := config.MakeKey(config.KindTemplate, "t")
				c.Change([]config.Object{after[key]}, nil)
				delta := c.Delta(old.Revision(), old.Digest())
				var builder expand.Builder
				table, err := builder.Build(2, after)
				require.NoError(b, err)
				var routes []sentRoute
				for _, r := range table.Routes() {
					routes = append(routes, sentRoute{r.Team(), r.Name(), r.Method(), r.Path(), r.Service(), r.Timeout().String()})
				}
				b.ReportMetric(float64(encodedSize(b, delta)), "B-template")
				b.ReportMetric(float64(encodedSize(b, routes)), "B-expanded")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// encodedSize returns the size of v in gob, in bytes.
func encodedSize(b *testing.B, v any) int {
	var buffer bytes.Buffer
	require.NoError(b, gob.NewEncoder(&buffer).Encode(v))
	return buffer.Len()
}
