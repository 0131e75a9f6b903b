// Package fleet runs a complete deployment inside one process, over real loopback
// sockets: source replicas, daemons, and their local stand-ins (test upstreams).
// The demo, the benchmarks and the tests use it. It is neither the fleet settings of a
// configuration (package config) nor the summary of daemons (package operator).
package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/httpapi"
	"github.com/endivewalk/endivewalk/internal/localhttp"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/operatorhttp"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Token is the token with which operators authenticate at every Fleet.
const Token = "fleet-token"

// Config describes a Fleet. DataFolder is required.
type Config struct {
	DataFolder    string          // The parent of the replicas' data folders.
	Replicas      int             // The number of source replicas: 1, 3 or 5; 0 means 3.
	Zones         []string        // Data centres of the replicas, in turn; nil means three with arbitrary names.
	Shape         directory.Shape // Of the distribution tree.
	Policy        move.Policy     // Of moves.
	Witnesses     []string        // Hosts of daemons that remember other daemons' minimum revisions.
	ClaimReplicas []string        // Hosts of daemons that store the claims of calls with an idempotency key.
	DrainTime     time.Duration   // How long a leaving daemon still accepts calls; 0 means 300 ms.
	WithdrawTime  time.Duration   // How long before the end of DrainTime it withdraws its upstreams; 0 means DrainTime.
	// Upstream returns the address of the local upstream in the settings of a
	// host's daemon, or "" if they do not name one. It may be nil.
	Upstream func(host string) string
	// Features returns the features that the daemon of a host declares, as in
	// daemon.Config. It may be nil.
	Features func(host string) []config.Feature
	Timing   source.Timing
	Dial     func(from string) peer.Dial // Returns how the named process opens connections; nil means TCP.
	// BootClock returns the boot clock of the named process; nil means the host's.
	BootClock   func(name string) func() time.Duration
	KeyValidity time.Duration // Of daemons; see daemon.Config.
	Seed        uint64        // Of the random numbers of daemons and stand-ins.
}

// Replica is a source replica of a fleet. Its fields may be changed only while
// the replica is stopped; StartReplica uses Config as it is then, with new
// counters and events, and sets Node.
type Replica struct {
	Node            *source.Node // Of the latest start.
	Config          source.Config
	OperatorAddress string       // The address of the HTTP server for operators.
	server          *http.Server // Nil while the replica is stopped.
	handler         http.Handler
}

// Fleet is a running deployment. Its methods may be called concurrently, unless
// they concern the same process.
type Fleet struct {
	config        Config
	ip            string
	mutex         sync.Mutex
	random        *rand.Rand
	replicas      []*Replica
	daemons       map[string]*daemon.Daemon
	addresses     map[string]daemon.Addresses // Of each host's daemon, over all its restarts.
	startedBefore map[string]bool             // Hosts whose daemons have been started at least once.
	standins      map[string]*standin.Standin // By ID.
}

// Start starts the source replicas of a fleet; daemons and stand-ins are started
// by methods. The caller ends the fleet by Stop. If a replica fails to start,
// Start stops those before it and returns the error.
func Start(c Config) (*Fleet, error) {
	if c.Replicas == 0 {
		c.Replicas = 3
	}
	if c.Zones == nil {
		c.Zones = []string{"sokoine", "themi", "njiro"}
	}
	if c.DrainTime == 0 {
		c.DrainTime = 300 * time.Millisecond
	}
	f := &Fleet{
		config: c, ip: FreeIP(), random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		daemons: map[string]*daemon.Daemon{}, addresses: map[string]daemon.Addresses{}, startedBefore: map[string]bool{}, standins: map[string]*standin.Standin{},
	}
	members, operators, err := f.allocateReplicas()
	if err != nil {
		return nil, err
	}
	for i, m := range members {
		f.replicas = append(f.replicas, &Replica{OperatorAddress: operators[i], Config: source.Config{
			Name: m.Name, Zone: c.Zones[i%len(c.Zones)], Listen: m.Address, Founders: members, Init: true,
			Disk: disk.Config{Folder: filepath.Join(c.DataFolder, m.Name)}, Timing: c.Timing, Policy: c.Policy,
			Dial: f.dial(m.Name), BootClock: f.bootClock(m.Name),
		}})
	}
	if err := f.foundGroup(); err != nil {
		return nil, err
	}
	for _, r := range f.replicas {
		r.Config.Init = false
	}
	return f, nil
}

