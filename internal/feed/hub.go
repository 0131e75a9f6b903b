package feed

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// State is a configuration in force: its objects and what they expand to. It
// is immutable.
type State struct {
	catalog *catalog.Catalog
	table   *expand.Table
}

// Catalog returns the objects.
func (s *State) Catalog() *catalog.Catalog { return s.catalog }

// Table returns the expanded configuration.
func (s *State) Table() *expand.Table { return s.table }

// Revision returns the revision in force.
func (s *State) Revision() config.Revision { return s.catalog.Revision() }

// childLifetime is how long a child that no longer reports counts as one.
const childLifetime = 5 * time.Second

type child struct {
	ack Ack
	at  time.Time
}

// HubConfig describes a Hub.
type HubConfig struct {
	Host     string
	Zone     string
	Instance uint64 // Differs each time the process starts.
	Source   bool   // A source replica does not count itself as a daemon.
	Counters *count.Set
	// OnEarlier is called with records of this host from an earlier life of the
	// process that others still hold. It may be nil.
	OnEarlier func(directory.Record)
}

// Hub is what a process knows and passes on: the configuration in force, the
// directory, evidence, and the acknowledgements of its children. It is safe
// for concurrent use. Make one with NewHub.
type Hub struct {
	config      HubConfig
	state       atomic.Pointer[State]
	view        atomic.Pointer[View]
	minRevision atomic.Uint64 // One more than the confirmed floor; 0 if unknown.
	source      atomic.Pointer[[]directory.Source]

	mutex       sync.Mutex
	directory   directory.Directory
	callStats   callstats.Store
	children    map[string]child
	siblings    map[string]child // Other source replicas, with all below them.
	lastContact time.Time        // When the source's leader was last heard of.
	changed     chan struct{}
	transfers   fullLimiter
	packs       packCache
}

// NewHub returns a hub with nothing in force.
func NewHub(c HubConfig) *Hub {
	h := &Hub{config: c, children: map[string]child{}, siblings: map[string]child{}, changed: make(chan struct{})}
	var b expand.Builder
	table, _ := b.Build(0, nil)
	h.state.Store(&State{catalog: &catalog.Catalog{}, table: table})
	h.view.Store(newView(nil))
	return h
}

// Instance tells one run of the process from another.
func (h *Hub) Instance() uint64 { return h.config.Instance }

// State returns the configuration in force.
func (h *Hub) State() *State { return h.state.Load() }

// Sources returns the source's replicas, as far as they have been told.
func (h *Hub) Sources() []directory.Source {
	if told := h.source.Load(); told != nil {
		return *told
	}
	return nil
}

// SetSources notes the source's replicas.
func (h *Hub) SetSources(sources []directory.Source) {
	if len(sources) > 0 {
		h.source.Store(&sources)
	}
}

// Ready reports whether a daemon holds at least its floor: what the source's
// quorum had accepted when the daemon started, or what it had in force in an
// earlier life. Before that it must not serve.
func (h *Hub) Ready() bool { return h.serves(h.State().Revision()) }

// setMinRevision notes the revision from which on this process may serve.
func (h *Hub) setMinRevision(r config.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.minRevision.Store(uint64(r) + 1)
	h.notify()
}

// View returns the upstreams that there are, by service.
func (h *Hub) View() *View { return h.view.Load() }

// Publish puts a configuration in force if it is newer than the present one,
// and returns whether it did.
func (h *Hub) Publish(c *catalog.Catalog, t *expand.Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if c.Revision() <= h.state.Load().Revision() {
		return false
	}
	h.state.Store(&State{catalog: c, table: t})
	h.notify()
	return true
}

// notify wakes everyone who waits for news. The caller holds the lock.
func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next news.
func (h *Hub) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// SetLastContact notes that the source's leader was heard of at t.
func (h *Hub) SetLastContact(t time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.After(h.lastContact) {
		h.lastContact = t
	}
}

// LastContact returns when the source's leader was last heard of.
func (h *Hub) LastContact() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastContact
}

