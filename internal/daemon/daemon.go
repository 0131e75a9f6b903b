package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/internal/witness"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Daemon is a running daemon. It is safe for concurrent use. Create one with
// Start and end it with Leave or Stop.
type Daemon struct {
	config     Config
	hub        *feed.Hub
	feedClient *feed.Client
	claims     *claim.Service   // Nil if this daemon is no claim replica.
	witness    *witness.Service // Minimum revisions of other daemons.
	inbound    *upstream.Proxy
	outbound   *caller.Proxy
	callStats  *callstats.Counter
	quotas     *quotas
	teamQuota  *teamQuota
	breakers   breakers
	server     *peer.Server
	traffic    peer.Traffic
	detector   detector

	outboundServer *httpServer
	inboundServer  *httpServer
	localServer    *httpServer
	addresses      Addresses

	record      ownRecord
	startedAt   time.Time
	leaving     atomic.Bool
	stopped     atomic.Bool
	unconfirmed atomic.Bool
	keysExpired atomic.Bool // What recordKeyValidity has recorded last.
	stop        chan struct{}
	background  sync.WaitGroup
	stopOnce    sync.Once
}

// Start opens the daemon's listeners and starts its goroutines. On an error,
// all listeners are closed again.
func Start(c Config) (*Daemon, error) {
	c = c.withDefaults()
	now := c.Clock()
	d := &Daemon{config: c, startedAt: now, stop: make(chan struct{})}
	// The incarnation orders the records of this host; the instance differs each
	// time the process starts.
	incarnation := uint64(now.UnixMilli())
	d.hub = feed.NewHub(feed.HubConfig{Host: c.Host, Instance: uint64(now.UnixNano()), Counters: c.Counters, OnOwnRecord: d.resume,
		Features: c.Features, OnWithheld: d.recordWithheld, BootClock: c.BootClock})
	d.newClaimService()
	d.witness = witness.NewService(d.hub.Instance())
	d.callStats = callstats.NewCounter(c.Host, incarnation)
	d.quotas = newQuotas()
	d.newTeamQuota()
	d.detector.clients, d.detector.suspects = map[string]*peer.Client{}, map[string]bool{}
	d.feedClient = feed.NewClient(feed.ClientConfig{
		Host: c.Host, Zone: c.Zone, Sources: c.Sources, Shape: c.Shape,
		Clock: c.Clock, Random: c.Random, Dial: c.Dial, Traffic: &d.traffic,
		Features: c.Features, OnWithheld: d.recordOwnWithheld, OnRejected: d.recordRejectedRevision, OnParent: d.recordParent,
		MinRevision: feed.MinRevisionConfig{Witnesses: c.Witnesses, OnConfirmation: d.recordConfirmation}, OnRetirements: d.setRetirements,
	}, d.hub)
	d.inbound = upstream.New(upstream.Config{Clock: c.Clock, Counters: c.Counters, Events: c.Events, OnChange: d.renewRecord,
		NewSender: c.NewSender, FixedLimit: c.FixedLimit, CallLog: c.CallLog, CallID: c.CallID, AwaitRetirements: true,
		IsService: func(name string) bool {
			_, ok := d.hub.State().Table().Service(name)
			return ok
		},
		Table:     func() *expand.Table { return d.hub.State().Table() },
		KeysValid: d.keysValid,
	})
	d.outbound = caller.New(caller.Config{
		Host: c.Host, Zone: c.Zone, Clock: c.Clock, Random: c.Random, Ready: d.hub.Ready,
		Hub: d.hub, Inbound: d.inbound, CallStats: d.callStats, Counters: c.Counters,
		TakeQuota: d.takeQuota, Blocked: d.breakers.open, Moves: c.Policy, Claims: d.newClaimClient(incarnation),
		Retries: c.Retries, Balance: c.Balance, CallLog: c.CallLog, OnUnresponsive: d.Suspect,
		TeamHeader: c.TeamHeader, KeysValid: d.keysValid, Limiter: d.TeamLimiter(),
	})
	if err := d.listen(); err != nil {
		d.closeServers()
		return nil, err
	}
	d.record.init(directory.Record{
		Host: c.Host, Incarnation: incarnation, Zone: c.Zone,
		Peer: d.addresses.Peer, Gate: d.addresses.Inbound, Local: d.addresses.Local,
		Features: c.Features,
	})
	d.renewRecord()
	d.publishGauges()
	d.startBackground()
	c.Events.Add(now, event.Event{Kind: "daemon-started", Subject: c.Host, Text: "started"})
	return d, nil
}

