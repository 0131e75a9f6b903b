package callstats

import (
	"slices"
	"strings"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Store holds the newest rows of each daemon, and their sums, in which the rows of its
// earlier incarnations stay. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Store struct {
	origins   map[string]*origin
	sums      map[Key]*Row // Of all incarnations.
	lastIndex uint64       // Number of changes of rows, and of incarnations.
}

// origin holds the rows of one daemon.
type origin struct {
	incarnation uint64
	sequence    uint64
	from        string // Host of the process that sent the rows; "" stands for this process.
	index       uint64 // Value of Store.lastIndex when the newest report was merged.
	complete    bool   // All rows that the daemon had at some time have been received.
	rows        map[Key]*storedRow
}

// storedRow is a row with the value of Store.lastIndex when it was changed.
type storedRow struct {
	row   Row
	index uint64
}

// Merge merges a report and reports whether it held anything new. A report of a newer
// incarnation replaces everything of its origin but its part of the sums. One of the same
// incarnation replaces everything unless it is partial or older. The report must be valid. from is the host of the process
// that sent it; "" stands for this process.
func (s *Store) Merge(from string, r Report) bool {
	if s.origins == nil {
		s.origins, s.sums = map[string]*origin{}, map[Key]*Row{}
	}
	o := s.origins[r.Origin]
	before := s.lastIndex
	switch {
	case o == nil || r.Incarnation > o.incarnation:
		o = &origin{incarnation: r.Incarnation, rows: map[Key]*storedRow{}}
		s.origins[r.Origin] = o
		s.lastIndex++
	case r.Incarnation < o.incarnation:
		return false
	}
	if !r.Partial && r.Sequence >= o.sequence {
		s.replace(o, r)
	} else {
		for _, row := range r.Rows {
			// The counts of a row only rise, so of two copies the higher one is newer.
			if stored := o.rows[row.Key]; stored == nil || row.Calls > stored.row.Calls {
				s.put(o, row)
			}
		}
	}
	o.sequence = max(o.sequence, r.Sequence)
	if s.lastIndex == before {
		return false
	}
	o.from, o.index = from, s.lastIndex
	return true
}

// replace replaces the rows of o by those of a complete report.
func (s *Store) replace(o *origin, r Report) {
	reported := make(map[Key]bool, len(r.Rows))
	for _, row := range r.Rows {
		reported[row.Key] = true
		if stored := o.rows[row.Key]; stored == nil || row != stored.row {
			s.put(o, row)
		}
	}
	s.drop(o, func(k Key) bool { return reported[k] })
	o.complete = true
}

// put stores a row of o.
func (s *Store) put(o *origin, row Row) {
	s.lastIndex++
	stored := o.rows[row.Key]
	if stored == nil {
		stored = &storedRow{row: Row{Key: row.Key}}
		o.rows[row.Key] = stored
	}
	sum := s.sums[row.Key]
	if sum == nil {
		sum = &Row{Key: row.Key}
		s.sums[row.Key] = sum
	}
	sum.add(row, 1)
	sum.add(stored.row, -1)
	stored.row, stored.index = row, s.lastIndex
}

// drop deletes the rows of o for which keep returns false.
func (s *Store) drop(o *origin, keep func(Key) bool) {
	for k, stored := range o.rows {
		if keep(k) {
			continue
		}
		s.sums[k].add(stored.row, -1)
		if s.sums[k].Calls == 0 {
			delete(s.sums, k)
		}
		delete(o.rows, k)
	}
}

// add adds the counts of o, times factor.
func (r *Row) add(o Row, factor int64) {
	r.Calls += factor * o.Calls
	r.Failed += factor * o.Failed
	for i, n := range o.Latency {
		r.Latency[i] += factor * n
	}
}

// LastIndex returns the index of the last change, or 0 if there is none.
func (s *Store) LastIndex() uint64 { return s.lastIndex }

// Since returns what was merged after index, sorted by origin, of those processes that
// accepts returns true for. The argument of accepts is the from that Merge was called
// with. If partial is set, reports hold only the rows that were changed after index, and
// are partial; otherwise they hold all rows.
func (s *Store) Since(index uint64, partial bool, accepts func(from string) bool) []Report {
	var found []Report
	for name, o := range s.origins {
		if o.index <= index || !accepts(o.from) {
			continue
		}
		r := Report{Origin: name, Incarnation: o.incarnation, Sequence: o.sequence}
		// Rows that are not complete here must not replace complete ones elsewhere.
		r.Partial = partial && (index > 0 || !o.complete)
		for _, stored := range o.rows {
			if !r.Partial || stored.index > index {
				r.Rows = append(r.Rows, stored.row)
			}
		}
		slices.SortFunc(r.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
		found = append(found, r)
	}
	slices.SortFunc(found, func(a, b Report) int { return strings.Compare(a.Origin, b.Origin) })
	return found
}

// Retain deletes the rows for whose keys keep returns false. The indexes of the other rows
// do not change.
func (s *Store) Retain(keep func(Key) bool) {
	for _, o := range s.origins {
		s.drop(o, keep)
	}
	for k := range s.sums {
		if !keep(k) {
			delete(s.sums, k)
		}
	}
}

// Needed reports whether rows with the key k may still be needed, given the newest move of
// the service that is known here. Rows of a move that is not known yet are.
func Needed(k Key, newest config.Move, known bool) bool {
	start := newest.Start.UnixMilli()
	return !known || k.Move > start || k.Move == start && newest.State == config.MoveRunning
}

// RowsOf returns the rows of a service, summed over the daemons that made the calls, their
// earlier incarnations included, and sorted by version, route and host. Without Retain,
// the counts never fall.
func (s *Store) RowsOf(service string) []Row {
	rows := make([]Row, 0, len(s.sums))
	for _, sum := range s.sums {
		if sum.Service == service {
			rows = append(rows, *sum)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}