// MergeRecords merges directory records that another process sent, or that this one
// makes itself if from is "".
func (h *Hub) MergeRecords(now time.Time, from string, records ...directory.Record) []directory.Record {
	if from != "" && h.config.OnEarlier != nil {
		h.notifyEarlier(records)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	news := h.directory.Merge(now, from, records...)
	if len(news) > 0 {
		h.refresh()
	}
	return news
}

func (h *Hub) notifyEarlier(records []directory.Record) {
	for _, r := range records {
		if r.Host == h.config.Host && r.Check() == nil {
			h.config.OnEarlier(r)
		}
	}
}

// refresh rebuilds the view after a change of the directory. The caller holds
// the lock.
func (h *Hub) refresh() {
	h.view.Store(newView(h.directory.Live()))
	h.notify()
}

// MarkGone declares a daemon gone.
func (h *Hub) MarkGone(now time.Time, host string, incarnation uint64) (directory.Record, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	r, ok := h.directory.MarkGone(now, host, incarnation)
	if ok {
		h.refresh()
	}
	return r, ok
}

// Expire drops old directory records and children that no longer report.
func (h *Hub) Expire(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.directory.Expire(now)
	for name, c := range h.children {
		if now.Sub(c.at) > childLifetime {
			delete(h.children, name)
		}
	}
	for name, c := range h.siblings {
		if now.Sub(c.at) > childLifetime {
			delete(h.siblings, name)
		}
	}
}

// Record returns the directory record of a host.
func (h *Hub) Record(host string) (directory.Record, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.directory.Get(host)
}

// ChangesFor returns what changed after a cursor among the directory records
// and evidence reports, and the next cursor. What was learned from the process
// it is for, or by one source replica from another, is left out: they have it.
func (h *Hub) ChangesFor(other string, after Cursor) ([]directory.Record, []callstats.Report, Cursor) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	wanted := func(learned string) bool {
		_, fromSibling := h.siblings[learned]
		return learned != other && !fromSibling
	}
	return h.directory.Since(after.records, wanted), h.callStats.Since(after.reports, wanted), h.cursor()
}

// cursor returns the newest position. The caller holds the lock.
func (h *Hub) cursor() Cursor {
	return Cursor{records: h.directory.Last(), reports: h.callStats.Last()}
}

// Cursor is a position in a hub's own order of changes. The zero value is the
// beginning.
type Cursor struct {
	records uint64
	reports uint64
}

// Children returns the hosts that have reported lately and when.
func (h *Hub) Children() map[string]time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	times := make(map[string]time.Time, len(h.children))
	for name, c := range h.children {
		times[name] = c.at
	}
	return times
}

// Ack returns the sum over this process and its children.
func (h *Hub) Ack() Ack {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var sum Ack
	if !h.config.Source {
		sum = Ack{Daemons: 1, Behind: []string{h.config.Host}}
		if h.Ready() {
			sum.Low = h.state.Load().Revision()
		}
	}
	for _, c := range h.children {
		sum = sum.add(c.ack)
	}
	return sum
}

// Total returns the sum over this process, its children and, on a source
// replica, those of the other replicas.
func (h *Hub) Total() Ack {
	sum := h.Ack()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, c := range h.siblings {
		sum = sum.add(c.ack)
	}
	return sum
}

// MergeSibling takes in what another source replica says of the daemons below
// it.
func (h *Hub) MergeSibling(now time.Time, args ReportArgs) {
	h.mutex.Lock()
	h.siblings[args.Host] = child{ack: args.Ack, at: now}
	h.mutex.Unlock()
	h.MergeRecords(now, args.Host, args.Records...)
	h.MergeCallStats(args.Host, args.Reports...)
}

// MergeCallStats takes in reports, this process's own if from is "".
func (h *Hub) MergeCallStats(from string, reports ...callstats.Report) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	news := false
	for _, r := range reports {
		if r.Check() != nil {
			h.config.Counters.Add("feed_bad_reports", 1)
			continue
		}
		news = h.callStats.Merge(from, r) || news
	}
	if news {
		h.notify()
	}
}

// CallStats returns the rows of a service, summed over all daemons.
func (h *Hub) CallStats(service string) []callstats.Row {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.callStats.Service(service)
}

// RetainCallStats drops the evidence of services for which keep returns false.
func (h *Hub) RetainCallStats(keep func(service string) bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.callStats.Retain(keep)
}