// listen opens all listeners, registers the RPC services and starts the HTTP
// servers. The RPC server starts with startBackground.
func (d *Daemon) listen() error {
	server, err := peer.Listen(d.config.Listen.Peer, &d.traffic)
	if err != nil {
		return err
	}
	d.server = server
	d.addresses.Peer = server.Address()
	service := feed.NewService(d.hub, d.config.Clock, nil)
	if err := server.Register("Feed", service); err != nil {
		return errs.New("daemon: register service Feed: %v", err)
	}
	if err := server.Register("Floor", d.witness); err != nil {
		return errs.New("daemon: register service Floor: %v", err)
	}
	if d.claims != nil {
		if err := server.Register("Claims", d.claims); err != nil {
			return errs.New("daemon: register service Claims: %v", err)
		}
	}
	if err := server.Register("Watch", &probeService{daemon: d}); err != nil {
		return errs.New("daemon: register service Watch: %v", err)
	}
	if d.inboundServer, err = d.serveHTTP(d.config.Listen.Inbound, d.inbound); err != nil {
		return err
	}
	d.addresses.Inbound = d.inboundServer.address()
	if d.config.Listen.Outbound != "" {
		if d.outboundServer, err = d.serveHTTP(d.config.Listen.Outbound, d.outbound); err != nil {
			return err
		}
		d.addresses.Outbound = d.outboundServer.address()
	}
	return d.listenLocal()
}

// listenLocal starts the HTTP server of the local address if there is a handler for
// it.
func (d *Daemon) listenLocal() error {
	if d.config.NewLocalHandler == nil {
		return nil
	}
	handler, err := d.config.NewLocalHandler(d)
	if err != nil {
		return err
	}
	if d.localServer, err = d.serveHTTP(d.config.Listen.Local, handler); err != nil {
		return err
	}
	d.addresses.Local = d.localServer.address()
	return nil
}

// startBackground starts the background goroutines. They end when the daemon
// stops.
func (d *Daemon) startBackground() {
	for _, run := range []func(){
		d.server.Serve, d.feedClient.RunMinRevision, d.feedClient.RunWitnesses, d.feedClient.RunPull, d.feedClient.RunSecondParent, d.feedClient.RunFreshness, d.feedClient.RunReport,
		d.runHousekeeping, d.runDetector, d.runBreakers, d.syncClaims, d.runTeamQuota,
	} {
		d.background.Add(1)
		go func() {
			defer d.background.Done()
			run()
		}()
	}
}

// publishGauges registers the gauges of the daemon.
func (d *Daemon) publishGauges() {
	c := d.config.Counters
	c.Gauge("control_bytes_sent", func() any { return d.traffic.Sent() })
	c.Gauge("control_bytes_received", func() any { return d.traffic.Received() })
	c.Gauge("revision", func() any { return d.hub.State().Revision() })
	d.publishClaimGauges()
	c.Gauge("floors_kept", func() any { return d.witness.HostCount() })
	c.Gauge("ready", func() any { return d.hub.Ready() })
	c.Gauge("configuration_age_ms", func() any { return d.freshnessAgeMillis() })
}

// Addresses returns the addresses that the daemon listens on, with the ports that
// the system chose where the configuration has port 0.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Hub returns the daemon's shared state: configuration in force, directory, call
// statistics and acknowledgements.
func (d *Daemon) Hub() *feed.Hub { return d.hub }

