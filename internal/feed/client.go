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
	pullWait          = time.Second
	pullTimeout       = 3 * time.Second
	reportTimeout     = time.Second
	minReportInterval = 50 * time.Millisecond // Between two reports.
	maxReportInterval = time.Second           // Also without news.
	refusedPause      = time.Second
	probeTimeout      = 2 * time.Second
	lastTimeout       = 200 * time.Millisecond // Of the last report of a daemon that stops.
)

// ClientConfig describes a Client.
type ClientConfig struct {
	Host    string
	Zone    string
	Sources []string // Addresses of the source's replicas.
	Shape   directory.Shape
	Clock   func() time.Time
	Random  func() float64 // A random number in [0, 1), for jitter.
	Dial    peer.Dial
	Traffic *peer.Traffic
	// OnRefused is called with a revision that does not pass the checks.
	OnRefused func(config.Revision, error)
	// OnParent is called when the daemon turns to another parent.
	OnParent    func(address string)
	MinRevision MinRevisionConfig
}

// Client pulls a daemon's configuration and directory from the best parent
// there is and reports to it. Make one with NewClient.
type Client struct {
	config      ClientConfig
	hub         *Hub
	taking      sync.Mutex // Held while a delta is put in force.
	minRevision *witness.Client
	builder     expand.Builder
	whole       bool // The next pull asks for a whole state.
	mutex       sync.Mutex
	seeds       atomic.Pointer[[]string]
	clients     map[string]*peer.Client
	parent      string // The address of the present parent.
	since       Cursor // Where the hub was when it became the parent.
	choice      parentChoice

	instance uint64 // Of the parent, with the index known of it.
	index    uint64
	differs  time.Time // Since when the parent's directory has differed.
	stop     chan struct{}
}

// NewClient returns a child that keeps hub up to date.
func NewClient(c ClientConfig, hub *Hub) *Client {
	child := &Client{config: c, hub: hub, clients: map[string]*peer.Client{}, stop: make(chan struct{})}
	child.SetSources(c.Sources)
	child.minRevision = witness.NewClient(witness.Config{Host: c.Host, Witnesses: c.MinRevision.Witnesses, Call: child.Call})
	return child
}

// SetSources replaces the addresses of the source's replicas that the settings
// name. Those that a parent tells of are used besides.
func (c *Client) SetSources(addresses []string) { c.seeds.Store(&addresses) }

// Parent returns the address of the present parent.
func (c *Client) Parent() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parent
}

func (c *Client) parentSince() (string, Cursor) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parent, c.since
}

// Stop ends the duties.
func (c *Client) Stop() {
	close(c.stop)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.clients {
		one.Close()
	}
}

func (c *Client) client(address string) *peer.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	one := c.clients[address]
	if one == nil {
		one = peer.NewClient(address, c.config.Dial, c.config.Traffic)
		c.clients[address] = one
	}
	return one
}

// Call calls a method of the process at an address, over the connection that
// the child keeps to it.
func (c *Client) Call(address, method string, args, reply any, timeout time.Duration) error {
	return c.client(address).Call(method, args, reply, timeout)
}

func (c *Client) pause(d time.Duration) bool { return wait.For(d, c.stop) }

// RunPull pulls until Stop.
func (c *Client) RunPull() {
	for {
		now := c.config.Clock()
		address, wait, probe := c.choice.choose(now, c.candidates())
		if probe != "" {
			c.choice.probing(now, probe)
			go c.probe(probe)
		}
		if wait > 0 {
			if !c.pause(wait) {
				return
			}
			continue
		}
		c.switchParent(address)
		wait, err := c.pullOnce(address)
		c.choice.result(c.config.Clock(), address, err, c.config.Random())
		if !c.pause(wait) {
			return
		}
	}
}

// probe finds out whether a candidate that could not be reached can be now.
func (c *Client) probe(address string) {
	err := c.client(address).Call("Feed.Notice", NoticeArgs{Host: c.config.Host}, &NoticeReply{}, probeTimeout)
	c.choice.result(c.config.Clock(), address, err, c.config.Random())
}

// candidates returns the addresses to pull from, best first.
func (c *Client) candidates() []string {
	var all []string
	for _, r := range c.config.Shape.Parents(c.hub.View().Live(), c.config.Host, c.config.Zone) {
		all = append(all, r.Peer)
	}
	all = append(all, c.sources()...)
	if !c.hub.Ready() {
		// A daemon that has just started knows no other daemons.
		all = append(all, c.config.MinRevision.Witnesses...)
	}
	return all
}

// sources returns the addresses of the source's replicas, best first: those
// that were told lately, then those from the settings.
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

// switchParent makes address the parent and takes leave of the old one.
func (c *Client) switchParent(address string) {
	c.mutex.Lock()
	old := c.parent
	if old == address {
		c.mutex.Unlock()
		return
	}
	c.parent = address
	c.since = c.hub.recordsNow()
	c.mutex.Unlock()
	c.instance, c.index, c.differs = 0, 0, time.Time{}
	if old != "" {
		go c.client(old).Call("Feed.Report", ReportArgs{Host: c.config.Host, Leaving: true}, &ReportReply{}, reportTimeout)
	}
}

