package config_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/pkg/config"
)

func ExampleParse() {
	file := `{
  // Two teams share one template.
  "contracts": [
    {"team": "clubs", "limit": "600 bench-credits"},
    {"team": "clubs", "limit": "900 bench-credits"},
  ],
}`
	_, err := config.Parse("mesh.jsonc", []byte(file))
	fmt.Println(err)
	// Output: mesh.jsonc:5:5: contracts[1]: contract/clubs stands twice, first as contracts[0]
}

func ExampleKey() {
	key := config.MakeKey(config.KindParameters, "clubs/benches")
	fmt.Println(key, key.Kind(), key.Name(), key.Valid())
	// Output: parameters/clubs/benches parameters clubs/benches true
}

// Decoding and encoding an object of an example must not change it.
func TestExampleObjectsRoundTrip(t *testing.T) {
	for _, data := range [][]byte{examples.KileleMesh, examples.BoardMesh} {
		d, err := config.Parse("mesh.jsonc", data)
		require.NoError(t, err)
		require.Len(t, d.Objects(), 11)
		for _, o := range d.Objects() {
			value, err := o.Value()
			require.NoError(t, err)
			reencoded, err := config.MakeObject(value)
			require.NoError(t, err)
			require.Equal(t, o, reencoded)
		}
	}
}

// Each invalid file must give an error that names the reason.
func TestParseReportsFaults(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                     "neither puts nor removes",
		`{"remove": ["pony/x"]}`: `"pony/x" is no valid key`,
		`{"remove": ["move/x"]}`: "moves can't be removed",
		`{"services": [{"name": "A", "version": "v1", "deadline": "finish"}]}`:                          `"A" is no valid name`,
		`{"services": [{"name": "a", "version": "v1", "deadline": "finish"}], "remove": ["service/a"]}`: "is put by the same file",
		`{"units": [{"name": "u", "window": "1 minute", "costs": {}}]}`:                                 "units[0].window: want a time span",
		`{"units": [{"name": "u", "window": "1m", "costs": {"a": "1"}}]}`:                               "units[0].costs.a: want a whole number",
		`{"parameters": [{"team": "a", "template": "b/c"}]}`:                                            "is no valid name",
	} {
		_, err := config.Parse("f", []byte(text))
		require.ErrorIs(t, err, config.ErrInvalid)
		require.ErrorContains(t, err, want)
	}
}

// A problem with an object of the file must get the object's line; one with any
// other object is named by its key.
func TestLocateReturnsPlaceInFile(t *testing.T) {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	p := d.Locate("contract/clubs", "limit", "why")
	require.Equal(t, "contracts[1].limit", p.Path)
	require.Equal(t, 43, p.Line)
	require.Equal(t, "service/none.x: why", d.Locate("service/none", "x", "why").String())
}

// FuzzParse checks that Parse returns either ErrInvalid or objects that can be
// decoded.
func FuzzParse(f *testing.F) {
	f.Add(examples.KileleMesh)
	f.Add(examples.BoardMesh)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Parse("f", data)
		if err != nil {
			require.ErrorIs(t, err, config.ErrInvalid)
			return
		}
		for _, o := range d.Objects() {
			_, err := o.Value()
			require.NoError(t, err)
		}
	})
}