// WitnessedHosts returns the number of daemons whose minimum revision this one
// remembers as a witness.
func (d *Daemon) WitnessedHosts() int { return d.witness.HostCount() }

// Ready reports whether the configuration in force reaches the daemon's minimum
// revision, so that it serves calls.
func (d *Daemon) Ready() bool { return d.hub.Ready() }

// Inbound returns the inbound proxy of the local upstreams.
func (d *Daemon) Inbound() *upstream.Proxy { return d.inbound }

// Outbound returns the outbound proxy, for packages that serve callers with an HTTP
// server of their own.
func (d *Daemon) Outbound() *caller.Proxy { return d.outbound }

// Clock returns the clock from the configuration, never nil.
func (d *Daemon) Clock() func() time.Time { return d.config.Clock }

// SetSources replaces the peer addresses of the source's replicas.
func (d *Daemon) SetSources(addresses []string) { d.feedClient.SetSources(addresses) }

// CounterSet returns the daemon's counters with the handlers that show them.
func (d *Daemon) CounterSet() *count.Set { return d.config.Counters }

// Counters returns the same counters as CounterSet, only for reading by name.
func (d *Daemon) Counters() interface{ Get(string) int64 } { return d.config.Counters }

// Events returns the ring of the daemon's newest events.
func (d *Daemon) Events() *event.Ring { return d.config.Events }

// Traffic returns the byte counts of the daemon's RPC connections to other processes.
func (d *Daemon) Traffic() *peer.Traffic { return &d.traffic }

// recordRejectedRevision logs and adds an event for a revision that failed the checks
// and is not put in force.
func (d *Daemon) recordRejectedRevision(r config.Revision, err error) {
	d.config.Logger.Log("msg", "revision rejected", "revision", r, "err", err)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "revision-refused", Revision: r, Text: err.Error()})
}

// recordParent logs and adds an event that the daemon pulls from a new parent.
func (d *Daemon) recordParent(address string) {
	d.config.Logger.Log("msg", "pulling from a new parent", "parent", address)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "parent", Subject: d.config.Host, Text: "pulls from " + address})
}

// recordConfirmation logs and adds an event when a majority of witnesses stops or
// resumes recording the revisions that this daemon puts in force. Repeated calls with
// the same outcome log nothing. The texts call the witnesses keepers, as the settings
// do.
func (d *Daemon) recordConfirmation(r config.Revision, confirmed bool) {
	if d.unconfirmed.Swap(!confirmed) == !confirmed {
		return
	}
	kind, text := "floor-proved", "most keepers note its revisions again"
	if !confirmed {
		kind, text = "floor-unproved", "has a revision in force that most keepers have not noted"
	}
	d.config.Logger.Log("msg", text, "revision", r)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: d.config.Host, Revision: r, Text: text})
}

// housekeepingInterval is the time between two rounds of runHousekeeping.
const housekeepingInterval = 250 * time.Millisecond

// runHousekeeping ends expired leases, removes old directory records, closes idle
// connections to leaving daemons, corrects this daemon's own record, and records new
// revisions in force and whether API keys are accepted, until the daemon stops.
func (d *Daemon) runHousekeeping() {
	newest := config.Revision(0)
	for d.pause(housekeepingInterval) {
		now := d.config.Clock()
		d.inbound.Expire(now)
		d.releaseAnnouncements(now)
		d.hub.Expire(now)
		d.outbound.PruneConnections(d.hub.View())
		d.correctRecord()
		d.keysValid()
		if r := d.hub.State().Revision(); r > newest {
			newest = r
			d.recordInForce(now, r)
		}
	}
}

// recordInForce counts and adds an event for a revision that came into force.
func (d *Daemon) recordInForce(now time.Time, r config.Revision) {
	d.config.Counters.Add("revisions_in_force", 1)
	d.config.Events.Add(now, event.Event{Kind: "in-force", Subject: d.config.Host, Revision: r, Text: "has the revision in force"})
}

// pause waits for t. It returns false as soon as the daemon stops.
func (d *Daemon) pause(t time.Duration) bool { return wait.For(t, d.stop) }
