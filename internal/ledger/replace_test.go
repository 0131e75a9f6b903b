package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

func wholeOf(version uint64, services ...string) config.Config {
	w := config.Config{Version: version}
	for _, s := range services {
		w.Services = append(w.Services, config.Service{Name: s, Deadline: config.DeadlineRollBack})
		w.Routes = append(w.Routes, config.HostRoute{
			Name: "r-" + s, Host: s + ".example", Prefix: "/", Repeat: config.RepeatSafe,
			Timeout: config.Duration(time.Second), Attempts: 1, Split: []config.Destination{{Service: s, Weight: 1}},
		})
	}
	return w
}

// replacement returns the command that the leader would make of a whole
// configuration.
func replacement(t *testing.T, s *ledger.State, request string, base uint64, w config.Config) ledger.Command {
	t.Helper()
	objects, err := w.Objects()
	require.NoError(t, err)
	r := &ledger.Replace{Base: base, Version: w.Version, Origin: []byte(request)}
	s.Plan(r, objects)
	return ledger.Command{Request: request, Operator: "o", At: time.Unix(1, 0), Replace: r}
}

func TestReplaceOnBase(t *testing.T) {
	s := ledger.New()
	first := replacement(t, s, "first", 0, wholeOf(3, "a", "b"))
	require.Equal(t, ledger.StatusAccepted, s.Apply(first).Status)
	require.Equal(t, uint64(3), s.Version())

	// Two on top of the same version: one wins.
	winner := replacement(t, s, "winner", 3, wholeOf(5, "a"))
	loser := replacement(t, s, "loser", 3, wholeOf(5, "b"))
	require.Equal(t, ledger.StatusAccepted, s.Apply(winner).Status)
	require.Equal(t, ledger.StatusConflict, s.Apply(loser).Status)
	require.Equal(t, "winner", string(s.Origin()))
	_, ok := s.Table().MatchHost("b.example", "/")
	require.False(t, ok, "what the new configuration lacks is gone")

	// The winner sent again, planned against a newer state, is the same request.
	again := s.Apply(replacement(t, s, "winner", 3, wholeOf(5, "a")))
	require.Equal(t, ledger.StatusAccepted, again.Status)
	require.True(t, again.Resent)

	// A version must rise.
	require.Equal(t, ledger.StatusRefused, s.Apply(replacement(t, s, "same", 5, wholeOf(5, "a", "b"))).Status)
}

// Only what differs is put, and the version of a service outlives replacements.
func TestReplaceKeepsPinnedVersions(t *testing.T) {
	s := ledger.New()
	s.Apply(replacement(t, s, "first", 0, wholeOf(1, "a", "b")))
	pin := ledger.Command{Request: "pin", Operator: "o", Pin: &ledger.Pin{Service: "a", Version: "v1"}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(pin).Status)
	pin.Request = "pin again"
	require.Equal(t, ledger.StatusRefused, s.Apply(pin).Status)

	next := replacement(t, s, "next", 1, wholeOf(2, "a", "b", "c"))
	require.Len(t, next.Replace.Put, 3, "the new service, its route and the version")
	require.Equal(t, ledger.StatusAccepted, s.Apply(next).Status)
	service, _ := s.Table().Service("a")
	require.Equal(t, "v1", service.Version)

	// A replacement planned before a pin does not undo it.
	early := replacement(t, s, "early", 2, wholeOf(3, "a", "b", "c"))
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

// A removed service takes its move with it.
func TestReplaceEndsMovesOfRemovedServices(t *testing.T) {
	s := ledger.New()
	s.Apply(replacement(t, s, "first", 0, wholeOf(1, "a", "b")))
	s.Apply(ledger.Command{Request: "pin", Operator: "o", Pin: &ledger.Pin{Service: "a", Version: "v1"}})
	begin := ledger.Command{Request: "move", Operator: "o", At: time.Unix(1, 0), Begin: &ledger.Begin{Service: "a", To: "v2", By: time.Unix(60, 0)}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(begin).Status)
	require.Equal(t, ledger.StatusAccepted, s.Apply(replacement(t, s, "next", 1, wholeOf(2, "b"))).Status)
	_, ok := s.Table().Move("a")
	require.False(t, ok)
}

// Single objects and whole configurations do not mix.
func TestReplaceAndChangeDoNotMix(t *testing.T) {
	s := ledger.New()
	service := mustObject(t, config.Service{Name: "a", Version: "v1", Deadline: config.DeadlineRollBack})
	change := ledger.Command{Request: "change", Operator: "o", Change: &ledger.Change{Put: []config.Object{service}}}
	require.Equal(t, ledger.StatusAccepted, s.Apply(change).Status)
	require.Equal(t, ledger.StatusRefused, s.Apply(replacement(t, s, "whole", 0, wholeOf(1, "b"))).Status)

	s = ledger.New()
	require.Equal(t, ledger.StatusAccepted, s.Apply(replacement(t, s, "whole", 0, wholeOf(1, "b"))).Status)
	require.Equal(t, ledger.StatusRefused, s.Apply(change).Status)
	bad := ledger.Command{Request: "bad", Operator: "o", Replace: &ledger.Replace{Base: 1, Version: 2, Remove: []config.Key{"template/t"}}}
	require.Equal(t, ledger.StatusRefused, s.Apply(bad).Status)
}

// A snapshot holds the configuration as it was written, and the answers by
// which a resent one is known.
func TestReplaceSurvivesSnapshots(t *testing.T) {
	s := ledger.New()
	command := replacement(t, s, "first", 0, wholeOf(3, "a"))
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

// Replacements that are applied one after the other, as after a restart, cost no
// expansion each; the table is that of the last.
func BenchmarkReplay(b *testing.B) {
	s := ledger.New()
	var commands []ledger.Command
	for v := uint64(1); v <= 50; v++ {
		w := wholeOf(v)
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
