package ledger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/ledger"
)

func retireCommand(host, id string, start int64) ledger.Command {
	return ledger.Command{
		Request: fmt.Sprint("retire-", host, id, start), Operator: "endivewalk", At: baseTime, Rules: ledger.CurrentRules,
		Retire: &ledger.Retire{Host: host, Retirement: directory.Retirement{ID: id, Start: start}},
	}
}

// A retirement must be kept, through snapshots too, and make no revision, so that the
// daemons need not fetch anything.
func TestRetirementIsKept(t *testing.T) {
	s := newLoadedState(t)
	before := s.Revision()
	for _, c := range []ledger.Command{
		retireCommand("d1", "w", 5), retireCommand("d1", "w", 7), retireCommand("d1", "w", 6), retireCommand("d1", "x", 1), retireCommand("d2", "w", 9),
	} {
		require.Equal(t, ledger.StatusAccepted, s.Apply(c).Status)
		require.Equal(t, ledger.StatusAccepted, s.Apply(c).Status, "a repeated command is accepted again")
	}
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := ledger.Restore(data)
	require.NoError(t, err)
	for _, s := range []*ledger.State{s, restored} {
		require.Equal(t, before, s.Revision())
		require.ElementsMatch(t, []directory.Retirement{{ID: "w", Start: 7}, {ID: "x", Start: 1}}, s.RetirementsByHost()["d1"])
		require.Equal(t, []directory.Retirement{{ID: "w", Start: 9}}, s.RetirementsByHost()["d2"])
		require.Empty(t, s.RetirementsByHost()["d3"])
	}
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// The oldest retirements are dropped, so that the state stays bounded.
func TestRetirementsAreBounded(t *testing.T) {
	s := ledger.New()
	const count, kept = 20_000, 1 << 14
	for i := range count {
		s.Apply(retireCommand(fmt.Sprint("d", i), "w", 1))
	}
	byHost := s.RetirementsByHost()
	require.Len(t, byHost, kept)
	require.Empty(t, byHost[fmt.Sprint("d", count-kept-1)])
	require.Len(t, byHost[fmt.Sprint("d", count-kept)], 1)
	require.Len(t, byHost[fmt.Sprint("d", count-1)], 1)
}

// An invalid retirement is refused by every build that knows retirements.
func TestInvalidRetirementIsRefused(t *testing.T) {
	for _, c := range []ledger.Command{retireCommand("No Host", "w", 1), retireCommand("d", "", 1), retireCommand("d", "w", -1)} {
		require.ErrorIs(t, c.Check(), ledger.ErrInvalid)
		s := ledger.New()
		require.Equal(t, ledger.StatusRefused, s.Apply(c).Status)
		require.Empty(t, s.RetirementsByHost())
	}
}
