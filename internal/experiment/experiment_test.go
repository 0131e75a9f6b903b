package experiment_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/experiment"
)

// seeds are few here; the experiment command runs hundreds.
const seeds = 3

func check(t *testing.T, wanted func(experiment.Cell) bool) {
	t.Helper()
	var cells []experiment.Cell
	for _, c := range experiment.Cells {
		if wanted(c) {
			cells = append(cells, c)
		}
	}
	require.NotEmpty(t, cells)
	for _, r := range experiment.Run(experiment.Config{Seeds: seeds, Cells: cells}) {
		if r.Decision != "judge" {
			continue
		}
		require.GreaterOrEqual(t, r.Right(), experiment.TargetRight, "%+v", r)
		if r.Bad {
			require.LessOrEqual(t, r.Touched, experiment.TargetTouched, "%+v", r)
		}
	}
}

func littleAndBad(c experiment.Cell) bool { return c.Bad && strings.Contains(c.Name, "little") }

// TestMovesEndRight holds each cell against the targets: bad versions taken
// back, good ones done, and few calls touched by a bad one.
func TestMovesEndRight(t *testing.T) {
	check(t, func(c experiment.Cell) bool { return !littleAndBad(c) })
}

// TestBadVersionWithLittleTraffic holds the cell with little traffic against
// the same targets.
func TestBadVersionWithLittleTraffic(t *testing.T) { check(t, littleAndBad) }

// TestBaselineIsWorse shows that the checks can fail: the baseline does.
func TestBaselineIsWorse(t *testing.T) {
	wrong := 0
	for _, r := range experiment.Run(experiment.Config{Seeds: seeds}) {
		if r.Decision == "threshold" && r.Short() {
			wrong++
		}
	}
	require.Greater(t, wrong, 5)
}
