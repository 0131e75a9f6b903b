// Package fleet runs a whole deployment inside one process, over real loopback
// sockets: source replicas, daemons, and the stand-ins beside them. The demo,
// the measurements and the tests use it.
package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
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
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Token is the operator's token of a fleet.
const Token = "fleet-token"

// Config describes a Fleet. Folder is required.
type Config struct {
	Folder        string
	Replicas      int      // Of the source: 1, 3 or 5; 0 means 3.
	Zones         []string // The data centres; nil means three.
	Shape         directory.Shape
	Policy        move.Policy
	Witnesses     []string      // Hosts of daemons that remember the others' floors.
	ClaimReplicas []string      // Hosts of daemons that keep the claims of keyed calls.
	DrainTime     time.Duration // Of leaving daemons; 0 means 300 ms.
	Withdraw      time.Duration // Of leaving daemons; 0 means as long as DrainTime.
	// Upstream returns the address of the upstream beside a host's daemon, if the
	// daemon's settings are to name it. It may be nil.
	Upstream func(host string) string
	Timing   source.Timing
	Dial     func(from string) peer.Dial // How a process opens connections; nil means TCP.
	Seed     uint64
}

// Replica is a source replica of a fleet.
type Replica struct {
	Node     *source.Node
	Config   source.Config
	Operator string
	server   *http.Server
	handler  http.Handler
}

// Fleet is a running deployment. Its methods are safe for concurrent use,
// unless they name the same process.
type Fleet struct {
	config    Config
	ip        string
	mutex     sync.Mutex
	random    *rand.Rand
	replicas  []*Replica
	daemons   map[string]*daemon.Daemon
	addresses map[string]daemon.Addresses // Of each host's daemon.
	started   map[string]bool             // Hosts whose daemons have run before.
	standins  map[string]*standin.Standin
}

// Start runs the source replicas of a fleet.
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
		daemons: map[string]*daemon.Daemon{}, addresses: map[string]daemon.Addresses{}, started: map[string]bool{}, standins: map[string]*standin.Standin{},
	}
	members, operators, err := f.allocate()
	if err != nil {
		return nil, err
	}
	for i, m := range members {
		r := &Replica{Operator: operators[i], Config: source.Config{
			Name: m.Name, Zone: c.Zones[i%len(c.Zones)], Listen: m.Address, Members: members, Init: true,
			Disk: disk.Config{Folder: filepath.Join(c.Folder, m.Name)}, Timing: c.Timing, Policy: c.Policy,
			Dial: f.dial(m.Name),
		}}
		f.replicas = append(f.replicas, r)
		if err := f.StartReplica(i); err != nil {
			f.Stop()
			return nil, err
		}
		r.Config.Init = false
	}
	return f, nil
}

func (f *Fleet) allocate() ([]source.Member, []string, error) {
	var members []source.Member
	var operators []string
	for i := range f.config.Replicas {
		addresses, err := FreeAddresses(f.ip, 2)
		if err != nil {
			return nil, nil, err
		}
		members = append(members, source.Member{Name: "source-" + strconv.Itoa(i+1), Address: addresses[0]})
		operators = append(operators, addresses[1])
	}
	return members, operators, nil
}

func (f *Fleet) dial(from string) peer.Dial {
	if f.config.Dial == nil {
		return nil
	}
	return f.config.Dial(from)
}

// draw gives a process its own source of random numbers.
func (f *Fleet) draw() func() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	own := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	var mutex sync.Mutex
	return func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		return own.Float64()
	}
}

// StartReplica starts a replica that is not running.
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
			Name: other.Config.Name, Role: "source", Zone: other.Config.Zone, Address: other.Operator,
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
	l, err := net.Listen("tcp", r.Operator)
	if err != nil {
		node.Stop()
		return errs.New("fleet: %v", err)
	}
	r.server = &http.Server{Handler: r.handler}
	go r.server.Serve(l)
	return nil
}

// StopReplica stops a replica. Its folder stays.
func (f *Fleet) StopReplica(i int) {
	r := f.replicas[i]
	if r.server != nil {
		r.server.Close()
		r.Node.Stop()
		r.server = nil
	}
}

