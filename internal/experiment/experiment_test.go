package experiment_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/experiment"
)

// Numbers of seeds of each cell. Most cells run with few; the experiment command
// runs hundreds. Cells with little traffic need hundreds, because a run has only
// about a dozen calls that matter and three runs do not determine the median.
// They are fast enough for that.
const (
	defaultSeeds        = 3
	lowTrafficBadSeeds  = 300
	lowTrafficGoodSeeds = 100 // Fewer, since the move of a good version takes all of its time.
)

// checkTargets runs the analyzer on the cells that include selects and checks the
// results against the targets.
func checkTargets(t *testing.T, seeds int, include func(experiment.Cell) bool) {
	t.Helper()
	var cells []experiment.Cell
	for _, c := range experiment.Cells {
		if include(c) {
			cells = append(cells, c)
		}
	}
	require.NotEmpty(t, cells)
	for _, r := range experiment.Run(experiment.Config{Seeds: seeds, Cells: cells, SkipBaseline: true}) {
		require.Equal(t, "judge", r.Decider)
		require.GreaterOrEqual(t, r.CorrectFraction(), experiment.MinCorrectFraction, "%+v", r)
		if r.Bad {
			require.LessOrEqual(t, r.Touched, experiment.MaxTouchedFraction, "%+v", r)
		}
	}
}

func hasLittleTraffic(c experiment.Cell) bool { return strings.Contains(c.Name, "little") }

// TestMovesMeetTargets checks that bad versions are rolled back after few calls,
// and that the moves of good versions are done, in all cells with ordinary
// traffic.
func TestMovesMeetTargets(t *testing.T) {
	checkTargets(t, defaultSeeds, func(c experiment.Cell) bool { return !hasLittleTraffic(c) })
}

// TestBadVersionWithLittleTrafficIsRolledBack checks the same targets for a bad
// version of a service with little traffic, where few calls show the fault.
func TestBadVersionWithLittleTrafficIsRolledBack(t *testing.T) {
	checkTargets(t, lowTrafficBadSeeds, func(c experiment.Cell) bool { return c.Bad && hasLittleTraffic(c) })
}

// TestGoodVersionWithLittleTrafficIsDone checks that a good version of a service
// with little traffic is not rolled back.
func TestGoodVersionWithLittleTrafficIsDone(t *testing.T) {
	checkTargets(t, lowTrafficGoodSeeds, func(c experiment.Cell) bool { return !c.Bad && hasLittleTraffic(c) })
}

// TestBaselineMissesTargets shows that the targets can be missed: the baseline
// misses them in more than five cells.
func TestBaselineMissesTargets(t *testing.T) {
	missed := 0
	for _, r := range experiment.Run(experiment.Config{Seeds: defaultSeeds}) {
		if r.Decider == "threshold" && r.MissesTarget() {
			missed++
		}
	}
	require.Greater(t, missed, 5)
}
