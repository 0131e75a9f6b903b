//go:build tools

// Package tools pins the linter, apart from the product's own dependencies.
package tools

import _ "honnef.co/go/tools/cmd/staticcheck"