// Replica returns a source replica.
func (f *Fleet) Replica(i int) *Replica { return f.replicas[i] }

// Replicas returns how many source replicas there are.
func (f *Fleet) Replicas() int { return len(f.replicas) }

// Leader returns the index of the replica that leads, or -1.
func (f *Fleet) Leader() int {
	for i, r := range f.replicas {
		if r.server != nil && r.Node.IsLeader() {
			return i
		}
	}
	return -1
}

// Client returns an operator's client of the source.
func (f *Fleet) Client() *operator.Client {
	c := &operator.Client{Token: Token}
	for _, r := range f.replicas {
		c.Sources = append(c.Sources, r.Operator)
	}
	return c
}

// SourceAddresses returns the control addresses of the replicas.
func (f *Fleet) SourceAddresses() []string {
	var all []string
	for _, r := range f.replicas {
		all = append(all, r.Config.Listen)
	}
	return all
}

// Addresses returns the addresses of a host's daemon, which stay the same over
// restarts.
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

// peersOf returns the control addresses of some hosts' daemons.
func (f *Fleet) peersOf(hosts []string, not string) ([]string, error) {
	var all []string
	for _, keeper := range hosts {
		if keeper == not {
			continue
		}
		place, err := f.Addresses(keeper)
		if err != nil {
			return nil, err
		}
		all = append(all, place.Peer)
	}
	return all, nil
}

// StartDaemon starts a daemon in a data centre, on the addresses of the host's
// earlier daemons if there were any.
func (f *Fleet) StartDaemon(host, zone string) (*daemon.Daemon, error) {
	f.mutex.Lock()
	first := !f.started[host]
	f.started[host] = true
	f.mutex.Unlock()
	own, err := f.Addresses(host)
	if err != nil {
		return nil, err
	}
	keepers, err := f.peersOf(f.config.Witnesses, host)
	if err != nil {
		return nil, err
	}
	claims, err := f.peersOf(f.config.ClaimReplicas, "")
	if err != nil {
		return nil, err
	}
	upstream := ""
	if f.config.Upstream != nil {
		upstream = f.config.Upstream(host)
	}
	d, err := daemon.Start(daemon.Config{
		Withdraw: f.config.Withdraw, Upstream: upstream,
		Host: host, Zone: zone, Sources: f.SourceAddresses(), Shape: f.config.Shape,
		Witnesses: keepers, Claims: daemon.Claims{Replicas: claims, FirstStart: first},
		Listen: own, Local: localhttp.ForDaemon,
		DrainTime: f.config.DrainTime, Policy: f.config.Policy, Random: f.draw(), Dial: f.dial(host),
	})
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.daemons[host] = d
	f.mutex.Unlock()
	return d, nil
}

// Daemon returns a daemon, or nil.
func (f *Fleet) Daemon(host string) *daemon.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.daemons[host]
}

// Daemons returns all daemons by host.
func (f *Fleet) Daemons() map[string]*daemon.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make(map[string]*daemon.Daemon, len(f.daemons))
	for host, d := range f.daemons {
		all[host] = d
	}
	return all
}

// StopDaemon stops a daemon at once, as a crash would.
func (f *Fleet) StopDaemon(host string) {
	f.mutex.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mutex.Unlock()
	if d != nil {
		d.Stop()
	}
}

// LeaveDaemon takes a daemon out without cutting off a call.
func (f *Fleet) LeaveDaemon(ctx context.Context, host string) error {
	f.mutex.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mutex.Unlock()
	if d == nil {
		return errs.New("fleet: no daemon %q runs", host)
	}
	return d.Leave(ctx)
}

// StartStandin starts a stand-in beside a daemon.
func (f *Fleet) StartStandin(host string, c standin.Config) (*standin.Standin, error) {
	c.Address = f.ip + ":0"
	c.Daemon = f.Daemon(host).Addresses().Local
	if c.Random == nil {
		c.Random = f.draw()
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

// Standin returns a stand-in by its ID, or nil.
func (f *Fleet) Standin(id string) *standin.Standin {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.standins[id]
}

// Wait polls until done returns true. It returns false after the time-out.
func Wait(ctx context.Context, timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if done() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return done()
}

// Stop ends all processes.
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
