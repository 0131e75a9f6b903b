package directory

import (
	"encoding/binary"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// goneTTL is how long the record of a gone daemon is kept, so that an older
// record that arrives late does not make the daemon appear live again.
const goneTTL = time.Hour

// Digest is a hash of a set of records or of a list of source replicas. For
// records it does not depend on their order.
type Digest uint64

type storedRecord struct {
	record  Record
	index   uint64    // Position in this directory's own order of changes.
	from    string    // The process that sent it; "" for this process.
	changed time.Time // When it was merged.
}

// Directory holds the newest record of every daemon. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type Directory struct {
	records   map[string]*storedRecord
	order     []*storedRecord // Sorted by index. A replaced or expired record leaves one without a host behind until the slice is compacted.
	lastIndex uint64          // Of the newest change.
	digest    Digest          // Sum of the digests of all records.
}

// Merge adds the records that are valid and newer than the stored ones, and
// returns these. from is the process that sent them; "" means this process.
func (d *Directory) Merge(now time.Time, from string, records ...Record) []Record {
	var added []Record
	for _, r := range records {
		if r.Check() == nil && d.merge(now, from, r) {
			added = append(added, r)
		}
	}
	return added
}

// merge adds a valid record if it is newer than the stored one, and reports
// whether it did.
func (d *Directory) merge(now time.Time, from string, r Record) bool {
	if d.records == nil {
		d.records = map[string]*storedRecord{}
	}
	old := d.records[r.Host]
	if old != nil && !r.supersedes(old.record) {
		return false
	}
	if old != nil {
		d.digest -= digestOf(old.record)
		d.removeFromOrder(old)
	}
	d.lastIndex++
	s := &storedRecord{record: r, index: d.lastIndex, from: from, changed: now}
	d.records[r.Host] = s
	d.order = append(d.order, s)
	d.digest += digestOf(r)
	return true
}

// removeFromOrder replaces a record in the order by an empty one. It compacts the
// order when more than half of it is empty, allowing for 16 more, so that a small
// directory is not compacted at each change.
func (d *Directory) removeFromOrder(s *storedRecord) {
	i, found := slices.BinarySearchFunc(d.order, s.index, func(o *storedRecord, index uint64) int {
		return int(int64(o.index) - int64(index))
	})
	if found {
		d.order[i] = &storedRecord{index: s.index}
	}
	if len(d.order) > 2*len(d.records)+16 {
		d.order = slices.DeleteFunc(d.order, func(o *storedRecord) bool { return o.record.Host == "" })
	}
}

// LastIndex returns the index of the newest change, or 0 if there was none. Indexes
// are local to this directory.
func (d *Directory) LastIndex() uint64 { return d.lastIndex }

// Digest returns the digest of all records, including those of gone daemons.
func (d *Directory) Digest() Digest { return d.digest }

// Since returns the records that changed after index, oldest change first, and
// whose sender accept returns true for. The sender "" is this process.
func (d *Directory) Since(index uint64, accept func(from string) bool) []Record {
	i := sort.Search(len(d.order), func(i int) bool { return d.order[i].index > index })
	var found []Record
	for _, s := range d.order[i:] {
		if s.record.Host != "" && accept(s.from) {
			found = append(found, s.record)
		}
	}
	return found
}

// Get returns the record of a host, also if its daemon is gone, and whether there
// is one.
func (d *Directory) Get(host string) (Record, bool) {
	s := d.records[host]
	if s == nil {
		return Record{}, false
	}
	return s.record, true
}

// Live returns the records of all daemons that are not gone, sorted by host.
func (d *Directory) Live() []Record {
	live := make([]Record, 0, len(d.records))
	for _, s := range d.records {
		if !s.record.Gone {
			live = append(live, s.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	return live
}

// MarkGone marks a daemon as gone if the given incarnation, the one that the
// failure detector observed, is the current one. It returns the new record and
// true, or false if the host is unknown, already gone or has another
// incarnation. The record of a daemon that stopped gracefully keeps its
// upstreams, so that its next incarnation can resume with them.
func (d *Directory) MarkGone(now time.Time, host string, incarnation uint64) (Record, bool) {
	s := d.records[host]
	if s == nil || s.record.Gone || s.record.Incarnation != incarnation {
		return Record{}, false
	}
	r := s.record
	r.Gone = true
	if !r.Stopped {
		r.Upstreams = nil
	}
	return r, d.merge(now, "", r)
}

// Expire deletes the records of daemons that have been gone for more than
// goneTTL.
func (d *Directory) Expire(now time.Time) {
	for host, s := range d.records {
		if s.record.Gone && now.Sub(s.changed) > goneTTL {
			d.digest -= digestOf(s.record)
			d.removeFromOrder(s)
			delete(d.records, host)
		}
	}
}

// digestOf hashes the host and the fields that decide which of two records is
// newer. Any other change of a record comes with a higher sequence.
func digestOf(r Record) Digest {
	var b [17]byte
	binary.BigEndian.PutUint64(b[0:], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Sequence)
	if r.Gone {
		b[16] = 1
	}
	h := xxh3.New()
	h.WriteString(r.Host)
	h.Write(b[:])
	return Digest(h.Sum64())
}

// BucketCount is the number of buckets, by hash of the host, in which two
// directories are compared. All processes must use the same number: the RPC method
// Feed.Compare rejects any other.
const BucketCount = 256

func bucketOf(host string) int { return int(xxh3.HashString(host) % BucketCount) }

// Buckets returns the digests of the records of each bucket, BucketCount in
// number.
func (d *Directory) Buckets() []Digest {
	sums := make([]Digest, BucketCount)
	for host, s := range d.records {
		sums[bucketOf(host)] += digestOf(s.record)
	}
	return sums
}

// Differing compares the buckets with those of another directory. other must hold
// BucketCount digests, as Buckets returns them. It returns the indexes of the
// buckets that differ and this directory's records in them, sorted by host.
func (d *Directory) Differing(other []Digest) ([]int, []Record) {
	var buckets []int
	for i, own := range d.Buckets() {
		if own != other[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets, d.inBuckets(buckets)
}

// inBuckets returns the records in the given buckets, sorted by host.
func (d *Directory) inBuckets(buckets []int) []Record {
	var found []Record
	for host, s := range d.records {
		if slices.Contains(buckets, bucketOf(host)) {
			found = append(found, s.record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	return found
}

// Newer returns the records in the given buckets that another directory lacks or
// has older versions of. remote holds all of the other directory's records in
// these buckets.
func (d *Directory) Newer(buckets []int, remote []Record) []Record {
	known := make(map[string]Record, len(remote))
	for _, r := range remote {
		known[r.Host] = r
	}
	return slices.DeleteFunc(d.inBuckets(buckets), func(r Record) bool {
		other, ok := known[r.Host]
		return ok && !r.supersedes(other)
	})
}
