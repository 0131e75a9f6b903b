package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

var at = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func kilele(t require.TestingT) []config.Object {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	return d.Objects()
}

func change(request string, replaces config.Revision, put ...config.Object) ledger.Command {
	return ledger.Command{Request: request, Operator: "amina", At: at, Change: &ledger.Change{Replaces: replaces, Put: put}}
}

func contract(t require.TestingT, amount int) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: fmt.Sprintf("%d bench-credits", amount)})
	require.NoError(t, err)
	return o
}

func started(t require.TestingT) *ledger.State {
	s := ledger.New()
	out := s.Apply(change("r1", 0, kilele(t)...))
	require.Equal(t, ledger.StatusAccepted, out.Status, "%v", out)
	require.Equal(t, config.Revision(1), out.Revision)
	return s
}

func TestOneOfTwoEqualVersionsWins(t *testing.T) {
	s := started(t)
	won := s.Apply(change("r2", 1, contract(t, 7000)))
	require.Equal(t, ledger.StatusAccepted, won.Status)
	other := change("r3", 1, contract(t, 8000))
	other.Operator = "mathew"
	lost := s.Apply(other)
	require.Equal(t, ledger.StatusConflict, lost.Status)
	require.Equal(t, "r2", lost.Winner.Request)
	require.Equal(t, "amina", lost.Winner.Operator)
	require.Equal(t, config.Revision(2), s.Revision())
}

func TestChangesOfOtherObjectsDoNotConflict(t *testing.T) {
	s := started(t)
	require.Equal(t, ledger.StatusAccepted, s.Apply(change("r2", 1, contract(t, 7000))).Status)
	o, err := config.MakeObject(config.Contract{Team: "counters", Limit: "1 bench-credits"})
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, s.Apply(change("r3", 1, o)).Status)
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	s := started(t)
	first := s.Apply(change("r2", 1, contract(t, 7000)))
	require.Equal(t, ledger.StatusAccepted, s.Apply(change("r3", 2, contract(t, 8000))).Status)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := ledger.Restore(data)
	require.NoError(t, err)
	for _, state := range []*ledger.State{s, restored} {
		again := change("r2", 2, contract(t, 7000)) // A resend may name a newer revision.
		again.At = at.Add(time.Hour)
		out := state.Apply(again)
		require.True(t, out.Resent)
		out.Resent = false
		require.Equal(t, first, out)
		require.Equal(t, config.Revision(3), state.Revision())
	}
}

func TestRequestIDIsNotUsedTwice(t *testing.T) {
	s := started(t)
	s.Apply(change("r2", 1, contract(t, 7000)))
	out := s.Apply(change("r2", 2, contract(t, 9000)))
	require.Equal(t, ledger.StatusRefused, out.Status)
	require.Equal(t, config.Revision(2), s.Revision())
}

func TestRefusals(t *testing.T) {
	raw := func(key config.Key, body string) config.Object { return config.Object{Key: key, Body: []byte(body)} }
	for name, c := range map[string]ledger.Command{
		"a revision of the future":        change("x", 9, contract(t, 1)),
		"no request":                      change("", 1, contract(t, 1)),
		"nothing asked for":               {Request: "x", Operator: "amina"},
		"an undefined unit":               change("x", 1, raw("contract/clubs", `{"team":"clubs","limit":"5 ponies"}`)),
		"a service that routes need":      {Request: "x", Operator: "a", Change: &ledger.Change{Replaces: 1, Remove: []config.Key{"service/stock"}}},
		"a removal of nothing":            {Request: "x", Operator: "a", Change: &ledger.Change{Replaces: 1, Remove: []config.Key{"service/none"}}},
		"a key twice":                     change("x", 1, contract(t, 1), contract(t, 2)),
		"a move put by hand":              change("x", 1, raw("move/stock", `{}`)),
		"a body that is not canonical":    change("x", 1, raw("contract/clubs", `{"limit":"5 bench-credits","team":"clubs"}`)),
		"a body that is no object":        change("x", 1, raw("contract/clubs", `[]`)),
		"a key that is not the body's":    change("x", 1, raw("contract/counters", `{"team":"clubs","limit":"5 bench-credits"}`)),
		"a version changed without move":  change("x", 1, raw("service/stock", `{"name":"stock","version":"v2","deadline":"finish"}`)),
		"a move of an unknown service":    {Request: "x", Operator: "a", At: at, Begin: &ledger.Begin{Service: "no", To: "v2", By: at.Add(time.Hour)}},
		"a move to the same version":      {Request: "x", Operator: "a", At: at, Begin: &ledger.Begin{Service: "stock", To: "v1", By: at.Add(time.Hour)}},
		"a move whose time has passed":    {Request: "x", Operator: "a", At: at, Begin: &ledger.Begin{Service: "stock", To: "v2", By: at}},
		"a step of a move that is absent": {Request: "x", Operator: "a", At: at, Step: &ledger.Step{Service: "stock", State: config.MoveDone}},
	} {
		t.Run(name, func(t *testing.T) {
			s := started(t)
			before := s.Catalog().Digest()
			out := s.Apply(c)
			require.Equal(t, ledger.StatusRefused, out.Status, "%v", out)
			require.NotEmpty(t, out.Reason)
			require.Equal(t, config.Revision(1), s.Revision())
			require.Equal(t, before, s.Catalog().Digest())
		})
	}
}

