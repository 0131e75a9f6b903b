package feed

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/internal/witness"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	pullWait           = time.Second     // How long the parent waits for changes.
	pullTimeout        = 3 * time.Second // Of the call, which includes pullWait.
	reportTimeout      = time.Second
	minReportInterval  = 50 * time.Millisecond
	maxReportInterval  = time.Second // Also without changes.
	rejectedDelay      = time.Second // Before the next pull after a delta that could not be applied.
	probeTimeout       = 2 * time.Second
	finalReportTimeout = 200 * time.Millisecond // Of the final report of a daemon that stops.
)

// ClientConfig describes a Client. All functions must be safe for concurrent use.
// The functions named On... run in the client's goroutines, some with a lock of the
// client held, and must not block.
type ClientConfig struct {
	Host    string
	Zone    string
	Sources []string // Peer addresses of the source replicas, from the settings.
	Shape   directory.Shape
	Clock   func() time.Time
	Random  func() float64 // A random number in [0, 1), for jitter.
	Dial    peer.Dial      // Nil means peer.DialTCP.
	Traffic *peer.Traffic  // Counts the bytes sent and received; required.
	// Features are those that the daemon carries out. A configuration that requires others
	// is not put in force.
	Features []config.Feature
	// OnRejected is called with a revision whose configuration is invalid, or, with an error
	// that matches ErrWithheld, requires features that the daemon lacks. It may be nil.
	OnRejected func(config.Revision, error)
	// OnWithheld is called when the parent begins to withhold its configuration, with the
	// features that the daemon lacks, and with none when that ends. It may be nil.
	OnWithheld func(missing []config.Feature)
	// OnParent is called with the parent's address at the first reply of a new
	// parent, or of the same one after it has restarted. It may be nil.
	OnParent    func(address string)
	MinRevision MinRevisionConfig
	// OnRetirements is called, before the daemon may serve, with the retirements of its
	// upstreams that the source has recorded. If only witnesses could be asked, it is
	// called with none, and again once the source can be asked. It may be nil.
	OnRetirements func([]directory.Retirement)
}

// Client pulls a daemon's configuration and directory from the best available
// parent, puts them into the daemon's hub, and reports to the parent. Create one
// with NewClient and run RunPull, RunReport, RunSecondParent, RunFreshness,
// RunMinRevision and RunWitnesses once each, in goroutines of their own. Its other methods are safe
// for concurrent use.
type Client struct {
	config       ClientConfig
	hub          *Hub
	applyMutex   sync.Mutex // Held while a delta is applied; guards builder and needsFull.
	minRevision  *witness.Client
	builder      expand.Builder
	needsFull    bool                     // The next pull asks for the full state.
	mutex        sync.Mutex               // Guards clients, parent, parentChange and parentCursor.
	seeds        atomic.Pointer[[]string] // Addresses of source replicas from the settings.
	clients      map[string]*peer.Client  // By address.
	parent       string                   // The address of the current parent; empty at the start.
	parentChange chan struct{}            // Closed and replaced when parent changes.
	parentCursor Cursor                   // The position in the hub's changes when it became the parent.
	choice       parentChoice

	// The next four are used by RunPull only.
	isWithheld     bool      // The last reply withheld the configuration.
	parentInstance uint64    // 0 before the parent's first reply.
	parentIndex    uint64    // The newest of the parent's directory changes that was received.
	differsSince   time.Time // Since when the parent's directory differs; zero if it does not.
	stop           chan struct{}
}

// NewClient returns a client that keeps hub up to date.
func NewClient(c ClientConfig, hub *Hub) *Client {
	client := &Client{config: c, hub: hub, clients: map[string]*peer.Client{}, parentChange: make(chan struct{}), stop: make(chan struct{})}
	client.SetSources(c.Sources)
	client.minRevision = witness.NewClient(witness.Config{Host: c.Host, Witnesses: c.MinRevision.Witnesses, Call: client.Call})
	return client
}

// SetSources replaces the addresses of the source replicas from the settings.
// Those that a parent sends are used as well, and preferred.
func (c *Client) SetSources(addresses []string) { c.seeds.Store(&addresses) }

// Parent returns the address of the current parent, or "" if there is none yet.
func (c *Client) Parent() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parent
}

