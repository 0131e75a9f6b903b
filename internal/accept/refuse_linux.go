package accept

import (
	"math"
	"syscall"

	"github.com/zeebo/errs"
)

const (
	// bindToIndex is SO_BINDTOIFINDEX, which package syscall lacks.
	bindToIndex = 62
	// noInterface is the index of no network interface.
	noInterface = math.MaxInt32
)

// refuse ties the socket to an interface that does not exist. A new connection
// comes by another one, so that the system finds nobody listening and refuses
// it. Connections under way are known by their addresses and go on.
func refuse(fd int) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, bindToIndex, noInterface); err != nil {
		return errs.New("accept: %v", err)
	}
	return nil
}
