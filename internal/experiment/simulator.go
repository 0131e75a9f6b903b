// Package experiment measures the decisions on moves: it runs the analyzer on
// call statistics that a small statistical model of upstreams generates, for
// many kinds of faults, seeds and deadline policies. There are no processes and
// no real time, only repeated calls of the decision function.
package experiment

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Fault is a fault of the new version or of something that it depends on. It
// affects the calls that meet all of its conditions.
type Fault struct {
	Fail    float64       // Probability that a call fails, in addition to the ordinary one.
	Slow    float64       // Factor on the latency of a call; 0 means 1.
	Route   int           // Only this route, counted from 1; 0 means all.
	Host    int           // Only this host of each version, counted from 1; 0 means all.
	After   float64       // Only after this fraction of the move's time.
	Load    int           // Only at this share of the new version or more, in thousandths.
	ColdFor time.Duration // Only this long after the start of the move; 0 means always.
	Shared  bool          // Both versions are affected, not only the new one.
}

// Cell is one case of the experiment: a service and the fault of its new
// version.
type Cell struct {
	Name  string
	Bad   bool    // The move must be rolled back; otherwise it must be done.
	Rate  float64 // Calls of the service a second.
	Fault Fault
}

// ordinaryCallRate is the rate in most cells, in calls a second.
const ordinaryCallRate = 300

// Cells are all cases of the experiment: bad versions with the kinds of faults
// that must be detected, and good versions that can be mistaken for bad ones.
var Cells = []Cell{
	{"good", false, ordinaryCallRate, Fault{}},
	{"good, slow cold start", false, ordinaryCallRate, Fault{Slow: 6, ColdFor: 5 * time.Second}},
	{"good, one host fails", false, ordinaryCallRate, Fault{Fail: 0.3, Host: 1}},
	{"good, one host slow", false, ordinaryCallRate, Fault{Slow: 4, Host: 1}},
	{"good, shared dependency fails", false, ordinaryCallRate, Fault{Fail: 0.2, Shared: true, After: 0.3}},
	{"good, shared dependency slow", false, ordinaryCallRate, Fault{Slow: 3, Shared: true, After: 0.3}},
	{"good, little traffic", false, 2, Fault{}},
	{"fails at once", true, ordinaryCallRate, Fault{Fail: 1}},
	{"fails one in 20 at once", true, ordinaryCallRate, Fault{Fail: 0.05}},
	{"slow at once, 3x", true, ordinaryCallRate, Fault{Slow: 3}},
	{"slow at once, 2x", true, ordinaryCallRate, Fault{Slow: 2}},
	{"fails later", true, ordinaryCallRate, Fault{Fail: 0.2, After: 0.5}},
	{"slow later, 3x", true, ordinaryCallRate, Fault{Slow: 3, After: 0.5}},
	{"fails late in the move", true, ordinaryCallRate, Fault{Fail: 0.2, After: 0.85}},
	{"slow late in the move, 3x", true, ordinaryCallRate, Fault{Slow: 3, After: 0.85}},
	{"fails under load", true, ordinaryCallRate, Fault{Fail: 0.2, Load: 500}},
	{"slow under load, 3x", true, ordinaryCallRate, Fault{Slow: 3, Load: 500}},
	{"fails on one route", true, ordinaryCallRate, Fault{Fail: 0.2, Route: 3}},
	{"slow on one route, 3x", true, ordinaryCallRate, Fault{Slow: 3, Route: 3}},
	{"fails, little traffic", true, 2, Fault{Fail: 0.5}},
}

// CellsNamed returns the cells whose names contain text; an empty text selects all.
func CellsNamed(text string) []Cell {
	var found []Cell
	for _, c := range Cells {
		if strings.Contains(c.Name, text) {
			found = append(found, c)
		}
	}
	return found
}

const (
	ordinaryFailureRate = 0.002                // Probability that a call without a fault fails.
	medianLatency       = 5 * time.Millisecond // On a host with factor 1, without a fault.
	latencySigma        = 0.6                  // Standard deviation of the logarithm of a call's latency.
	hostsPerVersion     = 3
	warmUpTime          = 3 * time.Second // Successful calls of the new version count only after it, since earlier latencies do not show its speed.
)

// routeShares are the fractions of the calls on each route. They add up to 1.
var routeShares = []float64{0.7, 0.25, 0.05}

var routeNames = []string{"look", "list", "book"}

