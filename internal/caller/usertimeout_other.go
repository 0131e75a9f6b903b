//go:build !linux

package caller

import (
	"net"
	"time"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT. Calls to an
// unresponsive host then end at their deadlines.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