// dial returns how the process named from opens connections, or nil for TCP.
func (f *Fleet) dial(from string) peer.Dial {
	if f.config.Dial == nil {
		return nil
	}
	return f.config.Dial(from)
}

// bootClock returns the boot clock of a process, or nil for the host's.
func (f *Fleet) bootClock(name string) func() time.Duration {
	if f.config.BootClock == nil {
		return nil
	}
	return f.config.BootClock(name)
}

// newRandom returns a generator of random numbers in [0, 1) for one process,
// seeded from the fleet's. It may be called concurrently.
func (f *Fleet) newRandom() func() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	generator := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	var mutex sync.Mutex
	return func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		return generator.Float64()
	}
}

// StartReplica starts replica i, which must not be running, on the addresses and
// with the data folder that it had before. It returns an error if the replica's
// configuration or data is invalid or an address is taken.
func (f *Fleet) StartReplica(i int) error {
	r := f.replicas[i]
	r.Config.Counters = &count.Set{}
	r.Config.Events = event.New(r.Config.Name, r.Config.Zone)
	node, err := source.Start(r.Config)
	if err != nil {
		return err
	}
	r.Node = node
	var processes []operator.Process
	for _, other := range f.replicas {
		processes = append(processes, operator.Process{
			Name: other.Config.Name, Role: "source", Zone: other.Config.Zone, Address: other.OperatorAddress,
		})
	}
	r.handler, err = operatorhttp.New(operatorhttp.Config{
		Node: node, Tokens: httpapi.Tokens{httpapi.HashToken(Token): "amina"}, Sources: processes,
		Clock: time.Now, Events: r.Config.Events, Counters: r.Config.Counters,
	})
	if err != nil {
		node.Stop()
		return err
	}
	l, err := net.Listen("tcp", r.OperatorAddress)
	if err != nil {
		node.Stop()
		return errs.New("fleet: listen for operators: %v", err)
	}
	r.server = &http.Server{Handler: r.handler}
	go r.server.Serve(l)
	return nil
}

// StopReplica stops replica i and keeps its data folder. It does nothing if the
// replica is not running.
func (f *Fleet) StopReplica(i int) {
	r := f.replicas[i]
	if r.server != nil {
		r.server.Close()
		r.Node.Stop()
		r.server = nil
	}
}

// Replica returns source replica i, counted from 0, whether it runs or not. The
// fleet owns it.
func (f *Fleet) Replica(i int) *Replica { return f.replicas[i] }

// Replicas returns the number of source replicas, running or not.
func (f *Fleet) Replicas() int { return len(f.replicas) }

// Leader returns the index of the first running replica whose node reports that it
// is the leader, or -1.
func (f *Fleet) Leader() int {
	for i, r := range f.replicas {
		if r.server != nil && r.Node.IsLeader() {
			return i
		}
	}
	return -1
}

// Client returns a new operator's client of all replicas, running or not.
func (f *Fleet) Client() *operator.Client {
	c := &operator.Client{Token: Token}
	for _, r := range f.replicas {
		c.Sources = append(c.Sources, r.OperatorAddress)
	}
	return c
}

// SourceAddresses returns the peer addresses of all replicas, running or not.
func (f *Fleet) SourceAddresses() []string {
	var all []string
	for _, r := range f.replicas {
		all = append(all, r.Config.Listen)
	}
	return all
}

// Addresses returns the addresses of a host's daemon, which stay the same over
// restarts. The first call for a host allocates them, also before the daemon is
// started.
func (f *Fleet) Addresses(host string) (daemon.Addresses, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.addresses[host].Peer == "" {
		a, err := FreeAddresses(f.ip, 4)
		if err != nil {
			return daemon.Addresses{}, err
		}
		f.addresses[host] = daemon.Addresses{Outbound: a[0], Inbound: a[1], Peer: a[2], Local: a[3]}
	}
	return f.addresses[host], nil
}

// peerAddresses returns the peer addresses of the daemons of hosts, without
// the host except.
func (f *Fleet) peerAddresses(hosts []string, except string) ([]string, error) {
	var all []string
	for _, host := range hosts {
		if host == except {
			continue
		}
		addresses, err := f.Addresses(host)
		if err != nil {
			return nil, err
		}
		all = append(all, addresses.Peer)
	}
	return all, nil
}