var errStale = errors.New("feed: the parent has not heard of the source's leader lately")

// pullOnce asks a parent once. It returns how long to wait before the next
// pull.
func (c *Client) pullOnce(address string) (time.Duration, error) {
	state := c.hub.State()
	args := PullArgs{
		Host: c.config.Host, Have: state.Revision(), Digest: state.Catalog().Digest(),
		Instance: c.instance, Index: c.index, Records: c.hub.RecordsDigest(), Wait: pullWait,
		Sources: directory.DigestSources(c.hub.Sources()),
	}
	if !directory.HasSourceIn(c.hub.Sources(), c.config.Zone) {
		args.Zone = c.config.Zone
	}
	if c.wantsWhole() {
		args.Have = 0
	}
	if c.instance == 0 {
		args.Wait = 0 // Meet the parent first.
	}
	var reply PullReply
	if err := c.client(address).Call("Feed.Pull", args, &reply, pullTimeout); err != nil {
		return 0, err
	}
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
	met := c.instance == reply.Instance
	c.instance, c.index = reply.Instance, reply.Index
	if !met && c.config.OnParent != nil {
		c.config.OnParent(address)
	}
	delta, err := reply.delta()
	if err != nil {
		return 0, err
	}
	if delta != nil && !c.take(*delta) {
		return refusedPause, nil
	}
	if err := c.repair(now, address, met, reply.Digest); err != nil {
		c.instance = 0 // The parent is still to be met.
		return 0, err
	}
	if reply.Age > staleAge {
		return reply.Busy, errStale
	}
	return reply.Busy, nil
}

// repairDelay is how long a parent's directory may differ before the two are
// compared. News on their way make them differ for a moment.
const repairDelay = 5 * time.Second

// repair compares the directory with that of a parent that was not met before,
// or that has differed for long.
func (c *Client) repair(now time.Time, address string, met bool, digest directory.Digest) error {
	if digest == c.hub.RecordsDigest() {
		c.differs = time.Time{}
		return nil
	}
	if c.differs.IsZero() {
		c.differs = now
	}
	if met && now.Sub(c.differs) < repairDelay {
		return nil
	}
	c.differs = time.Time{}
	_, err := c.hub.Reconcile(now, address, c.client(address))
	return err
}

func (c *Client) wantsWhole() bool {
	c.taking.Lock()
	defer c.taking.Unlock()
	return c.whole
}

// take puts a delta in force, all of it or nothing.
func (c *Client) take(d catalog.Delta) bool {
	c.taking.Lock()
	defer c.taking.Unlock()
	if d.To <= c.hub.State().Revision() {
		return true // The other parent was faster.
	}
	next, err := c.hub.State().Catalog().Apply(d)
	if err != nil {
		c.whole = !d.Whole
		c.hub.config.Counters.Add("feed_deltas_mismatched", 1)
		return !d.Whole
	}
	c.whole = false
	table, err := c.builder.Build(next.Revision(), next.Objects())
	if err != nil {
		c.hub.config.Counters.Add("revisions_refused", 1)
		if c.config.OnRefused != nil {
			c.config.OnRefused(next.Revision(), err)
		}
		return false
	}
	if c.hub.serves(next.Revision()) {
		c.confirm(next.Revision())
	}
	c.hub.Publish(next, table)
	return true
}

// RunReport tells the parent what changed at and below this daemon.
func (c *Client) RunReport() {
	var cursor Cursor
	last := ""
	for c.pause(minReportInterval) {
		wake := c.hub.Changed()
		parent, since := c.parentSince()
		if parent != last {
			// Records that the new parent lacks are found by comparing; all
			// evidence is told anew.
			cursor = since
			last = parent
		}
		if parent != "" {
			cursor = c.reportOnce(parent, cursor)
		}
		t := time.NewTimer(maxReportInterval)
		select {
		case <-c.stop:
		case <-wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// ReportNow tells the parent what this daemon says of itself, however lately it
// changed. It is for daemons that are about to stop.
func (c *Client) ReportNow() {
	parent, _ := c.parentSince()
	own, ok := c.hub.Record(c.config.Host)
	if parent == "" || !ok {
		return
	}
	args := ReportArgs{Host: c.config.Host, Ack: c.hub.Ack(), Records: []directory.Record{own}}
	if err := c.client(parent).Call("Feed.Report", args, &ReportReply{}, lastTimeout); err != nil {
		c.hub.config.Counters.Add("feed_last_reports_failed", 1)
	}
}

func (c *Client) reportOnce(parent string, cursor Cursor) Cursor {
	records, reports, next := c.hub.ChangesFor(parent, cursor)
	args := ReportArgs{Host: c.config.Host, Ack: c.hub.Ack(), Records: records, Reports: reports}
	if c.client(parent).Call("Feed.Report", args, &ReportReply{}, reportTimeout) != nil {
		return cursor
	}
	return next
}

// recordsNow returns a cursor behind all records and before all evidence.
func (h *Hub) recordsNow() Cursor {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Cursor{records: h.directory.Last()}
}
