// Package count holds the counters, gauges and histograms of one node. Counters and
// gauges are expvar variables, but are not published globally, so that several nodes
// in one process do not share counts.
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

// Set is a set of named counters, gauges and histograms. The zero value is empty and
// ready to use. A Set is safe for concurrent use and must not be copied.
type Set struct {
	vars           expvar.Map // Counters and gauges.
	histogramsOnce sync.Once
	histogramSet   *metrics.Set // Use histograms to read it; expvar has no histograms.
}

// histograms returns the set of histograms and creates it on the first call.
func (s *Set) histograms() *metrics.Set {
	s.histogramsOnce.Do(func() { s.histogramSet = metrics.NewSet() })
	return s.histogramSet
}

// Add adds n to the counter name, which begins at 0. It must not be the name of a
// gauge.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// Get returns the value of the counter name, or 0 if there is no such counter.
func (s *Set) Get(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge adds a gauge. read is called whenever the counters are shown, also
// concurrently. It returns a value that can be encoded as JSON; WriteText shows only
// numbers.
func (s *Set) Gauge(name string, read func() any) { s.vars.Set(name, expvar.Func(read)) }

// Observe adds a duration to a histogram. There is one for each name, label and value,
// such as "call", "route" and the name of a route.
func (s *Set) Observe(name, label, value string, duration time.Duration) {
	s.histograms().GetOrCreateHistogram(metricPrefix + name + "_seconds{" + label + "=" + strconv.Quote(value) + "}").Update(duration.Seconds())
}

// metricPrefix is the prefix of all metric names in the text format.
const metricPrefix = "endivewalk_"

// WriteText writes counters, gauges that are numbers, and histograms in the text format
// of Prometheus.
func (s *Set) WriteText(w io.Writer) {
	s.vars.Do(func(kv expvar.KeyValue) {
		name := metricPrefix + strings.ReplaceAll(kv.Key, "-", "_")
		if text := kv.Value.String(); isNumber(text) {
			fmt.Fprintf(w, "%s %s\n", name, text)
		}
	})
	s.histograms().WritePrometheus(w)
}

// isNumber reports whether text is a number, as the text format requires.
func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}

// Text returns a handler that serves the output of WriteText.
func (s *Set) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.WriteText(w)
	})
}

// ServeHTTP writes all counters and gauges as one JSON object, together with the memory
// statistics and the command line that expvar publishes in every program.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\"endivewalk\": %s", s.vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	fmt.Fprint(w, "}\n")
}
