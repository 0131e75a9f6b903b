// Package demo shows the whole system at work within one process: a source,
// daemons and stand-in upstreams, over real loopback sockets.
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

// Summary is what a demo found. All of it is computed from the run.
type Summary struct {
	Calls         int64           `json:"calls"`
	Answers       int64           `json:"answers"`
	Errors        int64           `json:"errors"`        // Calls without a whole answer of their own.
	FaultAnswers  int64           `json:"faultAnswers"`  // Answers of the bad version's own failing.
	ConvergenceMS float64         `json:"convergenceMs"` // From the accepted change to all daemons.
	Moves         []operator.Move `json:"moves"`
	Revisions     config.Revision `json:"revisions"`
	Checks        []Check         `json:"checks"`
	Events        []event.Event   `json:"-"`
	Seed          uint64          `json:"seed"`
}

// Check is one thing that the demo looked at.
type Check struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
	Saw  string `json:"saw"`
}

// Held reports whether every check held.
func (s *Summary) Held() bool {
	for _, c := range s.Checks {
		if !c.Held {
			return false
		}
	}
	return len(s.Checks) > 0
}

// demo is a run under way.
type demo struct {
	ctx     context.Context
	out     io.Writer
	fleet   *fleet.Fleet
	client  *operator.Client
	callers *callers
	summary Summary
	started time.Time
}

// moveTime is how long each move of the demo may take.
const moveTime = 14 * time.Second

var (
	zones    = []string{"sokoine", "themi", "njiro"}
	services = []string{"availability", "booking", "stock"}
)

// Run runs the demo and tells out what it does. The error is one that kept the
// demo from running; whether its checks held is in the summary.
func Run(ctx context.Context, out io.Writer, seed uint64) (*Summary, error) {
	folder, err := os.MkdirTemp("", "endivewalk-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	// Few calls pass in so short a time, so a step asks for less proof than in
	// earnest.
	f, err := fleet.Start(fleet.Config{Folder: folder, Zones: zones, Seed: seed, Policy: move.Policy{MinCalls: 5}})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	d := &demo{ctx: ctx, out: out, fleet: f, client: f.Client(), started: time.Now()}
	d.summary.Seed = seed
	if err := d.startFleet(); err != nil {
		return nil, err
	}
	if err := d.apply(); err != nil {
		return nil, err
	}
	d.callers = startCallers(f, seed)
	defer d.callers.stop()
	for _, step := range []func() error{d.change, d.move, d.restart} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.finish()
	return &d.summary, nil
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) check(name string, held bool, format string, args ...any) {
	c := Check{Name: name, Held: held, Saw: fmt.Sprintf(format, args...)}
	d.summary.Checks = append(d.summary.Checks, c)
	mark := "held"
	if !held {
		mark = "DID NOT HOLD"
	}
	d.say("check %s: %s (%s)", mark, name, c.Saw)
}

// startFleet starts a daemon and a worker for each service in each data centre.
func (d *demo) startFleet() error {
	for _, service := range services {
		for i, zone := range zones {
			host := fmt.Sprintf("%s-%d", service, i+1)
			if _, err := d.fleet.StartDaemon(host, zone); err != nil {
				return err
			}
			if err := d.startWorker(host, service, "v1"); err != nil {
				return err
			}
		}
	}
	d.say("started 3 source replicas, 9 daemons and 9 workers in 3 data centres")
	return nil
}

func (d *demo) startWorker(host, service, version string) error {
	_, err := d.fleet.StartStandin(host, standin.Config{
		ID: host + "-" + version, Service: service, Version: version, Slots: 9, Work: time.Millisecond,
	})
	return err
}

func (d *demo) apply() error {
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
	d.say("applied the configuration of Kilele Wax Works: %s as revision %d", out.Status, out.Revision)
	ready := fleet.Wait(d.ctx, 10*time.Second, func() bool { return d.everywhere(out.Revision) && d.allReady() })
	d.check("the first configuration is in force everywhere", ready, "revision %d on %d daemons", out.Revision, len(d.fleet.Daemons()))
	resent, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-apply", Put: document.Objects()})
	if err != nil {
		return err
	}
	d.check("a change sent again gets the first answer", resent.Resent && resent.Revision == out.Revision, "revision %d again", resent.Revision)
	return nil
}

func (d *demo) everywhere(r config.Revision) bool {
	for _, one := range d.fleet.Daemons() {
		if one.Hub().State().Revision() < r {
			return false
		}
	}
	return true
}

func (d *demo) allReady() bool {
	for _, one := range d.fleet.Daemons() {
		if !one.Ready() || len(one.Hub().View().Targets("stock", "v1")) < len(zones) {
			return false
		}
	}
	return true
}

// change puts one parameter anew, races another operator, and times how long
// the change takes to all daemons.
func (d *demo) change() error {
	now, err := d.client.Configuration(d.ctx)
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
	won, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-change", Replaces: now.Revision, Put: []config.Object{first}})
	if err != nil {
		return err
	}
	reached := fleet.Wait(d.ctx, 10*time.Second, func() bool { return d.everywhere(won.Revision) })
	took := time.Since(start)
	d.summary.ConvergenceMS = float64(took.Microseconds()) / 1000
	d.say("changed a contract: %s as revision %d, in force on all daemons after %.1f ms", won.Status, won.Revision, d.summary.ConvergenceMS)
	d.check("a change is in force everywhere within a second", reached && took < time.Second, "%.1f ms", d.summary.ConvergenceMS)
	lost, err := d.client.Apply(d.ctx, operator.Change{Request: "demo-race", Replaces: now.Revision, Put: []config.Object{second}})
	if err != nil {
		return err
	}
	d.check("of two changes to the same version one wins", lost.Status == operator.Conflict, "the other: %s", lost.Reason)
	return nil
}
