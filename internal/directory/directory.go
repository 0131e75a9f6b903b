package directory

import (
	"encoding/binary"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// goneLifetime is how long a record of a daemon that is gone is kept, so that
// old news of it does not bring it back.
const goneLifetime = time.Hour

// Digest identifies a set of records, whatever their order.
type Digest uint64

type storedRecord struct {
	record  Record
	index   uint64 // Position in this directory's own order of changes.
	learned string // Whom it came from; "" for this process.
	changed time.Time
}

// Directory holds the newest record of every daemon. The zero value is empty.
// It is not safe for concurrent use.
type Directory struct {
	records map[string]*storedRecord
	order   []*storedRecord // By index; replaced entries are left behind as nil.
	last    uint64
	digest  Digest
}

// Merge takes records learned from another process and returns those that
// were news.
func (d *Directory) Merge(now time.Time, from string, records ...Record) []Record {
	var news []Record
	for _, r := range records {
		if r.Check() == nil && d.merge(now, from, r) {
			news = append(news, r)
		}
	}
	return news
}

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
		d.forget(old)
	}
	d.last++
	h := &storedRecord{record: r, index: d.last, learned: from, changed: now}
	d.records[r.Host] = h
	d.order = append(d.order, h)
	d.digest += digestOf(r)
	return true
}

// forget takes a replaced record out of the order, and packs the order when
// half of it is empty.
func (d *Directory) forget(h *storedRecord) {
	i, found := slices.BinarySearchFunc(d.order, h.index, func(o *storedRecord, index uint64) int {
		return int(int64(o.index) - int64(index))
	})
	if found {
		d.order[i] = &storedRecord{index: h.index}
	}
	if len(d.order) > 2*len(d.records)+16 {
		d.order = slices.DeleteFunc(d.order, func(o *storedRecord) bool { return o.record.Host == "" })
	}
}

// Last returns the index of the newest change.
func (d *Directory) Last() uint64 { return d.last }

// Digest identifies the records held.
func (d *Directory) Digest() Digest { return d.digest }

// Since returns the records that changed after index and were learned from a
// process that wanted accepts; "" stands for this process.
func (d *Directory) Since(index uint64, wanted func(learned string) bool) []Record {
	i := sort.Search(len(d.order), func(i int) bool { return d.order[i].index > index })
	var found []Record
	for _, h := range d.order[i:] {
		if h.record.Host != "" && wanted(h.learned) {
			found = append(found, h.record)
		}
	}
	return found
}

// Get returns the record of a host.
func (d *Directory) Get(host string) (Record, bool) {
	h := d.records[host]
	if h == nil {
		return Record{}, false
	}
	return h.record, true
}

// Live returns the records of all daemons that are not gone, by host.
func (d *Directory) Live() []Record {
	live := make([]Record, 0, len(d.records))
	for _, h := range d.records {
		if !h.record.Gone {
			live = append(live, h.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	return live
}

// MarkGone declares a daemon gone in the incarnation that was watched. It
// returns false if newer word has come since. Of one that stopped in an
// orderly way its upstreams stay noted, for its next life to go on with.
func (d *Directory) MarkGone(now time.Time, host string, incarnation uint64) (Record, bool) {
	h := d.records[host]
	if h == nil || h.record.Gone || h.record.Incarnation != incarnation {
		return Record{}, false
	}
	r := h.record
	r.Gone = true
	if !r.Stopped {
		r.Upstreams = nil
	}
	return r, d.merge(now, "", r)
}

// Expire drops records of daemons that have been gone for long.
func (d *Directory) Expire(now time.Time) {
	for host, h := range d.records {
		if h.record.Gone && now.Sub(h.changed) > goneLifetime {
			d.digest -= digestOf(h.record)
			d.forget(h)
			delete(d.records, host)
		}
	}
}

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

// BucketCount is the number of groups by which two directories are compared.
const BucketCount = 256

func bucketOf(host string) int { return int(xxh3.HashString(host) % BucketCount) }

// Buckets returns the digest of each group of records.
func (d *Directory) Buckets() []Digest {
	sums := make([]Digest, BucketCount)
	for host, h := range d.records {
		sums[bucketOf(host)] += digestOf(h.record)
	}
	return sums
}

// Differing compares the groups with those of another directory, whose digests
// must be BucketCount in number. It returns the groups that differ and the
// records in them.
func (d *Directory) Differing(other []Digest) ([]int, []Record) {
	var groups []int
	for i, own := range d.Buckets() {
		if own != other[i] {
			groups = append(groups, i)
		}
	}
	return groups, d.inGroups(groups)
}

func (d *Directory) inGroups(groups []int) []Record {
	var found []Record
	for host, h := range d.records {
		if slices.Contains(groups, bucketOf(host)) {
			found = append(found, h.record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	return found
}

// Newer returns the records in some groups that another directory lacks, given
// all that it holds in these groups.
func (d *Directory) Newer(groups []int, theirs []Record) []Record {
	known := make(map[string]Record, len(theirs))
	for _, r := range theirs {
		known[r.Host] = r
	}
	return slices.DeleteFunc(d.inGroups(groups), func(r Record) bool {
		other, ok := known[r.Host]
		return ok && !r.supersedes(other)
	})
}
