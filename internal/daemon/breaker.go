package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	breakerInterval = 100 * time.Millisecond
	// defaultReportInterval is the time between two reports of a daemon's evidence, which
	// keeps control bytes within bounds.
	defaultReportInterval = time.Second
)

// breakers holds the moves whose new version this daemon has stopped calling. A
// brake only lowers a share, needs no word from the source, and lasts until
// the move ends. The zero value holds none; it is safe for concurrent use.
type breakers struct {
	mutex   sync.RWMutex
	tripped map[string]time.Time // By service.
}

func (b *breakers) open(m config.Move) bool {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	start, ok := b.tripped[m.Service]
	return ok && start.Equal(m.Start)
}

func (b *breakers) trip(m config.Move) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tripped == nil {
		b.tripped = map[string]time.Time{}
	}
	b.tripped[m.Service] = m.Start
}

// localAnalyzer weighs the calls of this daemon alone.
type localAnalyzer struct {
	analyzer *move.Analyzer
	start    time.Time
}

// runBreakers reports this daemon's evidence and judges it.
func (d *Daemon) runBreakers() {
	judges := map[string]localAnalyzer{}
	for round := 0; d.pause(breakerInterval); round++ {
		running := d.runningMoves()
		d.callStats.Retain(func(service string) bool { _, ok := running[service]; return ok })
		d.hub.RetainCallStats(func(service string) bool { _, ok := running[service]; return ok })
		if len(running) == 0 {
			clear(judges)
			continue
		}
		report := d.callStats.Report()
		if round%max(1, int(d.config.ReportInterval/breakerInterval)) == 0 {
			d.hub.MergeCallStats("", report)
		}
		for service, m := range running {
			j, ok := judges[service]
			if !ok || !j.start.Equal(m.Start) {
				j = localAnalyzer{analyzer: move.NewAnalyzer(d.config.Policy), start: m.Start}
				judges[service] = j
			}
			j.analyzer.Observe(d.config.Clock(), m, report.Rows)
			d.checkBreaker(m, j.analyzer)
		}
	}
}

func (d *Daemon) checkBreaker(m config.Move, j *move.Analyzer) {
	bad, reason := j.Regressed()
	if !bad || d.breakers.open(m) {
		return
	}
	d.breakers.trip(m)
	d.config.Counters.Add("brakes", 1)
	d.config.Events.Add(d.config.Clock(), event.Event{
		Kind: "brake", Subject: m.Service, Request: m.Request,
		Text: "sends no calls to " + m.To + " any more: " + reason,
	})
}

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
