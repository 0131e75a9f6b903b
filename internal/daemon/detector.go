package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	// probeInterval is the mean time between two probes. Each wait is random,
	// between a half and one and a half times as long.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxIndirectProbes is how many other daemons probe an unreachable daemon. If
	// the fleet has lost half of its hosts, at least one of the 5 is alive in 31 of
	// 32 cases.
	maxIndirectProbes = 5
	// indirectProbeTimeout is how long to wait for the results of indirect probes:
	// a little longer than the prober's own ping may take. Later results are
	// ignored.
	indirectProbeTimeout = probeTimeout + 200*time.Millisecond
	// maxProbeConnections is how many connections stay open for probes. A new one
	// beyond that replaces an arbitrary one.
	maxProbeConnections = 32
	// remoteProbeFraction is the fraction of probes that go to a daemon of another
	// data centre, so that the loss of all daemons of a data centre is detected.
	remoteProbeFraction = 0.2
)

// detector is the state of the failure detector.
type detector struct {
	mutex    sync.Mutex              // Guards the fields below.
	clients  map[string]*peer.Client // By peer address.
	suspects map[string]bool         // Hosts that Suspect is having probed; not those of pingOrConfirm.
}

// probeClient returns the client for a peer address and connects one if there is
// none.
func (d *Daemon) probeClient(address string) *peer.Client {
	d.detector.mutex.Lock()
	defer d.detector.mutex.Unlock()
	c := d.detector.clients[address]
	if c == nil {
		for other, old := range d.detector.clients {
			if len(d.detector.clients) < maxProbeConnections {
				break
			}
			old.Close()
			delete(d.detector.clients, other)
		}
		c = peer.NewClient(address, d.config.Dial, &d.traffic)
		d.detector.clients[address] = c
	}
	return c
}

// PingArgs is the request of Watch.Ping.
type PingArgs struct{}

// PingReply is the reply of Watch.Ping. Host is the daemon that replied, which may
// differ from the expected one if an address was reused.
type PingReply struct{ Host string }

// ProbeArgs is the request of Watch.Probe: the peer address and host of the
// daemon to ping.
type ProbeArgs struct{ Address, Host string }

// ProbeReply is the reply of Watch.Probe. Reached is true if that daemon replied.
type ProbeReply struct{ Reached bool }

// probeService is the RPC service "Watch", which replies to other daemons' probes.
type probeService struct{ daemon *Daemon }

// Ping replies with the name of this host.
func (s *probeService) Ping(_ PingArgs, reply *PingReply) error {
	reply.Host = s.daemon.config.Host
	return nil
}

// Probe pings the daemon in args on behalf of a daemon that could not reach it.
func (s *probeService) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.daemon.ping(args.Address, args.Host)
	return nil
}

// ping reports whether the daemon of host replies at a peer address within
// probeTimeout.
func (d *Daemon) ping(address, host string) bool {
	var reply PingReply
	err := d.probeClient(address).Call("Watch.Ping", PingArgs{}, &reply, probeTimeout)
	return err == nil && reply.Host == host
}

// runDetector probes one random daemon per interval until the daemon stops. So each
// daemon is probed by several others, and the load of a daemon does not grow with
// the fleet.
func (d *Daemon) runDetector() {
	for d.pause(time.Duration((0.5 + d.config.Random()) * float64(probeInterval))) {
		others := d.probeCandidates()
		if len(others) == 0 {
			continue
		}
		d.pingOrConfirm(others[int(d.config.Random()*float64(len(others)))])
	}
}

// probeCandidates returns the daemons from which the next one to probe is chosen:
// those of this daemon's data centre, or at times those of the others.
func (d *Daemon) probeCandidates() []directory.Record {
	var sameZone, otherZones []directory.Record
	for _, r := range d.hub.View().Live() {
		switch {
		case r.Host == d.config.Host:
		case r.Zone == d.config.Zone:
			sameZone = append(sameZone, r)
		default:
			otherZones = append(otherZones, r)
		}
	}
	if len(sameZone) == 0 || (len(otherZones) > 0 && d.config.Random() < remoteProbeFraction) {
		return otherZones
	}
	return sameZone
}

