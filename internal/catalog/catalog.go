// Package catalog holds the configuration objects in force at one revision and
// computes and applies the differences between revisions. The source and every
// daemon hold a catalog.
//
// A Catalog is not safe for concurrent use.
package catalog

import (
	"sort"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors of Catalog.Apply. The receiver is unchanged after either.
var (
	ErrOlder    = errs.New("catalog: the revision of the delta is not newer than the one in force")
	ErrMismatch = errs.New("catalog: the delta does not match the state it is based on or the resulting digest")
)

// maxRecentChanges limits the list of recent changes: when it has more than
// twice as many, the oldest maxRecentChanges are dropped. For a delta from a
// revision before the listed ones, all objects have to be searched.
const maxRecentChanges = 4096

// Digest identifies a set of entries regardless of their order. It is the sum
// of the hashes of the entries, so adding or removing an entry costs the same
// at any size. The zero value is the digest of the empty set.
type Digest [2]uint64

// Entry is an object and the revision that last put it. Its fields are stored
// and sent under their Go names.
type Entry struct {
	Object   config.Object
	Revision config.Revision
}

// Removal is a removed key and the revision that removed it. Its fields are
// stored and sent under their Go names.
type Removal struct {
	Key      config.Key
	Revision config.Revision
}

// Delta is the difference between two revisions, with any number of changes
// between them. A full delta (Whole) contains all objects and applies to any
// older state. The fields are stored and sent under their Go names.
type Delta struct {
	From    config.Revision // The revision that the delta is based on; 0 for a full delta.
	To      config.Revision // The resulting revision.
	Whole   bool            // The delta is full.
	Entries []Entry         // The newest entries of objects put after From.
	Removed []Removal       // The objects removed after From.
	Before  Digest          // The digest of the state at From; zero for a full delta.
	After   Digest          // The digest of the resulting state.
}

// Catalog is the set of objects in force at a revision. The zero value is the
// empty catalog at revision 0.
type Catalog struct {
	revision      config.Revision
	entries       map[config.Key]Entry
	removed       map[config.Key]config.Revision // The revisions that removed the objects not in entries, by key.
	recentChanges []recentChange                 // Oldest first; the same key may occur several times.
	recentSince   config.Revision                // recentChanges contains all changes after this revision.
	digest        Digest
}

// recentChange is a key and the revision that put or removed it.
type recentChange struct {
	key      config.Key
	revision config.Revision
}

// Revision returns the revision in force.
func (c *Catalog) Revision() config.Revision { return c.revision }

// Digest returns the digest of all entries. Removed keys are not part of it.
func (c *Catalog) Digest() Digest { return c.digest }

// Len returns the number of objects in force.
func (c *Catalog) Len() int { return len(c.entries) }

// Get returns the entry of key, and false if no such object is in force.
func (c *Catalog) Get(key config.Key) (Entry, bool) {
	e, ok := c.entries[key]
	return e, ok
}

// ModRevision returns the revision that last put or removed key, or 0 if none
// did.
func (c *Catalog) ModRevision(key config.Key) config.Revision {
	if e, ok := c.entries[key]; ok {
		return e.Revision
	}
	return c.removed[key]
}

// Entries returns all entries in the order of their keys. The slice is a copy;
// the bodies of the objects are shared.
func (c *Catalog) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Object.Key < all[j].Object.Key })
	return all
}

// Objects returns all objects by key. The map is a copy; the bodies of the
// objects are shared.
func (c *Catalog) Objects() map[config.Key]config.Object {
	all := make(map[config.Key]config.Object, len(c.entries))
	for k, e := range c.entries {
		all[k] = e.Object
	}
	return all
}

// Clone returns a copy that later changes of c do not affect, and the reverse.
// The bodies of the objects are shared.
func (c *Catalog) Clone() *Catalog {
	n := &Catalog{
		revision: c.revision, recentSince: c.recentSince, digest: c.digest,
		entries:       make(map[config.Key]Entry, len(c.entries)),
		removed:       make(map[config.Key]config.Revision, len(c.removed)),
		recentChanges: append([]recentChange(nil), c.recentChanges...),
	}
	for k, e := range c.entries {
		n.entries[k] = e
	}
	for k, r := range c.removed {
		n.removed[k] = r
	}
	return n
}

// Change puts and removes objects as the next revision. It does not validate
// them.
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

