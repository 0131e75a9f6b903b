//go:build tools

// Package tools pins the version of the linter in a module of its own, so that
// the linter's dependencies stay separate from those of the system.
package tools

import _ "honnef.co/go/tools/cmd/staticcheck"