// pingOrConfirm pings a daemon and calls confirmFailure if it does not reply.
func (d *Daemon) pingOrConfirm(r directory.Record) {
	if !d.ping(r.Peer, r.Host) {
		d.confirmFailure(r)
	}
}

// Suspect starts indirect probes of a host that acknowledged nothing of a call, and
// declares its daemon gone if other daemons cannot reach it either. So, within about
// a second, all outbound proxies stop calling a host that lost power; otherwise each
// of them would lose a call to it first. It does not block.
func (d *Daemon) Suspect(host string) {
	r, ok := d.hub.Record(host)
	if !ok || r.Gone || host == d.config.Host {
		return
	}
	d.detector.mutex.Lock()
	pending := d.detector.suspects[host]
	d.detector.suspects[host] = true
	d.detector.mutex.Unlock()
	if pending {
		return
	}
	d.config.Counters.Add("hosts_suspected", 1)
	go func() {
		d.confirmFailure(r)
		d.detector.mutex.Lock()
		delete(d.detector.suspects, host)
		d.detector.mutex.Unlock()
	}()
}

// confirmFailure declares a daemon gone that this one could not reach, if others
// cannot reach it either.
func (d *Daemon) confirmFailure(r directory.Record) {
	liveness := directory.AssessLiveness(false, d.probeIndirectly(r))
	d.config.Counters.Add("probes_missed", 1)
	if liveness == directory.Suspect {
		d.config.Counters.Add("probes_doubted", 1)
	}
	if liveness != directory.Gone {
		return
	}
	now := d.config.Clock()
	if _, ok := d.hub.MarkGone(now, r.Host, r.Incarnation); ok {
		d.config.Counters.Add("daemons_gone", 1)
		d.config.Logger.Log("msg", "declared a daemon gone: no reply to direct and indirect probes", "host", r.Host, "incarnation", r.Incarnation)
		d.config.Events.Add(now, event.Event{Kind: "daemon-gone", Subject: r.Host, Text: "answers neither this daemon nor others"})
	}
}

// probeIndirectly lets random other daemons probe suspect, which this one could not
// reach. It returns the results that arrive within indirectProbeTimeout.
func (d *Daemon) probeIndirectly(suspect directory.Record) []directory.ProbeResult {
	var probers []directory.Record
	for _, r := range d.hub.View().Live() {
		if r.Host != d.config.Host && r.Host != suspect.Host {
			probers = append(probers, r)
		}
	}
	results := make(chan directory.ProbeResult, maxIndirectProbes)
	started := 0
	for ; started < maxIndirectProbes && len(probers) > 0; started++ {
		i := int(d.config.Random() * float64(len(probers)))
		prober := probers[i]
		probers = append(probers[:i], probers[i+1:]...)
		go func() { results <- d.probeThrough(prober, suspect) }()
	}
	var all []directory.ProbeResult
	timer := time.NewTimer(indirectProbeTimeout)
	defer timer.Stop()
	for range started {
		select {
		case result := <-results:
			all = append(all, result)
		case <-timer.C:
			return all
		}
	}
	return all
}

// probeThrough lets prober probe suspect and returns the result.
func (d *Daemon) probeThrough(prober, suspect directory.Record) directory.ProbeResult {
	var reply ProbeReply
	args := ProbeArgs{Address: suspect.Peer, Host: suspect.Host}
	err := d.probeClient(prober.Peer).Call("Watch.Probe", args, &reply, 2*probeTimeout+dialMargin)
	switch {
	case err != nil:
		return directory.ProbeNoReply
	case reply.Reached:
		return directory.ProbeReached
	default:
		return directory.ProbeFailed
	}
}

// dialMargin is the time allowed to a prober beyond the timeouts of two pings.
const dialMargin = 500 * time.Millisecond

// closeProbes closes the connections of the failure detector.
func (d *Daemon) closeProbes() {
	d.detector.mutex.Lock()
	defer d.detector.mutex.Unlock()
	for _, c := range d.detector.clients {
		c.Close()
	}
}
