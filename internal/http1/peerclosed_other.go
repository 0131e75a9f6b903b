//go:build !linux

package http1

import "net"

// isPeerClosed returns false: only reading a connection shows there that it was closed.
func isPeerClosed(net.Conn) bool { return false }
