package accept

import (
	"math"
	"syscall"

	"github.com/zeebo/errs"
)

const (
	// soBindToIfindex is the socket option SO_BINDTOIFINDEX, which package syscall
	// does not define.
	soBindToIfindex = 62
	// missingInterface is an index that no network interface has.
	missingInterface = math.MaxInt32
)

// refuse binds the socket to a network interface that does not exist. New connections
// arrive on other interfaces, where the system finds no listening socket, so it
// refuses them. Connections that exist already are found by their addresses and are
// not affected.
func refuse(fd int) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, soBindToIfindex, missingInterface); err != nil {
		return errs.New("accept: set SO_BINDTOIFINDEX: %v", err)
	}
	return nil
}