// currentParent returns the address of the current parent, and the position in
// the hub's changes when it became the parent.
func (c *Client) currentParent() (string, Cursor) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parent, c.parentCursor
}

// Stop ends the goroutines that run the client and closes its connections. It must
// be called only once.
func (c *Client) Stop() {
	close(c.stop)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// client returns the RPC client of the process at an address. The same one is
// returned each time.
func (c *Client) client(address string) *peer.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.clients[address]
	if client == nil {
		client = peer.NewClient(address, c.config.Dial, c.config.Traffic)
		c.clients[address] = client
	}
	return client
}

// Call calls an RPC method of the process at an address, over the client's
// connection to it, and waits for at most timeout.
func (c *Client) Call(address, method string, args, reply any, timeout time.Duration) error {
	return c.client(address).Call(method, args, reply, timeout)
}

// sleep waits for d. It returns false at once when the client is stopped.
func (c *Client) sleep(d time.Duration) bool { return wait.For(d, c.stop) }

// RunPull pulls from the best parent until Stop.
func (c *Client) RunPull() {
	for {
		now := c.config.Clock()
		address, wait, probe := c.choice.choose(now, c.candidates())
		if probe != "" {
			c.choice.deferForProbe(now, probe)
			go c.probe(probe)
		}
		if wait > 0 {
			if !c.sleep(wait) {
				return
			}
			continue
		}
		c.switchParent(address)
		wait, err := c.pullOnce(address)
		c.choice.recordResult(c.config.Clock(), address, err, c.config.Random())
		if !c.sleep(wait) {
			return
		}
	}
}

// probe checks whether an unreachable candidate can be reached again, and records
// the result.
func (c *Client) probe(address string) {
	err := c.client(address).Call("Feed.Notice", NoticeArgs{Host: c.config.Host, Features: c.config.Features}, &NoticeReply{}, probeTimeout)
	c.choice.recordResult(c.config.Clock(), address, err, c.config.Random())
}

// candidates returns the addresses to pull from, in order of preference: parents
// in the distribution tree, then source replicas and, while the daemon is not
// ready, its witnesses.
func (c *Client) candidates() []string {
	var all []string
	for _, r := range c.config.Shape.Parents(c.hub.View().Live(), c.config.Host, c.config.Zone) {
		all = append(all, r.Peer)
	}
	all = append(all, c.sources()...)
	if !c.hub.Ready() {
		// After a start the directory is empty. The witnesses are the only other
		// daemons whose addresses are known.
		all = append(all, c.config.MinRevision.Witnesses...)
	}
	return all
}

