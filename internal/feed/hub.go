package feed

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/bootclock"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// State is a configuration in force: its objects and their expansion. It is
// immutable, apart from FreshAt.
type State struct {
	catalog  *catalog.Catalog
	table    *expand.Table
	requires []config.Feature
	freshAt  atomic.Pointer[time.Duration] // Nil if unknown; Hub.mutex is held for changes.
}

// Catalog returns the configuration's objects. The caller must not change it.
func (s *State) Catalog() *catalog.Catalog { return s.catalog }

// Table returns the expanded configuration. The caller must not change it.
func (s *State) Table() *expand.Table { return s.table }

// Requires returns the features that a daemon must have to carry out the configuration.
// The caller must not change the slice.
func (s *State) Requires() []config.Feature { return s.requires }

// Revision returns the revision of the configuration; 0 means none.
func (s *State) Revision() config.Revision { return s.catalog.Revision() }

// childTTL is how long a child or another source replica is counted after its
// last report.
const childTTL = 5 * time.Second

// child is the last report of a child or of another source replica.
type child struct {
	ack        Ack
	lastReport time.Time
}

// HubConfig describes a Hub.
type HubConfig struct {
	Host     string
	Zone     string // The data centre; used on source replicas only.
	Instance uint64 // Differs each time the process starts; not 0.
	Source   bool   // The process is a source replica, which is not counted as a daemon.
	Counters *count.Set
	// BootClock returns the present boot time. Nil means bootclock.Now.
	BootClock func() time.Duration
	// OnOwnRecord is called with each valid record of this host that another process
	// sends; the record may be from a previous incarnation of the daemon. The hub
	// holds no lock during the call, and may make several calls concurrently.
	// OnOwnRecord may be nil.
	OnOwnRecord func(directory.Record)
	// Features are those that the daemon carries out; unused on source replicas.
	Features []config.Feature
	// OnWithheld is called when the configuration in force begins to be withheld from a
	// child, with the features that the child lacks, and with none when that ends. It runs
	// with the lock of the hub held and must not block. It may be nil.
	OnWithheld func(child string, missing []config.Feature)
}

// Hub is a process's shared state: the configuration in force, the directory,
// call statistics, and the acknowledgements of its children. It wakes waiting
// goroutines on a change. It is safe for concurrent use. Create one with NewHub.
type Hub struct {
	config      HubConfig
	state       atomic.Pointer[State]
	view        atomic.Pointer[View]
	minRevision atomic.Uint64 // The minimum revision plus 1; 0 if unknown.
	sources     atomic.Pointer[[]directory.Source]

	mutex         sync.Mutex
	directory     directory.Directory
	callStats     callstats.Store
	retainedFor   *State // The configuration by which RetainCallStats was last carried out.
	children      map[string]child
	siblings      map[string]child // Other source replicas, each with all daemons below it.
	confirmedAt   time.Time        // See ConfirmedAt.
	lastContact   time.Time        // Last contact with the source's leader, direct or through parents.
	changed       signal           // Of the configuration, the directory and the minimum revision.
	published     signal           // Of the configuration alone.
	acknowledged  signal           // Of the children's acknowledgements.
	reported      signal           // Of the call statistics.
	fullTransfers fullLimiter
	packs         packCache
	withheld      map[string]time.Time // When the configuration was last withheld, by child.
}

// NewHub returns a hub with revision 0 in force and an empty directory.
func NewHub(c HubConfig) *Hub {
	if c.BootClock == nil {
		c.BootClock = bootclock.Now
	}
	h := &Hub{config: c, children: map[string]child{}, siblings: map[string]child{}, withheld: map[string]time.Time{}}
	var b expand.Builder
	table, _ := b.Build(0, nil)
	h.state.Store(&State{catalog: &catalog.Catalog{}, table: table})
	h.view.Store(newView(nil))
	return h
}

// Instance returns HubConfig.Instance, which identifies one run of the process.
func (h *Hub) Instance() uint64 { return h.config.Instance }

// State returns the configuration in force. It is never nil.
func (h *Hub) State() *State { return h.state.Load() }

// Sources returns the source replicas of the last SetSources, or nil if there was
// none. The caller must not modify the slice.
func (h *Hub) Sources() []directory.Source {
	if sources := h.sources.Load(); sources != nil {
		return *sources
	}
	return nil
}

// SetSources replaces the list of source replicas. An empty list is ignored. The
// hub keeps the slice.
func (h *Hub) SetSources(sources []directory.Source) {
	if len(sources) > 0 {
		h.sources.Store(&sources)
	}
}

// Ready reports whether a daemon may serve calls: its revision in force is not
// older than its minimum revision. The minimum is the revision that the source's
// quorum had accepted when the daemon started, or the one that the daemon's
// previous incarnation had in force.
func (h *Hub) Ready() bool { return h.Serves(h.State()) }

// Serves reports whether a daemon may serve calls with configuration s, which State
// has returned. Unlike Ready, it cannot be about a newer configuration than the one
// that its caller goes on to use or to report.
func (h *Hub) Serves(s *State) bool { return h.serves(s.Revision()) }

// setMinRevision sets the revision from which on this process may serve calls.
func (h *Hub) setMinRevision(r config.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.minRevision.Store(uint64(r) + 1)
	h.changed.raise()
}

// View returns the upstreams of all live daemons. It is never nil.
func (h *Hub) View() *View { return h.view.Load() }