// StartDaemon starts the daemon of a host in a data centre, on the addresses of
// the host's earlier daemons if there were any. The host's daemon must not be
// running.
func (f *Fleet) StartDaemon(host, zone string) (*daemon.Daemon, error) {
	f.mutex.Lock()
	firstStart := !f.startedBefore[host]
	f.startedBefore[host] = true
	f.mutex.Unlock()
	addresses, err := f.Addresses(host)
	if err != nil {
		return nil, err
	}
	witnesses, err := f.peerAddresses(f.config.Witnesses, host)
	if err != nil {
		return nil, err
	}
	claimReplicas, err := f.peerAddresses(f.config.ClaimReplicas, "")
	if err != nil {
		return nil, err
	}
	upstream := ""
	if f.config.Upstream != nil {
		upstream = f.config.Upstream(host)
	}
	var features []config.Feature
	if f.config.Features != nil {
		features = f.config.Features(host)
	}
	d, err := daemon.Start(daemon.Config{
		Features: features, WithdrawTime: f.config.WithdrawTime, Upstream: upstream,
		Host: host, Zone: zone, Sources: f.SourceAddresses(), Shape: f.config.Shape,
		Witnesses: witnesses, Claims: daemon.Claims{Replicas: claimReplicas, FirstStart: firstStart},
		Listen: addresses, NewLocalHandler: localhttp.ForDaemon,
		DrainTime: f.config.DrainTime, Policy: f.config.Policy, Random: f.newRandom(), Dial: f.dial(host),
		BootClock: f.bootClock(host), KeyValidity: f.config.KeyValidity,
	})
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.daemons[host] = d
	f.mutex.Unlock()
	return d, nil
}

// Daemon returns the running daemon of a host, or nil.
func (f *Fleet) Daemon(host string) *daemon.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.daemons[host]
}

// Daemons returns all running daemons by host, in a map that the caller owns.
func (f *Fleet) Daemons() map[string]*daemon.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make(map[string]*daemon.Daemon, len(f.daemons))
	for host, d := range f.daemons {
		all[host] = d
	}
	return all
}

// StopDaemon stops a host's daemon at once, as a crash would. It does nothing if
// none runs.
func (f *Fleet) StopDaemon(host string) {
	f.mutex.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mutex.Unlock()
	if d != nil {
		d.Stop()
	}
}

// LeaveDaemon shuts a host's daemon down gracefully, without cutting off a call,
// and waits until it has stopped. It returns an error if no daemon runs, and ctx's
// error if the shutdown takes too long. Daemon and Daemons leave the daemon out as
// soon as the shutdown begins.
func (f *Fleet) LeaveDaemon(ctx context.Context, host string) error {
	f.mutex.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mutex.Unlock()
	if d == nil {
		return errs.New("fleet: no daemon runs at host %q", host)
	}
	return d.Leave(ctx)
}

// StartStandin starts a stand-in as a local upstream of a host's daemon, which
// must be running. It sets Address and Daemon of c, and Random if that is nil.
func (f *Fleet) StartStandin(host string, c standin.Config) (*standin.Standin, error) {
	c.Address = f.ip + ":0"
	c.Daemon = f.Daemon(host).Addresses().Local
	if c.Random == nil {
		c.Random = f.newRandom()
	}
	s, err := standin.Start(c)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.standins[c.ID] = s
	f.mutex.Unlock()
	return s, nil
}

// Standin returns the stand-in that was started last with an ID, or nil.
func (f *Fleet) Standin(id string) *standin.Standin {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.standins[id]
}

// Stop ends all processes at once, without draining, and keeps the data folders
// of the replicas.
func (f *Fleet) Stop() {
	f.mutex.Lock()
	standins, daemons := f.standins, f.daemons
	f.standins, f.daemons = map[string]*standin.Standin{}, map[string]*daemon.Daemon{}
	f.mutex.Unlock()
	for _, s := range standins {
		s.Kill()
	}
	var group sync.WaitGroup
	for _, d := range daemons {
		group.Add(1)
		go func() {
			defer group.Done()
			d.Stop()
		}()
	}
	group.Wait()
	for i := range f.replicas {
		f.StopReplica(i)
	}
}
