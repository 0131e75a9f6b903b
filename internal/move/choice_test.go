package move_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// A daemon that has just started beside an upstream of the new version knew no other
// upstream, and sent it all calls at whatever share.
func TestNewVersionGetsItsShareBeforeOthersAreKnown(t *testing.T) {
	m := config.Move{From: "v1", To: "v2", Share: 90}
	for _, test := range []struct {
		name   string
		random int
		known  move.Knowledge
		want   string
		reason move.Reason
	}{
		{"within the share", 89, move.Knowledge{OldReady: true, NewReady: true, OthersKnown: true}, "v2", move.ReasonShare},
		{"beyond the share", 90, move.Knowledge{OldReady: true, NewReady: true, OthersKnown: true}, "v1", move.ReasonRest},
		{"beyond the share, nobody else known", 90, move.Knowledge{NewReady: true}, "v1", move.ReasonNotKnown},
		{"within the share, nobody else known", 89, move.Knowledge{NewReady: true}, "v2", move.ReasonShare},
		{"the old version is gone", 90, move.Knowledge{NewReady: true, OthersKnown: true}, "v2", move.ReasonOldGone},
		{"the new version is not ready", 89, move.Knowledge{OldReady: true, OthersKnown: true}, "v1", move.ReasonNewGone},
		{"neither is ready", 500, move.Knowledge{}, "v1", move.ReasonNotKnown},
	} {
		version, reason := move.Choose(m, test.random, test.known)
		require.Equal(t, test.want, version, test.name)
		require.Equal(t, test.reason, reason, test.name)
	}
	m.Share = 0
	version, _ := move.Choose(m, 0, move.Knowledge{NewReady: true, OthersKnown: true})
	require.Equal(t, "v1", version, "a version that was rolled back")
}
