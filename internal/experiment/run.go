package experiment

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// decider decides the steps of one move. deadline is the policy for a move whose
// time runs out, such as config.DeadlineFinish.
type decider interface {
	decide(now time.Time, m config.Move, sim *simulator, deadline string) move.Decision
}

// analyzerDecider decides as the system does, by move.Analyzer.
type analyzerDecider struct{ analyzer *move.Analyzer }

func (a analyzerDecider) decide(now time.Time, m config.Move, sim *simulator, deadline string) move.Decision {
	a.analyzer.Observe(now, m, sim.callStats())
	// Both versions have 27 ready slots.
	return a.analyzer.Decide(now, m, [2]int{27, 27}, deadline)
}

// thresholdDecider is the baseline for comparison: fixed steps, and one bound on
// the fraction of the new version's calls that fail.
type thresholdDecider struct{}

const (
	thresholdFailureRate = 0.02 // Fraction of failed calls above which a move is rolled back.
	thresholdMinCalls    = 50   // Calls of the new version before that.
)

func (thresholdDecider) decide(now time.Time, m config.Move, sim *simulator, _ string) move.Decision {
	d := move.Decision{State: config.MoveRunning, Share: m.Share}
	var calls, failed int64
	for _, r := range sim.rows {
		if r.Version == m.To {
			calls += r.Calls
			failed += r.Failed
		}
	}
	switch elapsed := now.Sub(m.Start).Seconds() / m.By.Sub(m.Start).Seconds(); {
	case calls >= thresholdMinCalls && float64(failed) > thresholdFailureRate*float64(calls):
		d.State, d.Share = config.MoveRolledBack, 0
	case !now.Before(m.By):
		d.State, d.Share = config.MoveDone, config.FullShare
	default:
		// The last step is reached at 70 % of the move's time.
		steps := move.DefaultSteps
		d.Share = steps[min(int(elapsed/0.7*float64(len(steps)-1)), len(steps)-1)]
	}
	return d
}

// Config describes an experiment. Zero fields get defaults.
type Config struct {
	Seeds        int           // Runs of each cell, policy and decider. Default: 100.
	FirstSeed    uint64        // The first seed; the others follow it.
	Window       time.Duration // From the start of a move to its deadline. Default: 10 minutes.
	Cells        []Cell        // Nil means all.
	SkipBaseline bool          // Skips the baseline.
}

func (c Config) withDefaults() Config {
	if c.Seeds == 0 {
		c.Seeds = 100
	}
	if c.Window == 0 {
		c.Window = 10 * time.Minute
	}
	if c.Cells == nil {
		c.Cells = Cells
	}
	return c
}

// Result summarizes the runs of one cell with one policy and one decider.
type Result struct {
	Cell            string  `json:"cell"`
	Bad             bool    `json:"bad"`
	Policy          string  `json:"policy"`
	Decider         string  `json:"decision"` // Decider: "judge" is the analyzer, "threshold" the baseline.
	Runs            int     `json:"runs"`
	Done            int     `json:"done"`
	RolledBack      int     `json:"takenBack"`  // Runs that were rolled back.
	Touched         float64 `json:"touched"`    // Median fraction of all calls of the move's time that the fault affected.
	TouchedMax      float64 `json:"touchedMax"` // The largest such fraction.
	RollBackSeconds float64 `json:"seconds"`    // Median time from the first faulty call to the rollback, of the runs that were rolled back.
}

// CorrectFraction returns the fraction of the runs that ended correctly: rolled
// back if the version is bad, done if it is good.
func (r Result) CorrectFraction() float64 {
	if r.Bad {
		return float64(r.RolledBack) / float64(r.Runs)
	}
	return float64(r.Done) / float64(r.Runs)
}

// The targets for the results of each cell.
const (
	MinCorrectFraction = 0.99 // Smallest value of Result.CorrectFraction.
	MaxTouchedFraction = 0.01 // Largest value of Result.Touched for a bad version.
)

// MissesTarget reports whether the result misses a target.
func (r Result) MissesTarget() bool {
	return r.CorrectFraction() < MinCorrectFraction || (r.Bad && r.Touched > MaxTouchedFraction)
}

