package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// breakerInterval is the time between two checks of the running moves.
	breakerInterval = 100 * time.Millisecond
	// defaultReportInterval is the time between two reports of a daemon's call
	// statistics. It limits the control traffic.
	defaultReportInterval = time.Second
	// choiceLogInterval is the time between two lines about the choice of versions while
	// a move is running.
	choiceLogInterval = time.Second
)

// breakers holds the open circuit breakers of moves: the moves whose new version
// this daemon no longer calls. A breaker only lowers the share of the new
// version, opens without a decision by the source, and stays open until the move
// ends. In counters and events it is a "brake". The zero value has no open
// breaker. It is safe for concurrent use.
type breakers struct {
	mutex      sync.RWMutex
	moveStarts map[string]time.Time // Start of the move, by service.
}

// open reports whether the breaker of m is open. The start time tells m from an
// earlier move of the same service.
func (b *breakers) open(m config.Move) bool {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	start, ok := b.moveStarts[m.Service]
	return ok && start.Equal(m.Start)
}

// trip opens the breaker of m.
func (b *breakers) trip(m config.Move) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.moveStarts == nil {
		b.moveStarts = map[string]time.Time{}
	}
	b.moveStarts[m.Service] = m.Start
}

// localAnalyzer analyzes one move by the calls of this daemon alone.
type localAnalyzer struct {
	analyzer *move.Analyzer
	start    time.Time // Of the move.
}

// runBreakers merges this daemon's call statistics of running moves into the hub
// every ReportInterval, and checks their breakers every breakerInterval, until the
// daemon stops.
func (d *Daemon) runBreakers() {
	analyzers := map[string]localAnalyzer{}
	logged := int64(0)
	for round := 0; d.pause(breakerInterval); round++ {
		running := d.runningMoves()
		d.callStats.Retain(func(service string) bool { _, ok := running[service]; return ok })
		d.hub.RetainCallStats()
		if len(running) == 0 {
			clear(analyzers)
			continue
		}
		report := d.callStats.Report()
		if round%max(1, int(d.config.ReportInterval/breakerInterval)) == 0 {
			d.hub.MergeCallStats("", report)
		}
		if round%int(choiceLogInterval/breakerInterval) == 0 {
			logged = d.logChoices(logged)
		}
		for service, m := range running {
			a, ok := analyzers[service]
			if !ok || !a.start.Equal(m.Start) {
				a = localAnalyzer{analyzer: move.NewAnalyzer(d.config.Policy), start: m.Start}
				analyzers[service] = a
			}
			a.analyzer.Observe(d.config.Clock(), m, report.Rows)
			d.checkBreaker(m, a.analyzer)
		}
	}
}

// logChoices logs how many calls got their version for which reason since this process
// started, unless these are as many as in the previous line. It returns the number.
func (d *Daemon) logChoices(logged int64) int64 {
	sum := int64(0)
	line := []any{"msg", "calls by choice of version"}
	for _, reason := range move.Reasons() {
		n := d.config.Counters.Get(caller.ChoiceCounter(reason))
		line = append(line, string(reason), n)
		sum += n
	}
	if sum != logged {
		d.config.Logger.Log(line...)
	}
	return sum
}

// checkBreaker opens the breaker of m if the new version has regressed.
func (d *Daemon) checkBreaker(m config.Move, a *move.Analyzer) {
	regressed, reason := a.Regressed()
	if !regressed || d.breakers.open(m) {
		return
	}
	d.breakers.trip(m)
	d.config.Counters.Add("brakes", 1)
	d.config.Logger.Log("msg", "opened the circuit breaker of a move", "service", m.Service, "to", m.To, "share", m.Share, "reason", reason)
	d.config.Events.Add(d.config.Clock(), event.Event{
		Kind: "brake", Subject: m.Service, Request: m.Request,
		Text: "sends no calls to " + m.To + " any more: " + reason,
	})
}

// runningMoves returns the running moves by service.
func (d *Daemon) runningMoves() map[string]config.Move {
	running := map[string]config.Move{}
	table := d.hub.State().Table()
	for _, service := range table.Services() {
		if m, ok := table.Move(service); ok && m.State == config.MoveRunning {
			running[service] = m
		}
	}
	return running
}
