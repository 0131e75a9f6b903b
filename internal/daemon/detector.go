package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// indirectProbes is how many others are asked about a daemon. Of a fleet that
	// has lost half of its hosts, one of them is alive in 31 cases of 32.
	indirectProbes = 5
	// indirectProbeTimeout is how long their answers are awaited: a little more than a
	// helper's own probe takes.
	indirectProbeTimeout = probeTimeout + 200*time.Millisecond
	// probeConnections bounds the connections kept for probing. Which of them
	// is closed for a new one does not matter.
	probeConnections = 32
	// remoteProbeFraction is how often a daemon of another data centre is probed, so that
	// a data centre whose daemons are all gone is noticed too.
	remoteProbeFraction = 0.2
)

// detector holds the connections by which a daemon probes others.
type detector struct {
	mutex    sync.Mutex
	clients  map[string]*peer.Client
	suspects map[string]bool // Hosts that others are being asked about.
}

func (d *Daemon) probeClient(address string) *peer.Client {
	d.detector.mutex.Lock()
	defer d.detector.mutex.Unlock()
	c := d.detector.clients[address]
	if c == nil {
		for other, old := range d.detector.clients {
			if len(d.detector.clients) < probeConnections {
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

// PingArgs asks for a sign of life.
type PingArgs struct{}

// PingReply names the daemon that answered.
type PingReply struct{ Host string }

// ProbeArgs asks a daemon to ping another one.
type ProbeArgs struct{ Address, Host string }

// ProbeReply tells whether it answered.
type ProbeReply struct{ Reached bool }

// probeService answers other daemons' probes.
type probeService struct{ daemon *Daemon }

// Ping gives a sign of life.
func (s *probeService) Ping(_ PingArgs, reply *PingReply) error {
	reply.Host = s.daemon.config.Host
	return nil
}

// Probe pings another daemon for one that could not reach it.
func (s *probeService) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.daemon.ping(args.Address, args.Host)
	return nil
}

func (d *Daemon) ping(address, host string) bool {
	var reply PingReply
	err := d.probeClient(address).Call("Watch.Ping", PingArgs{}, &reply, probeTimeout)
	return err == nil && reply.Host == host
}

// runDetector probes one other daemon after the other, in random order, so that
// each is watched by several and the load does not grow with the fleet.
func (d *Daemon) runDetector() {
	for d.pause(time.Duration((0.5 + d.config.Random()) * float64(probeInterval))) {
		others := d.probeCandidates()
		if len(others) == 0 {
			continue
		}
		d.probeOne(others[int(d.config.Random()*float64(len(others)))])
	}
}

// probeCandidates returns the daemons to choose a probe from.
func (d *Daemon) probeCandidates() []directory.Record {
	var near, away []directory.Record
	for _, r := range d.hub.View().Live() {
		switch {
		case r.Host == d.config.Host:
		case r.Zone == d.config.Zone:
			near = append(near, r)
		default:
			away = append(away, r)
		}
	}
	if len(near) == 0 || (len(away) > 0 && d.config.Random() < remoteProbeFraction) {
		return away
	}
	return near
}

func (d *Daemon) probeOne(r directory.Record) {
	if !d.ping(r.Peer, r.Host) {
		d.confirmFailure(r)
	}
}

// Suspect asks others about a host that acknowledged nothing of a call, and
// declares its daemon gone if they can't reach it either. So all entries know
// within about a second of a host that lost power; each by itself would lose a
// call to it first. It returns at once.
func (d *Daemon) Suspect(host string) {
	r, ok := d.hub.Record(host)
	if !ok || r.Gone || host == d.config.Host {
		return
	}
	d.detector.mutex.Lock()
	asked := d.detector.suspects[host]
	d.detector.suspects[host] = true
	d.detector.mutex.Unlock()
	if asked {
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

// confirmFailure declares a daemon that this one can't reach gone, if others can't
// either.
func (d *Daemon) confirmFailure(r directory.Record) {
	verdict := directory.AssessLiveness(false, d.probeIndirectly(r))
	d.config.Counters.Add("probes_missed", 1)
	if verdict == directory.Suspect {
		d.config.Counters.Add("probes_doubted", 1)
	}
	if verdict != directory.Gone {
		return
	}
	now := d.config.Clock()
	if _, ok := d.hub.MarkGone(now, r.Host, r.Incarnation); ok {
		d.config.Counters.Add("daemons_gone", 1)
		d.config.Logger.Log("msg", "declares a daemon gone", "host", r.Host, "incarnation", r.Incarnation)
		d.config.Events.Add(now, event.Event{Kind: "daemon-gone", Subject: r.Host, Text: "answers neither this daemon nor others"})
	}
}

// probeIndirectly has others probe a daemon that this one could not reach.
func (d *Daemon) probeIndirectly(suspect directory.Record) []directory.ProbeResult {
	var helpers []directory.Record
	for _, r := range d.hub.View().Live() {
		if r.Host != d.config.Host && r.Host != suspect.Host {
			helpers = append(helpers, r)
		}
	}
	answers := make(chan directory.ProbeResult, indirectProbes)
	asked := 0
	for ; asked < indirectProbes && len(helpers) > 0; asked++ {
		i := int(d.config.Random() * float64(len(helpers)))
		helper := helpers[i]
		helpers = append(helpers[:i], helpers[i+1:]...)
		go func() { answers <- d.probeThrough(helper, suspect) }()
	}
	var all []directory.ProbeResult
	timer := time.NewTimer(indirectProbeTimeout)
	defer timer.Stop()
	for range asked {
		select {
		case a := <-answers:
			all = append(all, a)
		case <-timer.C:
			return all
		}
	}
	return all
}

func (d *Daemon) probeThrough(helper, suspect directory.Record) directory.ProbeResult {
	var reply ProbeReply
	args := ProbeArgs{Address: suspect.Peer, Host: suspect.Host}
	err := d.probeClient(helper.Peer).Call("Watch.Probe", args, &reply, 2*probeTimeout+dialSlack)
	switch {
	case err != nil:
		return directory.ProbeNoReply
	case reply.Reached:
		return directory.ProbeReached
	default:
		return directory.ProbeFailed
	}
}

// dialSlack is what a helper may need beyond its own time-out.
const dialSlack = 500 * time.Millisecond

func (d *Daemon) closeProbes() {
	d.detector.mutex.Lock()
	defer d.detector.mutex.Unlock()
	for _, c := range d.detector.clients {
		c.Close()
	}
}
