package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// publish puts an empty configuration at revision r in force.
func publish(t *testing.T, h *Hub, r config.Revision) {
	t.Helper()
	c, err := (&catalog.Catalog{}).Apply(catalog.Delta{Whole: true, To: r})
	require.NoError(t, err)
	var b expand.Builder
	table, _ := b.Build(r, nil)
	require.True(t, h.Publish(c, table))
}

// A configuration that was in force before the minimum revision was reached is not
// served, also if a newer one gets in force while its reader looks at it. A status
// that combined both would show that the daemon served an older configuration than
// before its restart.
func TestServesIsAboutTheGivenState(t *testing.T) {
	h := NewHub(HubConfig{Host: "h", Instance: 1, Counters: &count.Set{}})
	publish(t, h, 186)
	read := h.State()
	h.setMinRevision(222)
	publish(t, h, 222)
	require.True(t, h.Ready())
	require.False(t, h.Serves(read))
	require.True(t, h.Serves(h.State()))
}
