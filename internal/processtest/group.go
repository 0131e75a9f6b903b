// Package processtest runs source replicas, daemons and stand-ins as processes of
// the program for tests, on loopback addresses. It signals and ends only these
// processes, each by its process ID.
package processtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/localhttp"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Token is the token with which operators authenticate at every Group.
const Token = "process-test-token"

// Build compiles the program into a folder and returns the path of the program. The
// error contains the output of the compiler.
func Build(folder string) (string, error) {
	path := filepath.Join(folder, "endivewalk")
	out, err := exec.Command("go", "build", "-o", path, "github.com/endivewalk/endivewalk/cmd/endivewalk").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("processtest: build the program: %v\n%s", err, out)
	}
	return path, nil
}

// Group is a deployment of real processes. Its methods fail the test if they cannot
// do what they are for, unless they return an error. Methods that only read may be
// called concurrently with one another and with restarts of processes, but not with
// the first start of a process, UseWitnesses or UseClaimReplicas.
type Group struct {
	t               testing.TB
	program         string // The path of the program.
	folder          string // Settings, logs and data folders.
	ip              string // Of all processes.
	sources         []*Process
	sourcePeers     []string            // Peer addresses of the source replicas.
	sourceOperators []string            // Addresses of the source replicas for operators.
	daemons         map[string]*Process // By name, like the next three maps.
	local           map[string]string   // Local addresses.
	outbound        map[string]string   // Addresses for callers.
	peer            map[string]string   // Peer addresses.
	addressesOf     map[string][]string // Outbound, inbound, peer and local address of each daemon.
	claimReplicas   []string            // Daemons that store the claims of calls with an idempotency key.
	witnesses       []string            // Daemons that remember other daemons' minimum revisions.
	standins        []*Process
}

// New starts a group of three source replicas. All processes of the group are killed
// at the end of the test.
func New(t testing.TB, program string) *Group {
	g := &Group{t: t, program: program, folder: t.TempDir(), ip: fleet.FreeIP(), daemons: map[string]*Process{}, local: map[string]string{}, outbound: map[string]string{}, peer: map[string]string{}, addressesOf: map[string][]string{}}
	addresses, err := fleet.FreeAddresses(g.ip, 6)
	require.NoError(t, err)
	g.sourcePeers, g.sourceOperators = addresses[:3], addresses[3:]
	t.Cleanup(g.killAll)
	for i := range 3 {
		p := &Process{Name: fmt.Sprintf("source-%d", i+1)}
		p.args = []string{"source", "--settings", g.sourceSettings(i)}
		g.sources = append(g.sources, p)
	}
	g.foundGroup()
	return g
}

// maxFoundings is how often foundGroup starts the source replicas at most.
const maxFoundings = 10

// foundGroup starts the source replicas with empty data folders. A replica that starts after
// the others have elected a leader refuses to found the group once more, and ends; then all of
// them begin again.
func (g *Group) foundGroup() {
	for range maxFoundings {
		for _, p := range g.sources {
			g.start(p, "--init")
		}
		if g.serveOperators() {
			return
		}
		for i, p := range g.sources {
			p.Kill()
			require.NoError(g.t, os.RemoveAll(g.DataFolder(i)))
		}
	}
	g.t.Fatalf("the source replicas did not found a group:\n%s", g.logs())
}

// serveOperators waits until all source replicas serve operators. It returns false if one of
// them has ended.
func (g *Group) serveOperators() bool {
	for i, p := range g.sources {
		for !accepts(g.sourceOperators[i]) {
			if p.Wait(10*time.Millisecond) >= 0 {
				return false
			}
		}
	}
	return true
}

// accepts reports whether something listens on an address.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// writeSettings writes v as JSON into a file of the group's folder and returns its
// path.
func (g *Group) writeSettings(name string, v any) string {
	data, err := json.Marshal(v)
	require.NoError(g.t, err)
	path := filepath.Join(g.folder, name)
	require.NoError(g.t, os.WriteFile(path, data, 0o644))
	return path
}

