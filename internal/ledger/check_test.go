package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// negativeLimits is a Fleet of the given version that no replica can decode.
func negativeLimits(version uint64) config.Object {
	return config.Object{Key: config.FleetKey, Body: fmt.Appendf(nil, `{"version":%d,"limits":{"idleTime":"-1s"}}`, version)}
}

// Guards against entries that end each replica at each start: a replacement that
// cannot be expanded must be refused by whoever applies it, whatever build wrote it,
// and must change nothing.
func TestReplacementThatCannotBeExpandedIsRefused(t *testing.T) {
	route := func(service string) config.Object {
		return mustObject(t, config.HostRoute{
			Name: "r-b", Host: "b.example", Prefix: "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second),
			Attempts: 1, Split: []config.Destination{{Service: service, Weight: 1}},
		})
	}
	fleet := mustObject(t, config.Fleet{Version: 2})
	for name, r := range map[string]ledger.Replace{
		"limit that cannot be read":        {Put: []config.Object{negativeLimits(2)}},
		"service dropped under its route":  {Put: []config.Object{fleet}, Remove: []config.Key{"service/b"}},
		"route moved to a dropped service": {Put: []config.Object{fleet, route("a")}, Remove: []config.Key{"service/a", "route/none"}},
		"route of an unknown service":      {Put: []config.Object{fleet, route("c")}},
		"no version":                       {Put: []config.Object{route("a")}},
		"another version":                  {Put: []config.Object{mustObject(t, config.Fleet{Version: 3})}},
		"object put twice":                 {Put: []config.Object{fleet, fleet}},
		"object put and removed":           {Put: []config.Object{fleet, route("a")}, Remove: []config.Key{route("a").Key}},
		"unreadable route":                 {Put: []config.Object{fleet, {Key: route("a").Key, Body: []byte(`{"timeout":"-1s"}`)}}},
		"unreadable service":               {Put: []config.Object{fleet, {Key: "service/b", Body: []byte(`{"name":7}`)}}},
		"service without a deadline":       {Put: []config.Object{fleet, {Key: "service/c", Body: []byte(`{"name":"c","version":"","deadline":""}`)}}},
	} {
		for rules := range ledger.CurrentRules + 1 {
			s := ledger.New()
			require.Equal(t, ledger.StatusAccepted, s.Apply(replaceCommand(t, s, "first", 0, fullConfig(1, "a", "b"))).Status)
			before := s.Table().Digest()
			r.Base, r.Version, r.Origin = 1, 2, []byte("bad")
			command := ledger.Command{Request: "bad", Operator: "o", At: time.Unix(1, 0), Replace: &r, Rules: rules}
			out := s.Apply(command)
			require.Equal(t, ledger.StatusRefused, out.Status, name)
			require.NotEmpty(t, out.Reason, name)
			require.Equal(t, before, s.Table().Digest(), name)
			require.Equal(t, uint64(1), s.Version(), name)
			require.Equal(t, "first", string(s.Origin()), name)
			require.True(t, s.Apply(command).Resent, name)
			require.Equal(t, ledger.StatusAccepted, s.Apply(replaceCommand(t, s, "next", 1, fullConfig(2, "a"))).Status, name)
			require.Equal(t, uint64(2), s.Table().Fleet().Version, name)
		}
	}
}

// A replacement that sets the version of a service whose move is running must be
// refused: only the move's end changes it.
func TestReplacementDuringMoveKeepsVersion(t *testing.T) {
	s := ledger.New()
	s.Apply(replaceCommand(t, s, "first", 0, fullConfig(1, "a")))
	s.Apply(ledger.Command{Request: "pin", Operator: "o", Pin: &ledger.PinVersion{Service: "a", Version: "v1"}})
	begin := ledger.Command{Request: "move", Operator: "o", At: time.Unix(1, 0), Begin: &ledger.BeginMove{Service: "a", To: "v2", By: time.Unix(60, 0)}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(begin).Status)
	c := fullConfig(2, "a")
	c.Services[0].Version = "v7"
	require.Equal(t, ledger.StatusRefused, s.Apply(replaceCommand(t, s, "other version", 1, c)).Status)
	require.Equal(t, "v1", s.Table().VersionSplit("a").From)
	require.Equal(t, ledger.StatusAccepted, s.Apply(replaceCommand(t, s, "same version", 1, fullConfig(2, "a"))).Status)
	require.Equal(t, "v2", s.Table().VersionSplit("a").To)
}

