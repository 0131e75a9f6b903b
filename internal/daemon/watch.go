package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	watchPause   = time.Second
	probeTimeout = 500 * time.Millisecond
	// helperCount is how many others are asked about a daemon. Of a fleet that
	// has lost half of its hosts, one of them is alive in 31 cases of 32.
	helperCount = 5
	// helperMost is how long their answers are awaited: a little more than a
	// helper's own probe takes.
	helperMost = probeTimeout + 200*time.Millisecond
	// probeConnections bounds the connections kept for probing. Which of them
	// is closed for a new one does not matter.
	probeConnections = 32
	// awayPart is how often a daemon of another data centre is probed, so that
	// a data centre whose daemons are all gone is noticed too.
	awayPart = 0.2
)

// watcher holds the connections by which a daemon probes others.
type watcher struct {
	mutex    sync.Mutex
	clients  map[string]*peer.Client
	suspects map[string]bool // Hosts that others are being asked about.
}

func (d *Daemon) probeClient(address string) *peer.Client {
	d.watch.mutex.Lock()
	defer d.watch.mutex.Unlock()
	c := d.watch.clients[address]
	if c == nil {
		for other, old := range d.watch.clients {
			if len(d.watch.clients) < probeConnections {
				break
			}
			old.Close()
			delete(d.watch.clients, other)
		}
		c = peer.NewClient(address, d.config.Dial, &d.traffic)
		d.watch.clients[address] = c
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

// watchService answers other daemons' probes.
type watchService struct{ daemon *Daemon }

// Ping gives a sign of life.
func (s *watchService) Ping(_ PingArgs, reply *PingReply) error {
	reply.Host = s.daemon.config.Host
	return nil
}

// Probe pings another daemon for one that could not reach it.
func (s *watchService) Probe(args ProbeArgs, reply *ProbeReply) error {
	reply.Reached = s.daemon.ping(args.Address, args.Host)
	return nil
}

func (d *Daemon) ping(address, host string) bool {
	var reply PingReply
	err := d.probeClient(address).Call("Watch.Ping", PingArgs{}, &reply, probeTimeout)
	return err == nil && reply.Host == host
}

// runWatch probes one other daemon after the other, in random order, so that
// each is watched by several and the load does not grow with the fleet.
func (d *Daemon) runWatch() {
	for d.pause(time.Duration((0.5 + d.config.Draw()) * float64(watchPause))) {
		others := d.others()
		if len(others) == 0 {
			continue
		}
		d.watchOne(others[int(d.config.Draw()*float64(len(others)))])
	}
}

// others returns the daemons to choose a probe from.
func (d *Daemon) others() []directory.Record {
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
	if len(near) == 0 || (len(away) > 0 && d.config.Draw() < awayPart) {
		return away
	}
	return near
}

func (d *Daemon) watchOne(r directory.Record) {
	if !d.ping(r.Peer, r.Host) {
		d.judge(r)
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
	d.watch.mutex.Lock()
	asked := d.watch.suspects[host]
	d.watch.suspects[host] = true
	d.watch.mutex.Unlock()
	if asked {
		return
	}
	d.config.Counters.Add("hosts_suspected", 1)
	go func() {
		d.judge(r)
		d.watch.mutex.Lock()
		delete(d.watch.suspects, host)
		d.watch.mutex.Unlock()
	}()
}

// judge declares a daemon that this one can't reach gone, if others can't
// either.
func (d *Daemon) judge(r directory.Record) {
	verdict := directory.Judge(false, d.askHelpers(r))
	d.config.Counters.Add("probes_missed", 1)
	if verdict == directory.VerdictDoubt {
		d.config.Counters.Add("probes_doubted", 1)
	}
	if verdict != directory.VerdictGone {
		return
	}
	now := d.config.Clock()
	if _, ok := d.hub.MarkGone(now, r.Host, r.Incarnation); ok {
		d.config.Counters.Add("daemons_gone", 1)
		d.config.Logger.Log("msg", "declares a daemon gone", "host", r.Host, "incarnation", r.Incarnation)
		d.config.Events.Add(now, event.Event{Kind: "daemon-gone", Subject: r.Host, Text: "answers neither this daemon nor others"})
	}
}

// askHelpers has others probe a daemon that this one could not reach.
func (d *Daemon) askHelpers(suspect directory.Record) []directory.HelperAnswer {
	var helpers []directory.Record
	for _, r := range d.hub.View().Live() {
		if r.Host != d.config.Host && r.Host != suspect.Host {
			helpers = append(helpers, r)
		}
	}
	answers := make(chan directory.HelperAnswer, helperCount)
	asked := 0
	for ; asked < helperCount && len(helpers) > 0; asked++ {
		i := int(d.config.Draw() * float64(len(helpers)))
		helper := helpers[i]
		helpers = append(helpers[:i], helpers[i+1:]...)
		go func() { answers <- d.askHelper(helper, suspect) }()
	}
	var all []directory.HelperAnswer
	timer := time.NewTimer(helperMost)
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

func (d *Daemon) askHelper(helper, suspect directory.Record) directory.HelperAnswer {
	var reply ProbeReply
	args := ProbeArgs{Address: suspect.Peer, Host: suspect.Host}
	err := d.probeClient(helper.Peer).Call("Watch.Probe", args, &reply, 2*probeTimeout+dialSlack)
	switch {
	case err != nil:
		return directory.HelperSilent
	case reply.Reached:
		return directory.HelperReached
	default:
		return directory.HelperMissed
	}
}

// dialSlack is what a helper may need beyond its own time-out.
const dialSlack = 500 * time.Millisecond

func (d *Daemon) closeProbes() {
	d.watch.mutex.Lock()
	defer d.watch.mutex.Unlock()
	for _, c := range d.watch.clients {
		c.Close()
	}
}