// Publish puts a configuration in force if its revision is newer than the current
// one, and reports whether it did. The caller must not change c and t afterwards.
func (h *Hub) Publish(c *catalog.Catalog, t *expand.Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	previous := h.state.Load()
	if c.Revision() <= previous.Revision() {
		return false
	}
	next := &State{catalog: c, table: t, requires: t.Requires()}
	// What was not accepted after the previous configuration at that time was not accepted
	// after this one either.
	next.freshAt.Store(previous.freshAt.Load())
	h.state.Store(next)
	h.published.raise()
	h.changed.raise()
	return true
}

// Changed returns a channel that is closed at the next change of the configuration, the
// directory or the minimum revision. Each change wakes the pulls of all children, so what
// they do not wait for has signals of its own.
func (h *Hub) Changed() <-chan struct{} { return h.wait(&h.changed) }

// Published returns a channel that is closed when the next configuration is in force.
func (h *Hub) Published() <-chan struct{} { return h.wait(&h.published) }

// Acknowledged returns a channel that is closed at the next change of a child's
// acknowledgement.
func (h *Hub) Acknowledged() <-chan struct{} { return h.wait(&h.acknowledged) }

// Reported returns a channel that is closed at the next change of the call statistics.
func (h *Hub) Reported() <-chan struct{} { return h.wait(&h.reported) }

func (h *Hub) wait(s *signal) <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return s.wait()
}

// MergeRecords merges directory records from another process, or this process's
// own if from is "". It returns those that were newer than the stored ones.
func (h *Hub) MergeRecords(now time.Time, from string, records ...directory.Record) []directory.Record {
	if from != "" && h.config.OnOwnRecord != nil {
		h.notifyOwnRecord(records)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	added := h.directory.Merge(now, from, records...)
	if len(added) > 0 {
		h.refreshView()
	}
	return added
}

// notifyOwnRecord calls OnOwnRecord, which must not be nil, for the valid records of
// this host.
func (h *Hub) notifyOwnRecord(records []directory.Record) {
	for _, r := range records {
		if r.Host == h.config.Host && r.Check() == nil {
			h.config.OnOwnRecord(r)
		}
	}
}

// refreshView rebuilds the view after a change of the directory. The caller must
// hold h.mutex.
func (h *Hub) refreshView() {
	h.view.Store(newView(h.directory.Live()))
	h.changed.raise()
}

// MarkGone marks a daemon as gone if incarnation is its current one, as
// directory.Directory.MarkGone does.
func (h *Hub) MarkGone(now time.Time, host string, incarnation uint64) (directory.Record, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	r, ok := h.directory.MarkGone(now, host, incarnation)
	if ok {
		h.refreshView()
	}
	return r, ok
}

// Expire deletes the records of daemons that have been gone for long, and the
// children and source replicas that have not reported for childTTL.
func (h *Hub) Expire(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.directory.Expire(now)
	for name, c := range h.children {
		if now.Sub(c.lastReport) > childTTL {
			delete(h.children, name)
		}
	}
	h.expireWithheld(now)
	for name, c := range h.siblings {
		if now.Sub(c.lastReport) > childTTL {
			delete(h.siblings, name)
		}
	}
}

// Record returns the directory record of a host, also if its daemon is gone, and
// whether there is one.
func (h *Hub) Record(host string) (directory.Record, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.directory.Get(host)
}

// ChangesFor returns the directory records and reports of call statistics that
// changed after a cursor, and the cursor for the next call. It leaves out what
// came from the process other, which has it, and what came from another source
// replica, which reports to the other replicas itself. If partial is set, reports hold
// only the rows that changed.
func (h *Hub) ChangesFor(other string, after Cursor, partial bool) ([]directory.Record, []callstats.Report, Cursor) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	accept := func(from string) bool {
		_, fromSibling := h.siblings[from]
		return from != other && !fromSibling
	}
	return h.directory.Since(after.records, accept), h.callStats.Since(after.reports, partial, accept), h.cursor()
}

// cursor returns the position after all changes. The caller must hold h.mutex.
func (h *Hub) cursor() Cursor {
	return Cursor{records: h.directory.LastIndex(), reports: h.callStats.LastIndex()}
}

// LastReports returns the time of each child's last report, by host.
func (h *Hub) LastReports() map[string]time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	times := make(map[string]time.Time, len(h.children))
	for name, c := range h.children {
		times[name] = c.lastReport
	}
	return times
}

// Ack returns which revisions this daemon and all daemons below it have in force,
// or on a source replica those below it only. A daemon that is not ready counts with
// revision 0. A daemon without others below it has the lowest revision by itself, so
// that Behind names its host, whatever its revision.
func (h *Hub) Ack() Ack {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var sum Ack
	if !h.config.Source {
		sum = Ack{Daemons: 1, Behind: []string{h.config.Host}, Features: h.config.Features}
		if h.Ready() {
			sum.Low = h.state.Load().Revision()
		}
	}
	for _, c := range h.children {
		sum = sum.add(c.ack)
	}
	return sum
}

// FleetAck returns Ack, on a source replica together with the daemons below the
// other replicas.
func (h *Hub) FleetAck() Ack {
	sum := h.Ack()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, c := range h.siblings {
		sum = sum.add(c.ack)
	}
	return sum
}

// MergeSibling merges another source replica's report on the daemons below it.
func (h *Hub) MergeSibling(now time.Time, args ReportArgs) {
	h.mutex.Lock()
	h.siblings[args.Host] = child{ack: args.Ack, lastReport: now}
	h.mutex.Unlock()
	h.MergeRecords(now, args.Host, args.Records...)
	h.MergeCallStats(args.Host, args.Reports...)
}
