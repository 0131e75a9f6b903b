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

var baseTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// kileleMesh returns the objects of the example mesh.
func kileleMesh(t require.TestingT) []config.Object {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	return d.Objects()
}

func changeCommand(request string, replaces config.Revision, put ...config.Object) ledger.Command {
	return ledger.Command{Request: request, Operator: "amina", At: baseTime, Change: &ledger.Change{Replaces: replaces, Put: put}}
}

// contractObject returns the contract of team clubs with the given amount as
// its limit.
func contractObject(t require.TestingT, amount int) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: fmt.Sprintf("%d bench-credits", amount)})
	require.NoError(t, err)
	return o
}

// newLoadedState returns a state at revision 1 that holds the example mesh.
func newLoadedState(t require.TestingT) *ledger.State {
	s := ledger.New()
	out := s.Apply(changeCommand("r1", 0, kileleMesh(t)...))
	require.Equal(t, ledger.StatusAccepted, out.Status, "%v", out)
	require.Equal(t, config.Revision(1), out.Revision)
	return s
}

// Two changes of one object based on the same revision must not both be
// accepted. The conflict names the accepted change.
func TestSecondChangeOfSameRevisionConflicts(t *testing.T) {
	s := newLoadedState(t)
	first := s.Apply(changeCommand("r2", 1, contractObject(t, 7000)))
	require.Equal(t, ledger.StatusAccepted, first.Status)
	secondCommand := changeCommand("r3", 1, contractObject(t, 8000))
	secondCommand.Operator = "mathew"
	second := s.Apply(secondCommand)
	require.Equal(t, ledger.StatusConflict, second.Status)
	require.Equal(t, "r2", second.Winner.Request)
	require.Equal(t, "amina", second.Winner.Operator)
	require.Equal(t, config.Revision(2), s.Revision())
}

// Changes of different objects must not conflict, although both are based on
// the same revision.
func TestChangesOfOtherObjectsDoNotConflict(t *testing.T) {
	s := newLoadedState(t)
	require.Equal(t, ledger.StatusAccepted, s.Apply(changeCommand("r2", 1, contractObject(t, 7000))).Status)
	o, err := config.MakeObject(config.Contract{Team: "counters", Limit: "1 bench-credits"})
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, s.Apply(changeCommand("r3", 1, o)).Status)
}

// A resent request must get the stored outcome and change nothing, also on a
// state restored from a snapshot.
func TestResentRequestGetsStoredOutcome(t *testing.T) {
	s := newLoadedState(t)
	first := s.Apply(changeCommand("r2", 1, contractObject(t, 7000)))
	require.Equal(t, ledger.StatusAccepted, s.Apply(changeCommand("r3", 2, contractObject(t, 8000))).Status)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := ledger.Restore(data)
	require.NoError(t, err)
	for _, state := range []*ledger.State{s, restored} {
		resent := changeCommand("r2", 2, contractObject(t, 7000)) // A resent request may name a newer revision.
		resent.At = baseTime.Add(time.Hour)
		out := state.Apply(resent)
		require.True(t, out.Resent)
		out.Resent = false
		require.Equal(t, first, out)
		require.Equal(t, config.Revision(3), state.Revision())
	}
}

// A request id that was used for one change must not be accepted for another
// one.
func TestReusedRequestIDIsRejected(t *testing.T) {
	s := newLoadedState(t)
	s.Apply(changeCommand("r2", 1, contractObject(t, 7000)))
	out := s.Apply(changeCommand("r2", 2, contractObject(t, 9000)))
	require.Equal(t, ledger.StatusRefused, out.Status)
	require.Equal(t, config.Revision(2), s.Revision())
}