// outcome is the result of one run.
type outcome struct {
	done            bool    // The move was done, not rolled back.
	touchedFraction float64 // Fraction of all calls of the move's time that the fault affected.
	rollBackSeconds float64 // From the first faulty call to the end of the move; 0 if there was none.
}

// tickInterval is the simulated time between two decisions.
const tickInterval = 250 * time.Millisecond

// Run runs the analyzer on all cells with both deadline policies and, unless
// c.SkipBaseline is set, the baseline with one. Runs are executed in parallel,
// as many at once as there are processors for Go.
func Run(c Config) []Result {
	c = c.withDefaults()
	type job struct {
		cell        Cell
		policy      string
		deciderName string
	}
	var jobs []job
	for _, cell := range c.Cells {
		for _, policy := range []string{config.DeadlineFinish, config.DeadlineRollBack} {
			jobs = append(jobs, job{cell, policy, "judge"})
		}
		if !c.SkipBaseline {
			jobs = append(jobs, job{cell, config.DeadlineFinish, "threshold"})
		}
	}
	results := make([]Result, len(jobs))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, j := range jobs {
		group.Go(func() { results[i] = runCell(c, j.cell, j.policy, j.deciderName, slots) })
	}
	group.Wait()
	return results
}

// runCell runs all seeds of one cell with one policy and one decider. slots
// limits the number of concurrent runs of all cells.
func runCell(c Config, cell Cell, policy, deciderName string, slots chan struct{}) Result {
	outcomes := make([]outcome, c.Seeds)
	var group sync.WaitGroup
	for seed := range c.Seeds {
		group.Go(func() {
			slots <- struct{}{}
			outcomes[seed] = runMove(c, cell, policy, deciderName, c.FirstSeed+uint64(seed))
			<-slots
		})
	}
	group.Wait()
	return summarize(Result{Cell: cell.Name, Bad: cell.Bad, Policy: policy, Decider: deciderName, Runs: c.Seeds}, outcomes)
}

// summarize fills in the counts, medians and maxima of the outcomes.
func summarize(r Result, outcomes []outcome) Result {
	var touchedFractions, rollBackSeconds []float64
	for _, o := range outcomes {
		touchedFractions = append(touchedFractions, o.touchedFraction)
		if o.done {
			r.Done++
			continue
		}
		r.RolledBack++
		rollBackSeconds = append(rollBackSeconds, o.rollBackSeconds)
	}
	slices.Sort(touchedFractions)
	slices.Sort(rollBackSeconds)
	r.Touched, r.TouchedMax = touchedFractions[len(touchedFractions)/2], touchedFractions[len(touchedFractions)-1]
	if len(rollBackSeconds) > 0 {
		r.RollBackSeconds = rollBackSeconds[len(rollBackSeconds)/2]
	}
	return r
}

// runMove simulates one move from its start until it is done or rolled back.
func runMove(c Config, cell Cell, policy, deciderName string, seed uint64) outcome {
	start := time.Unix(1_800_000_000, 0)
	m := config.Move{Service: "s", From: "v1", To: "v2", Start: start, By: start.Add(c.Window), Since: start, State: config.MoveRunning}
	sim := newSimulator(cell, m, seed)
	var d decider = thresholdDecider{}
	if deciderName == "judge" {
		d = analyzerDecider{move.NewAnalyzer(move.Policy{})}
	}
	now := start
	for m.State == config.MoveRunning {
		now = now.Add(tickInterval)
		sim.simulateInterval(now, tickInterval, m.Share)
		next := d.decide(now, m, sim, policy)
		if next.Share != m.Share {
			m.Since = now
		}
		m.Share, m.State, m.Reason = next.Share, next.State, next.Reason
	}
	// The share of faulty calls is that of the whole window, also if the move
	// ends earlier.
	remainingCalls := int64(max(0, m.By.Sub(now).Seconds()) * cell.Rate)
	o := outcome{done: m.State == config.MoveDone, touchedFraction: float64(sim.faultyCalls) / float64(max(1, sim.calls+remainingCalls))}
	if !sim.firstFaultAt.IsZero() {
		o.rollBackSeconds = now.Sub(sim.firstFaultAt).Seconds()
	}
	return o
}
