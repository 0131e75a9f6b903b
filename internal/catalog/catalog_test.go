package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// serviceObject returns an object of kind service. The body need not be valid
// here.
func serviceObject(name, body string) config.Object {
	return config.Object{Key: config.MakeKey(config.KindService, name), Body: []byte(body)}
}

// A delta that arrives late or twice must not bring back an older revision.
func TestApplyRejectsOlderDelta(t *testing.T) {
	var source, daemon catalog.Catalog
	source.Change([]config.Object{serviceObject("a", "1")}, nil)
	first := source.Delta(0, catalog.Digest{})
	source.Change([]config.Object{serviceObject("a", "2")}, nil)
	newest, err := daemon.Apply(source.Delta(0, catalog.Digest{}))
	require.NoError(t, err)
	_, err = newest.Apply(first)
	require.ErrorIs(t, err, catalog.ErrOlder)
	_, err = newest.Apply(source.Delta(0, catalog.Digest{}))
	require.ErrorIs(t, err, catalog.ErrOlder)
}

// A delta that is based on another state, or whose content does not match its
// digest, must be rejected and must leave the catalog unchanged. Otherwise a
// daemon would serve a configuration that was never accepted.
func TestApplyRejectsMismatchedDelta(t *testing.T) {
	var source catalog.Catalog
	source.Change([]config.Object{serviceObject("a", "1")}, nil)
	old := source.Clone()
	source.Change([]config.Object{serviceObject("b", "1")}, nil)
	d := source.Delta(1, old.Digest())
	for name, corrupt := range map[string]func(*catalog.Delta){
		"another base revision":    func(d *catalog.Delta) { d.From = 0 },
		"another base digest":      func(d *catalog.Delta) { d.Before[0]++ },
		"another resulting digest": func(d *catalog.Delta) { d.After[1]++ },
		"a missing entry":          func(d *catalog.Delta) { d.Entries = nil },
		"a changed body":           func(d *catalog.Delta) { d.Entries = []catalog.Entry{{Object: serviceObject("b", "2"), Revision: 2}} },
	} {
		t.Run(name, func(t *testing.T) {
			corrupted := d
			corrupt(&corrupted)
			before := old.Digest()
			_, err := old.Apply(corrupted)
			require.ErrorIs(t, err, catalog.ErrMismatch)
			require.Equal(t, before, old.Digest())
		})
	}
	next, err := old.Apply(d)
	require.NoError(t, err)
	require.Equal(t, source.Digest(), next.Digest())
}

// A daemon that missed 20000 changes of 50 objects must get one incremental
// delta with 50 entries, also when the changes are older than the recent ones
// that the catalog keeps.
func TestDeltaOverManyRevisionsIsCompact(t *testing.T) {
	var source catalog.Catalog
	source.Change([]config.Object{serviceObject("a", "0")}, nil)
	old := source.Clone()
	for i := range 20000 {
		source.Change([]config.Object{serviceObject(fmt.Sprintf("s%d", i%50), fmt.Sprint(i))}, nil)
	}
	d := source.Delta(1, old.Digest())
	require.False(t, d.Whole)
	require.Len(t, d.Entries, 50)
	next, err := old.Apply(d)
	require.NoError(t, err)
	require.Equal(t, source.Entries(), next.Entries())
}
