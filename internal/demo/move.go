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

// moveServices moves availability to a good version and, at the same time, stock
// to a bad one. It checks that the first move is done in time and that the
// second is rolled back.
func (d *demo) moveServices() error {
	for _, service := range []string{"availability", "stock"} {
		for i := range zones {
			if err := d.startStandin(fmt.Sprintf("%s-%d", service, i+1), service, "v2"); err != nil {
				return err
			}
		}
	}
	for i := range zones {
		d.fleet.Standin(fmt.Sprintf("stock-%d-v2", i+1)).SetFaults(standin.Fault{Kind: standin.FaultFail, Fraction: 0.5})
	}
	d.logf("started v2 of availability, which is good, and v2 of stock, which fails every other call")
	by := time.Now().Add(moveTimeout)
	for _, service := range []string{"availability", "stock"} {
		out, err := d.client.Begin(d.ctx, operator.BeginMove{Request: "demo-move-" + service, Service: service, To: "v2", By: by})
		if err != nil {
			return err
		}
		d.logf("move of %s to v2: %s as revision %d", service, out.Status, out.Revision)
	}
	d.waitForMoves(by)
	goodMove, badMove := d.latestMove("availability"), d.latestMove("stock")
	d.check("the good version is done in time", goodMove.State == config.MoveDone && !goodMove.Ended.After(by.Add(time.Second)),
		"%s at a share of %d ‰: %s", goodMove.State, goodMove.Share, goodMove.Reason)
	d.check("the bad version is taken back", badMove.State == config.MoveRolledBack,
		"%s: %s", badMove.State, badMove.Reason)
	d.check("a move taken back is a new revision", badMove.Revision > 0 && d.waitAllAtRevision(badMove.Revision), "revision %d", badMove.Revision)
	d.checkNoCalls("stock", "v2")
	return nil
}

// waitForMoves prints each step of the moves until both have ended, or until 3 s
// after the deadline by.
func (d *demo) waitForMoves(by time.Time) {
	printed := map[string]string{}
	fleet.Wait(d.ctx, time.Until(by)+3*time.Second, func() bool {
		ended := 0
		for _, service := range []string{"availability", "stock"} {
			m := d.latestMove(service)
			line := fmt.Sprintf("%s to %s: %s, share %.1f %%, %s", service, m.To, m.State, float64(m.Share)/10, m.Reason)
			if line != printed[service] {
				printed[service] = line
				d.logf("%s", line)
			}
			if m.State != config.MoveRunning {
				ended++
			}
		}
		return ended == 2
	})
}

// latestMove returns the newest move of a service, or the zero value if it is
// unknown.
func (d *demo) latestMove(service string) operator.Move {
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

// waitAllAtRevision waits up to 5 s until allAtRevision(r), and reports whether it is.
func (d *demo) waitAllAtRevision(r config.Revision) bool {
	return fleet.Wait(d.ctx, 5*time.Second, func() bool { return d.allAtRevision(r) })
}

// checkNoCalls checks that a version that was rolled back gets no calls.
func (d *demo) checkNoCalls(service, version string) {
	countExecutions := func() int {
		total := 0
		for i := range zones {
			total += len(d.fleet.Standin(fmt.Sprintf("%s-%d-%s", service, i+1, version)).Executions())
		}
		return total
	}
	time.Sleep(200 * time.Millisecond)
	before := countExecutions()
	time.Sleep(500 * time.Millisecond)
	d.check("the version taken back gets no calls", countExecutions() == before, "%d runs before and after half a second", before)
}

// restartDaemon stops a daemon gracefully while calls to the others go on, and
// starts it again. It checks that the daemon serves no older revision than
// before as soon as it is ready.
func (d *demo) restartDaemon() error {
	const host = "booking-2"
	before := d.fleet.Daemon(host).Hub().State().Revision()
	d.callers.avoid(host)
	if err := d.fleet.LeaveDaemon(d.ctx, host); err != nil {
		return err
	}
	d.logf("the daemon %s, which had revision %d, has left", host, before)
	start := time.Now()
	restarted, err := d.fleet.StartDaemon(host, zones[1])
	if err != nil {
		return err
	}
	lowest := config.Revision(0)
	ready := fleet.Wait(d.ctx, 10*time.Second, func() bool {
		if !restarted.Ready() {
			return false
		}
		lowest = restarted.Hub().State().Revision()
		return true
	})
	d.logf("started it again; ready after %.0f ms", float64(time.Since(start).Milliseconds()))
	d.check("a restarted daemon serves nothing older than before", ready && lowest >= before, "it had %d and serves %d", before, lowest)
	return nil
}

// summarize stops the callers, checks their results and completes the summary.
func (d *demo) summarize() {
	d.callers.stop()
	s := &d.summary
	s.Calls, s.Responses, s.Errors, s.FaultResponses = d.callers.totals()
	firstError := ""
	if failure := d.callers.firstFailure.Load(); failure != nil {
		firstError = "; first error: " + *failure
	}
	d.check("every call got the whole answer to its own request", s.Errors == 0 && s.Responses == s.Calls,
		"%d calls, %d answers, of them %d failures of the bad version%s", s.Calls, s.Responses, s.FaultResponses, firstError)
	d.check("no booking ran twice", d.countRepeatedBookings() == 0, "%d ran twice", d.countRepeatedBookings())
	if moves, err := d.client.Moves(d.ctx); err == nil {
		s.Moves = moves
	}
	if current, err := d.client.Configuration(d.ctx); err == nil {
		s.NewestRevision = current.Revision
	}
	d.collectEvents()
}

// countRepeatedBookings returns the number of bookings that were executed more
// than once.
func (d *demo) countRepeatedBookings() int {
	executions := map[string]int{}
	for i := range zones {
		for _, r := range d.fleet.Standin(fmt.Sprintf("booking-%d-v1", i+1)).Executions() {
			if strings.HasPrefix(r.Route, "POST") {
				executions[r.ID]++
			}
		}
	}
	count := 0
	for _, n := range executions {
		if n > 1 {
			count++
		}
	}
	return count
}

// collectEvents gathers the events of all processes, sorted by time.
func (d *demo) collectEvents() {
	var all []event.Event
	for i := range d.fleet.Replicas() {
		all = append(all, d.fleet.Replica(i).Config.Events.Since(d.started)...)
	}
	for _, daemon := range d.fleet.Daemons() {
		all = append(all, daemon.Events().Since(d.started)...)
	}
	slices.SortStableFunc(all, func(a, b event.Event) int { return a.Time.Compare(b.Time) })
	d.summary.Events = all
}
