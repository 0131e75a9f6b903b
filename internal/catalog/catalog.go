// Package catalog holds the configuration objects in force at one revision and
// the differences between revisions. The source and every daemon keep one.
//
// A Catalog is not safe for concurrent use.
package catalog

import (
	"sort"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors of Apply. The catalog is unchanged after either.
var (
	ErrOlder    = errs.New("catalog: the delta does not lead to a newer revision")
	ErrMismatch = errs.New("catalog: the delta does not fit the state or its digest")
)

// recentLimit is how many changed keys a catalog remembers in order. A delta
// from before them is found by looking at every object.
const recentLimit = 4096

// Digest identifies a set of entries, whatever their order. Adding or removing
// an entry costs the same at any size.
type Digest [2]uint64

// Entry is an object and the revision that last put it.
type Entry struct {
	Object   config.Object
	Revision config.Revision
}

// Removal is a removed key and the revision that removed it.
type Removal struct {
	Key      config.Key
	Revision config.Revision
}

// Delta leads from one revision to another, however many changes lie between.
// A whole delta leads from nothing.
type Delta struct {
	From    config.Revision
	To      config.Revision
	Whole   bool
	Entries []Entry
	Removed []Removal
	Before  Digest
	After   Digest
}

// Catalog is the set of objects in force at a revision. The zero value is the
// empty catalog at revision 0.
type Catalog struct {
	revision   config.Revision
	entries    map[config.Key]Entry
	removed    map[config.Key]config.Revision
	recent     []recentChange
	recentFrom config.Revision // Deltas from here on can be read from recent.
	digest     Digest
}

type recentChange struct {
	key      config.Key
	revision config.Revision
}

// Revision returns the revision in force.
func (c *Catalog) Revision() config.Revision { return c.revision }

// Digest returns the digest of all entries.
func (c *Catalog) Digest() Digest { return c.digest }

// Len returns the number of objects.
func (c *Catalog) Len() int { return len(c.entries) }

// Get returns the entry of key.
func (c *Catalog) Get(key config.Key) (Entry, bool) {
	e, ok := c.entries[key]
	return e, ok
}

// ModRevision returns the revision that last put or removed key, or 0.
func (c *Catalog) ModRevision(key config.Key) config.Revision {
	if e, ok := c.entries[key]; ok {
		return e.Revision
	}
	return c.removed[key]
}

// Entries returns all entries in the order of their keys.
func (c *Catalog) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Object.Key < all[j].Object.Key })
	return all
}

// Objects returns all objects by key.
func (c *Catalog) Objects() map[config.Key]config.Object {
	all := make(map[config.Key]config.Object, len(c.entries))
	for k, e := range c.entries {
		all[k] = e.Object
	}
	return all
}

// Clone returns an independent copy.
func (c *Catalog) Clone() *Catalog {
	n := &Catalog{
		revision: c.revision, recentFrom: c.recentFrom, digest: c.digest,
		entries: make(map[config.Key]Entry, len(c.entries)),
		removed: make(map[config.Key]config.Revision, len(c.removed)),
		recent:  append([]recentChange(nil), c.recent...),
	}
	for k, e := range c.entries {
		n.entries[k] = e
	}
	for k, r := range c.removed {
		n.removed[k] = r
	}
	return n
}

// Change puts and removes objects as the next revision.
func (c *Catalog) Change(put []config.Object, remove []config.Key) {
	next := c.revision + 1
	for _, o := range put {
		c.put(Entry{Object: o, Revision: next})
	}
	for _, k := range remove {
		c.remove(k, next)
	}
	c.revision = next
}

func (c *Catalog) put(e Entry) {
	if c.entries == nil {
		c.entries = map[config.Key]Entry{}
	}
	key := e.Object.Key
	if old, ok := c.entries[key]; ok {
		c.digest = c.digest.minus(old)
	}
	c.entries[key] = e
	delete(c.removed, key)
	c.digest = c.digest.plus(e)
	c.remember(key, e.Revision)
}

