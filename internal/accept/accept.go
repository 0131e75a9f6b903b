// Package accept ends listening without resetting anyone.
//
// To close a listening socket resets the connections that the system has set
// up and that have not been accepted yet: their callers have sent a call and
// can't tell whether it was run. So listening ends in two steps here: Refuse
// first, so that whoever comes from then on is refused at once and knows that
// nothing was sent, and close only when those that came before have been
// accepted.
package accept

import (
	"net"
	"syscall"

	"github.com/zeebo/errs"
)

// ErrNotListener is returned for a listener that has no socket of its own.
var ErrNotListener = errs.New("accept: the listener has no socket")

// Refuse lets the system refuse all new connections to l, and leaves those
// that it has set up already to be accepted. It is safe to call at any time,
// also more than once. Where the system offers no way to refuse, it returns an
// error that matches errors.ErrUnsupported.
func Refuse(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return ErrNotListener
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errs.New("accept: %v", err)
	}
	var refused error
	if err := raw.Control(func(fd uintptr) { refused = refuse(int(fd)) }); err != nil {
		return errs.New("accept: %v", err)
	}
	return refused
}
