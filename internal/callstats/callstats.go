// Package callstats counts how calls of two versions of a service went while a
// move is under way.
//
// Counts are cumulative for each daemon that made the calls, so that a report
// that is lost, repeated or overtaken does no harm.
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

// Buckets is the number of latency buckets. Bucket i holds calls of up to
// BucketLimit(i).
const Buckets = 36

const firstBucket = 128 * time.Microsecond

// BucketLimit returns the longest time that bucket i holds. Limits grow by
// half an octave.
func BucketLimit(i int) time.Duration {
	limit := firstBucket << (i / 2)
	if i%2 == 1 {
		limit += limit / 2
	}
	return limit
}

// BucketOf returns the bucket of a call that took d.
func BucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	octave := bits.Len64(uint64((d-1)/firstBucket)) - 1
	i := 2 * octave
	for i < Buckets-1 && BucketLimit(i) < d {
		i++
	}
	return min(i, Buckets-1)
}

// Key tells which calls a row counts.
type Key struct {
	Service string
	Move    int64 // The start of the move, in milliseconds since 1970.
	Version string
	Route   string
	Host    string // The upstream's daemon.
}

// Row counts calls. Failed calls are among Calls; Latency counts the others.
type Row struct {
	Key
	Calls   int64
	Failed  int64
	Latency [Buckets]int64
}

// Report is all that one daemon has counted since it started. A report with a
// higher Sequence of the same or a higher Incarnation replaces older ones.
type Report struct {
	Origin      string
	Incarnation uint64
	Sequence    uint64
	Rows        []Row
}

// ErrInvalid is returned for a report that no daemon would send.
var ErrInvalid = errs.New("evidence: invalid report")

// maxRows bounds what one daemon may report.
const maxRows = 1 << 16

// Check returns ErrInvalid unless the report is well formed.
func (r Report) Check() error {
	if !config.ValidName(r.Origin) || r.Incarnation == 0 || len(r.Rows) > maxRows {
		return ErrInvalid
	}
	for _, row := range r.Rows {
		if row.Check() != nil {
			return ErrInvalid
		}
	}
	return nil
}

// Check returns ErrInvalid unless the counts can be those of calls.
func (r Row) Check() error {
	if !config.ValidName(r.Service) || r.Failed < 0 || r.Calls < r.Failed {
		return ErrInvalid
	}
	left := r.Calls - r.Failed
	for _, n := range r.Latency {
		if n < 0 || n > left {
			return ErrInvalid
		}
		left -= n
	}
	return nil
}

// Supersedes reports whether r is newer than old.
func (r Report) Supersedes(old Report) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// Counter counts calls in one daemon. It is safe for concurrent use. Make one
// with NewCounter.
type Counter struct {
	origin      string
	incarnation uint64
	mutex       sync.Mutex
	sequence    uint64
	rows        map[Key]*Row
}

// NewCounter returns an empty counter.
func NewCounter(origin string, incarnation uint64) *Counter {
	return &Counter{origin: origin, incarnation: incarnation, rows: map[Key]*Row{}}
}

// Add counts one call.
func (c *Counter) Add(k Key, took time.Duration, failed bool) {
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
	r.Latency[BucketOf(took)]++
}

// Retain drops the rows of services for which keep returns false.
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

// Report returns everything counted so far, in a fixed order.
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

func compareKeys(a, b Key) int {
	for _, pair := range [][2]string{{a.Service, b.Service}, {a.Version, b.Version}, {a.Route, b.Route}, {a.Host, b.Host}} {
		if c := strings.Compare(pair[0], pair[1]); c != 0 {
			return c
		}
	}
	return 0
}

// Store keeps the newest report of every daemon. The zero value is empty. It
// is not safe for concurrent use.
type Store struct {
	reports map[string]storedReport
	last    uint64
}

type storedReport struct {
	report  Report
	index   uint64
	learned string
}

// Merge takes a report learned from another process and returns whether it was
// news.
func (s *Store) Merge(from string, r Report) bool {
	if s.reports == nil {
		s.reports = map[string]storedReport{}
	}
	old, ok := s.reports[r.Origin]
	if ok && !r.Supersedes(old.report) {
		return false
	}
	s.last++
	s.reports[r.Origin] = storedReport{report: r, index: s.last, learned: from}
	return true
}

// Last returns the index of the newest report.
func (s *Store) Last() uint64 { return s.last }

// Since returns the reports that changed after index and were learned from a
// process that wanted accepts; "" stands for this process.
func (s *Store) Since(index uint64, wanted func(learned string) bool) []Report {
	var found []Report
	for _, r := range s.reports {
		if r.index > index && wanted(r.learned) {
			found = append(found, r.report)
		}
	}
	slices.SortFunc(found, func(a, b Report) int { return strings.Compare(a.Origin, b.Origin) })
	return found
}

// Retain drops the rows of services for which keep returns false.
func (s *Store) Retain(keep func(service string) bool) {
	for origin, r := range s.reports {
		r.report.Rows = slices.DeleteFunc(slices.Clone(r.report.Rows), func(row Row) bool { return !keep(row.Service) })
		s.reports[origin] = r
	}
}

// Service returns the rows of a service, summed over the daemons that made the
// calls.
func (s *Store) Service(service string) []Row {
	sums := map[Key]*Row{}
	for _, r := range s.reports {
		for _, row := range r.report.Rows {
			if row.Service == service {
				add(sums, row)
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

func add(sums map[Key]*Row, row Row) {
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
