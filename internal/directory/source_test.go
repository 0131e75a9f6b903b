package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// Daemons must try the replicas of their own data centre first, and be spread
// over them.
func TestPreferSourcesPutsOwnZoneFirst(t *testing.T) {
	sources := []directory.Source{{Address: "1", Zone: "a"}, {Address: "2", Zone: "b"}, {Address: "3", Zone: "b"}, {Address: "4"}}
	first := map[string]int{}
	for i := range 100 {
		ordered := directory.PreferSources(sources, fmt.Sprintf("host-%d", i), "b")
		require.ElementsMatch(t, []string{"2", "3"}, ordered[:2])
		first[ordered[0]]++
	}
	require.Greater(t, first["2"], 25)
	require.Greater(t, first["3"], 25)
}

// The digest must be 0 only for an empty list, and differ for lists whose
// concatenated texts are equal.
func TestDigestSourcesSeparatesAddressAndZone(t *testing.T) {
	require.Zero(t, directory.DigestSources(nil))
	a := directory.DigestSources([]directory.Source{{Address: "1", Zone: "a"}})
	require.NotZero(t, a)
	require.NotEqual(t, a, directory.DigestSources([]directory.Source{{Address: "1a"}}))
}

// When a daemon is marked as gone, its record must keep its upstreams if it was
// stopped gracefully, and lose them otherwise.
func TestMarkGoneKeepsUpstreamsOfStoppedDaemon(t *testing.T) {
	for _, stopped := range []bool{true, false} {
		var d directory.Directory
		now := time.Unix(1000, 0)
		r := directory.Record{
			Host: "h", Zone: "a", Peer: "p", Gate: "g", Incarnation: 1, Sequence: 1, Leaving: true, Stopped: stopped,
			Upstreams: []directory.Upstream{{ID: "w", Service: "s", Version: "v", Slots: 1, Connections: 1}},
		}
		require.Len(t, d.Merge(now, "", r), 1)
		gone, ok := d.MarkGone(now, "h", 1)
		require.True(t, ok)
		require.Equal(t, stopped, len(gone.Upstreams) == 1)
		require.Empty(t, d.Live())
	}
}
