package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// fullConfig returns a full configuration with the given services and one route
// to each.
func fullConfig(version uint64, services ...string) config.Config {
	c := config.Config{Version: version}
	for _, s := range services {
		c.Services = append(c.Services, config.Service{Name: s, Deadline: config.DeadlineRollBack})
		c.Routes = append(c.Routes, config.HostRoute{
			Name: "r-" + s, Host: s + ".example", Prefix: "/", Repeat: config.RepeatSafe,
			Timeout: config.Duration(time.Second), Attempts: 1, Split: []config.Destination{{Service: s, Weight: 1}},
		})
	}
	return c
}

// replaceCommand returns the command that a leader in state s would propose to
// replace version base by c.
func replaceCommand(t *testing.T, s *ledger.State, request string, base uint64, c config.Config) ledger.Command {
	t.Helper()
	objects, err := c.Objects()
	require.NoError(t, err)
	r := &ledger.Replace{Base: base, Version: c.Version, Origin: []byte(request)}
	s.Plan(r, objects)
	return ledger.Command{Request: request, Operator: "o", At: time.Unix(1, 0), Replace: r}
}

// Two replacements based on the same version must not both be accepted. A
// resent request must be recognized although it is planned against a newer
// state.
func TestReplaceOfStaleBaseConflicts(t *testing.T) {
	s := ledger.New()
	first := replaceCommand(t, s, "first", 0, fullConfig(3, "a", "b"))
	require.Equal(t, ledger.StatusAccepted, s.Apply(first).Status)
	require.Equal(t, uint64(3), s.Version())

	// Of two replacements based on the same version the second is a conflict.
	winner := replaceCommand(t, s, "winner", 3, fullConfig(5, "a"))
	loser := replaceCommand(t, s, "loser", 3, fullConfig(5, "b"))
	require.Equal(t, ledger.StatusAccepted, s.Apply(winner).Status)
	require.Equal(t, ledger.StatusConflict, s.Apply(loser).Status)
	require.Equal(t, "winner", string(s.Origin()))
	_, ok := s.Table().MatchHost("b.example", "/")
	require.False(t, ok, "the replacement must remove the route of service b")

	// The accepted request is resent and planned against the newer state.
	resent := s.Apply(replaceCommand(t, s, "winner", 3, fullConfig(5, "a")))
	require.Equal(t, ledger.StatusAccepted, resent.Status)
	require.True(t, resent.Resent)

	// The new version must be higher than the one in force.
	require.Equal(t, ledger.StatusRefused, s.Apply(replaceCommand(t, s, "same", 5, fullConfig(5, "a", "b"))).Status)
}

// A replacement puts only objects that differ. It must not change the version
// of a service that was set by a pin, even if it was planned before the pin.
func TestReplaceKeepsPinnedVersions(t *testing.T) {
	s := ledger.New()
	s.Apply(replaceCommand(t, s, "first", 0, fullConfig(1, "a", "b")))
	pin := ledger.Command{Request: "pin", Operator: "o", Pin: &ledger.PinVersion{Service: "a", Version: "v1"}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(pin).Status)
	pin.Request = "pin again"
	require.Equal(t, ledger.StatusRefused, s.Apply(pin).Status)

	next := replaceCommand(t, s, "next", 1, fullConfig(2, "a", "b", "c"))
	require.Len(t, next.Replace.Put, 3, "expected the new service, its route and the fleet object with the version")
	require.Equal(t, ledger.StatusAccepted, s.Apply(next).Status)
	service, _ := s.Table().Service("a")
	require.Equal(t, "v1", service.Version)

	// A replacement planned before the pin would put the service without its
	// version.
	early := replaceCommand(t, s, "early", 2, fullConfig(3, "a", "b", "c"))
	early.Replace.Put = append(early.Replace.Put, mustObject(t, config.Service{Name: "a", Deadline: config.DeadlineRollBack}))
	require.Equal(t, ledger.StatusAccepted, s.Apply(early).Status)
	service, _ = s.Table().Service("a")
	require.Equal(t, "v1", service.Version)
}

