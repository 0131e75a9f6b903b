// Package listen closes listening sockets without cutting off connections that
// wait to be accepted.
package listen

import (
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// settle is how long handshakes that have begun may need to end, and the
// server to accept them.
const settle = 250 * time.Millisecond

// The filter looks at the flags of each TCP segment that a listener gets, and
// drops those that ask for a new connection.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	keepAll     = 0xffff
)

var dropNew = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: flagSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepAll},
}

// Quiet has the kernel take no new connections for a listener, and waits until
// those that it had taken are accepted. Closing the listener then resets none:
// a caller that comes later is refused, which is no call cut off.
func Quiet(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return errs.New("listen: %T is no TCP listener", l)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return errs.New("listen: %v", err)
	}
	program := unix.SockFprog{Len: uint16(len(dropNew)), Filter: &dropNew[0]}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptSockFprog(int(fd), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil || set != nil {
		return errs.New("listen: %v", errs.Combine(err, set))
	}
	time.Sleep(settle)
	return nil
}
