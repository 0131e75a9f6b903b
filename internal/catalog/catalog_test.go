package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/pkg/config"
)

func object(name, body string) config.Object {
	return config.Object{Key: config.MakeKey(config.KindService, name), Body: []byte(body)}
}

func TestApplyNeverGoesBack(t *testing.T) {
	var source, daemon catalog.Catalog
	source.Change([]config.Object{object("a", "1")}, nil)
	first := source.Delta(0, catalog.Digest{})
	source.Change([]config.Object{object("a", "2")}, nil)
	newest, err := daemon.Apply(source.Delta(0, catalog.Digest{}))
	require.NoError(t, err)
	_, err = newest.Apply(first)
	require.ErrorIs(t, err, catalog.ErrOlder)
	_, err = newest.Apply(source.Delta(0, catalog.Digest{}))
	require.ErrorIs(t, err, catalog.ErrOlder)
}

func TestDeltaMustFitStateAndDigest(t *testing.T) {
	var source catalog.Catalog
	source.Change([]config.Object{object("a", "1")}, nil)
	old := source.Clone()
	source.Change([]config.Object{object("b", "1")}, nil)
	d := source.Delta(1, old.Digest())
	for name, spoil := range map[string]func(*catalog.Delta){
		"another start": func(d *catalog.Delta) { d.From = 0 },
		"another state": func(d *catalog.Delta) { d.Before[0]++ },
		"another end":   func(d *catalog.Delta) { d.After[1]++ },
		"an entry lost": func(d *catalog.Delta) { d.Entries = nil },
		"a body spoilt": func(d *catalog.Delta) { d.Entries = []catalog.Entry{{Object: object("b", "2"), Revision: 2}} },
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := d
			spoil(&spoilt)
			before := old.Digest()
			_, err := old.Apply(spoilt)
			require.ErrorIs(t, err, catalog.ErrMismatch)
			require.Equal(t, before, old.Digest())
		})
	}
	next, err := old.Apply(d)
	require.NoError(t, err)
	require.Equal(t, source.Digest(), next.Digest())
}

// A daemon that was away for thousands of changes gets one compact delta.
func TestCatchUpIsCompact(t *testing.T) {
	var source catalog.Catalog
	source.Change([]config.Object{object("a", "0")}, nil)
	old := source.Clone()
	for i := range 20000 {
		source.Change([]config.Object{object(fmt.Sprintf("s%d", i%50), fmt.Sprint(i))}, nil)
	}
	d := source.Delta(1, old.Digest())
	require.False(t, d.Whole)
	require.Len(t, d.Entries, 50)
	next, err := old.Apply(d)
	require.NoError(t, err)
	require.Equal(t, source.Entries(), next.Entries())
}
