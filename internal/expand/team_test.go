package expand_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

func teamObjects(t *testing.T, values ...any) map[config.Key]config.Object {
	objects := map[config.Key]config.Object{}
	for _, v := range values {
		o, err := config.MakeObject(v)
		require.NoError(t, err)
		objects[o.Key] = o
	}
	return objects
}

// A key must lead to its team only, and a changed team must change the digest.
func TestTeamsAreFoundByTheirKeys(t *testing.T) {
	priority := 0
	depot := config.Team{Name: "depot", Keys: []string{config.KeyDigest("k1")}, Rate: 4, Burst: 2, Priority: &priority}
	ward := config.Team{Name: "ward", Keys: []string{config.KeyDigest("k2")}}
	var b expand.Builder
	table, err := b.Build(1, teamObjects(t, config.Fleet{Version: 1, Keyed: true}, depot, ward, config.Evacuation{Zone: "osu"}))
	require.NoError(t, err)
	require.True(t, table.Keyed())
	team, ok := table.TeamOfKey("k1")
	require.True(t, ok)
	require.Equal(t, "depot", team.Name())
	require.Equal(t, 0, team.Priority(2))
	require.Equal(t, 4.0, team.Rate())
	other, ok := table.TeamOfKey("k2")
	require.True(t, ok)
	require.Equal(t, 2, other.Priority(2))
	_, ok = table.TeamOfKey("")
	require.False(t, ok)
	require.True(t, table.Evacuated("osu"))
	require.False(t, table.Evacuated("tema"))

	depot.Keys = nil
	changed, err := b.Build(2, teamObjects(t, config.Fleet{Version: 1, Keyed: true}, depot, ward, config.Evacuation{Zone: "osu"}))
	require.NoError(t, err)
	require.NotEqual(t, table.Digest(), changed.Digest())
	_, ok = changed.TeamOfKey("k1")
	require.False(t, ok)
}

// Two teams with one key must not come into force, whichever object comes first.
func TestSharedKeyIsFault(t *testing.T) {
	var b expand.Builder
	_, err := b.Build(1, teamObjects(t, config.Fleet{Version: 1, Keyed: true},
		config.Team{Name: "depot", Keys: []string{config.KeyDigest("k1")}}, config.Team{Name: "ward", Keys: []string{config.KeyDigest("k1")}}))
	require.ErrorContains(t, err, "holds one of the keys too")
}
