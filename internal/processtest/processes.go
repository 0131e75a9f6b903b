// Package processtest starts the program's processes for tests, on loopback
// addresses, and ends them by their own process ids.
package processtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
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

// Token is the operator's token of every group.
const Token = "process-test-token"

// Build compiles the program into a folder and returns its path.
func Build(folder string) (string, error) {
	path := filepath.Join(folder, "endivewalk")
	out, err := exec.Command("go", "build", "-o", path, "github.com/endivewalk/endivewalk/cmd/endivewalk").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %v\n%s", err, out)
	}
	return path, nil
}

// Process is a process of the program.
type Process struct {
	Name    string
	args    []string
	command *exec.Cmd
	ended   chan error
}

// Group is a deployment of real processes.
type Group struct {
	t             testing.TB
	program       string
	folder        string
	ip            string
	sources       []*Process
	peers         []string
	ops           []string
	daemons       map[string]*Process
	local         map[string]string
	caller        map[string]string
	peer          map[string]string
	addressesOf   map[string][]string // The addresses of each daemon.
	claimReplicas []string            // Daemons that keep the claims of keyed calls.
	witnesses     []string            // Daemons that remember the others' floors.
	others        []*Process
}

// New prepares a group of three source replicas and starts them.
func New(t testing.TB, program string) *Group {
	g := &Group{t: t, program: program, folder: t.TempDir(), ip: fleet.FreeIP(), daemons: map[string]*Process{}, local: map[string]string{}, caller: map[string]string{}, peer: map[string]string{}, addressesOf: map[string][]string{}}
	addresses, err := fleet.FreeAddresses(g.ip, 6)
	require.NoError(t, err)
	g.peers, g.ops = addresses[:3], addresses[3:]
	t.Cleanup(g.stop)
	for i := range 3 {
		p := &Process{Name: fmt.Sprintf("source-%d", i+1)}
		p.args = []string{"source", "--settings", g.sourceSettings(i)}
		g.sources = append(g.sources, p)
		g.start(p, "--init")
	}
	return g
}

func (g *Group) write(name string, v any) string {
	data, err := json.Marshal(v)
	require.NoError(g.t, err)
	path := filepath.Join(g.folder, name)
	require.NoError(g.t, os.WriteFile(path, data, 0o644))
	return path
}

func (g *Group) sourceSettings(i int) string {
	sum := sha256.Sum256([]byte(Token))
	type object = map[string]any
	var replicas []object
	for j := range 3 {
		replicas = append(replicas, object{"name": fmt.Sprintf("source-%d", j+1), "zone": fmt.Sprintf("zone-%d", j+1), "peer": g.peers[j], "operator": g.ops[j]})
	}
	name := fmt.Sprintf("source-%d", i+1)
	return g.write(name+".jsonc", object{
		"name": name, "zone": fmt.Sprintf("zone-%d", i+1), "peer": g.peers[i], "operator": g.ops[i],
		"folder": g.Folder(i), "sources": replicas,
		"tokens": []object{{"operator": "amina", "sha256": hex.EncodeToString(sum[:])}},
		"timing": object{"heartbeat": "30ms", "election": "300ms", "snapshot": 64},
	})
}

// Folder returns the data folder of a source replica.
func (g *Group) Folder(i int) string { return filepath.Join(g.folder, fmt.Sprintf("data-%d", i+1)) }

