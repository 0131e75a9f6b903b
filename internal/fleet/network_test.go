package fleet_test

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/peer"
)

// network lets tests cut links. A cut affects only the connections that a process
// opens to an address, not those in the other direction. It may be used
// concurrently.
type network struct {
	mutex sync.Mutex
	cut   map[link]bool
	conns map[link][]net.Conn // All that were opened and not cut, also closed ones.
}

// link leads from a process, by its name, to an address.
type link struct{ from, to string }

// newNetwork returns a network without cuts.
func newNetwork() *network {
	return &network{cut: map[link]bool{}, conns: map[link][]net.Conn{}}
}

// dial returns how the process named from opens connections. It is the Dial of
// fleet.Config.
func (n *network) dial(from string) peer.Dial {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		l := link{from, address}
		n.mutex.Lock()
		isCut := n.cut[l]
		n.mutex.Unlock()
		if isCut {
			return nil, errs.New("network: link from %s to %s is cut", from, address)
		}
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.conns[l] = append(n.conns[l], conn)
		return conn, nil
	}
}

// setCut cuts or restores the links from a process to addresses. A cut also closes
// the open connections.
func (n *network) setCut(cut bool, from string, addresses ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, to := range addresses {
		l := link{from, to}
		n.cut[l] = cut
		if cut {
			for _, conn := range n.conns[l] {
				conn.Close()
			}
			n.conns[l] = nil
		}
	}
}
