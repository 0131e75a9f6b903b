package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of a deployment; each machine has an IP address of its own.
const (
	controlPort  = 0 // Offsets from the first port of a deployment.
	readyPort    = 1
	inboundPort  = 2
	appPort      = 3
	outboundPort = 4
	internalPort = 10
	portCount    = 30
)

// machine is a machine of a deployment with one process of the system.
type machine struct {
	name    string
	ip      string
	zone    string
	service string // Of the worker beside a daemon; empty on a core machine.
	binary  string
	config  string // Path of the settings file.
	output  *os.File
	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // Closed when the process has ended.
}

// deployment is a small deployment: source replicas and daemons as separate processes, started
// with the commands of the deploy file.
type deployment struct {
	record  *record
	folder  string
	port    int
	sources []*machine
	daemons []*machine
	version int // Of the newest configuration that was acknowledged.
}

// newDeployment chooses free addresses for a deployment with three source replicas and one
// daemon for each of services. root is the root of the repository.
func newDeployment(r *record, root string, services []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder}
	zones := []string{"arusha-a", "arusha-b", "arusha-c"}
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range 3 {
		d.sources = append(d.sources, &machine{name: "core-" + zones[i] + "-1", ip: fmt.Sprintf("%s.%d", prefix, 10+i), zone: zones[i], binary: filepath.Join(root, "target/ewsource")})
	}
	for i, s := range services {
		d.daemons = append(d.daemons, &machine{
			name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], 1+i/3), ip: fmt.Sprintf("%s.%d", prefix, 40+i), zone: zones[i%3], service: s,
			binary: filepath.Join(root, "target/ewdaemon"),
		})
	}
	for try := 0; ; try++ {
		d.port = 20000 + rand.IntN(10000)
		if d.portsFree() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	for _, m := range d.all() {
		if err := d.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) all() []*machine {
	return append(append([]*machine{}, d.sources...), d.daemons...)
}

// portsFree reports whether all ports of all machines can be listened on.
func (d *deployment) portsFree() bool {
	for _, m := range d.all() {
		for p := range portCount {
			l, err := net.Listen("tcp", d.address(m, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *deployment) address(m *machine, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, d.port+port)
}

// writeSettings writes the settings file of a machine.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	var b strings.Builder
	set := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	core := m.service == ""
	set("self.node_name", m.name)
	set("self.ip", m.ip)
	set("self.zone", m.zone)
	set("self.region", "arusha")
	set("self.in_fault_budget", core)
	set("self.bootstrap", bootstrap)
	set("self.limits.cores", 1)
	set("self.limits.memory_mb", 284)
	set("self.limits.max_fds", 4100)
	set("self.limits.link_mbps", 1000.0)
	if core {
		set("self.role", "source")
		set("self.machine_class", "core")
		set("self.serves", "control_plane")
		set("self.data_dir", filepath.Join(d.folder, m.name))
		set("self.limits.disk_mb", 256)
	} else {
		set("self.role", "daemon")
		set("self.machine_class", "sidecar")
		set("self.serves", "sidecar")
		set("self.limits.disk_mb", 0)
		set("self.app", d.address(m, appPort))
		set("self.service", m.service)
		set("network.listen.inbound", d.address(m, inboundPort))
		set("network.listen.outbound", d.address(m, outboundPort))
		set("network.listen.ready", d.address(m, readyPort))
	}
	set("network.listen.control", d.address(m, controlPort))
	set("network.internal_port_range", fmt.Sprintf("%d,%d", d.port+internalPort, d.port+portCount-1))
	var seeds []string
	for _, s := range d.sources {
		seeds = append(seeds, d.address(s, controlPort))
	}
	set("network.seeds", strings.Join(seeds, ","))
	for _, z := range []string{"arusha-a", "arusha-b", "arusha-c"} {
		set("network.zones."+z, "arusha")
	}
	b.WriteString(`platform.discovery=local
platform.entry=local
platform.heartbeat_s=1.5
terms.contracts=base,drain,config,cost,retry,recover,rollout
terms.fault_tolerance.machines=1
terms.fault_tolerance.zones=0
terms.fault_tolerance.regions=0
terms.bounds.seed_lag_s=3
terms.bounds.addr_reuse_s=2
terms.bounds.contact_s=3
terms.bounds.ack_s=4
terms.bounds.catch_up_s=4
terms.bounds.drain_s=2
terms.bounds.grace_s=6
terms.bounds.loss_slack_s=0.2
terms.bounds.config_apply_s=2
terms.bounds.rollback_slack_s=0.25
terms.bounds.max_stretch_s=5
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.retry_budget_slack=56
terms.bounds.expose_share=0.1
terms.bounds.expose_slack=50
terms.bounds.rollback_s=5
terms.bounds.recover_s=15
`)
	m.config = filepath.Join(d.folder, m.name+".conf")
	if core {
		if err := os.MkdirAll(filepath.Join(d.folder, m.name), 0o755); err != nil {
			return err
		}
	}
	return os.WriteFile(m.config, []byte(b.String()), 0o644)
}

// start starts the process of a machine.
func (d *deployment) start(m *machine) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.output == nil {
		f, err := os.Create(filepath.Join(d.folder, m.name+".log"))
		if err != nil {
			return err
		}
		m.output = f
	}
	c := exec.Command(m.binary)
	c.Env = []string{"ENDIVEWALK_CONFIG=" + m.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = m.output, m.output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = c, ended
	d.record.log("started %s (process %d)", m.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		d.record.log("%s (process %d) ended: %v", m.name, c.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mutex.Lock()
	p := m.process
	m.mutex.Unlock()
	if p != nil {
		d.record.log("signal %v to %s", s, m.name)
		p.Process.Signal(s)
	}
}

// startAll starts all processes.
func (d *deployment) startAll() error {
	for _, m := range d.all() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and removes the folder of the deployment.
func (d *deployment) stop() {
	for _, m := range d.all() {
		m.mutex.Lock()
		p, ended := m.process, m.ended
		m.mutex.Unlock()
		if p == nil {
			continue
		}
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		<-ended
	}
	os.RemoveAll(d.folder)
}

// operatorClient sends the calls of the operator. It follows redirects, as operators do.
var operatorClient = &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// route is a route of a configuration.
type route struct {
	name, kind, prefix, service string
	priority                    int
	target, timeout             float64
	attempts                    int
}

// configuration returns a configuration in the platform's form.
func configuration(version int, services []string, routes []route) []byte {
	type object = map[string]any
	var rules, clusters []object
	for _, r := range routes {
		rules = append(rules, object{
			"name": r.name, "kind": r.kind, "target_latency_s": r.target, "priority": r.priority, "match": object{"path_prefix": r.prefix},
			"action": object{"service": r.service, "timeout_s": r.timeout, "max_attempts": r.attempts},
		})
	}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(object{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []object{{"host": hostName, "rules": rules}}, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// hostName is the host of all routes.
const hostName = "hulo84.example"

// put sends a configuration that builds on version base to the sources in turn, until one of
// them acknowledges it.
func (d *deployment) put(base int, body []byte, within time.Duration) error {
	deadline := time.Now().Add(within)
	last := "no answer"
	for i := 0; time.Now().Before(deadline); i++ {
		r, _ := http.NewRequest(http.MethodPost, "http://"+d.address(d.sources[i%len(d.sources)], controlPort)+"/api/config/put", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("X-Endivewalk-Base-Version", fmt.Sprintf("%08x", base))
		response, err := operatorClient.Do(r)
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.log("configuration acknowledged (base %d)", base)
				return nil
			}
			last = fmt.Sprint(response.StatusCode, " ", string(text))
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// awaitReady waits until all daemons say that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range d.daemons {
		for {
			response, err := operatorClient.Get("http://" + d.address(m, readyPort) + "/api/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.log("all daemons are ready")
	return nil
}