// The check of a replacement expands only what it affects. It must decide as the
// expansion of the whole result would, for any put and removed objects.
func TestReplacementCheckAgreesWithExpansion(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := ledger.New()
		version := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "replacements") {
			fleet, _ := config.MakeObject(config.Fleet{Version: version + 1})
			r := ledger.Replace{Base: version, Version: version + 1, Put: []config.Object{fleet}}
			for _, n := range names {
				switch rapid.IntRange(0, 3).Draw(t, "service") {
				case 1:
					o, _ := config.MakeObject(config.Service{Name: n, Deadline: config.DeadlineRollBack})
					r.Put = append(r.Put, o)
				case 2:
					r.Remove = append(r.Remove, config.MakeKey(config.KindService, n))
				}
				host := config.HostRoute{
					Name: "r", Host: n, Prefix: "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second), Attempts: 1,
					Split: []config.Destination{{Service: rapid.SampledFrom(names).Draw(t, "destination"), Weight: 1}},
				}
				switch rapid.IntRange(0, 3).Draw(t, "route") {
				case 1:
					o, _ := config.MakeObject(host)
					r.Put = append(r.Put, o)
				case 2:
					r.Remove = append(r.Remove, host.Key())
				}
			}
			objects := s.Catalog().Objects()
			for _, o := range r.Put {
				objects[o.Key] = o
			}
			for _, k := range r.Remove {
				delete(objects, k)
			}
			var b expand.Builder
			_, err := b.Build(s.Revision()+1, objects)
			out := s.Apply(ledger.Command{Request: fmt.Sprint(version, len(objects), err), Operator: "o", At: time.Unix(1, 0), Replace: &r})
			if err != nil {
				require.Equal(t, ledger.StatusRefused, out.Status, "%v", err)
				continue
			}
			require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
			version++
			s.Table()
		}
	})
}

// Objects that no daemon could serve under, and states that no move has, must be
// refused in new entries. Entries of older builds must be decided as then, or
// replicas that have applied them would differ from those that have not.
func TestObjectsAreCheckedByThemselves(t *testing.T) {
	route := config.HostRoute{
		Name: "r", Host: "h", Prefix: "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second),
		Attempts: 1, Split: []config.Destination{{Service: "stock", Weight: 1}},
	}
	noAttempts, noWeight, odd := route, route, route
	noAttempts.Attempts = 0
	noWeight.Split = []config.Destination{{Service: "stock", Weight: 0}}
	odd.Split = nil
	for _, r := range []config.HostRoute{noAttempts, noWeight, odd} {
		c := changeCommand("odd", 1, mustObject(t, r))
		require.Equal(t, ledger.StatusAccepted, newLoadedState(t).Apply(c).Status)
		c.Rules = ledger.CurrentRules
		require.ErrorIs(t, c.Check(), ledger.ErrInvalid)
		s := newLoadedState(t)
		require.Equal(t, ledger.StatusRefused, s.Apply(c).Status)
		c.Rules = 0
		require.True(t, s.Apply(c).Resent, "the rules must not make it another request")
	}
	good := changeCommand("good", 1, mustObject(t, route))
	good.Rules = ledger.CurrentRules
	require.NoError(t, good.Check())
	require.Equal(t, ledger.StatusAccepted, newLoadedState(t).Apply(good).Status)
	step := ledger.Command{Request: "step", Operator: "o", Rules: ledger.CurrentRules, Step: &ledger.MoveStep{Service: "stock", State: "half"}}
	require.ErrorIs(t, step.Check(), ledger.ErrInvalid)
	require.Equal(t, ledger.StatusRefused, newLoadedState(t).Apply(step).Status)
}

// Refusing a command that was decided before must return the first outcome.
func TestRefuseReturnsPreviousOutcome(t *testing.T) {
	s := newLoadedState(t)
	c := changeCommand("odd", 1, negativeLimits(1))
	out := s.Refuse(c, c.Check())
	require.Equal(t, ledger.StatusRefused, out.Status)
	require.False(t, out.Resent)
	first := s.Apply(c)
	require.Equal(t, first.Reason, s.Refuse(c, c.Check()).Reason)
	require.True(t, s.Refuse(c, c.Check()).Resent)
}
