package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	// dialTimeout is how long the opening of a connection may take. A host that
	// does not respond in that time counts as unresponsive; see isUnresponsive.
	dialTimeout = 500 * time.Millisecond
	// hedgeDelay is how long a connection attempt may take before another one
	// is started in parallel, since the opening packet of the first may be
	// lost.
	hedgeDelay = 200 * time.Millisecond
	// unresponsiveTimeout is how long the host of a daemon may acknowledge
	// nothing of a connection at TCP level. A kernel acknowledges within a round
	// trip, however busy the daemon is; the rest allows for lost packets and for
	// queues of a slow link, in which packets wait for more than half a second at
	// peak load.
	unresponsiveTimeout = 1200 * time.Millisecond
	// silenceTimeout is how long nothing may have been received from a host for it
	// to count as unresponsive when a connection fails or cannot be opened. Packets
	// of other connections that did arrive show that only the link is slow.
	silenceTimeout = 600 * time.Millisecond
	maxIdlePerHost = 256              // Idle connections to one daemon.
	idleTimeout    = 30 * time.Second // How long a connection is kept without calls.
	// writeBufferBytes holds the header of a call and most bodies. Each
	// connection has such a buffer.
	writeBufferBytes = 8 << 10
	// expectTimeout is how long a body is held back until the inbound proxy asks for it.
	// A call waits for a slot about as long as its objective at most.
	expectTimeout = 5 * time.Second
	// maxResponseHeadBytes bounds the header of a response, also against a faulty
	// process at the address of a daemon.
	maxResponseHeadBytes = 128 << 10
)

// connPools holds the connections to the inbound proxies of other daemons, in
// one pool for each daemon. It is safe for concurrent use.
//
// If a host loses power or is disconnected while it executes calls, its
// connections stay open, and each call would wait until its deadline. The first
// call that finds the host unresponsive therefore ends all other calls to that
// host.
type connPools struct {
	dial     peer.Dial        // Replaced by tests.
	clock    func() time.Time // Replaced by tests.
	start    time.Time        // When newConnPools was called.
	counters *count.Set
	mutex    sync.RWMutex
	pools    map[string]*connPool // By address.
}

// connPool holds the connections to one inbound proxy until its host is
// unresponsive.
type connPool struct {
	transport        *http.Transport
	lastReceived     atomic.Int64       // When data was last received, in nanoseconds after connPools.start; 0 if never.
	unresponsive     context.Context    // Done once the host is found unresponsive.
	markUnresponsive context.CancelFunc // Ends unresponsive, and with it all calls of the pool.
}

func newConnPools(clock func() time.Time, counters *count.Set) *connPools {
	return &connPools{dial: peer.Hedge(peer.DialTCP, hedgeDelay), clock: clock, start: clock(), counters: counters, pools: map[string]*connPool{}}
}

// get returns the pool for an address, which it creates if needed. remote states that
// the address is in another data centre; the bytes of such connections are counted.
func (p *connPools) get(address string, remote bool) *connPool {
	p.mutex.RLock()
	pool := p.pools[address]
	p.mutex.RUnlock()
	if pool != nil {
		return pool
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.pools[address] == nil {
		pool := &connPool{}
		pool.transport = p.newTransport(pool, remote)
		pool.unresponsive, pool.markUnresponsive = context.WithCancel(context.Background())
		p.pools[address] = pool
	}
	return p.pools[address]
}

// reportError checks whether the error of a call over a pool, at now, means that the
// host is unresponsive. If so, it drops the pool, ends all calls over it and returns
// true.
func (p *connPools) reportError(now time.Time, address string, pool *connPool, err error) bool {
	if !isUnresponsive(err) {
		return false
	}
	if last := time.Duration(pool.lastReceived.Load()); last > 0 && now.Sub(p.start)-last < silenceTimeout {
		p.counters.Add("slow_links", 1)
		return false
	}
	p.mutex.Lock()
	if p.pools[address] == pool {
		delete(p.pools, address)
	}
	p.mutex.Unlock()
	pool.markUnresponsive()
	pool.transport.CloseIdleConnections()
	return true
}

// isUnresponsive reports whether an error means that a host acknowledged
// nothing at TCP level, neither data nor the opening of a connection.
func isUnresponsive(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// retain drops the pools of all addresses that are not in a set. Calls in
// progress continue; their connections close afterwards.
func (p *connPools) retain(staying map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, pool := range p.pools {
		if !staying[address] {
			delete(p.pools, address)
			pool.transport.CloseIdleConnections()
		}
	}
}

func (p *connPools) newTransport(pool *connPool, remote bool) *http.Transport {
	var counters *count.Set
	if remote {
		counters = p.counters
	}
	return &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			conn, err := p.dial(address, dialTimeout)
			if err != nil {
				return nil, err
			}
			if setUserTimeout(conn, unresponsiveTimeout) != nil {
				p.counters.Add("silence_not_limited", 1)
			}
			return poolConn{Conn: conn, clock: p.clock, start: p.start, lastReceived: &pool.lastReceived, counters: counters}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,
		// A daemon's header is a few hundred bytes and that of its upstream.
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		ExpectContinueTimeout:  expectTimeout,
	}
}
