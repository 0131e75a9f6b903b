package source

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// A configuration must be refused while a live daemon does not carry it out, and not
// because of daemons that are unknown or have ended, or whose features an older relay has
// dropped.
func TestCheckFeatures(t *testing.T) {
	both, keys := config.Features(), []config.Feature{config.FeatureKeys}
	newer := directory.Record{Host: "newer", Features: both}
	older := directory.Record{Host: "older"}
	ended := directory.Record{Host: "ended", Stopped: true}
	none := feed.Ack{}
	for name, test := range map[string]struct {
		required, inForce []config.Feature
		live              []directory.Record
		ack               feed.Ack
		want              string // In the error; empty for none.
	}{
		"nothing is required":         {nil, nil, []directory.Record{older}, none, ""},
		"no daemon is known yet":      {both, nil, nil, none, ""},
		"all declare it":              {both, nil, []directory.Record{newer}, none, ""},
		"an older daemon is live":     {both, nil, []directory.Record{newer, older}, none, `"keys" is missing on 1 of 2 daemons (older)`},
		"another feature is missing":  {both, nil, []directory.Record{{Host: "h", Features: keys}}, none, `"limits" is missing on 1 of 1 daemons (h)`},
		"an older daemon has stopped": {both, nil, []directory.Record{newer, ended}, none, ""},
		"in force already":            {both, both, []directory.Record{older}, none, ""},
		"one of two in force":         {both, keys, []directory.Record{older}, none, `"limits"`},
		"dropped by a relay": {both, nil, []directory.Record{newer, older},
			feed.Ack{Daemons: 2, Features: both}, ""},
		"acknowledgements do not cover all": {both, nil, []directory.Record{newer, older},
			feed.Ack{Daemons: 1, Features: both}, "older"},
		"acknowledgements lack it": {both, nil, []directory.Record{newer, older},
			feed.Ack{Daemons: 2, Features: keys}, `"limits"`},
	} {
		err := checkFeatures(test.required, test.inForce, test.live, test.ack)
		if test.want == "" {
			require.NoError(t, err, name)
			continue
		}
		require.ErrorIs(t, err, ErrNotEnforced, name)
		require.Contains(t, err.Error(), test.want, name)
	}
	var many []directory.Record
	for i := range 500 {
		many = append(many, directory.Record{Host: fmt.Sprintf("host-%03d", i)})
	}
	require.Contains(t, checkFeatures(both, nil, many, none).Error(), "host-007 and 492 more")
}

// A rate of cold upstreams, which nothing carries out, must be refused, as a whole
// configuration and as a single object. One that an older build accepted stays readable,
// also after a restart, and resent it gets its outcome of then.
func TestColdRateIsRefused(t *testing.T) {
	member := Member{Name: "r0", Address: "127.0.0.1:0"}
	folder := t.TempDir()
	start := func(init bool) *Node {
		n, err := Start(Config{
			Name: member.Name, Zone: "z", Listen: member.Address, Founders: []Member{member}, Init: init,
			Disk: disk.Config{Folder: folder}, Fatal: func(err error) { t.Error(err) },
			Timing: Timing{Heartbeat: 20 * time.Millisecond, Election: 200 * time.Millisecond},
		})
		require.NoError(t, err)
		require.Eventually(t, n.IsLeader, 10*time.Second, 5*time.Millisecond)
		return n
	}
	n := start(true)
	service := config.Service{Name: "s", Deadline: config.DeadlineRollBack, ColdRate: 4.5}
	cold := config.Config{Version: 1, Services: []config.Service{service}}
	require.NoError(t, cold.Check())
	replacement := Replacement{Request: "cold", Operator: "o", Config: cold, Origin: []byte("x")}
	_, err := n.Replace(replacement)
	require.ErrorIs(t, err, config.ErrUnsupported)
	require.ErrorIs(t, err, config.ErrInvalidConfig)
	require.Contains(t, err.Error(), "coldRate (cold_per_s)")
	evacuation, err := config.MakeObject(config.Evacuation{Zone: "z"})
	require.NoError(t, err)
	object, err := config.MakeObject(service)
	require.NoError(t, err)
	for _, o := range []config.Object{object, evacuation} {
		out, err := n.Propose(ledger.Command{Request: "put-" + string(o.Key), Operator: "o", Change: &ledger.Change{Put: []config.Object{o}}}, time.Now().Add(5*time.Second))
		require.NoError(t, err)
		require.Equal(t, ledger.StatusRefused, out.Status, o.Key)
	}
	require.Zero(t, n.hub.State().Revision())

	// The entry of an older build.
	objects, err := cold.Objects()
	require.NoError(t, err)
	origin, err := compress(replacement.Origin)
	require.NoError(t, err)
	out, err := n.Propose(ledger.Command{Request: "cold", Operator: "o", Replace: &ledger.Replace{Version: 1, Origin: origin, Put: objects}}, time.Now().Add(5*time.Second))
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
	for range 2 {
		out, err = n.Replace(replacement)
		require.NoError(t, err)
		require.Equal(t, ledger.StatusAccepted, out.Status)
		require.True(t, out.Resent)
		inForce, ok := n.hub.State().Table().Service("s")
		require.True(t, ok)
		require.Equal(t, 4.5, inForce.ColdRate)
		n.Stop()
		n = start(false)
	}
	defer n.Stop()
	cold.Version, cold.Services[0].ColdRate = 2, 0
	out, err = n.Replace(Replacement{Request: "warm", Operator: "o", Base: 1, Config: cold, Origin: []byte("y")})
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
}