func step(request string, replaces config.Revision, share int, state config.MoveState) ledger.Command {
	return ledger.Command{Request: request, Operator: "e", At: at.Add(time.Minute), Step: &ledger.Step{
		Service: "stock", Replaces: replaces, Share: share, State: state, Reason: "because",
	}}
}

func TestMoveStepsAndEnds(t *testing.T) {
	begin := ledger.Command{Request: "m", Operator: "amina", At: at, Begin: &ledger.Begin{Service: "stock", To: "v2", By: at.Add(time.Hour)}}
	for _, test := range []struct {
		state   config.MoveState
		version string
		share   int
	}{{config.MoveDone, "v2", config.FullShare}, {config.MoveRolledBack, "v1", 0}} {
		s := started(t)
		require.Equal(t, config.Revision(2), s.Apply(begin).Revision)
		second := begin
		second.Request = "m2"
		require.Equal(t, ledger.StatusConflict, s.Apply(second).Status)
		require.Equal(t, config.Revision(3), s.Apply(step("s1", 2, 10, config.MoveRunning)).Revision)
		require.Equal(t, 10, s.Table().Split("stock").Share)
		require.Equal(t, ledger.StatusConflict, s.Apply(step("s2", 2, 20, config.MoveRunning)).Status, "it crossed the first step")
		out := s.Apply(step("s3", 3, 500, test.state))
		require.Equal(t, config.Revision(4), out.Revision, "an end is a new revision too")
		service, _ := s.Table().Service("stock")
		require.Equal(t, test.version, service.Version)
		m, _ := s.Table().Move("stock")
		require.Equal(t, test.share, m.Share)
		require.Equal(t, test.state, m.State)
		require.Empty(t, s.Table().Split("stock").To)
	}
}

// TestDeltasLeadToTheSameState applies random changes and checks that the
// delta from any revision, also after a restore, leads to the newest state.
func TestDeltasLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := started(t)
		history := []*catalog.Catalog{s.Catalog().Clone()}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := change(fmt.Sprintf("c%d", i), s.Revision())
			if rapid.Bool().Draw(t, "new") {
				o, err := config.MakeObject(config.Service{Name: fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "n")), Version: "v1", Deadline: "finish"})
				require.NoError(t, err)
				c.Change.Put = []config.Object{o}
			} else {
				c.Change.Remove = []config.Key{config.MakeKey(config.KindService, fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "n")))}
			}
			if s.Apply(c).Status == ledger.StatusAccepted {
				history = append(history, s.Catalog().Clone())
			}
		}
		data, err := s.Snapshot()
		require.NoError(t, err)
		restored, err := ledger.Restore(data)
		require.NoError(t, err)
		for _, old := range history[:len(history)-1] {
			for _, newest := range []*catalog.Catalog{s.Catalog(), restored.Catalog()} {
				next, err := old.Apply(newest.Delta(old.Revision(), old.Digest()))
				require.NoError(t, err)
				require.Equal(t, newest.Entries(), next.Entries())
				require.Equal(t, newest.Digest(), next.Digest())
			}
		}
		require.Equal(t, s.Table().Digest(), restored.Table().Digest())
	})
}
