package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/expand"
)

// A daemon that has just started beside an upstream of the new version knew no other
// upstream, and sent it all calls at whatever share.
func TestNewVersionGetsItsShareBeforeOthersAreKnown(t *testing.T) {
	split := expand.VersionSplit{From: "v1", To: "v2", Share: 90}
	onlyNew := func(version string) bool { return version == "v2" }
	both := func(string) bool { return true }
	none := func(string) bool { return false }
	for _, test := range []struct {
		name        string
		random      int
		isReady     func(string) bool
		othersKnown bool
		want        string
	}{
		{"within the share", 89, both, true, "v2"},
		{"beyond the share", 90, both, true, "v1"},
		{"beyond the share, nobody else known", 90, onlyNew, false, "v1"},
		{"within the share, nobody else known", 89, onlyNew, false, "v2"},
		{"the old version is gone", 90, onlyNew, true, "v2"},
		{"the new version is not ready", 89, func(v string) bool { return v == "v1" }, true, "v1"},
		{"neither is ready", 500, none, false, "v1"},
	} {
		require.Equal(t, test.want, chooseVersion(split, test.random, test.isReady, test.othersKnown), test.name)
	}
	split.Share = 0
	require.Equal(t, "v1", chooseVersion(split, 0, onlyNew, true), "a version that was rolled back")
}
