// Package callstats counts the outcomes and latencies of calls to the two
// versions of a service while a move is running.
//
// Each daemon counts the calls that it makes. Its counts are cumulative, so
// lost, repeated and reordered reports do no harm.
package callstats

import (
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Buckets is the number of latency buckets. Bucket i counts calls that took
// longer than BucketLimit(i-1) and at most BucketLimit(i). The last bucket also
// counts all slower calls.
const Buckets = 36

const firstBucketLimit = 128 * time.Microsecond

// BucketLimit returns the longest duration that bucket i counts. The limits
// double with every second bucket, and those between lie halfway: 128, 192, 256,
// 384, 512 µs and so on.
func BucketLimit(i int) time.Duration {
	limit := firstBucketLimit << (i / 2)
	if i%2 == 1 {
		limit += limit / 2
	}
	return limit
}

// BucketOf returns the index of the bucket that counts a call of duration d.
func BucketOf(d time.Duration) int {
	if d <= firstBucketLimit {
		return 0
	}
	octave := bits.Len64(uint64((d-1)/firstBucketLimit)) - 1
	i := 2 * octave
	for i < Buckets-1 && BucketLimit(i) < d {
		i++
	}
	return min(i, Buckets-1)
}

// Key identifies the calls that a row counts.
type Key struct {
	Service string
	Move    int64 // Start of the move, in milliseconds since 1970.
	Version string
	Route   string
	Host    string // Host of the upstream.
}

// Row counts the calls of one key.
type Row struct {
	Key
	Calls   int64 // Includes failed calls.
	Failed  int64
	Latency [Buckets]int64 // Calls that did not fail, by bucket. Counter.Add enters each of them.
}

// Report holds everything that one daemon has counted since it started. It
// replaces reports of the same Origin with a lower Incarnation, or with the
// same Incarnation and a lower Sequence.
type Report struct {
	Origin      string // Host of the daemon.
	Incarnation uint64
	Sequence    uint64
	Rows        []Row
}

// ErrInvalid is returned by the Check methods for counts that no daemon sends.
var ErrInvalid = errs.New("callstats: invalid report")

// maxReportRows is the maximum number of rows of a report.
const maxReportRows = 1 << 16

// Check returns ErrInvalid unless the origin is a valid name, the incarnation
// is not 0, and the rows are valid and not too many.
func (r Report) Check() error {
	if !config.ValidName(r.Origin) || r.Incarnation == 0 || len(r.Rows) > maxReportRows {
		return ErrInvalid
	}
	for _, row := range r.Rows {
		if row.Check() != nil {
			return ErrInvalid
		}
	}
	return nil
}

// Check returns ErrInvalid unless the service is a valid name and the counts
// are consistent: none is negative, and failed calls and calls with a latency
// are together at most all calls.
func (r Row) Check() error {
	if !config.ValidName(r.Service) || r.Failed < 0 || r.Calls < r.Failed {
		return ErrInvalid
	}
	remaining := r.Calls - r.Failed
	for _, n := range r.Latency {
		if n < 0 || n > remaining {
			return ErrInvalid
		}
		remaining -= n
	}
	return nil
}

// Supersedes reports whether r is newer than old, a report of the same origin.
func (r Report) Supersedes(old Report) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// Counter counts the calls that one daemon makes. It is safe for concurrent
// use. Create one with NewCounter.
type Counter struct {
	origin      string
	incarnation uint64
	mutex       sync.Mutex // Guards the fields below.
	sequence    uint64     // Number of changes to rows.
	rows        map[Key]*Row
}

// NewCounter returns an empty counter for reports of the given origin and
// incarnation.
func NewCounter(origin string, incarnation uint64) *Counter {
	return &Counter{origin: origin, incarnation: incarnation, rows: map[Key]*Row{}}
}

// Add counts one call. The duration of a failed call is ignored.
func (c *Counter) Add(k Key, duration time.Duration, failed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.rows[k]
	if r == nil {
		r = &Row{Key: k}
		c.rows[k] = r
	}
	c.sequence++
	r.Calls++
	if failed {
		r.Failed++
		return
	}
	r.Latency[BucketOf(duration)]++
}

// Retain deletes the rows of services for which keep returns false. It calls
// keep with the counter locked, so keep must not use the counter.
func (c *Counter) Retain(keep func(service string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for k := range c.rows {
		if !keep(k.Service) {
			delete(c.rows, k)
			c.sequence++
		}
	}
}

// Report returns a copy of everything counted so far, sorted by service,
// version, route and host.
func (c *Counter) Report() Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := Report{Origin: c.origin, Incarnation: c.incarnation, Sequence: c.sequence}
	for _, row := range c.rows {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return r
}

// compareKeys orders keys by service, version, route and host.
func compareKeys(a, b Key) int {
	for _, pair := range [][2]string{{a.Service, b.Service}, {a.Version, b.Version}, {a.Route, b.Route}, {a.Host, b.Host}} {
		if c := strings.Compare(pair[0], pair[1]); c != 0 {
			return c
		}
	}
	return 0
}

// Store holds the newest report of each daemon. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type Store struct {
	reports   map[string]storedReport // By origin.
	lastIndex uint64                  // Number of merged reports.
}

// storedReport is a report with the value of Store.lastIndex when it was
// merged, and the host of the process that sent it; "" stands for this process.
type storedReport struct {
	report Report
	index  uint64
	from   string
}

// Merge adds a report unless the store holds one of the same origin that is as
// new, and reports whether it did. The report must be valid. from is the host
// of the process that sent it; "" stands for this process.
func (s *Store) Merge(from string, r Report) bool {
	if s.reports == nil {
		s.reports = map[string]storedReport{}
	}
	old, ok := s.reports[r.Origin]
	if ok && !r.Supersedes(old.report) {
		return false
	}
	s.lastIndex++
	s.reports[r.Origin] = storedReport{report: r, index: s.lastIndex, from: from}
	return true
}

// LastIndex returns the index of the report merged last, or 0 if there is none.
func (s *Store) LastIndex() uint64 { return s.lastIndex }

// Since returns the reports merged after index, sorted by origin, of those
// processes that accepts returns true for. The argument of accepts is the from
// that Merge was called with.
func (s *Store) Since(index uint64, accepts func(from string) bool) []Report {
	var found []Report
	for _, r := range s.reports {
		if r.index > index && accepts(r.from) {
			found = append(found, r.report)
		}
	}
	slices.SortFunc(found, func(a, b Report) int { return strings.Compare(a.Origin, b.Origin) })
	return found
}

// Retain deletes the rows of services for which keep returns false. The indexes
// of the reports do not change.
func (s *Store) Retain(keep func(service string) bool) {
	for origin, r := range s.reports {
		r.report.Rows = slices.DeleteFunc(slices.Clone(r.report.Rows), func(row Row) bool { return !keep(row.Service) })
		s.reports[origin] = r
	}
}

// RowsOf returns the rows of a service, summed over the daemons that made the
// calls and sorted by version, route and host.
func (s *Store) RowsOf(service string) []Row {
	sums := map[Key]*Row{}
	for _, r := range s.reports {
		for _, row := range r.report.Rows {
			if row.Service == service {
				addRow(sums, row)
			}
		}
	}
	rows := make([]Row, 0, len(sums))
	for _, row := range sums {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

// addRow adds a row to the sum of its key.
func addRow(sums map[Key]*Row, row Row) {
	sum := sums[row.Key]
	if sum == nil {
		sum = &Row{Key: row.Key}
		sums[row.Key] = sum
	}
	sum.Calls += row.Calls
	sum.Failed += row.Failed
	for i, n := range row.Latency {
		sum.Latency[i] += n
	}
}
