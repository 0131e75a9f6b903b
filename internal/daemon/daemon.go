package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/evidence"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/floor"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Daemon is a running daemon. It is safe for concurrent use. Make one with
// Start.
type Daemon struct {
	config   Config
	hub      *feed.Hub
	child    *feed.Child
	claims   *claim.Keeper // Nil if this daemon keeps none.
	floors   *floor.Store  // Of the daemons that this one is a keeper of.
	gate     *upstream.Gate
	entry    *caller.Entry
	evidence *evidence.Counter
	charges  *charges
	brakes   brakes
	server   *peer.Server
	traffic  peer.Traffic
	watch    watcher

	caller    *front
	gateHTTP  *front
	local     *front
	addresses Addresses

	record   recordKeeper
	leaving  atomic.Bool
	stopped  atomic.Bool
	unproved atomic.Bool
	stop     chan struct{}
	duties   sync.WaitGroup
	stopOnce sync.Once
}

// Start opens the daemon's addresses and begins to serve.
func Start(c Config) (*Daemon, error) {
	c = c.withDefaults()
	now := c.Clock()
	d := &Daemon{config: c, stop: make(chan struct{})}
	incarnation := uint64(now.UnixMilli())
	d.hub = feed.NewHub(feed.HubConfig{Host: c.Host, Instance: uint64(now.UnixNano()), Counters: c.Counters, Earlier: d.resume})
	d.newKeeper()
	d.floors = floor.NewStore(d.hub.Instance())
	d.evidence = evidence.NewCounter(c.Host, incarnation)
	d.charges = newCharges()
	d.watch.clients, d.watch.suspects = map[string]*peer.Client{}, map[string]bool{}
	d.child = feed.NewChild(feed.ChildConfig{
		Host: c.Host, Zone: c.Zone, Sources: c.Sources, Shape: c.Shape,
		Clock: c.Clock, Draw: c.Draw, Dial: c.Dial, Traffic: &d.traffic,
		Refused: d.noteRefused, Parent: d.noteParent,
		Floor: feed.FloorConfig{Keepers: c.Keepers, Proved: d.noteProved},
	}, d.hub)
	d.gate = upstream.New(upstream.Config{Clock: c.Clock, Counters: c.Counters, Events: c.Events, Changed: d.renewRecord,
		NewSender: c.NewSender, Fixed: c.FixedLimit, Calls: c.Calls, CallID: c.CallID,
	})
	d.entry = caller.New(caller.Config{
		Host: c.Host, Zone: c.Zone, Clock: c.Clock, Draw: c.Draw, Ready: d.hub.Ready,
		Hub: d.hub, Gate: d.gate, Evidence: d.evidence, Counters: c.Counters,
		Charge: d.charge, Braked: d.brakes.braked, Claims: d.newTaker(incarnation),
		Retries: c.Retries, Balance: c.Balance, Calls: c.Calls, Silent: d.Suspect,
	})
	if err := d.listen(); err != nil {
		d.closeServers()
		return nil, err
	}
	d.record.init(directory.Record{
		Host: c.Host, Incarnation: incarnation, Zone: c.Zone,
		Peer: d.addresses.Peer, Gate: d.addresses.Gate, Local: d.addresses.Local,
	})
	d.renewRecord()
	d.publishGauges()
	d.startDuties()
	c.Events.Add(now, event.Event{Kind: "daemon-started", Subject: c.Host, Text: "started"})
	return d, nil
}

// listen opens all addresses, and serves those that need nothing else yet.
func (d *Daemon) listen() error {
	server, err := peer.Listen(d.config.Listen.Peer, &d.traffic)
	if err != nil {
		return err
	}
	d.server = server
	d.addresses.Peer = server.Address()
	service := feed.NewService(d.hub, d.config.Clock, nil)
	if err := server.Register("Feed", service); err != nil {
		return errs.New("daemon: %v", err)
	}
	if err := server.Register("Floor", d.floors); err != nil {
		return errs.New("daemon: %v", err)
	}
	if d.claims != nil {
		if err := server.Register("Claims", d.claims); err != nil {
			return errs.New("daemon: %v", err)
		}
	}
	if err := server.Register("Watch", &watchService{daemon: d}); err != nil {
		return errs.New("daemon: %v", err)
	}
	if d.gateHTTP, err = d.serveHTTP(d.config.Listen.Gate, d.gate); err != nil {
		return err
	}
	d.addresses.Gate = d.gateHTTP.address()
	if d.config.Listen.Caller != "" {
		if d.caller, err = d.serveHTTP(d.config.Listen.Caller, d.entry); err != nil {
			return err
		}
		d.addresses.Caller = d.caller.address()
	}
	return d.listenLocal()
}

