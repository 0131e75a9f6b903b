package daemon

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	brakePause = 100 * time.Millisecond
	// defaultTell is the time between two reports of a daemon's evidence, which
	// keeps control bytes within bounds.
	defaultTell = time.Second
)

// brakes holds the moves whose new version this daemon has stopped calling. A
// brake only lowers a share, needs no word from the source, and lasts until
// the move ends. The zero value holds none; it is safe for concurrent use.
type brakes struct {
	mutex  sync.RWMutex
	starts map[string]time.Time // By service.
}

func (b *brakes) braked(m config.Move) bool {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	start, ok := b.starts[m.Service]
	return ok && start.Equal(m.Start)
}

func (b *brakes) set(m config.Move) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.starts == nil {
		b.starts = map[string]time.Time{}
	}
	b.starts[m.Service] = m.Start
}

// ownJudge weighs the calls of this daemon alone.
type ownJudge struct {
	judge *move.Judge
	start time.Time
}

// runBrakes reports this daemon's evidence and judges it.
func (d *Daemon) runBrakes() {
	judges := map[string]ownJudge{}
	for round := 0; d.pause(brakePause); round++ {
		running := d.runningMoves()
		d.evidence.Keep(func(service string) bool { _, ok := running[service]; return ok })
		d.hub.KeepEvidence(func(service string) bool { _, ok := running[service]; return ok })
		if len(running) == 0 {
			clear(judges)
			continue
		}
		report := d.evidence.Report()
		if round%max(1, int(d.config.Tell/brakePause)) == 0 {
			d.hub.MergeEvidence("", report)
		}
		for service, m := range running {
			j, ok := judges[service]
			if !ok || !j.start.Equal(m.Start) {
				j = ownJudge{judge: move.NewJudge(d.config.Policy), start: m.Start}
				judges[service] = j
			}
			j.judge.Observe(d.config.Clock(), m, report.Rows)
			d.brake(m, j.judge)
		}
	}
}

func (d *Daemon) brake(m config.Move, j *move.Judge) {
	bad, reason := j.Bad()
	if !bad || d.brakes.braked(m) {
		return
	}
	d.brakes.set(m)
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
