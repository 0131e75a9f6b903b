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
	movePause      = 100 * time.Millisecond
	stepTimeout    = 2 * time.Second
	controllerName = "endivewalk" // The operator in whose name steps are taken.
)

// analyzedMove is the analyzer of one move, and the revision of the last step decided
// upon.
type analyzedMove struct {
	analyzer *move.Analyzer
	start    time.Time
	decided  config.Revision
}

// runMoveController decides the steps of moves while this replica leads.
func (n *Node) runMoveController() {
	judges := map[string]*analyzedMove{}
	for n.pause(movePause) {
		if !n.IsLeader() {
			clear(judges)
			continue
		}
		n.pinVersions()
		running := map[string]bool{}
		for _, m := range n.Moves() {
			if m.State == config.MoveRunning {
				running[m.Service] = true
				n.decideMove(judges, m)
			}
		}
		n.hub.RetainCallStats(func(service string) bool { return running[service] })
	}
}

// Moves returns the newest move of each service.
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

func (n *Node) decideMove(judges map[string]*analyzedMove, m ledger.VersionedMove) {
	j := judges[m.Service]
	if j == nil || !j.start.Equal(m.Start) {
		j = &analyzedMove{analyzer: move.NewAnalyzer(n.config.Policy), start: m.Start}
		judges[m.Service] = j
	}
	service, _ := n.hub.State().Table().Service(m.Service)
	j.analyzer.Observe(n.config.Clock(), m.Move, n.hub.CallStats(m.Service))
	d := j.analyzer.Decide(n.config.Clock(), m.Move, n.readySlots(m.Move), service.Deadline)
	if d.State == m.State && d.Share == m.Share && d.Reason == m.Reason {
		return
	}
	if j.decided == m.Revision {
		return // That step is on its way.
	}
	j.decided = m.Revision
	command := ledger.Command{
		Request:  fmt.Sprintf("step-%s-%d-%d-%s", m.Service, m.Revision, d.Share, d.State),
		Operator: controllerName,
		Step: &ledger.Step{
			Service: m.Service, Replaces: m.Revision, Share: d.Share, State: d.State,
			Reason: d.Reason, Touched: d.Touched, Failed: d.Failed,
		},
	}
	if _, err := n.Propose(command, n.config.Clock().Add(stepTimeout)); err != nil {
		j.decided = 0
	}
}

// readySlots returns how many slots of the old and the new version take work.
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

// pinVersions sets the version of services that have none to that of their
// upstreams. Of several versions, the one with the most slots is taken.
func (n *Node) pinVersions() {
	table := n.hub.State().Table()
	for _, name := range table.Services() {
		if s, _ := table.Service(name); s.Version != "" {
			continue
		}
		version, most := "", 0
		for v, targets := range n.hub.View().Versions(name) {
			slots := 0
			for _, t := range targets {
				slots += t.Slots
			}
			if slots > most || slots == most && v < version {
				version, most = v, slots
			}
		}
		if version == "" {
			continue
		}
		command := ledger.Command{
			Request: fmt.Sprintf("pin-%s-%s-%d", name, version, table.Revision()), Operator: controllerName,
			Pin: &ledger.Pin{Service: name, Version: version},
		}
		if _, err := n.Propose(command, n.config.Clock().Add(stepTimeout)); err != nil {
			n.config.Logger.Log("msg", "version not pinned", "service", name, "version", version, "err", err)
		}
	}
}