func (c *Catalog) remove(key config.Key, at config.Revision) {
	if old, ok := c.entries[key]; ok {
		c.digest = c.digest.minus(old)
		delete(c.entries, key)
	}
	if c.removed == nil {
		c.removed = map[config.Key]config.Revision{}
	}
	c.removed[key] = at
	c.remember(key, at)
}

func (c *Catalog) remember(key config.Key, at config.Revision) {
	c.recent = append(c.recent, recentChange{key: key, revision: at})
	if len(c.recent) <= 2*recentLimit {
		return
	}
	c.recentFrom = c.recent[recentLimit-1].revision
	c.recent = append([]recentChange(nil), c.recent[recentLimit:]...)
}

// Delta returns what leads from a state at revision from with that digest to
// the present one. It is whole if that state can't be built upon.
func (c *Catalog) Delta(from config.Revision, before Digest) Delta {
	d := Delta{From: from, To: c.revision, Before: before, After: c.digest}
	if from == 0 || from > c.revision {
		return c.whole()
	}
	for _, key := range c.changedSince(from) {
		if e, ok := c.entries[key]; ok && e.Revision > from {
			d.Entries = append(d.Entries, e)
		} else if at, ok := c.removed[key]; ok && at > from {
			d.Removed = append(d.Removed, Removal{Key: key, Revision: at})
		}
	}
	return d
}

func (c *Catalog) whole() Delta {
	return Delta{Whole: true, To: c.revision, Entries: c.Entries(), Removed: c.removals(), After: c.digest}
}

func (c *Catalog) removals() []Removal {
	all := make([]Removal, 0, len(c.removed))
	for k, r := range c.removed {
		all = append(all, Removal{Key: k, Revision: r})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

func (c *Catalog) changedSince(from config.Revision) []config.Key {
	seen := map[config.Key]bool{}
	var keys []config.Key
	note := func(k config.Key) {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	if from >= c.recentFrom {
		for i := len(c.recent) - 1; i >= 0 && c.recent[i].revision > from; i-- {
			note(c.recent[i].key)
		}
		return keys
	}
	for k, e := range c.entries {
		if e.Revision > from {
			note(k)
		}
	}
	for k, r := range c.removed {
		if r > from {
			note(k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// Apply returns the catalog that a delta leads to. The receiver stays as it
// is, so that a delta that fails its checks is never in force in part.
func (c *Catalog) Apply(d Delta) (*Catalog, error) {
	if d.To <= c.revision {
		return nil, ErrOlder
	}
	next := &Catalog{recentFrom: d.To}
	if !d.Whole {
		if d.From != c.revision || d.Before != c.digest {
			return nil, ErrMismatch
		}
		next = c.Clone()
	}
	for _, e := range d.Entries {
		next.put(e)
	}
	for _, r := range d.Removed {
		next.remove(r.Key, r.Revision)
	}
	next.revision = d.To
	next.sortRecent()
	if next.digest != d.After {
		return nil, ErrMismatch
	}
	return next, nil
}

// sortRecent restores the order by revision that Delta relies on.
func (c *Catalog) sortRecent() {
	sort.SliceStable(c.recent, func(i, j int) bool { return c.recent[i].revision < c.recent[j].revision })
}

func (d Digest) plus(e Entry) Digest {
	h := hash(e)
	return Digest{d[0] + h[0], d[1] + h[1]}
}

func (d Digest) minus(e Entry) Digest {
	h := hash(e)
	return Digest{d[0] - h[0], d[1] - h[1]}
}

func hash(e Entry) Digest {
	h := xxh3.New()
	h.WriteString(string(e.Object.Key))
	h.Write([]byte{0})
	h.Write(e.Object.Body)
	sum := h.Sum128()
	return Digest{sum.Hi ^ uint64(e.Revision), sum.Lo}
}