// sources returns the addresses of the source replicas, in order of preference:
// those that a parent sent, then those from the settings.
func (c *Client) sources() []string {
	all := directory.PreferSources(c.hub.Sources(), c.config.Host, c.config.Zone)
	var seeds []directory.Source
	for _, address := range *c.seeds.Load() {
		seeds = append(seeds, directory.Source{Address: address})
	}
	for _, address := range directory.PreferSources(seeds, c.config.Host, c.config.Zone) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// switchParent makes address the parent and, in the background, reports to the
// old one that this daemon leaves.
func (c *Client) switchParent(address string) {
	c.mutex.Lock()
	old := c.parent
	if old == address {
		c.mutex.Unlock()
		return
	}
	c.parent = address
	close(c.parentChange)
	c.parentChange = make(chan struct{})
	c.parentCursor = c.hub.recordsCursor()
	c.mutex.Unlock()
	c.parentInstance, c.parentIndex, c.differsSince = 0, 0, time.Time{}
	if old != "" {
		go c.client(old).Call("Feed.Report", ReportArgs{Host: c.config.Host, Leaving: true}, &ReportReply{}, reportTimeout)
	}
}

// errStale means that a parent replied, but that its last contact with the
// source's leader is older than staleAge.
var errStale = errors.New("feed: parent's last contact with the source's leader is too old")

// pullOnce pulls from a parent once and applies the reply. It returns how long to
// wait before the next pull.
func (c *Client) pullOnce(address string) (time.Duration, error) {
	state := c.hub.State()
	args := PullArgs{
		Host: c.config.Host, Have: state.Revision(), Digest: state.Catalog().Digest(),
		Instance: c.parentInstance, Index: c.parentIndex, Records: c.hub.RecordsDigest(), Wait: pullWait,
		Sources: directory.DigestSources(c.hub.Sources()), Features: c.config.Features,
	}
	if !directory.HasSourceIn(c.hub.Sources(), c.config.Zone) {
		args.Zone = c.config.Zone
	}
	if c.wantsFull() {
		args.Have = 0
	}
	sent := c.hub.config.BootClock()
	args.FreshnessAge = c.hub.keyedFreshnessAge(sent)
	if c.parentInstance == 0 {
		args.Wait = 0 // The parent's instance is needed first.
	}
	var reply PullReply
	if err := c.client(address).Call("Feed.Pull", args, &reply, pullTimeout); err != nil {
		return 0, err
	}
	c.noteWithheld(reply.Withheld)
	if reply.Elsewhere {
		c.hub.SetSources(reply.Sources)
		return 0, nil
	}
	now := c.config.Clock()
	c.hub.MergeRecords(now, address, reply.Records...)
	c.hub.SetLastContact(now.Add(-reply.Age))
	if reply.Age <= staleAge {
		c.hub.SetSources(reply.Sources)
	}
	known := c.parentInstance == reply.Instance
	c.parentInstance, c.parentIndex = reply.Instance, reply.Index
	if !known && c.config.OnParent != nil {
		c.config.OnParent(address)
	}
	delta, err := reply.delta()
	if err != nil {
		return 0, err
	}
	if delta != nil && !c.apply(*delta) {
		return rejectedDelay, nil
	}
	if reply.Busy == 0 && !c.wantsFull() {
		c.hub.setConfirmedAt(now.Add(-reply.Age))
	}
	c.recordFreshness(sent, &reply)
	if err := c.repair(now, address, known, reply.Digest); err != nil {
		c.parentInstance = 0 // Treat the next reply as the first, which repairs again.
		return 0, err
	}
	if reply.Age > staleAge {
		return reply.Busy, errStale
	}
	return reply.Busy, nil
}

// repairDelay is how long a known parent's directory may differ before the two are
// reconciled. Changes in transit make them differ for a short time. Package source
// has the same delay between two source replicas.
const repairDelay = 5 * time.Second

// repair reconciles the directory with that of a parent if they differ, and the
// parent is not yet known or has differed for repairDelay. digest is the digest of
// the parent's directory.
func (c *Client) repair(now time.Time, address string, known bool, digest directory.Digest) error {
	if digest == c.hub.RecordsDigest() {
		c.differsSince = time.Time{}
		return nil
	}
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	if known && now.Sub(c.differsSince) < repairDelay {
		return nil
	}
	c.differsSince = time.Time{}
	_, err := c.hub.Reconcile(now, address, c.client(address))
	return err
}

// wantsFull reports whether the next pull must ask for the full state.
func (c *Client) wantsFull() bool {
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	return c.needsFull
}

// apply puts a delta in force, all of it or nothing. It returns false if the next
// pull should be delayed: after a full state that fails its check, or an invalid
// configuration. After an incremental delta that fails its check, the next pull
// asks for the full state.
func (c *Client) apply(d catalog.Delta) bool {
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	if d.To <= c.hub.State().Revision() {
		return true // Both the parent and the second parent may deliver it.
	}
	next, err := c.hub.State().Catalog().Apply(d)
	if err != nil {
		c.needsFull = !d.Whole
		c.hub.config.Counters.Add("feed_deltas_mismatched", 1)
		return !d.Whole
	}
	c.needsFull = false
	table, err := c.builder.Build(next.Revision(), next.Objects())
	if err != nil {
		c.hub.config.Counters.Add("revisions_refused", 1)
		if c.config.OnRejected != nil {
			c.config.OnRejected(next.Revision(), err)
		}
		return false
	}
	if missing := config.MissingFeatures(table.Requires(), c.config.Features); len(missing) > 0 {
		c.hub.config.Counters.Add("revisions_refused", 1)
		if c.config.OnRejected != nil {
			c.config.OnRejected(next.Revision(), withheldError(missing))
		}
		return false
	}
	if c.hub.serves(next.Revision()) {
		c.awaitWitnesses(next.Revision())
	}
	c.hub.Publish(next, table)
	return true
}

// recordsCursor returns a cursor after all records and before all call statistics.
func (h *Hub) recordsCursor() Cursor {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Cursor{records: h.directory.LastIndex()}
}
