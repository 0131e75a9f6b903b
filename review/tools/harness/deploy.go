//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the site file sites/kilele-benches.toml.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	drain       = 2 * time.Second
	grace       = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	recoverTime = 15 * time.Second
)

// Ports of every machine.
const (
	controlPort  = 18620
	inboundPort  = 18624
	readyPort    = 18625
	appPort      = 18628
	outboundPort = 18629
	firstPort    = 17600
	lastPort     = 17615
)

// machine is one machine of the deployment, with its process.
type machine struct {
	name     string
	ip       string
	zone     string
	core     bool
	service  string
	command  *exec.Cmd
	exited   chan struct{}
	settings string
	starts   int
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// deployment is a set of machines that run the programs of the deploy file.
type deployment struct {
	root    string // The repository.
	folder  string // Settings, disks and logs.
	network string // The first three bytes of all addresses.
	cores   []*machine
	sides   []*machine
	record  *record
}

// record writes record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployments counts the networks that were tried.
var deployments atomic.Int64

// newDeployment creates the machines, without starting them.
func newDeployment(root string, rec *record, services []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "endivewalk-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, record: rec}
	for try := 0; ; try++ {
		n := os.Getpid() + 64*int(deployments.Add(1))
		d.network = fmt.Sprintf("127.%d.%d.", 64+(n>>8)%128, n%256)
		l, err := net.Listen("tcp", d.network+"1:"+strconv.Itoa(controlPort))
		if err == nil {
			l.Close()
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	zones := []string{"arusha-a", "arusha-b", "arusha-c"}
	for i, z := range zones {
		d.cores = append(d.cores, &machine{name: "core-" + z + "-1", ip: d.network + strconv.Itoa(1+i), zone: z, core: true})
	}
	for i, s := range services {
		z := zones[i%len(zones)]
		d.sides = append(d.sides, &machine{name: fmt.Sprintf("sidecar-%s-%d", z, 1+i/len(zones)), ip: d.network + strconv.Itoa(11+i), zone: z, service: s})
	}
	return d, nil
}

// writeSettings writes the settings file of a machine.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, c := range d.cores {
		seeds = append(seeds, c.address(controlPort))
	}
	lines := []string{
		"self.node_name=" + m.name, "self.zone=" + m.zone, "self.region=arusha", "self.ip=" + m.ip,
		"self.bootstrap=" + strconv.FormatBool(bootstrap), "self.limits.cores=1", "self.limits.max_fds=4100",
		"network.listen.control=" + m.address(controlPort),
		fmt.Sprintf("network.internal_port_range=%d,%d", firstPort, lastPort),
		"network.seeds=" + strings.Join(seeds, ","),
		"network.zones.arusha-a=arusha", "network.zones.arusha-b=arusha", "network.zones.arusha-c=arusha",
		"platform.discovery=local", "platform.entry=local", "platform.heartbeat_s=1.5",
		"terms.contracts=base,drain,config,cost,retry,recover,rollout",
		"terms.fault_tolerance.machines=1", "terms.fault_tolerance.zones=0", "terms.fault_tolerance.regions=0",
		"terms.bounds.seed_lag_s=3", "terms.bounds.addr_reuse_s=2", "terms.bounds.contact_s=3", "terms.bounds.ack_s=4",
		"terms.bounds.catch_up_s=4", "terms.bounds.drain_s=2", "terms.bounds.grace_s=6", "terms.bounds.loss_slack_s=0.2",
		"terms.bounds.config_apply_s=2", "terms.bounds.rollback_slack_s=0.25", "terms.bounds.max_stretch_s=5",
		"terms.bounds.retry_budget_ratio=0.2", "terms.bounds.budget_window_s=10", "terms.bounds.retry_budget_slack=56",
		"terms.bounds.expose_share=0.1", "terms.bounds.expose_slack=50", "terms.bounds.rollback_s=5", "terms.bounds.recover_s=15",
	}
	if m.core {
		lines = append(lines, "self.role=source", "self.machine_class=core", "self.serves=control_plane", "self.in_fault_budget=true",
			"self.limits.memory_mb=280", "self.limits.disk_mb=256", "self.limits.link_mbps=170.0", "self.limits.cpu_share=0.12",
			"self.data_dir="+filepath.Join(d.folder, m.name, "disk"))
	} else {
		lines = append(lines, "self.role=daemon", "self.machine_class=sidecar", "self.serves=sidecar", "self.in_fault_budget=false",
			"self.limits.memory_mb=284", "self.limits.disk_mb=0", "self.limits.link_mbps=1000.0", "self.limits.cpu_share=0.32",
			"self.app="+m.address(appPort), "self.service="+m.service,
			"network.listen.inbound="+m.address(inboundPort), "network.listen.outbound="+m.address(outboundPort), "network.listen.ready="+m.address(readyPort))
	}
	if err := os.MkdirAll(filepath.Join(d.folder, m.name), 0o755); err != nil {
		return err
	}
	m.settings = filepath.Join(d.folder, m.name, "settings.conf")
	return os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	if err := d.writeSettings(m, bootstrap); err != nil {
		return err
	}
	program := "target/ewdaemon"
	if m.core {
		program = "target/ewsource"
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(d.root, program))
	c.Dir = d.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ENDIVEWALK_CONFIG=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	m.command, m.exited = c, make(chan struct{})
	m.starts++
	d.record.line("process %s started: pid %d, %s", m.name, c.Process.Pid, program)
	go func(exited chan struct{}) {
		c.Wait()
		close(exited)
	}(m.exited)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record.line("process %s gets %s", m.name, s)
	m.command.Process.Signal(s)
}

// kill ends the process of a machine by SIGKILL and waits for its end.
func (d *deployment) kill(m *machine) {
	d.signal(m, syscall.SIGKILL)
	<-m.exited
}

// stop ends all processes. With keep, the folder stays.
func (d *deployment) stop(keep bool) {
	for _, m := range append(append([]*machine{}, d.cores...), d.sides...) {
		if m.command != nil {
			m.command.Process.Signal(syscall.SIGCONT)
			m.command.Process.Kill()
			<-m.exited
		}
	}
	if keep {
		fmt.Println("logs are kept in", d.folder)
		return
	}
	os.RemoveAll(d.folder)
}

// startAll starts all processes for the first time, as the platform does.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.cores...), d.sides...) {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all sidecar daemons answer the readiness check with 200.
func (d *deployment) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range d.sides {
		for !ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// newHTTPClient returns a client that opens a connection for each request.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

var plain = newHTTPClient()

func ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(readyPort)+"/api/ready", nil)
	response, err := plain.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