// put adds or replaces an entry without changing the revision.
func (c *Catalog) put(e Entry) {
	if c.entries == nil {
		c.entries = map[config.Key]Entry{}
	}
	key := e.Object.Key
	if old, ok := c.entries[key]; ok {
		c.digest = c.digest.withoutEntry(old)
	}
	c.entries[key] = e
	delete(c.removed, key)
	c.digest = c.digest.withEntry(e)
	c.recordChange(key, e.Revision)
}

// remove removes key and records that revision at removed it. The revision of
// the catalog does not change.
func (c *Catalog) remove(key config.Key, at config.Revision) {
	if old, ok := c.entries[key]; ok {
		c.digest = c.digest.withoutEntry(old)
		delete(c.entries, key)
	}
	if c.removed == nil {
		c.removed = map[config.Key]config.Revision{}
	}
	c.removed[key] = at
	c.recordChange(key, at)
}

// recordChange appends a change to recentChanges and limits its length.
func (c *Catalog) recordChange(key config.Key, at config.Revision) {
	c.recentChanges = append(c.recentChanges, recentChange{key: key, revision: at})
	if len(c.recentChanges) <= 2*maxRecentChanges {
		return
	}
	c.recentSince = c.recentChanges[maxRecentChanges-1].revision
	c.recentChanges = append([]recentChange(nil), c.recentChanges[maxRecentChanges:]...)
}

// Delta returns the difference between the state at revision from with digest
// before and the present state. It returns a full delta if from is 0 or newer
// than the present revision.
func (c *Catalog) Delta(from config.Revision, before Digest) Delta {
	d := Delta{From: from, To: c.revision, Before: before, After: c.digest}
	if from == 0 || from > c.revision {
		return c.fullDelta()
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

// fullDelta returns a delta that contains all objects and removals.
func (c *Catalog) fullDelta() Delta {
	return Delta{Whole: true, To: c.revision, Entries: c.Entries(), Removed: c.sortedRemovals(), After: c.digest}
}

// sortedRemovals returns all removals in the order of their keys.
func (c *Catalog) sortedRemovals() []Removal {
	all := make([]Removal, 0, len(c.removed))
	for k, r := range c.removed {
		all = append(all, Removal{Key: k, Revision: r})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// changedSince returns the keys put or removed after revision from, each once.
func (c *Catalog) changedSince(from config.Revision) []config.Key {
	seen := map[config.Key]bool{}
	var keys []config.Key
	add := func(k config.Key) {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	if from >= c.recentSince {
		for i := len(c.recentChanges) - 1; i >= 0 && c.recentChanges[i].revision > from; i-- {
			add(c.recentChanges[i].key)
		}
		return keys
	}
	for k, e := range c.entries {
		if e.Revision > from {
			add(k)
		}
	}
	for k, r := range c.removed {
		if r > from {
			add(k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// Apply returns the catalog that results from delta d. The receiver is
// unchanged, so that a delta that fails its checks is never in force in part.
// It returns ErrOlder if d does not lead to a newer revision, and ErrMismatch
// if d is not based on the state of c or the resulting digest differs from
// d.After.
func (c *Catalog) Apply(d Delta) (*Catalog, error) {
	if d.To <= c.revision {
		return nil, ErrOlder
	}
	next := &Catalog{recentSince: d.To}
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
	next.sortRecentChanges()
	if next.digest != d.After {
		return nil, ErrMismatch
	}
	return next, nil
}

// sortRecentChanges restores the order by revision, which changedSince
// requires.
func (c *Catalog) sortRecentChanges() {
	sort.SliceStable(c.recentChanges, func(i, j int) bool { return c.recentChanges[i].revision < c.recentChanges[j].revision })
}

// withEntry returns the digest after e is added to the set.
func (d Digest) withEntry(e Entry) Digest {
	h := entryDigest(e)
	return Digest{d[0] + h[0], d[1] + h[1]}
}

// withoutEntry returns the digest after e is removed from the set, which must
// contain it.
func (d Digest) withoutEntry(e Entry) Digest {
	h := entryDigest(e)
	return Digest{d[0] - h[0], d[1] - h[1]}
}

// entryDigest returns the digest of the set that contains only e.
func entryDigest(e Entry) Digest {
	h := xxh3.New()
	h.WriteString(string(e.Object.Key))
	h.Write([]byte{0})
	h.Write(e.Object.Body)
	sum := h.Sum128()
	return Digest{sum.Hi ^ uint64(e.Revision), sum.Lo}
}
