package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither side has closed.
const tcpEstablished = 1

// isPeerClosed reports whether the other side is known to have closed a connection, also if
// it has sent bytes before that are not read yet.
func isPeerClosed(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true // Closed on this side.
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}
