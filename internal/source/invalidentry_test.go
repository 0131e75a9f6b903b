package source_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// appendEntries writes commands to the log of a stopped replica, as if its build had
// appended them.
func (g *openGroup) appendEntries(name string, commands ...ledger.Command) {
	g.t.Helper()
	store, _, start, err := disk.Open(disk.Config{Folder: g.folders[name]})
	require.NoError(g.t, err)
	defer store.Close()
	require.NotEmpty(g.t, start.Entries)
	last := start.Entries[len(start.Entries)-1]
	var out quorum.Output
	for i, c := range commands {
		data, err := c.Encode()
		require.NoError(g.t, err)
		out.Append = append(out.Append, quorum.Entry{Index: last.Index + 1 + quorum.Index(i), Term: last.Term, Data: data})
	}
	require.NoError(g.t, store.Save(out))
}

// Guards against a disk that ends its replica at each start: one whose log holds
// replacements that cannot be expanded, as older builds appended them. The replica must
// start, return the configuration before them, and accept the next one.
func TestReplicaStartsWithInvalidEntryInLog(t *testing.T) {
	g := newOpenGroup(t, 1)
	g.replaceConfig()
	g.stop("r0")
	fleet, err := config.MakeObject(config.Fleet{Version: 2})
	require.NoError(t, err)
	bad := func(request string, r ledger.Replace) ledger.Command {
		r.Base, r.Version = 1, 2
		return ledger.Command{Request: request, Operator: "o", At: time.Unix(1, 0), Replace: &r}
	}
	g.appendEntries("r0",
		bad("limit", ledger.Replace{Put: []config.Object{{Key: config.FleetKey, Body: []byte(`{"version":2,"limits":{"idleTime":"-1s"}}`)}}}),
		bad("route", ledger.Replace{Put: []config.Object{fleet, {Key: "route/1", Body: []byte(`{"name":"r","host":"h","prefix":"/","split":[{"service":"gone","weight":1}]}`)}}}),
	)
	g.start(g.seeds[0], false)
	g.requireConfigRead()
	g.replaceConfig()
	g.requireConfigRead()
}

// A command that a replica could not apply must be refused before it is in the log,
// by whichever way it comes.
func TestInvalidCommandsAreNotAppended(t *testing.T) {
	g := newOpenGroup(t, 1)
	g.replaceConfig()
	n := g.nodes["r0"]
	last := func() quorum.Index {
		n.Stop()
		defer g.start(g.seeds[0], false)
		store, _, start, err := disk.Open(disk.Config{Folder: g.folders["r0"]})
		require.NoError(t, err)
		defer store.Close()
		index := quorum.Index(0)
		for _, e := range start.Entries {
			if e.Kind == quorum.EntryNormal {
				index++
			}
		}
		return index
	}
	before := last()
	n = g.nodes["r0"]
	require.Eventually(t, n.IsLeader, eventuallyTimeout, 10*time.Millisecond)
	for name, c := range map[string]ledger.Command{
		"limit":      {Replace: &ledger.Replace{Base: 1, Version: 2, Put: []config.Object{{Key: config.FleetKey, Body: []byte(`{"version":2,"limits":{"idleTime":"-1s"}}`)}}}},
		"change":     {Change: &ledger.Change{Put: []config.Object{{Key: "route/1", Body: []byte(`{}`)}}}},
		"step":       {Step: &ledger.MoveStep{Service: "s", State: "odd"}},
		"far future": {Begin: &ledger.BeginMove{Service: "s", To: "v2", By: time.Date(20000, 1, 1, 0, 0, 0, 0, time.UTC)}},
		"bad text":   {Begin: &ledger.BeginMove{Service: "\xff", To: "v2", By: time.Now().Add(time.Hour)}},
	} {
		c.Request, c.Operator = name, "o"
		out, err := n.Propose(c, time.Now().Add(2*time.Second))
		require.NoError(t, err, name)
		require.Equal(t, ledger.StatusRefused, out.Status, name)
		require.NotEmpty(t, out.Reason, name)
	}
	invalid := config.Config{Version: 2, Limits: config.CallerLimits{IdleTime: -1}}
	_, err := n.Replace(source.Replacement{Request: "replace", Operator: "o", Base: 1, Config: invalid, Origin: []byte("x")})
	require.ErrorIs(t, err, config.ErrInvalidConfig)
	require.Equal(t, before, last())
	g.requireConfigRead()
}