func (g *Group) start(p *Process, more ...string) {
	log, err := os.OpenFile(filepath.Join(g.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(g.t, err)
	defer log.Close()
	command := exec.Command(g.program, append(append([]string{}, p.args...), more...)...)
	command.Stdout, command.Stderr = log, log
	require.NoError(g.t, command.Start())
	p.command = command
	p.ended = make(chan error, 1)
	go func() { p.ended <- command.Wait() }()
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.command.Process.Signal(s) }

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
	p.ended <- nil
}

// Wait waits for the process to end and returns its exit code, or -1 after the
// time-out.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.ended:
		p.ended <- nil
		return p.command.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Source returns a source replica.
func (g *Group) Source(i int) *Process { return g.sources[i] }

// StartSource starts a source replica again.
func (g *Group) StartSource(i int, more ...string) { g.start(g.sources[i], more...) }

// UseWitnesses makes daemons that are started later remember each other's floors
// and those of all others.
func (g *Group) UseWitnesses(daemons ...string) { g.witnesses = daemons }

// UseClaimReplicas makes daemons that are started later keep the claims of keyed
// calls.
func (g *Group) UseClaimReplicas(daemons ...string) { g.claimReplicas = daemons }

// addresses returns the addresses of a daemon, which stay the same over restarts.
func (g *Group) addresses(name string) []string {
	if g.addressesOf[name] == nil {
		addresses, err := fleet.FreeAddresses(g.ip, 4)
		require.NoError(g.t, err)
		g.addressesOf[name] = addresses
	}
	return g.addressesOf[name]
}

// maxWitnesses is how many keepers a daemon has.
const maxWitnesses = 3

func (g *Group) witnessesOf(name string) []string {
	keepers := []string{}
	for _, keeper := range g.witnesses {
		if keeper != name && len(keepers) < maxWitnesses {
			keepers = append(keepers, g.addresses(keeper)[2])
		}
	}
	return keepers
}

func (g *Group) claimAddresses() []string {
	keepers := []string{}
	for _, keeper := range g.claimReplicas {
		keepers = append(keepers, g.addresses(keeper)[2])
	}
	return keepers
}

// StartDaemon starts a daemon, on the addresses that it had before if it ran
// before.
func (g *Group) StartDaemon(name, zone string) *Process {
	p := g.daemons[name]
	if p == nil {
		a := g.addresses(name)
		path := g.write(name+".jsonc", map[string]any{
			"name": name, "zone": zone, "caller": a[0], "gate": a[1], "peer": a[2], "local": a[3],
			"sources": g.peers, "keepers": g.witnessesOf(name), "linger": "500ms",
			"claims": map[string]any{"keepers": g.claimAddresses()},
		})
		p = &Process{Name: name, args: []string{"daemon", "--settings", path}}
		g.daemons[name], g.local[name], g.caller[name], g.peer[name] = p, a[3], a[0], a[2]
		g.start(p, "--first-claims")
		return p
	}
	g.start(p)
	return p
}

// StartStandin starts a stand-in beside a daemon and returns it and its
// address.
func (g *Group) StartStandin(daemon, id, service, version string, more ...string) (*Process, string) {
	a, err := fleet.FreeAddresses(g.ip, 1)
	require.NoError(g.t, err)
	p := &Process{Name: id, args: append([]string{
		"standin", "--id", id, "--service", service, "--version", version,
		"--address", a[0], "--daemon", g.local[daemon],
	}, more...)}
	g.others = append(g.others, p)
	g.start(p)
	return p, a[0]
}

// Caller returns where a daemon takes calls.
func (g *Group) Caller(daemon string) string { return g.caller[daemon] }

// Client returns an operator's client of the given replicas, or of all.
func (g *Group) Client(replicas ...int) *operator.Client {
	c := &operator.Client{Token: Token, Sources: g.ops}
	if len(replicas) > 0 {
		c.Sources = nil
		for _, i := range replicas {
			c.Sources = append(c.Sources, g.ops[i])
		}
	}
	return c
}

// Leader waits for a leader that a quorum confirms and returns its index.
func (g *Group) Leader() int {
	found := -1
	g.Eventually(15*time.Second, "a leader", func() bool {
		for i := range g.sources {
			s, err := (&operator.Client{Token: Token, Sources: g.ops[i : i+1], Timeout: 300 * time.Millisecond}).Status(context.Background())
			if err == nil && s.Role == "leader" {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// Status returns a daemon's own word on how it is.
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

// DaemonAt returns the daemon with that control address, or "".
func (g *Group) DaemonAt(peer string) string {
	for name, address := range g.peer {
		if address == peer {
			return name
		}
	}
	return ""
}

// Counter returns a daemon's counter, or 0.
func (g *Group) Counter(daemon, counter string) int {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.local[daemon] + "/debug/vars")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var vars struct {
		Endivewalk map[string]any `json:"endivewalk"`
	}
	if json.NewDecoder(r.Body).Decode(&vars) != nil {
		return 0
	}
	n, _ := vars.Endivewalk[counter].(float64)
	return int(n)
}

// Eventually polls until done returns true, and fails the test after a
// generous time-out.
func (g *Group) Eventually(timeout time.Duration, what string, done func() bool) {
	g.t.Helper()
	if !fleet.Wait(context.Background(), timeout, done) {
		g.t.Fatalf("no %s after %v; logs:\n%s", what, timeout, g.logs())
	}
}

const logTail = 2000

func (g *Group) logs() string {
	all := ""
	paths, _ := filepath.Glob(filepath.Join(g.folder, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		all += filepath.Base(path) + ":\n" + string(data[max(0, len(data)-logTail):]) + "\n"
	}
	return all
}

func (g *Group) stop() {
	all := append(append([]*Process{}, g.sources...), g.others...)
	for _, p := range g.daemons {
		all = append(all, p)
	}
	for _, p := range all {
		if p.command != nil && p.command.ProcessState == nil {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
}
