package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/jsonc"
	"github.com/endivewalk/endivewalk/internal/settings"
)

// The settings of the example deployments pass all checks.
func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"kilele", "board"} {
		paths, err := filepath.Glob(filepath.Join("../../examples", deployment, "*-*.jsonc"))
		require.NoError(t, err)
		require.NotEmpty(t, paths)
		for _, path := range paths {
			if strings.HasPrefix(filepath.Base(path), "source-") {
				_, err = settings.ReadSource(path)
			} else {
				_, err = settings.ReadDaemon(path)
			}
			require.NoError(t, err)
		}
	}
}

// Parsing does not stop at the first problem: it reports all problems of a file
// at once, each with its line and column.
func TestParseDaemonReportsAllProblemsAtOnce(t *testing.T) {
	_, err := settings.ParseDaemon("d.jsonc", []byte(`{
  "name": "Bench 1", // not a valid name
  "zone": "sokoine",
  "caller": "localhost:8000",
  "gate": "127.0.0.1:8001",
  "peer": "127.0.0.1:8001",
  "local": "0.0.0.0:1",
  "sources": [],
  "linger": "2h",
}`))
	require.ErrorIs(t, err, jsonc.ErrInvalid)
	for _, want := range []string{
		`d.jsonc:2:11: name: "Bench 1" is no valid name`,
		`d.jsonc:4:13: caller: want an IP number and a port`,
		`d.jsonc:6:11: peer: 127.0.0.1:8001 is the address of "gate" already`,
		`d.jsonc:7:12: local: others must be able to reach`,
		`d.jsonc:8:14: sources: want the peer address`,
		`d.jsonc:9:13: linger: want at most`,
	} {
		require.ErrorContains(t, err, want)
	}
}

// Input that is no JSON, or whose members do not match the fields, is rejected
// with the path and the expected type.
func TestParseDaemonRejectsWrongTypes(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"unknown field":     {`{"nmae": "a"}`, `d:1:2: nmae: unknown field; known here: name, zone`},
		"missing field":     {`{}`, `field "name" is missing`},
		"wrong type":        {`{"name": 5}`, `want a string, got a number`},
		"wrong element":     {`{"sources": [true]}`, `sources[0]: want a string, got true or false`},
		"wrong duration":    {`{"linger": "soon"}`, `linger: want a time span`},
		"negative duration": {`{"linger": "-1s"}`, `linger: want a positive time span`},
		"not an object":     {`[]`, `want an object, got a list`},
		"duplicate field":   {`{"name": "a", "name": "b"}`, `name: stands twice`},
		"not an integer":    {`{"tree": {"relays": 1.5}}`, `tree.relays: want a whole number`},
		"syntax error":      {`{"name": `, `line 1, column`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseDaemon("d", []byte(test.text))
			require.ErrorContains(t, err, test.want)
		})
	}
}

// Each case replaces one text of valid settings by an invalid one.
func TestParseSourceRejectsInvalidSettings(t *testing.T) {
	valid, err := os.ReadFile("../../examples/kilele/source-1.jsonc")
	require.NoError(t, err)
	for name, test := range map[string]struct{ old, new, want string }{
		"two replicas":      {`    {"name": "source-3", "zone": "njiro", "peer": "127.0.11.3:7100", "operator": "127.0.11.3:7200"},`, "", "want 1, 3 or 5 replicas, got 2"},
		"self not listed":   {`"name": "source-1",`, `"name": "source-9",`, `none of them is this replica, "source-9"`},
		"duplicate address": {`"127.0.11.3:7200"`, `"127.0.11.2:7200"`, "is used twice"},
		"invalid hash":      {`"sha256": "`, `"sha256": "x`, "64 hexadecimal digits"},
		"short election":    {`"folder"`, `"timing": {"heartbeat": "1s", "election": "2s"}, "folder"`, "at least 4 times the heartbeat"},
		"heartbeat only":    {`"folder"`, `"timing": {"heartbeat": "1s"}, "folder"`, "go together"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(string(valid), test.old, test.new, 1)
			require.NotEqual(t, string(valid), text)
			_, err := settings.ParseSource("s", []byte(text))
			require.ErrorContains(t, err, test.want)
		})
	}
}

// FuzzParse checks that no input makes the parsers panic, and that they report
// every error as jsonc.ErrInvalid.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../../examples/kilele/source-1.jsonc", "../../examples/kilele/stock-1.jsonc"} {
		data, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.ParseSource("s", data); err != nil {
			require.ErrorIs(t, err, jsonc.ErrInvalid)
		}
		if _, err := settings.ParseDaemon("d", data); err != nil {
			require.ErrorIs(t, err, jsonc.ErrInvalid)
		}
	})
}
