// Package examples holds the settings and configurations of two deployments that
// can be run, and embeds their configurations for the demo and for tests.
package examples

import _ "embed"

// KileleMesh is the configuration of Kilele Wax Works that operators apply, as
// JSON with comments. It must not be modified.
//
//go:embed kilele/mesh.jsonc
var KileleMesh []byte

// BoardMesh is the configuration of the Water and Power Board that operators
// apply, as JSON with comments. It must not be modified.
//
//go:embed board/mesh.jsonc
var BoardMesh []byte
