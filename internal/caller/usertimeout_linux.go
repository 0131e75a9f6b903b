package caller

import (
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// userTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const userTimeout = 18

// setUserTimeout has the kernel break a connection off whose other end has not
// acknowledged what was sent for so long.
func setUserTimeout(conn net.Conn, most time.Duration) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errs.New("caller: %v", err)
	}
	failed := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(most.Milliseconds()))
	})
	if failed != nil || err != nil {
		return errs.Combine(failed, err)
	}
	return nil
}
