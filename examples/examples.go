// Package examples holds the runnable settings and configurations of two
// deployments, and gives the program those that its demo applies.
package examples

import _ "embed"

// KileleMesh is the operators' file of Kilele Wax Works.
//
//go:embed kilele/mesh.jsonc
var KileleMesh []byte

// BoardMesh is the operators' file of the Water and Power Board.
//
//go:embed board/mesh.jsonc
var BoardMesh []byte
