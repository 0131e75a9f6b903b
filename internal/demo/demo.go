// Package demo runs the complete system within one process: source replicas,
// daemons and test upstreams that communicate over loopback sockets. It applies
// and changes a configuration, moves two services to new versions, restarts a
// daemon, and checks the results.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Summary holds the results of a demo. All of it is measured in the run.
type Summary struct {
	Calls          int64           `json:"calls"`
	Responses      int64           `json:"answers"`       // Calls with a complete response of their own, FaultResponses included.
	Errors         int64           `json:"errors"`        // Calls without one.
	FaultResponses int64           `json:"faultAnswers"`  // Responses by which the bad version itself reports a failure.
	ConvergenceMS  float64         `json:"convergenceMs"` // Milliseconds from sending a change until all daemons have it in force.
	Moves          []operator.Move `json:"moves"`
	NewestRevision config.Revision `json:"revisions"` // The newest revision at the end.
	Checks         []Check         `json:"checks"`
	Events         []event.Event   `json:"-"` // Of all processes, sorted by time.
	Seed           uint64          `json:"seed"`
}

// Check is the result of one check of the demo.
type Check struct {
	Name     string `json:"name"` // The expectation.
	Held     bool   `json:"held"`
	Observed string `json:"saw"` // What was observed.
}

// Held reports whether the demo made checks and every one of them held.
func (s *Summary) Held() bool {
	for _, c := range s.Checks {
		if !c.Held {
			return false
		}
	}
	return len(s.Checks) > 0
}

// demo is the state of a running demo.
type demo struct {
	ctx     context.Context
	out     io.Writer
	fleet   *fleet.Fleet
	client  *operator.Client
	callers *callers
	summary Summary
	started time.Time
}

// moveTimeout is the time from the start of the moves to their deadline.
const moveTimeout = 14 * time.Second

var (
	zones    = []string{"sokoine", "themi", "njiro"}
	services = []string{"availability", "booking", "stock"}
)

// Run runs the demo and writes its progress to out. seed is the seed of the
// random choices of the fleet and of the callers. An error means that the demo
// could not run to its end; the summary says whether the checks held.
func Run(ctx context.Context, out io.Writer, seed uint64) (*Summary, error) {
	folder, err := os.MkdirTemp("", "endivewalk-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	// The demo is short and has few calls, so a step of a move requires fewer
	// calls than usual.
	f, err := fleet.Start(fleet.Config{DataFolder: folder, Zones: zones, Seed: seed, Policy: move.Policy{MinCalls: 5}})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	d := &demo{ctx: ctx, out: out, fleet: f, client: f.Client(), started: time.Now()}
	d.summary.Seed = seed
	if err := d.startFleet(); err != nil {
		return nil, err
	}
	if err := d.applyConfiguration(); err != nil {
		return nil, err
	}
	d.callers = startCallers(f, seed)
	defer d.callers.stop()
	for _, step := range []func() error{d.changeContract, d.moveServices, d.restartDaemon} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.summarize()
	return &d.summary, nil
}

// logf writes a line of progress with the time since the start of the demo.
func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// check records a check and prints it. format and args describe what was
// observed.
func (d *demo) check(name string, held bool, format string, args ...any) {
	c := Check{Name: name, Held: held, Observed: fmt.Sprintf(format, args...)}
	d.summary.Checks = append(d.summary.Checks, c)
	mark := "held"
	if !held {
		mark = "DID NOT HOLD"
	}
	d.logf("check %s: %s (%s)", mark, name, c.Observed)
}

// startFleet starts one daemon and one test upstream for each service in each
// data centre.
func (d *demo) startFleet() error {
	for _, service := range services {
		for i, zone := range zones {
			host := fmt.Sprintf("%s-%d", service, i+1)
			if _, err := d.fleet.StartDaemon(host, zone); err != nil {
				return err
			}
			if err := d.startStandin(host, service, "v1"); err != nil {
				return err
			}
		}
	}
	d.logf("started 3 source replicas, 9 daemons and 9 workers in 3 data centres")
	return nil
}

func (d *demo) startStandin(host, service, version string) error {
	_, err := d.fleet.StartStandin(host, standin.Config{
		ID: host + "-" + version, Service: service, Version: version, Slots: 9, Work: time.Millisecond,
	})
	return err
}

// applyConfiguration applies the example configuration, sends the same change
// again, and checks that it is in force everywhere and accepted only once.
func (d *demo) applyConfiguration() error {
	document, err := config.Parse("kilele/mesh.jsonc", examples.KileleMesh)
	if err != nil {
		return err
	}
	var out operator.Outcome
	fleet.Wait(d.ctx, 10*time.Second, func() bool {
		out, err = d.client.Apply(d.ctx, operator.Change{Request: "demo-apply", Put: document.Objects()})
		return err == nil
	})
	if err != nil {
		return err
	}
	d.logf("applied the configuration of Kilele Wax Works: %s as revision %d", out.Status, out.Revision)
	ready := fleet.Wait(d.ctx, 10*time.Second, func() bool { return d.allAtRevision(out.Revision) && d.allReady() })
	d.check("the first configuration is in force everywhere", ready, "revision %d on %d daemons", out.Revision, len(d.fleet.Daemons()))
	resent, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-apply", Put: document.Objects()})
	if err != nil {
		return err
	}
	d.check("a change sent again gets the first answer", resent.Resent && resent.Revision == out.Revision, "revision %d again", resent.Revision)
	return nil
}

// allAtRevision reports whether r or a newer revision is in force on every
// daemon.
func (d *demo) allAtRevision(r config.Revision) bool {
	for _, daemon := range d.fleet.Daemons() {
		if daemon.Hub().State().Revision() < r {
			return false
		}
	}
	return true
}

// allReady reports whether every daemon is ready and finds an upstream of stock
// in each data centre.
func (d *demo) allReady() bool {
	for _, daemon := range d.fleet.Daemons() {
		if !daemon.Ready() || len(daemon.Hub().View().Targets("stock", "v1")) < len(zones) {
			return false
		}
	}
	return true
}

// changeContract replaces one contract and measures the time until the change is
// in force on all daemons. Then it checks that a second change to the same
// revision is a conflict.
func (d *demo) changeContract() error {
	current, err := d.client.Configuration(d.ctx)
	if err != nil {
		return err
	}
	first, err := config.MakeObject(config.Contract{Team: "clubs", Limit: "9000 bench-credits"})
	if err != nil {
		return err
	}
	second, err := config.MakeObject(config.Contract{Team: "clubs", Limit: "12000 bench-credits"})
	if err != nil {
		return err
	}
	start := time.Now()
	accepted, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-change", Replaces: current.Revision, Put: []config.Object{first}})
	if err != nil {
		return err
	}
	reached := fleet.Wait(d.ctx, 10*time.Second, func() bool { return d.allAtRevision(accepted.Revision) })
	elapsed := time.Since(start)
	d.summary.ConvergenceMS = float64(elapsed.Microseconds()) / 1000
	d.logf("changed a contract: %s as revision %d, in force on all daemons after %.1f ms", accepted.Status, accepted.Revision, d.summary.ConvergenceMS)
	d.check("a change is in force everywhere within a second", reached && elapsed < time.Second, "%.1f ms", d.summary.ConvergenceMS)
	conflicting, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-race", Replaces: current.Revision, Put: []config.Object{second}})
	if err != nil {
		return err
	}
	d.check("of two changes to the same version one wins", conflicting.Status == operator.Conflict, "the other: %s", conflicting.Reason)
	return nil
}
