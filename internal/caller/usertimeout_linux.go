package caller

import (
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall
// lacks.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel close a connection whose peer has not
// acknowledged sent data for the given time. It does nothing for a connection
// without a file descriptor.
func setUserTimeout(conn net.Conn, timeout time.Duration) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errs.New("caller: raw connection for TCP_USER_TIMEOUT: %v", err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if controlErr != nil || err != nil {
		return errs.Combine(controlErr, err)
	}
	return nil
}
