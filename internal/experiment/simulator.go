// Package experiment feeds the decision on moves with evidence from a small
// statistical model of upstreams, over kinds of fault, seeds and policies. It
// is no cluster: one table-driven run of one pure decision function.
package experiment

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Fault is what is wrong with the new version, or with its surroundings.
type Fault struct {
	Fail    float64 // Probability that a call fails, beyond the ordinary.
	Slow    float64 // Factor on the time of a call; 0 means 1.
	Route   int     // Only this route, counted from 1; 0 means all.
	Host    int     // Only this host of the new version, counted from 1.
	After   float64 // Only from this part of the move's time on.
	Load    int     // Only at this share or more, in thousandths.
	ColdFor time.Duration
	Shared  bool // Both versions are hit.
}

// Cell is one kind of fault to try.
type Cell struct {
	Name  string
	Bad   bool // The version must be taken back.
	Rate  float64
	Fault Fault
}

// ordinaryRate is the calls a second of a service in most cells.
const ordinaryRate = 300

// Cells are the kinds of fault that the brief names, and the good versions
// that may look bad.
var Cells = []Cell{
	{"good", false, ordinaryRate, Fault{}},
	{"good, slow cold start", false, ordinaryRate, Fault{Slow: 6, ColdFor: 5 * time.Second}},
	{"good, one host fails", false, ordinaryRate, Fault{Fail: 0.3, Host: 1}},
	{"good, one host slow", false, ordinaryRate, Fault{Slow: 4, Host: 1}},
	{"good, shared dependency fails", false, ordinaryRate, Fault{Fail: 0.2, Shared: true, After: 0.3}},
	{"good, shared dependency slow", false, ordinaryRate, Fault{Slow: 3, Shared: true, After: 0.3}},
	{"good, little traffic", false, 2, Fault{}},
	{"fails at once", true, ordinaryRate, Fault{Fail: 1}},
	{"fails one in 20 at once", true, ordinaryRate, Fault{Fail: 0.05}},
	{"slow at once, 3x", true, ordinaryRate, Fault{Slow: 3}},
	{"slow at once, 2x", true, ordinaryRate, Fault{Slow: 2}},
	{"fails later", true, ordinaryRate, Fault{Fail: 0.2, After: 0.5}},
	{"slow later, 3x", true, ordinaryRate, Fault{Slow: 3, After: 0.5}},
	{"fails late in the move", true, ordinaryRate, Fault{Fail: 0.2, After: 0.85}},
	{"slow late in the move, 3x", true, ordinaryRate, Fault{Slow: 3, After: 0.85}},
	{"fails under load", true, ordinaryRate, Fault{Fail: 0.2, Load: 500}},
	{"slow under load, 3x", true, ordinaryRate, Fault{Slow: 3, Load: 500}},
	{"fails on one route", true, ordinaryRate, Fault{Fail: 0.2, Route: 3}},
	{"slow on one route, 3x", true, ordinaryRate, Fault{Slow: 3, Route: 3}},
	{"fails, little traffic", true, 2, Fault{Fail: 0.5}},
}

// Named returns the cells whose names hold a text.
func Named(text string) []Cell {
	var found []Cell
	for _, c := range Cells {
		if strings.Contains(c.Name, text) {
			found = append(found, c)
		}
	}
	return found
}

const (
	ordinaryFailing = 0.002
	meanTime        = 5 * time.Millisecond
	spread          = 0.6 // Of the logarithm of a call's time.
	hostsEach       = 3
	warmUp          = 3 * time.Second // Answers before it say nothing of speed.
)

// routes are the parts of the traffic on each route.
var routes = []float64{0.7, 0.25, 0.05}

var routeNames = []string{"look", "list", "book"}

// hostSpeeds differ, as back ends bought over years do.
var hostSpeeds = []float64{1, 1.3, 0.8}

// model makes evidence.
type model struct {
	cell   Cell
	move   config.Move
	random *rand.Rand
	rows   map[callstats.Key]*callstats.Row

	calls       int64 // Of both versions.
	newCalls    int64
	faultyCalls int64     // Of the new version that met its fault.
	faultAt     time.Time // When the first of them was made.
}

func newModel(c Cell, m config.Move, seed uint64) *model {
	return &model{cell: c, move: m, random: rand.New(rand.NewPCG(seed, 17)), rows: map[callstats.Key]*callstats.Row{}}
}

// tick makes the calls of one interval that ends at now, with the share of the
// new version in thousandths.
func (w *model) tick(now time.Time, span time.Duration, share int) {
	for n := w.poisson(w.cell.Rate * span.Seconds()); n > 0; n-- {
		w.one(now, w.random.IntN(config.FullShare) < share, share)
	}
}

func (w *model) one(now time.Time, isNew bool, share int) {
	route, host := w.route(), w.random.IntN(hostsEach)
	version := w.move.From
	w.calls++
	if isNew {
		version = w.move.To
		w.newCalls++
	}
	f := w.cell.Fault
	hit := w.hits(now, isNew, route, host, share)
	if hit && isNew {
		w.faultyCalls++
		if w.faultAt.IsZero() {
			w.faultAt = now
		}
	}
	failing, slow := ordinaryFailing, 1.0
	if hit {
		failing += f.Fail
		slow = max(f.Slow, 1)
	}
	name := "old-"
	if isNew {
		name = "new-"
	}
	key := callstats.Key{
		Service: w.move.Service, Move: w.move.Start.UnixMilli(), Version: version,
		Route: routeNames[route], Host: name + string(rune('a'+host)),
	}
	failed := w.random.Float64() < failing
	took := time.Duration(float64(meanTime) * hostSpeeds[host] * slow * math.Exp(w.random.NormFloat64()*spread))
	if !failed && isNew && now.Sub(w.move.Start) < warmUp {
		return
	}
	w.count(key, took, failed)
}

// hits reports whether a call meets the cell's fault.
func (w *model) hits(now time.Time, isNew bool, route, host, share int) bool {
	f := w.cell.Fault
	passed := now.Sub(w.move.Start)
	switch {
	case !isNew && !f.Shared:
		return false
	case f.Route > 0 && route != f.Route-1, f.Host > 0 && host != f.Host-1, share < f.Load:
		return false
	case f.ColdFor > 0 && passed > f.ColdFor:
		return false
	}
	return passed.Seconds() >= f.After*w.move.By.Sub(w.move.Start).Seconds() && (f.Fail > 0 || f.Slow > 1)
}

func (w *model) route() int {
	draw := w.random.Float64()
	for i, part := range routes {
		if draw < part {
			return i
		}
		draw -= part
	}
	return len(routes) - 1
}

func (w *model) count(k callstats.Key, took time.Duration, failed bool) {
	r := w.rows[k]
	if r == nil {
		r = &callstats.Row{Key: k}
		w.rows[k] = r
	}
	r.Calls++
	if failed {
		r.Failed++
		return
	}
	r.Latency[callstats.BucketOf(took)]++
}

func (w *model) evidence() []callstats.Row {
	all := make([]callstats.Row, 0, len(w.rows))
	for _, r := range w.rows {
		all = append(all, *r)
	}
	return all
}

// poisson draws the number of calls in an interval.
func (w *model) poisson(mean float64) int {
	const large = 50 // From here on a normal draw is close enough.
	if mean > large {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		n++
	}
	return n
}
