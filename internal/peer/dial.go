package peer

import (
	"net"
	"time"
)

// Dial opens a connection to address within timeout. It must be safe for
// concurrent use: Hedge calls it again while earlier calls are still running, and
// may return before they have ended. Tests replace it to interrupt connections.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP opens a TCP connection. It is the default Dial.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// Hedge returns a Dial that starts another attempt after each interval without a
// result, and returns the first connection that opens. Connections of the other
// attempts are closed. All attempts share the timeout.
//
// The SYN to a host that is off or still booting is lost, and the kernel
// retransmits it only after a second, although the host may be up long before. If
// all attempts so far have failed, for instance because the host refuses
// connections, Hedge returns the error without a further attempt.
func Hedge(dial Dial, interval time.Duration) Dial {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		maxAttempts := int(timeout/interval) + 1
		results := make(chan dialResult, maxAttempts)
		deadline := time.Now().Add(timeout)
		attempt := func() {
			conn, err := dial(address, time.Until(deadline))
			results <- dialResult{conn, err}
		}
		go attempt()
		started, finished := 1, 0
		timer := time.NewTicker(interval)
		defer timer.Stop()
		for {
			select {
			case r := <-results:
				finished++
				if r.err == nil || finished == started {
					go closeUnused(results, started-finished)
					return r.conn, r.err
				}
			case <-timer.C:
				if started < maxAttempts && time.Until(deadline) > 0 {
					started++
					go attempt()
				}
			}
		}
	}
}

// closeUnused receives the remaining count results and closes their connections.
func closeUnused(results <-chan dialResult, count int) {
	for range count {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}