// An invalid command must be rejected with a reason and must leave the state
// unchanged.
func TestInvalidCommandsAreRejected(t *testing.T) {
	raw := func(key config.Key, body string) config.Object { return config.Object{Key: key, Body: []byte(body)} }
	for name, c := range map[string]ledger.Command{
		"a revision that does not exist":       changeCommand("x", 9, contractObject(t, 1)),
		"no request id":                        changeCommand("", 1, contractObject(t, 1)),
		"no action":                            {Request: "x", Operator: "amina"},
		"an undefined unit":                    changeCommand("x", 1, raw("contract/clubs", `{"team":"clubs","limit":"5 ponies"}`)),
		"removal of a service that routes use": {Request: "x", Operator: "a", Change: &ledger.Change{Replaces: 1, Remove: []config.Key{"service/stock"}}},
		"removal of an absent object":          {Request: "x", Operator: "a", Change: &ledger.Change{Replaces: 1, Remove: []config.Key{"service/none"}}},
		"a duplicate key":                      changeCommand("x", 1, contractObject(t, 1), contractObject(t, 2)),
		"a move object in a change":            changeCommand("x", 1, raw("move/stock", `{}`)),
		"a body that is not canonical":         changeCommand("x", 1, raw("contract/clubs", `{"limit":"5 bench-credits","team":"clubs"}`)),
		"a body that is not a JSON object":     changeCommand("x", 1, raw("contract/clubs", `[]`)),
		"a key that does not match the body":   changeCommand("x", 1, raw("contract/counters", `{"team":"clubs","limit":"5 bench-credits"}`)),
		"a version change without a move":      changeCommand("x", 1, raw("service/stock", `{"name":"stock","version":"v2","deadline":"finish"}`)),
		"a move of an unknown service":         {Request: "x", Operator: "a", At: baseTime, Begin: &ledger.BeginMove{Service: "no", To: "v2", By: baseTime.Add(time.Hour)}},
		"a move to the same version":           {Request: "x", Operator: "a", At: baseTime, Begin: &ledger.BeginMove{Service: "stock", To: "v1", By: baseTime.Add(time.Hour)}},
		"a move whose finish time has passed":  {Request: "x", Operator: "a", At: baseTime, Begin: &ledger.BeginMove{Service: "stock", To: "v2", By: baseTime}},
		"a step of an absent move":             {Request: "x", Operator: "a", At: baseTime, Step: &ledger.MoveStep{Service: "stock", State: config.MoveDone}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedState(t)
			before := s.Catalog().Digest()
			out := s.Apply(c)
			require.Equal(t, ledger.StatusRefused, out.Status, "%v", out)
			require.NotEmpty(t, out.Reason)
			require.Equal(t, config.Revision(1), s.Revision())
			require.Equal(t, before, s.Catalog().Digest())
		})
	}
}

// stepCommand returns a step of the move of service stock.
func stepCommand(request string, replaces config.Revision, share int, state config.MoveState) ledger.Command {
	return ledger.Command{Request: request, Operator: "e", At: baseTime.Add(time.Minute), Step: &ledger.MoveStep{
		Service: "stock", Replaces: replaces, Share: share, State: state, Reason: "because",
	}}
}

// A move is advanced by steps that are each based on its newest revision. It
// ends with the new version at full share, or rolled back with the old version.
func TestMoveAdvancesAndEnds(t *testing.T) {
	begin := ledger.Command{Request: "m", Operator: "amina", At: baseTime, Begin: &ledger.BeginMove{Service: "stock", To: "v2", By: baseTime.Add(time.Hour)}}
	for _, test := range []struct {
		state   config.MoveState
		version string
		share   int
	}{{config.MoveDone, "v2", config.FullShare}, {config.MoveRolledBack, "v1", 0}} {
		s := newLoadedState(t)
		require.Equal(t, config.Revision(2), s.Apply(begin).Revision)
		second := begin
		second.Request = "m2"
		require.Equal(t, ledger.StatusConflict, s.Apply(second).Status)
		require.Equal(t, config.Revision(3), s.Apply(stepCommand("s1", 2, 10, config.MoveRunning)).Revision)
		require.Equal(t, 10, s.Table().VersionSplit("stock").Share)
		require.Equal(t, ledger.StatusConflict, s.Apply(stepCommand("s2", 2, 20, config.MoveRunning)).Status, "the step is based on a revision before the first step")
		out := s.Apply(stepCommand("s3", 3, 500, test.state))
		require.Equal(t, config.Revision(4), out.Revision, "the end of a move must be a new revision")
		service, _ := s.Table().Service("stock")
		require.Equal(t, test.version, service.Version)
		m, _ := s.Table().Move("stock")
		require.Equal(t, test.share, m.Share)
		require.Equal(t, test.state, m.State)
		require.Empty(t, s.Table().VersionSplit("stock").To)
	}
}

// Applies random changes and checks that the delta from any earlier revision,
// also one made by a restored state, leads to the newest state. It guards
// against deltas that miss a change or a removal.
func TestDeltasReproduceNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLoadedState(t)
		history := []*catalog.Catalog{s.Catalog().Clone()}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := changeCommand(fmt.Sprintf("c%d", i), s.Revision())
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
