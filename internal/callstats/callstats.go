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

// Report holds what one daemon has counted since it started: everything, or if Partial
// only some rows, for example those that have changed. Rows are cumulative.
type Report struct {
	Origin      string // Host of the daemon.
	Incarnation uint64
	Sequence    uint64
	Rows        []Row
	// Partial reports are sent only to processes that have said that they merge them.
	Partial bool `cbor:",omitempty"`
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
	r := c.row(k)
	r.Calls++
	if failed {
		r.Failed++
		return
	}
	r.Latency[BucketOf(duration)]++
}

// AddUntimed counts one call that did not fail and whose duration says nothing.
func (c *Counter) AddUntimed(k Key) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.row(k).Calls++
}

// row returns the row of k, which the caller changes. The caller must hold c.mutex.
func (c *Counter) row(k Key) *Row {
	r := c.rows[k]
	if r == nil {
		r = &Row{Key: k}
		c.rows[k] = r
	}
	c.sequence++
	return r
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
