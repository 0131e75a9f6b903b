//go:build !linux

package caller

import (
	"net"
	"time"
)

// setUserTimeout does nothing where the system has no such limit; calls then end
// at their deadlines.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
