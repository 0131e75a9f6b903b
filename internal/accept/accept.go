// Package accept lets a server stop listening without resetting connections.
//
// Closing a listening socket resets the connections that the system has set up but
// the server has not accepted yet. Their clients may have sent a request and cannot
// know whether it was executed. Therefore a server first calls Refuse: from then on,
// new connections are refused at once, so that their clients know that nothing was
// sent. It closes the listener only after it has accepted the earlier connections.
package accept

import (
	"net"
	"syscall"

	"github.com/zeebo/errs"
)

// ErrNotListener is returned by Refuse for a listener that does not implement
// syscall.Conn and so has no socket.
var ErrNotListener = errs.New("accept: the listener has no socket")

// Refuse makes the system refuse all new connections to l. Connections that are set up
// already can still be accepted. It may be called at any time, more than once and
// concurrently. On systems that cannot do that, the error matches
// errors.ErrUnsupported.
func Refuse(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return ErrNotListener
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errs.New("accept: get the socket of the listener: %v", err)
	}
	var refuseErr error
	if err := raw.Control(func(fd uintptr) { refuseErr = refuse(int(fd)) }); err != nil {
		return errs.New("accept: access the socket of the listener: %v", err)
	}
	return refuseErr
}