func (d *Daemon) listenLocal() error {
	if d.config.Local == nil {
		return nil
	}
	handler, err := d.config.Local(d)
	if err != nil {
		return err
	}
	if d.local, err = d.serveHTTP(d.config.Listen.Local, handler); err != nil {
		return err
	}
	d.addresses.Local = d.local.address()
	return nil
}

// startDuties starts one goroutine for each duty.
func (d *Daemon) startDuties() {
	for _, duty := range []func(){
		d.server.Serve, d.child.RunFloor, d.child.RunKeepers, d.child.RunPull, d.child.RunSecond, d.child.RunReport,
		d.runHousekeeping, d.runWatch, d.runBrakes, d.runClaims,
	} {
		d.duties.Add(1)
		go func() {
			defer d.duties.Done()
			duty()
		}()
	}
}

func (d *Daemon) publishGauges() {
	c := d.config.Counters
	c.Gauge("control_bytes_sent", func() any { return d.traffic.Sent() })
	c.Gauge("control_bytes_received", func() any { return d.traffic.Received() })
	c.Gauge("revision", func() any { return d.hub.State().Revision() })
	d.publishClaims()
	c.Gauge("floors_kept", func() any { return d.floors.Hosts() })
	c.Gauge("ready", func() any { return d.hub.Ready() })
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Hub returns what the daemon knows and passes on.
func (d *Daemon) Hub() *feed.Hub { return d.hub }

// FloorsKept returns how many daemons' floors this one remembers.
func (d *Daemon) FloorsKept() int { return d.floors.Hosts() }

// Ready reports whether calls are served.
func (d *Daemon) Ready() bool { return d.hub.Ready() }

// Gate returns the gate of the upstreams beside the daemon.
func (d *Daemon) Gate() *upstream.Gate { return d.gate }

// Entry returns the entry, for adapters that serve callers themselves.
func (d *Daemon) Entry() *caller.Entry { return d.entry }

// Clock returns the daemon's clock.
func (d *Daemon) Clock() func() time.Time { return d.config.Clock }

// SetSources replaces the addresses of the source's replicas.
func (d *Daemon) SetSources(addresses []string) { d.child.SetSources(addresses) }

// CounterSet returns the daemon's counters, to be shown.
func (d *Daemon) CounterSet() *count.Set { return d.config.Counters }

// Counters returns the daemon's counters.
func (d *Daemon) Counters() interface{ Get(string) int64 } { return d.config.Counters }

// Events returns the daemon's part of the time line.
func (d *Daemon) Events() *event.Ring { return d.config.Events }

// Traffic returns the daemon's control traffic.
func (d *Daemon) Traffic() *peer.Traffic { return &d.traffic }

func (d *Daemon) noteRefused(r config.Revision, err error) {
	d.config.Logger.Log("msg", "revision refused", "revision", r, "err", err)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "revision-refused", Revision: r, Text: err.Error()})
}

func (d *Daemon) noteParent(address string) {
	d.config.Logger.Log("msg", "pulls from another parent", "parent", address)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "parent", Subject: d.config.Host, Text: "pulls from " + address})
}

// noteProved tells when the keepers can't be had any more, and when they can.
func (d *Daemon) noteProved(r config.Revision, ok bool) {
	if d.unproved.Swap(!ok) == !ok {
		return
	}
	kind, text := "floor-proved", "most keepers note its revisions again"
	if !ok {
		kind, text = "floor-unproved", "has a revision in force that most keepers have not noted"
	}
	d.config.Logger.Log("msg", text, "revision", r)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: d.config.Host, Revision: r, Text: text})
}

const housekeepingPause = 250 * time.Millisecond

// runHousekeeping ends leases, drops what is old, and notes new revisions.
func (d *Daemon) runHousekeeping() {
	seen := config.Revision(0)
	for d.pause(housekeepingPause) {
		now := d.config.Clock()
		d.gate.Expire(now)
		d.hub.Expire(now)
		d.entry.KeepGates(d.hub.View())
		d.correctRecord()
		if r := d.hub.State().Revision(); r > seen {
			seen = r
			d.noteInForce(now, r)
		}
	}
}

func (d *Daemon) noteInForce(now time.Time, r config.Revision) {
	d.config.Counters.Add("revisions_in_force", 1)
	d.config.Events.Add(now, event.Event{Kind: "in-force", Subject: d.config.Host, Revision: r, Text: "has the revision in force"})
}

func (d *Daemon) pause(t time.Duration) bool { return wait.For(t, d.stop) }
