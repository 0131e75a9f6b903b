package peer

import (
	"net"
	"time"
)

// Dial opens a connection. Tests replace it to cut peers off.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dial of real processes.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// dialed is how one attempt to connect ended.
type dialed struct {
	conn net.Conn
	err  error
}

// Hedge returns a Dial that makes another attempt each time after more has
// passed without an answer, and takes the first connection that it gets.
//
// The opening packet to a host that has no power yet is lost, and the kernel
// sends it again only after a second, when the host may long be up. A host that
// refuses is not asked again.
func Hedge(dial Dial, more time.Duration) Dial {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		most := int(timeout/more) + 1
		results := make(chan dialed, most)
		end := time.Now().Add(timeout)
		attempt := func() {
			conn, err := dial(address, time.Until(end))
			results <- dialed{conn, err}
		}
		go attempt()
		started, ended := 1, 0
		timer := time.NewTicker(more)
		defer timer.Stop()
		for {
			select {
			case r := <-results:
				ended++
				if r.err == nil || ended == started {
					go closeLate(results, started-ended)
					return r.conn, r.err
				}
			case <-timer.C:
				if started < most && time.Until(end) > 0 {
					started++
					go attempt()
				}
			}
		}
	}
}

// closeLate closes the connections of attempts that are not needed any more.
func closeLate(results <-chan dialed, count int) {
	for range count {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}
