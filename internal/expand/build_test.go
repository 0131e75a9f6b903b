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

func objects(t *testing.T, values ...any) map[config.Key]config.Object {
	t.Helper()
	all := map[config.Key]config.Object{}
	for _, v := range values {
		o, err := config.MakeObject(v)
		require.NoError(t, err)
		all[o.Key] = o
	}
	return all
}

func document(t *testing.T, data []byte) map[config.Key]config.Object {
	t.Helper()
	d, err := config.Parse("mesh.jsonc", data)
	require.NoError(t, err)
	all := map[config.Key]config.Object{}
	for _, o := range d.Objects() {
		all[o.Key] = o
	}
	return all
}

// TestExpansionOfBothDeployments compares the routes of both examples with
// golden files, so that a change of expansion shows in review.
func TestExpansionOfBothDeployments(t *testing.T) {
	for name, data := range map[string][]byte{"kilele": examples.KileleMesh, "board": examples.BoardMesh} {
		var b expand.Builder
		table, err := b.Build(1, document(t, data))
		require.NoError(t, err)
		text := ""
		for _, r := range table.Routes() {
			text += fmt.Sprintln(r.Team(), r.Method(), r.Path(), r.Service(), r.Timeout(), r.Retryable(), r.Name())
		}
		goldie.New(t).Assert(t, name, []byte(text))
	}
}

func TestMatchTakesTheLongestPrefixOfWholeSegments(t *testing.T) {
	var b expand.Builder
	table, err := b.Build(1, document(t, examples.KileleMesh))
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

func TestFaults(t *testing.T) {
	service := config.Service{Name: "s", Version: "v1", Deadline: "finish"}
	route := config.TemplateRoute{Name: "r", Method: "GET", Path: "/${p}", Service: "s", Repeat: "safe", Timeout: "1s"}
	template := config.Template{Name: "t", Parameters: []string{"p"}, Routes: []config.TemplateRoute{route}}
	fill := config.Parameters{Team: "a", Template: "t", Values: map[string]string{"p": "x"}}
	withRoute := func(change func(*config.TemplateRoute)) config.Template {
		r := route
		change(&r)
		return config.Template{Name: "t", Parameters: []string{"p"}, Routes: []config.TemplateRoute{r}}
	}
	for name, test := range map[string]struct {
		values []any
		want   string
	}{
		"no such service":    {[]any{template, fill}, `points at service "s"`},
		"no such template":   {[]any{service, fill}, `no template "t"`},
		"a value is missing": {[]any{service, template, config.Parameters{Team: "a", Template: "t"}}, `needs a value for "p"`},
		"a value too many": {[]any{service, template, config.Parameters{Team: "a", Template: "t",
			Values: map[string]string{"p": "x", "q": "y"}}}, "no such parameter"},
		"undeclared parameter": {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Path = "/${q}" }), fill}, `"q" is not declared`},
		"unknown method":       {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Method = "FETCH" }), fill}, `"FETCH" is none of`},
		"bad repeat":           {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Repeat = "maybe" }), fill}, `got "maybe"`},
		"bad time-out":         {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Timeout = "soon" }), fill}, "time span"},
		"bad path":             {[]any{service, withRoute(func(r *config.TemplateRoute) { r.Path = "x//${p}" }), fill}, "is no path"},
		"two routes alike": {[]any{service, template, fill,
			config.Template{Name: "u", Routes: []config.TemplateRoute{{Name: "r", Method: "GET", Path: "/x", Service: "s", Repeat: "safe", Timeout: "1s"}}},
			config.Parameters{Team: "a", Template: "u"}}, "both match GET /x"},
		"undefined unit":    {[]any{config.Contract{Team: "a", Limit: "5 ponies"}}, `unit "ponies" is not defined`},
		"limit of nothing":  {[]any{config.Contract{Team: "a", Limit: "many"}}, "amount and a unit"},
		"cost of no route":  {[]any{config.Unit{Name: "u", Window: 1, Costs: map[string]int{"t.q": 1}}}, `no route "t.q"`},
		"a route costs nil": {[]any{service, template, fill, config.Unit{Name: "u", Window: 1}, config.Contract{Team: "a", Limit: "5 u"}}, "does not say what route t.r"},
		"negative cost":     {[]any{service, template, config.Unit{Name: "u", Window: 1, Costs: map[string]int{"t.r": -1}}}, "negative"},
		"bad deadline":      {[]any{config.Service{Name: "s", Version: "v1", Deadline: "later"}}, `got "later"`},
		"move without service": {[]any{config.Move{Service: "s", From: "v1", To: "v2", State: config.MoveRunning}},
			`service "s" must stay`},
	} {
		t.Run(name, func(t *testing.T) {
			var b expand.Builder
			table, err := b.Build(1, objects(t, test.values...))
			require.Nil(t, table)
			require.ErrorContains(t, err, test.want)
		})
	}
}

// The same objects give the same faults in the same order, or replicas would
// remember different answers.
func TestFaultsAreDeterministic(t *testing.T) {
	all := objects(t,
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

// A builder that has seen earlier revisions gives what a new one gives, the
// faults too.
func TestBuilderForgetsNothingAndInventsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kept expand.Builder
		all := map[config.Key]config.Object{}
		for revision := range rapid.IntRange(1, 12).Draw(t, "revisions") {
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				o, err := config.MakeObject(drawn(t))
				require.NoError(t, err)
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					delete(all, o.Key)
				} else {
					all[o.Key] = o
				}
			}
			var fresh expand.Builder
			got, gotErr := kept.Build(config.Revision(revision), all)
			want, wantErr := fresh.Build(config.Revision(revision), all)
			require.Equal(t, wantErr, gotErr)
			if wantErr == nil {
				require.Equal(t, want.Digest(), got.Digest())
				require.Equal(t, want.Routes(), got.Routes())
			}
		}
	})
}

// drawn returns a small object, sound together with others or not.
func drawn(t *rapid.T) any {
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

// sized builds objects of the size of two years out, for a number of teams, with
// a path that all teams share.
func sized(t testing.TB, teams int, path string) map[config.Key]config.Object {
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

func BenchmarkBuild(b *testing.B) {
	for _, teams := range []int{100, 1000} {
		all := sized(b, teams, "")
		b.Run(fmt.Sprintf("whole/teams=%d", teams), func(b *testing.B) {
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

// BenchmarkBytes compares what a daemon is sent when a template changes, as
// templates with parameters, with the routes that change would be if they came
// expanded. Both are encoded as peers encode them.
func BenchmarkBytes(b *testing.B) {
	type sentRoute struct{ Team, Name, Method, Path, Service, Timeout string }
	for _, teams := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				before, after := sized(b, teams, ""), sized(b, teams, "/new")
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
				b.ReportMetric(float64(encoded(b, delta)), "B-template")
				b.ReportMetric(float64(encoded(b, routes)), "B-expanded")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func encoded(b *testing.B, v any) int {
	var buffer bytes.Buffer
	require.NoError(b, gob.NewEncoder(&buffer).Encode(v))
	return buffer.Len()
}
