package fleet_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// keyed returns a keyed configuration whose only team has one key and a rate.
func keyed(version uint64, key string) config.Config {
	return config.Config{Version: version, Keyed: true, Teams: []config.Team{{Name: "t", Keys: []string{config.KeyDigest(key)}, Rate: 5}}}
}

// Daemons of older builds put keyed configurations in force and passed API keys on to
// upstreams. While one of them is live such a configuration must be refused; once it is
// replaced it must be accepted. An older daemon that starts later must never become ready,
// and must neither delay the daemons that pull from it nor prevent the withdrawal of a key.
func TestKeyedConfigurationNeedsDaemonsThatEnforceIt(t *testing.T) {
	var older atomic.Bool
	f := startFleet(t, fleet.Config{
		Replicas: 1, Zones: []string{"z"}, Shape: directory.Shape{Relays: 1, Fanout: 1},
		Features: func(host string) []config.Feature {
			if host == "d0" && older.Load() {
				return []config.Feature{}
			}
			return nil
		},
	})
	node := f.Replica(waitForLeader(t, f)).Node
	replace := func(c config.Config) (ledger.Outcome, error) {
		return node.Replace(source.Replacement{
			Request: fmt.Sprintf("put-%d", c.Version), Operator: "o", Base: c.Version - 1, Config: c, Origin: []byte{byte(c.Version)},
		})
	}
	hosts := []string{"d0", "d1", "d2", "d3"}
	older.Store(true)
	for _, h := range hosts {
		_, err := f.StartDaemon(h, "z")
		require.NoError(t, err)
	}
	out, err := replace(config.Config{Version: 1})
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
	first := out.Revision
	inForce := func(r config.Revision, hosts ...string) func() bool {
		return func() bool {
			for _, h := range hosts {
				if d := f.Daemon(h); !d.Ready() || d.Hub().State().Revision() < r {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "configuration without keys on all daemons", inForce(first, hosts...))
	eventually(t, "record of each daemon", func() bool { return len(node.Hub().View().Live()) == len(hosts) })

	_, err = replace(keyed(2, "a"))
	require.ErrorIs(t, err, source.ErrNotEnforced)
	require.Contains(t, err.Error(), `"keys" is missing on 1 of 4 daemons (d0)`)
	require.Equal(t, first, node.Hub().State().Revision())

	older.Store(false)
	f.StopDaemon("d0")
	_, err = f.StartDaemon("d0", "z")
	require.NoError(t, err)
	eventually(t, "acceptance once the older daemon is replaced", func() bool {
		out, err = replace(keyed(2, "a"))
		return err == nil
	})
	require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
	eventually(t, "keyed configuration on all daemons", inForce(out.Revision, hosts...))

	older.Store(true)
	f.StopDaemon("d0")
	_, err = f.StartDaemon("d0", "z")
	require.NoError(t, err)
	eventually(t, "record without features", func() bool {
		r, ok := node.Hub().Record("d0")
		return ok && !r.Gone && len(r.Features) == 0
	})
	resent, err := replace(keyed(2, "a"))
	require.NoError(t, err)
	require.True(t, resent.Resent)
	require.Equal(t, out.Revision, resent.Revision)
	withdrawn, err := replace(keyed(3, "b"))
	require.NoError(t, err)
	require.Equal(t, ledger.StatusAccepted, withdrawn.Status, withdrawn.Reason)
	eventually(t, "withdrawal on the other daemons", inForce(withdrawn.Revision, hosts[1:]...))
	eventually(t, "count at the older daemon", func() bool { return f.Daemon("d0").Counters().Get("revisions_withheld") > 0 })
	eventually(t, "older daemon among those that are behind", func() bool { return node.Hub().FleetAck().Low < withdrawn.Revision })
	for range 20 {
		require.False(t, f.Daemon("d0").Ready())
		require.Zero(t, f.Daemon("d0").Hub().State().Revision())
		time.Sleep(50 * time.Millisecond)
	}

	older.Store(false)
	f.StopDaemon("d0")
	_, err = f.StartDaemon("d0", "z")
	require.NoError(t, err)
	eventually(t, "readiness of the newer daemon", inForce(withdrawn.Revision, hosts...))
}
