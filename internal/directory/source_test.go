package directory_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// Daemons prefer replicas of their own data centre, and spread over them.
func TestNearSourcesComeFirst(t *testing.T) {
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

func TestDigestOfSources(t *testing.T) {
	require.Zero(t, directory.DigestSources(nil))
	a := directory.DigestSources([]directory.Source{{Address: "1", Zone: "a"}})
	require.NotZero(t, a)
	require.NotEqual(t, a, directory.DigestSources([]directory.Source{{Address: "1a"}}))
}