// sourceSettings writes the settings of source replica i and returns their path.
func (g *Group) sourceSettings(i int) string {
	sum := sha256.Sum256([]byte(Token))
	type object = map[string]any
	var replicas []object
	for j := range 3 {
		replicas = append(replicas, object{"name": fmt.Sprintf("source-%d", j+1), "zone": fmt.Sprintf("zone-%d", j+1), "peer": g.sourcePeers[j], "operator": g.sourceOperators[j]})
	}
	name := fmt.Sprintf("source-%d", i+1)
	return g.writeSettings(name+".jsonc", object{
		"name": name, "zone": fmt.Sprintf("zone-%d", i+1), "peer": g.sourcePeers[i], "operator": g.sourceOperators[i],
		"folder": g.DataFolder(i), "sources": replicas,
		"tokens": []object{{"operator": "amina", "sha256": hex.EncodeToString(sum[:])}},
		"timing": object{"heartbeat": "30ms", "election": "300ms", "snapshot": 64},
	})
}

// DataFolder returns the data folder of source replica i.
func (g *Group) DataFolder(i int) string { return filepath.Join(g.folder, fmt.Sprintf("data-%d", i+1)) }

// Source returns source replica i, counted from 0, whether it runs or not.
func (g *Group) Source(i int) *Process { return g.sources[i] }

// StartSource starts source replica i again, which must not be running, with
// extraArgs after its usual arguments.
func (g *Group) StartSource(i int, extraArgs ...string) { g.start(g.sources[i], extraArgs...) }

// UseWitnesses sets the daemons that remember the minimum revisions of all other
// daemons. It applies to daemons that are started for the first time later.
func (g *Group) UseWitnesses(daemons ...string) { g.witnesses = daemons }

// UseClaimReplicas sets the daemons that store the claims of calls with an idempotency
// key. It applies to daemons that are started for the first time later.
func (g *Group) UseClaimReplicas(daemons ...string) { g.claimReplicas = daemons }

// addresses returns the outbound, inbound, peer and local address of a daemon,
// which stay the same over restarts.
func (g *Group) addresses(name string) []string {
	if g.addressesOf[name] == nil {
		addresses, err := fleet.FreeAddresses(g.ip, 4)
		require.NoError(g.t, err)
		g.addressesOf[name] = addresses
	}
	return g.addressesOf[name]
}

// maxWitnesses is the greatest number of witnesses of a daemon. The settings allow 0, 3
// or 5 witnesses.
const maxWitnesses = 3

// witnessesOf returns the peer addresses of a daemon's witnesses, without itself.
// It is not nil, so that the settings get an empty list.
func (g *Group) witnessesOf(name string) []string {
	witnesses := []string{}
	for _, witness := range g.witnesses {
		if witness != name && len(witnesses) < maxWitnesses {
			witnesses = append(witnesses, g.addresses(witness)[2])
		}
	}
	return witnesses
}

// claimAddresses returns the peer addresses of the claim replicas. It is not nil,
// so that the settings get an empty list.
func (g *Group) claimAddresses() []string {
	replicas := []string{}
	for _, replica := range g.claimReplicas {
		replicas = append(replicas, g.addresses(replica)[2])
	}
	return replicas
}

// StartDaemon starts a daemon that is not running. A daemon that ran before gets the
// settings and addresses that it had; then zone is ignored.
func (g *Group) StartDaemon(name, zone string) *Process {
	p := g.daemons[name]
	if p == nil {
		a := g.addresses(name)
		path := g.writeSettings(name+".jsonc", map[string]any{
			"name": name, "zone": zone, "caller": a[0], "gate": a[1], "peer": a[2], "local": a[3],
			"sources": g.sourcePeers, "keepers": g.witnessesOf(name), "linger": "500ms",
			"claims": map[string]any{"keepers": g.claimAddresses()},
		})
		p = &Process{Name: name, args: []string{"daemon", "--settings", path}}
		g.daemons[name], g.local[name], g.outbound[name], g.peer[name] = p, a[3], a[0], a[2]
		g.start(p, "--first-claims")
		return p
	}
	g.start(p)
	return p
}

