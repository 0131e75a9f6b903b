package codec_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/codec"
)

// What Marshal writes must be readable at every size. Otherwise a replica could
// not start from the snapshot of a large state.
func TestLargeCollectionsAreReadBack(t *testing.T) {
	const size = 150_000
	list, byName := make([]int, size), make(map[string]int, size)
	for i := range size {
		list[i], byName[strconv.Itoa(i)] = i, i
	}
	data, err := codec.Marshal(list)
	require.NoError(t, err)
	var readList []int
	require.NoError(t, codec.Unmarshal(data, &readList))
	require.Equal(t, list, readList)
	data, err = codec.Marshal(byName)
	require.NoError(t, err)
	var readMap map[string]int
	require.NoError(t, codec.Unmarshal(data, &readMap))
	require.Equal(t, byName, readMap)
}
