package callstats_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// fleet returns a store with the reports of daemons in the middle of a move: each has
// called the given number of hosts on two routes.
func fleet(daemons, hosts int) (*callstats.Store, []*callstats.Counter) {
	store := &callstats.Store{}
	var counters []*callstats.Counter
	for d := range daemons {
		counter := callstats.NewCounter(fmt.Sprintf("daemon-%d", d), 1)
		for h := range hosts {
			addCall(counter, d+h)
		}
		store.Merge("", counter.Report())
		counters = append(counters, counter)
	}
	return store, counters
}

// addCall counts a call to one of 200 hosts.
func addCall(c *callstats.Counter, host int) {
	version := "v1"
	if host%2 == 0 {
		version = "v2"
	}
	k := callstats.Key{Service: "service", Move: 1, Version: version, Route: fmt.Sprintf("route-%d", host%2), Host: fmt.Sprintf("sidecar-arusha-a-%d", host%200)}
	c.Add(k, 100*time.Millisecond, false)
}

func BenchmarkRowsOfLargeFleet(b *testing.B) {
	store, _ := fleet(281, 100)
	for b.Loop() {
		store.RowsOf("service")
	}
}

func BenchmarkEncodedReportOfLargeFleet(b *testing.B) {
	_, counters := fleet(1, 100)
	size := 0
	for b.Loop() {
		data, err := codec.Marshal(counters[0].Report())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

func anyone(string) bool { return true }

// mergedStore is a store, with the newest rows that it was given of each incarnation.
type mergedStore struct {
	callstats.Store
	incarnations map[string]uint64                          // The newest one of each daemon.
	rows         map[string]map[callstats.Key]callstats.Row // By daemon and incarnation.
}

func (s *mergedStore) merge(from string, r callstats.Report) {
	s.Merge(from, r)
	if s.rows == nil {
		s.incarnations, s.rows = map[string]uint64{}, map[string]map[callstats.Key]callstats.Row{}
	}
	if r.Incarnation < s.incarnations[r.Origin] {
		return // Too late.
	}
	s.incarnations[r.Origin] = r.Incarnation
	name := fmt.Sprint(r.Origin, "/", r.Incarnation)
	if s.rows[name] == nil {
		s.rows[name] = map[callstats.Key]callstats.Row{}
	}
	for _, row := range r.Rows {
		if row.Calls > s.rows[name][row.Key].Calls {
			s.rows[name][row.Key] = row
		}
	}
}

// requireSums requires that the sums of a store are those of the newest rows that it was
// given of each incarnation, and that of those running it was given all.
func requireSums(t *testing.T, store *mergedStore, counters []*callstats.Counter) {
	t.Helper()
	want := &callstats.Store{}
	for name, rows := range store.rows {
		// As another daemon for each incarnation.
		r := callstats.Report{Origin: strings.ReplaceAll(name, "/", "-"), Incarnation: 1}
		for _, row := range rows {
			r.Rows = append(r.Rows, row)
		}
		want.Merge("", r)
	}
	require.Equal(t, want.RowsOf("service"), store.RowsOf("service"))
	for _, c := range counters {
		r := c.Report()
		given := store.rows[fmt.Sprint(r.Origin, "/", r.Incarnation)]
		require.Len(t, given, len(r.Rows))
		for _, row := range r.Rows {
			require.Equal(t, row, given[row.Key])
		}
	}
}

// A replica gets the changes of each daemon through a relay that restarts, with reports
// that are lost, repeated and reordered. In the end it has the sums of all counters.
func TestPartialReportsAddUp(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		relay, replica := &mergedStore{}, &mergedStore{}
		var counters []*callstats.Counter
		for d := range 3 {
			counters = append(counters, callstats.NewCounter(fmt.Sprintf("daemon-%d", d), 1))
		}
		cursor, late := uint64(0), []callstats.Report{}
		for range 200 {
			c := counters[random.IntN(len(counters))]
			addCall(c, random.IntN(20))
			whole := c.Report()
			switch random.IntN(20) {
			case 0: // The relay restarts and gets the reports of all daemons again.
				relay, cursor = &mergedStore{}, 0
				for _, each := range counters {
					relay.merge(each.Report().Origin, each.Report())
				}
			case 1: // A daemon starts again. What was received of its previous incarnation still counts.
				i := random.IntN(len(counters))
				r := counters[i].Report()
				counters[i] = callstats.NewCounter(r.Origin, r.Incarnation+1)
			default:
				partial := whole
				partial.Rows, partial.Partial = whole.Rows[random.IntN(len(whole.Rows)):], true
				relay.merge(whole.Origin, partial)
			}
			reports := relay.Since(cursor, true, anyone)
			if random.IntN(5) == 0 {
				late = append(late, reports...)
				continue // The call failed; its changes are sent again.
			}
			cursor = relay.LastIndex()
			for _, r := range append(late, reports...) {
				replica.merge("relay", r)
			}
			late = nil
		}
		for _, c := range counters {
			relay.merge("daemon", c.Report())
		}
		for _, r := range relay.Since(cursor, true, anyone) {
			replica.merge("relay", r)
		}
		requireSums(t, relay, counters)
		requireSums(t, replica, counters)
	}
}

// The calls of a daemon that restarts were missing from the sums.
func TestSumsKeepCallsOfDaemonsThatRestart(t *testing.T) {
	store, _ := fleet(3, 4)
	calls := func() (sum int64) {
		for _, row := range store.RowsOf("service") {
			sum += row.Calls
		}
		return sum
	}
	require.EqualValues(t, 12, calls())
	again := callstats.NewCounter("daemon-1", 2)
	addCall(again, 1)
	store.Merge("", again.Report())
	require.EqualValues(t, 13, calls())
	store.Merge("", again.Report())
	require.EqualValues(t, 13, calls(), "a repeated report")
	store.Retain(func(callstats.Key) bool { return false })
	require.Empty(t, store.RowsOf("service"))
}

// Only the rows that changed are sent on, so that the volume is that of the calls and not
// that of the hosts that a daemon has ever called.
func TestOnlyChangedRowsAreSentOn(t *testing.T) {
	store, counters := fleet(3, 100)
	index := store.LastIndex()
	addCall(counters[1], 7)
	require.True(t, store.Merge("", counters[1].Report()))
	reports := store.Since(index, true, anyone)
	require.Len(t, reports, 1)
	require.True(t, reports[0].Partial)
	require.Len(t, reports[0].Rows, 1)
	whole := store.Since(index, false, anyone)
	require.Len(t, whole, 1)
	require.False(t, whole[0].Partial, "a process of an older build takes each report for the whole")
	require.Equal(t, counters[1].Report().Rows, whole[0].Rows)
}

// A process that has only some rows of a daemon must not make others forget the rest.
func TestIncompleteRowsReplaceNothing(t *testing.T) {
	counter := callstats.NewCounter("daemon", 1)
	addCall(counter, 1)
	addCall(counter, 2)
	complete, incomplete := &callstats.Store{}, &callstats.Store{}
	complete.Merge("", counter.Report())
	addCall(counter, 2)
	partial := counter.Report()
	partial.Rows, partial.Partial = partial.Rows[:1], true
	incomplete.Merge("", partial)
	for _, r := range incomplete.Since(0, true, anyone) {
		complete.Merge("relay", r)
	}
	require.Len(t, complete.RowsOf("service"), 2)
}

// The rows of a move that has ended are dropped, also from the sums. Those of a move that
// this process does not know yet are kept: they are not sent again.
func TestRetainDropsRowsOfEndedMoves(t *testing.T) {
	store, _ := fleet(2, 3)
	retain := func(m config.Move) {
		store.Retain(func(k callstats.Key) bool { return callstats.Needed(k, m, true) })
	}
	start := time.UnixMilli(1) // Of the move of these calls.
	retain(config.Move{Start: start.Add(-time.Second), State: config.MoveRolledBack})
	require.NotEmpty(t, store.RowsOf("service"))
	retain(config.Move{Start: start, State: config.MoveRunning})
	require.NotEmpty(t, store.RowsOf("service"))
	retain(config.Move{Start: start, State: config.MoveDone})
	require.Empty(t, store.RowsOf("service"))
	require.Empty(t, store.Since(0, false, anyone)[0].Rows)
}
