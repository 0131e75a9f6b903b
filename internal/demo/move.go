package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// move moves availability to a good version and stock to a bad one, at the
// same time.
func (d *demo) move() error {
	for _, service := range []string{"availability", "stock"} {
		for i := range zones {
			if err := d.startWorker(fmt.Sprintf("%s-%d", service, i+1), service, "v2"); err != nil {
				return err
			}
		}
	}
	for i := range zones {
		d.fleet.Standin(fmt.Sprintf("stock-%d-v2", i+1)).SetFaults(standin.Fault{Kind: standin.FaultFail, Part: 0.5})
	}
	d.say("started v2 of availability, which is good, and v2 of stock, which fails every other call")
	by := time.Now().Add(moveTime)
	for _, service := range []string{"availability", "stock"} {
		out, err := d.client.Begin(d.ctx, operator.BeginMove{Request: "demo-move-" + service, Service: service, To: "v2", By: by})
		if err != nil {
			return err
		}
		d.say("move of %s to v2: %s as revision %d", service, out.Status, out.Revision)
	}
	d.watchMoves(by)
	good, bad := d.moveOf("availability"), d.moveOf("stock")
	d.check("the good version is done in time", good.State == config.MoveDone && !good.Ended.After(by.Add(time.Second)),
		"%s at a share of %d ‰: %s", good.State, good.Share, good.Reason)
	d.check("the bad version is taken back", bad.State == config.MoveRolledBack,
		"%s: %s", bad.State, bad.Reason)
	d.check("a move taken back is a new revision", bad.Revision > 0 && d.everywhereSoon(bad.Revision), "revision %d", bad.Revision)
	d.checkSilence("stock", "v2")
	return nil
}

// watchMoves tells each step until both moves have ended.
func (d *demo) watchMoves(by time.Time) {
	told := map[string]string{}
	fleet.Wait(d.ctx, time.Until(by)+3*time.Second, func() bool {
		ended := 0
		for _, service := range []string{"availability", "stock"} {
			m := d.moveOf(service)
			line := fmt.Sprintf("%s to %s: %s, share %.1f %%, %s", service, m.To, m.State, float64(m.Share)/10, m.Reason)
			if line != told[service] {
				told[service] = line
				d.say("%s", line)
			}
			if m.State != config.MoveRunning {
				ended++
			}
		}
		return ended == 2
	})
}

func (d *demo) moveOf(service string) operator.Move {
	moves, err := d.client.Moves(d.ctx)
	if err != nil {
		return operator.Move{}
	}
	i := slices.IndexFunc(moves, func(m operator.Move) bool { return m.Service == service })
	if i < 0 {
		return operator.Move{}
	}
	return moves[i]
}

func (d *demo) everywhereSoon(r config.Revision) bool {
	return fleet.Wait(d.ctx, 5*time.Second, func() bool { return d.everywhere(r) })
}

// checkSilence looks whether a version that was taken back gets no calls.
func (d *demo) checkSilence(service, version string) {
	runs := func() int {
		sum := 0
		for i := range zones {
			sum += len(d.fleet.Standin(fmt.Sprintf("%s-%d-%s", service, i+1, version)).Runs())
		}
		return sum
	}
	time.Sleep(200 * time.Millisecond)
	before := runs()
	time.Sleep(500 * time.Millisecond)
	d.check("the version taken back gets no calls", runs() == before, "%d runs before and after half a second", before)
}

// restart has a daemon leave while calls go on, and starts it again.
func (d *demo) restart() error {
	const host = "booking-2"
	before := d.fleet.Daemon(host).Hub().State().Revision()
	d.callers.avoid(host)
	if err := d.fleet.LeaveDaemon(d.ctx, host); err != nil {
		return err
	}
	d.say("the daemon %s, which had revision %d, has left", host, before)
	start := time.Now()
	again, err := d.fleet.StartDaemon(host, zones[1])
	if err != nil {
		return err
	}
	lowest := config.Revision(0)
	ready := fleet.Wait(d.ctx, 10*time.Second, func() bool {
		if !again.Ready() {
			return false
		}
		lowest = again.Hub().State().Revision()
		return true
	})
	d.say("started it again; ready after %.0f ms", float64(time.Since(start).Milliseconds()))
	d.check("a restarted daemon serves nothing older than before", ready && lowest >= before, "it had %d and serves %d", before, lowest)
	return nil
}

// finish stops the callers and adds up.
func (d *demo) finish() {
	d.callers.stop()
	s := &d.summary
	s.Calls, s.Answers, s.Errors, s.FaultAnswers = d.callers.totals()
	first := ""
	if what := d.callers.first.Load(); what != nil {
		first = "; first error: " + *what
	}
	d.check("every call got the whole answer to its own request", s.Errors == 0 && s.Answers == s.Calls,
		"%d calls, %d answers, of them %d failures of the bad version%s", s.Calls, s.Answers, s.FaultAnswers, first)
	d.check("no booking ran twice", d.twice() == 0, "%d ran twice", d.twice())
	if moves, err := d.client.Moves(d.ctx); err == nil {
		s.Moves = moves
	}
	if now, err := d.client.Configuration(d.ctx); err == nil {
		s.Revisions = now.Revision
	}
	d.collectEvents()
}

// twice counts the bookings that ran more than once.
func (d *demo) twice() int {
	runs := map[string]int{}
	for i := range zones {
		for _, r := range d.fleet.Standin(fmt.Sprintf("booking-%d-v1", i+1)).Runs() {
			if strings.HasPrefix(r.Route, "POST") {
				runs[r.ID]++
			}
		}
	}
	count := 0
	for _, n := range runs {
		if n > 1 {
			count++
		}
	}
	return count
}

func (d *demo) collectEvents() {
	var all []event.Event
	for i := range d.fleet.Replicas() {
		all = append(all, d.fleet.Replica(i).Config.Events.Since(d.started)...)
	}
	for _, one := range d.fleet.Daemons() {
		all = append(all, one.Events().Since(d.started)...)
	}
	slices.SortStableFunc(all, func(a, b event.Event) int { return a.Time.Compare(b.Time) })
	d.summary.Events = all
}