// hostLatencyFactors are the factors on the latency of each host of a version.
// They differ because upstreams run on hardware of different ages.
var hostLatencyFactors = []float64{1, 1.3, 0.8}

// simulator generates the calls of one move and their statistics.
type simulator struct {
	cell   Cell
	move   config.Move
	random *rand.Rand
	rows   map[callstats.Key]*callstats.Row

	calls        int64     // Of both versions.
	newCalls     int64     // Of the new version.
	faultyCalls  int64     // Of the new version, affected by the fault.
	firstFaultAt time.Time // When the first faulty call was made; zero if there is none.
}

func newSimulator(cell Cell, m config.Move, seed uint64) *simulator {
	return &simulator{cell: cell, move: m, random: rand.New(rand.NewPCG(seed, 17)), rows: map[callstats.Key]*callstats.Row{}}
}

// simulateInterval makes the calls of one interval that ends at now. share is
// that of the new version, in thousandths.
func (s *simulator) simulateInterval(now time.Time, interval time.Duration, share int) {
	for n := s.poisson(s.cell.Rate * interval.Seconds()); n > 0; n-- {
		s.simulateCall(now, s.random.IntN(config.FullShare) < share, share)
	}
}

// simulateCall makes one call of the new or the old version on a random route
// and host, and records its outcome.
func (s *simulator) simulateCall(now time.Time, isNew bool, share int) {
	route, host := s.randomRoute(), s.random.IntN(hostsPerVersion)
	version := s.move.From
	s.calls++
	if isNew {
		version = s.move.To
		s.newCalls++
	}
	f := s.cell.Fault
	faulty := s.meetsFault(now, isNew, route, host, share)
	if faulty && isNew {
		s.faultyCalls++
		if s.firstFaultAt.IsZero() {
			s.firstFaultAt = now
		}
	}
	failureRate, latencyFactor := ordinaryFailureRate, 1.0
	if faulty {
		failureRate += f.Fail
		latencyFactor = max(f.Slow, 1)
	}
	hostPrefix := "old-"
	if isNew {
		hostPrefix = "new-"
	}
	key := callstats.Key{
		Service: s.move.Service, Move: s.move.Start.UnixMilli(), Version: version,
		Route: routeNames[route], Host: hostPrefix + string(rune('a'+host)),
	}
	failed := s.random.Float64() < failureRate
	latency := time.Duration(float64(medianLatency) * hostLatencyFactors[host] * latencyFactor * math.Exp(s.random.NormFloat64()*latencySigma))
	if !failed && isNew && now.Sub(s.move.Start) < warmUpTime {
		return
	}
	s.record(key, latency, failed)
}

// meetsFault reports whether the cell's fault affects a call.
func (s *simulator) meetsFault(now time.Time, isNew bool, route, host, share int) bool {
	f := s.cell.Fault
	elapsed := now.Sub(s.move.Start)
	switch {
	case !isNew && !f.Shared:
		return false
	case f.Route > 0 && route != f.Route-1, f.Host > 0 && host != f.Host-1, share < f.Load:
		return false
	case f.ColdFor > 0 && elapsed > f.ColdFor:
		return false
	}
	return elapsed.Seconds() >= f.After*s.move.By.Sub(s.move.Start).Seconds() && (f.Fail > 0 || f.Slow > 1)
}

// randomRoute returns the index of a route, with the probabilities of
// routeShares.
func (s *simulator) randomRoute() int {
	remaining := s.random.Float64()
	for i, share := range routeShares {
		if remaining < share {
			return i
		}
		remaining -= share
	}
	return len(routeShares) - 1
}

func (s *simulator) record(k callstats.Key, latency time.Duration, failed bool) {
	r := s.rows[k]
	if r == nil {
		r = &callstats.Row{Key: k}
		s.rows[k] = r
	}
	r.Calls++
	if failed {
		r.Failed++
		return
	}
	r.Latency[callstats.BucketOf(latency)]++
}

func (s *simulator) callStats() []callstats.Row {
	all := make([]callstats.Row, 0, len(s.rows))
	for _, r := range s.rows {
		all = append(all, *r)
	}
	return all
}

// poisson returns a random number with a Poisson distribution of this mean: the
// number of calls in an interval.
func (s *simulator) poisson(mean float64) int {
	const minNormalMean = 50 // Above it, a normal distribution is close enough.
	if mean > minNormalMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), s.random.Float64(), 0
	for product > limit {
		product *= s.random.Float64()
		n++
	}
	return n
}
