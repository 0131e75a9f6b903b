package source

import (
	"fmt"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	moveCheckInterval  = 100 * time.Millisecond
	moveLogInterval    = time.Second     // Between two lines about the evidence on a running move.
	stepTimeout        = 2 * time.Second // Timeout of one proposal of the controller.
	controllerOperator = "endivewalk"    // Operator name of the commands that the controller proposes.
)

// analyzedMove is the state that the move controller keeps for one move.
type analyzedMove struct {
	analyzer        *move.Analyzer
	start           time.Time
	decidedRevision config.Revision // Revision of the move for which a step has been proposed, or 0.
	loggedAt        time.Time       // When the evidence was last logged.
}

// runMoveController decides the steps of running moves while this replica leads,
// until the node stops. It also pins versions, and on each replica it drops the call
// statistics of moves that have ended.
func (n *Node) runMoveController() {
	analyzedMoves := map[string]*analyzedMove{}
	for n.pause(moveCheckInterval) {
		n.hub.RetainCallStats()
		if !n.IsLeader() {
			clear(analyzedMoves)
			continue
		}
		n.pinVersions()
		for _, m := range n.Moves() {
			if m.State == config.MoveRunning {
				n.decideMove(n.config.Clock(), analyzedMoves, m)
			}
		}
	}
}

// Moves returns the newest move of each service with the revision of its last
// step, as applied on this replica.
func (n *Node) Moves() []ledger.VersionedMove {
	state := n.hub.State()
	var all []ledger.VersionedMove
	for _, e := range state.Catalog().Entries() {
		if e.Object.Key.Kind() != config.KindMove {
			continue
		}
		if m, ok := state.Table().Move(e.Object.Key.Name()); ok {
			all = append(all, ledger.VersionedMove{Move: m, Revision: e.Revision})
		}
	}
	return all
}

// decideMove feeds the call statistics of a move to its analyzer and proposes a
// step if the decision changes the move.
func (n *Node) decideMove(now time.Time, analyzedMoves map[string]*analyzedMove, m ledger.VersionedMove) {
	analyzed := analyzedMoves[m.Service]
	if analyzed == nil || !analyzed.start.Equal(m.Start) {
		analyzed = &analyzedMove{analyzer: move.NewAnalyzer(n.config.Policy), start: m.Start}
		analyzedMoves[m.Service] = analyzed
		n.config.Logger.Log("msg", "analyzing a move", "service", m.Service, "from", m.From, "to", m.To,
			"share", m.Share, "revision", m.Revision, "age", now.Sub(m.Start), "left", m.By.Sub(now))
	}
	service, _ := n.hub.State().Table().Service(m.Service)
	analyzed.analyzer.Observe(now, m.Move, n.hub.CallStats(m.Service))
	decision := analyzed.analyzer.Decide(now, m.Move, n.readySlots(m.Move), service.Deadline)
	if now.Sub(analyzed.loggedAt) >= moveLogInterval {
		analyzed.loggedAt = now
		n.config.Logger.Log("msg", "evidence on a move", "service", m.Service, "to", m.To, "age", now.Sub(m.Start),
			"share", m.Share, "calls", decision.Touched, "failed", decision.Failed, "exposure", analyzed.analyzer.Exposure(now, m.Move), "evidence", analyzed.analyzer.Evidence())
	}
	if decision.State == m.State && decision.Share == m.Share && decision.Reason == m.Reason {
		return
	}
	if analyzed.decidedRevision == m.Revision {
		return // A step from this revision has been proposed already.
	}
	analyzed.decidedRevision = m.Revision
	outcome, err := n.proposeStep(now, m, decision)
	n.config.Logger.Log("msg", "step of a move", "service", m.Service, "to", m.To, "age", now.Sub(m.Start),
		"state", decision.State, "share", decision.Share, "reason", decision.Reason,
		"calls", decision.Touched, "failed", decision.Failed, "exposure", analyzed.analyzer.Exposure(now, m.Move), "slots", fmt.Sprint(n.readySlots(m.Move)),
		"replaces", m.Revision, "status", outcome.Status, "revision", outcome.Revision, "refusal", outcome.Reason,
		"took", n.config.Clock().Sub(now), "err", err)
	if err != nil {
		analyzed.decidedRevision = 0 // The next check decides and proposes again.
	}
}

// proposeStep proposes the step of m that decision asks for.
func (n *Node) proposeStep(now time.Time, m ledger.VersionedMove, decision move.Decision) (ledger.Outcome, error) {
	return n.Propose(ledger.Command{
		Request:  fmt.Sprintf("step-%s-%d-%d-%s", m.Service, m.Revision, decision.Share, decision.State),
		Operator: controllerOperator,
		Step: &ledger.MoveStep{
			Service: m.Service, Replaces: m.Revision, Share: decision.Share, State: decision.State,
			Reason: decision.Reason, Touched: decision.Touched, Failed: decision.Failed,
		},
	}, now.Add(stepTimeout))
}

// readySlots returns the number of slots of ready upstreams: of the old version,
// then of the new one.
func (n *Node) readySlots(m config.Move) [2]int {
	count := func(version string) int {
		slots := 0
		for _, t := range n.hub.View().Targets(m.Service, version) {
			if t.State == directory.StateReady {
				slots += t.Slots
			}
		}
		return slots
	}
	return [2]int{count(m.From), count(m.To)}
}

// pinVersions sets the version of each service without one to the version of its
// upstreams. Of several versions it picks the one with the most slots, and among
// equals the first in lexical order.
func (n *Node) pinVersions() {
	table := n.hub.State().Table()
	for _, name := range table.Services() {
		if s, _ := table.Service(name); s.Version != "" {
			continue
		}
		version, maxSlots := "", 0
		for v, targets := range n.hub.View().Versions(name) {
			slots := 0
			for _, t := range targets {
				slots += t.Slots
			}
			if slots > maxSlots || slots == maxSlots && v < version {
				version, maxSlots = v, slots
			}
		}
		if version == "" {
			continue
		}
		command := ledger.Command{
			Request: fmt.Sprintf("pin-%s-%s-%d", name, version, table.Revision()), Operator: controllerOperator,
			Pin: &ledger.PinVersion{Service: name, Version: version},
		}
		if _, err := n.Propose(command, n.config.Clock().Add(stepTimeout)); err != nil {
			n.config.Logger.Log("msg", "pinning the version of a service failed", "service", name, "version", version, "err", err)
		}
	}
}
