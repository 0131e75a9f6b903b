package fleet_test

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/peer"
)

// network lets tests cut the connections that processes open. A cut is one
// way: from a process to an address.
type network struct {
	mutex sync.Mutex
	cut   map[link]bool
	open  map[link][]net.Conn
}

type link struct{ from, to string }

func newNetwork() *network {
	return &network{cut: map[link]bool{}, open: map[link][]net.Conn{}}
}

// dial returns how a process opens connections.
func (n *network) dial(from string) peer.Dial {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		l := link{from, address}
		n.mutex.Lock()
		isCut := n.cut[l]
		n.mutex.Unlock()
		if isCut {
			return nil, errs.New("network: %s can't reach %s", from, address)
		}
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.open[l] = append(n.open[l], conn)
		return conn, nil
	}
}

// set cuts or heals the way from a process to some addresses. Open connections
// are closed by a cut.
func (n *network) set(cut bool, from string, addresses ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, to := range addresses {
		l := link{from, to}
		n.cut[l] = cut
		if cut {
			for _, conn := range n.open[l] {
				conn.Close()
			}
			n.open[l] = nil
		}
	}
}
