package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// dialAgain is after what time another attempt is made beside the first,
	// whose opening packet may be lost.
	dialAgain    = 200 * time.Millisecond
	idlePerGate  = 256
	idleLifetime = 30 * time.Second
)

// gates keeps the connections to other daemons' gates, each daemon's by
// themselves. The zero value has none, and it is safe for concurrent use.
type gates struct {
	mutex   sync.RWMutex
	clients map[string]*http.Transport // By address.
}

func (g *gates) client(address string) *http.Transport {
	g.mutex.RLock()
	one := g.clients[address]
	g.mutex.RUnlock()
	if one != nil {
		return one
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.clients == nil {
		g.clients = map[string]*http.Transport{}
	}
	if g.clients[address] == nil {
		g.clients[address] = newTransport()
	}
	return g.clients[address]
}

// keep drops the gates that are not in a set of addresses. Calls that are on
// their way go on; their connections close after them.
func (g *gates) keep(staying map[string]bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for address, one := range g.clients {
		if !staying[address] {
			delete(g.clients, address)
			one.CloseIdleConnections()
		}
	}
}

func newTransport() *http.Transport {
	dial := peer.Hedge(peer.DialTCP, dialAgain)
	return &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, dialTimeout)
		},
		MaxIdleConnsPerHost: idlePerGate,
		IdleConnTimeout:     idleLifetime,
		DisableCompression:  true,
		WriteBufferSize:     bodyKept,
	}
}
