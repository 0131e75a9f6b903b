// Package count keeps the counters of one process. They are expvar variables
// that are not published globally, so that several nodes can live in one
// process without mixing their counts.
package count

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set is a set of named counters. The zero value is ready, and a Set is safe
// for concurrent use.
type Set struct {
	vars expvar.Map
	once sync.Once
	text *metrics.Set // Histograms, which expvar does not have; see histograms.
}

func (s *Set) histograms() *metrics.Set {
	s.once.Do(func() { s.text = metrics.NewSet() })
	return s.text
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

// Observe adds a time to the histogram of a name and a label, such as the route
// of a call. Values with the same name and label share a histogram.
func (s *Set) Observe(name, label, value string, took time.Duration) {
	s.histograms().GetOrCreateHistogram(prefix + name + "_seconds{" + label + "=" + strconv.Quote(value) + "}").Update(took.Seconds())
}

// prefix begins the names of all metrics.
const prefix = "endivewalk_"

// WriteText writes counters, gauges that are numbers, and histograms in the
// text format that Prometheus reads.
func (s *Set) WriteText(w io.Writer) {
	s.vars.Do(func(kv expvar.KeyValue) {
		name := prefix + strings.ReplaceAll(kv.Key, "-", "_")
		if text := kv.Value.String(); isNumber(text) {
			fmt.Fprintf(w, "%s %s\n", name, text)
		}
	})
	s.histograms().WritePrometheus(w)
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}

// Text returns the handler that writes WriteText.
func (s *Set) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.WriteText(w)
	})
}

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
