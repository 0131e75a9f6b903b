package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// hedgeDelay is after what time another attempt is made beside the first,
	// whose opening packet may be lost.
	hedgeDelay = 200 * time.Millisecond
	// unresponsiveTimeout is how long a daemon's host may acknowledge nothing. Its kernel
	// does that within a round trip, however busy the daemon is; the rest is for
	// packets that are lost or wait at a slow link.
	unresponsiveTimeout = 600 * time.Millisecond
	maxIdlePerHost      = 256
	idleLifetime        = 30 * time.Second
	// writeBuffer holds a call's header and most bodies, in bytes. It is kept for
	// each connection.
	writeBuffer = 8 << 10
)

// connPools keeps the connections to other daemons' gates, each daemon's by
// themselves. It is safe for concurrent use.
//
// It answers hosts that lose power or are cut off while calls run there: their
// connections stay open, and each call would wait until its deadline. The first
// one that finds nothing acknowledged ends all others to that host.
type connPools struct {
	dial     peer.Dial
	counters *count.Set
	mutex    sync.RWMutex
	open     map[string]*connPool // By address.
}

// connPool is the way to one gate until its host falls silent.
type connPool struct {
	transport *http.Transport
	failed    context.Context // Ends when the host is found silent.
	fail      context.CancelFunc
}

func newConnPools(counters *count.Set) *connPools {
	return &connPools{dial: peer.Hedge(peer.DialTCP, hedgeDelay), counters: counters, open: map[string]*connPool{}}
}

func (g *connPools) to(address string) *connPool {
	g.mutex.RLock()
	one := g.open[address]
	g.mutex.RUnlock()
	if one != nil {
		return one
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.open[address] == nil {
		one := &connPool{transport: g.newTransport()}
		one.failed, one.fail = context.WithCancel(context.Background())
		g.open[address] = one
	}
	return g.open[address]
}

// fail takes in that a call over a connection pool failed, and reports whether that
// shows that the host is silent. Then all calls to it end.
func (g *connPools) fail(address string, one *connPool, err error) bool {
	if !isUnresponsive(err) {
		return false
	}
	g.mutex.Lock()
	if g.open[address] == one {
		delete(g.open, address)
	}
	g.mutex.Unlock()
	one.fail()
	one.transport.CloseIdleConnections()
	return true
}

// isUnresponsive reports whether an error means that a host acknowledged nothing,
// neither what was sent nor that a connection is opened.
func isUnresponsive(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// keep drops the gates that are not in a set of addresses. Calls that are on
// their way go on; their connections close after them.
func (g *connPools) keep(staying map[string]bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for address, one := range g.open {
		if !staying[address] {
			delete(g.open, address)
			one.transport.CloseIdleConnections()
		}
	}
}

func (g *connPools) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			conn, err := g.dial(address, dialTimeout)
			if err != nil {
				return nil, err
			}
			if setUserTimeout(conn, unresponsiveTimeout) != nil {
				g.counters.Add("silence_not_limited", 1)
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleLifetime,
		DisableCompression:  true,
		WriteBufferSize:     writeBuffer,
	}
}