func mustObject(t *testing.T, value any) config.Object {
	t.Helper()
	o, err := config.MakeObject(value)
	require.NoError(t, err)
	return o
}

// A replacement that removes a service must also remove its move, since a move
// without its service is invalid.
func TestReplaceRemovesMovesOfRemovedServices(t *testing.T) {
	s := ledger.New()
	s.Apply(replaceCommand(t, s, "first", 0, fullConfig(1, "a", "b")))
	s.Apply(ledger.Command{Request: "pin", Operator: "o", Pin: &ledger.PinVersion{Service: "a", Version: "v1"}})
	begin := ledger.Command{Request: "move", Operator: "o", At: time.Unix(1, 0), Begin: &ledger.BeginMove{Service: "a", To: "v2", By: time.Unix(60, 0)}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(begin).Status)
	require.Equal(t, ledger.StatusAccepted, s.Apply(replaceCommand(t, s, "next", 1, fullConfig(2, "b"))).Status)
	_, ok := s.Table().Move("a")
	require.False(t, ok)
}

// A configuration consists either of single objects or of a full configuration.
// A command of the other kind must be rejected.
func TestReplaceAndChangeExcludeEachOther(t *testing.T) {
	s := ledger.New()
	service := mustObject(t, config.Service{Name: "a", Version: "v1", Deadline: config.DeadlineRollBack})
	change := ledger.Command{Request: "change", Operator: "o", Change: &ledger.Change{Put: []config.Object{service}}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(change).Status)
	require.Equal(t, ledger.StatusRefused, s.Apply(replaceCommand(t, s, "whole", 0, fullConfig(1, "b"))).Status)

	s = ledger.New()
	require.Equal(t, ledger.StatusAccepted, s.Apply(replaceCommand(t, s, "whole", 0, fullConfig(1, "b"))).Status)
	require.Equal(t, ledger.StatusRefused, s.Apply(change).Status)
	bad := ledger.Command{Request: "bad", Operator: "o", Replace: &ledger.Replace{Base: 1, Version: 2, Remove: []config.Key{"template/t"}}}
	require.Equal(t, ledger.StatusRefused, s.Apply(bad).Status)
}

// A snapshot must contain the text of the configuration and the stored
// outcomes. Otherwise a replica restored from it would apply a resent request
// again.
func TestSnapshotRestoresReplacedConfiguration(t *testing.T) {
	s := ledger.New()
	command := replaceCommand(t, s, "first", 0, fullConfig(3, "a"))
	s.Apply(command)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := ledger.Restore(data)
	require.NoError(t, err)
	require.Equal(t, uint64(3), restored.Version())
	require.Equal(t, "first", string(restored.Origin()))
	require.True(t, restored.Apply(command).Resent)
	_, ok := restored.Table().MatchHost("a.example", "/")
	require.True(t, ok)
}

// BenchmarkReplayOfReplacements applies 50 replacements in a row, as after a
// restart, and expands the table once at the end. Applying one must not expand
// the configuration.
func BenchmarkReplayOfReplacements(b *testing.B) {
	s := ledger.New()
	var commands []ledger.Command
	for v := uint64(1); v <= 50; v++ {
		w := fullConfig(v)
		for i := range 300 {
			w.Services = append(w.Services[:0], config.Service{Name: "s", Deadline: config.DeadlineRollBack})
			w.Routes = append(w.Routes, config.HostRoute{
				Name: "r", Host: "h", Prefix: "/" + string(rune('a'+i%26)) + string(rune('a'+i/26)) + "/", Repeat: config.RepeatSafe,
				Timeout: config.Duration(time.Duration(v) * time.Second), Attempts: 1, Split: []config.Destination{{Service: "s", Weight: 1}},
			})
		}
		objects, _ := w.Objects()
		r := &ledger.Replace{Base: v - 1, Version: v}
		s.Plan(r, objects)
		c := ledger.Command{Request: string(rune('0' + v)), Operator: "o", Replace: r}
		s.Apply(c)
		commands = append(commands, c)
	}
	b.ResetTimer()
	for b.Loop() {
		fresh := ledger.New()
		for _, c := range commands {
			fresh.Apply(c)
		}
		fresh.Table()
	}
}
