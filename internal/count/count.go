// Package count keeps the counters of one process. They are expvar variables
// that are not published globally, so that several nodes can live in one
// process without mixing their counts.
package count

import (
	"expvar"
	"fmt"
	"net/http"
)

// Set is a set of named counters. The zero value is ready, and a Set is safe
// for concurrent use.
type Set struct {
	vars expvar.Map
}

// Add adds n to the counter name.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// Get returns the counter name, or 0.
func (s *Set) Get(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge publishes a value that is read whenever the counters are shown.
func (s *Set) Gauge(name string, read func() any) { s.vars.Set(name, expvar.Func(read)) }

// ServeHTTP writes all counters as one JSON object, with the memory statistics
// and command line that expvar publishes for every program.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\"endivewalk\": %s", s.vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	fmt.Fprint(w, "}\n")
}
