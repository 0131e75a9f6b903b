package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// allocatedIPs counts the addresses that FreeIP has returned in this process.
var allocatedIPs atomic.Int64

// FreeIP returns a loopback address of 127.0.0.0/8, derived from the process ID
// and a counter. The second byte is 64 to 191, so that it differs from 127.0.0.1.
// Other fleets of this process or of another running process are unlikely to use
// it, so that their ports do not clash. After 250 calls the addresses repeat. It
// may be called concurrently.
func FreeIP() string {
	const maxIPsPerProcess = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid%256, 1+allocatedIPs.Add(1)%maxIPsPerProcess)
}

// The range of ports that FreeAddresses returns; maxPort is excluded. It lies
// below the ephemeral ports of the system, so that an address stays free while
// its process does not run.
const (
	minPort = 10000
	maxPort = 30000
)

// ports holds, for each IP address, the next port that FreeAddresses tries. The
// mutex guards next.
var ports = struct {
	mutex sync.Mutex
	next  map[string]int
}{next: map[string]int{}}

// FreeAddresses returns count addresses (IP address and port) at ip that nothing
// listens on. It returns no address twice within a process, and an error if the
// range of ports is used up. It may be called concurrently.
func FreeAddresses(ip string, count int) ([]string, error) {
	ports.mutex.Lock()
	defer ports.mutex.Unlock()
	var addresses []string
	for port := max(minPort, ports.next[ip]); port < maxPort; port++ {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		addresses = append(addresses, address)
		if len(addresses) == count {
			ports.next[ip] = port + 1
			return addresses, nil
		}
	}
	return nil, errs.New("fleet: no %d free ports at %s", count, ip)
}