// StartStandin starts a stand-in as a local upstream of a daemon that was started
// before, with extraArgs after the usual arguments. It returns the stand-in and its
// address.
func (g *Group) StartStandin(daemon, id, service, version string, extraArgs ...string) (*Process, string) {
	a, err := fleet.FreeAddresses(g.ip, 1)
	require.NoError(g.t, err)
	p := &Process{Name: id, args: append([]string{
		"standin", "--id", id, "--service", service, "--version", version,
		"--address", a[0], "--daemon", g.local[daemon],
	}, extraArgs...)}
	g.standins = append(g.standins, p)
	g.start(p)
	return p, a[0]
}

// OutboundAddress returns a daemon's outbound address, to which callers send calls.
func (g *Group) OutboundAddress(daemon string) string { return g.outbound[daemon] }

// Client returns a new operator's client of the given source replicas, or of all if
// none are given.
func (g *Group) Client(replicas ...int) *operator.Client {
	c := &operator.Client{Token: Token, Sources: g.sourceOperators}
	if len(replicas) > 0 {
		c.Sources = nil
		for _, i := range replicas {
			c.Sources = append(c.Sources, g.sourceOperators[i])
		}
	}
	return c
}

// Leader waits up to 15 s for a leader that a quorum confirms and returns the index
// of that replica.
func (g *Group) Leader() int {
	found := -1
	g.Eventually(15*time.Second, "leader", func() bool {
		for i := range g.sources {
			s, err := (&operator.Client{Token: Token, Sources: g.sourceOperators[i : i+1], Timeout: 300 * time.Millisecond}).Status(context.Background())
			if err == nil && s.Role == "leader" {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// Status returns the status that a daemon reports at its local address, or an error
// if it does not respond within 1 s.
func (g *Group) Status(daemon string) (localhttp.Status, error) {
	var s localhttp.Status
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.local[daemon] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer r.Body.Close()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

// DaemonAt returns the name of the daemon with a peer address, or "".
func (g *Group) DaemonAt(peer string) string {
	for name, address := range g.peer {
		if address == peer {
			return name
		}
	}
	return ""
}

// Counter returns the value of a daemon's counter, or 0 if the daemon has no such
// counter or does not respond within 1 s.
func (g *Group) Counter(daemon, counter string) int {
	all, _ := g.Counters(daemon)
	n, _ := all[counter].(float64)
	return int(n)
}

// Counters returns the values of a daemon's counters and gauges by name, or an error if
// the daemon does not respond within 1 s.
func (g *Group) Counters(daemon string) (map[string]any, error) {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.local[daemon] + "/debug/vars")
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	var vars struct {
		Endivewalk map[string]any `json:"endivewalk"`
	}
	err = json.NewDecoder(r.Body).Decode(&vars)
	return vars.Endivewalk, err
}

// Eventually polls done until it returns true. After timeout it fails the test with
// what was waited for, a noun phrase, and the ends of all logs.
func (g *Group) Eventually(timeout time.Duration, what string, done func() bool) {
	g.t.Helper()
	if !fleet.Wait(context.Background(), timeout, done) {
		g.t.Fatalf("no %s after %v; logs:\n%s", what, timeout, g.logs())
	}
}

// maxLogBytes is how much of each log a failed test prints.
const maxLogBytes = 2000

// logs returns the end of the log of each process.
func (g *Group) logs() string {
	all := ""
	paths, _ := filepath.Glob(filepath.Join(g.folder, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		all += filepath.Base(path) + ":\n" + string(data[max(0, len(data)-maxLogBytes):]) + "\n"
	}
	return all
}

// killAll kills all processes that are running, also those stopped by SIGSTOP, and
// waits until they have exited.
func (g *Group) killAll() {
	all := append(append([]*Process{}, g.sources...), g.standins...)
	for _, p := range g.daemons {
		all = append(all, p)
	}
	for _, p := range all {
		if p.command != nil && p.command.ProcessState == nil {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}
