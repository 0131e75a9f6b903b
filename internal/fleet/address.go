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

// groups counts the loopback addresses given out by this process.
var groups atomic.Int64

// FreeIP returns a loopback address of 127.0.0.0/8 that no other fleet of this
// or another running process is likely to use, so that ports never clash.
func FreeIP() string {
	const groupsOfProcess = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid%256, 1+groups.Add(1)%groupsOfProcess)
}

// The ports that FreeAddresses gives out. They lie below those that the system
// gives to whoever asks for any, so that an address stays free while the
// process it was given to does not run.
const (
	firstPort = 10000
	lastPort  = 30000
)

// ports is the next port to give out at each IP number.
var ports = struct {
	mutex sync.Mutex
	next  map[string]int
}{next: map[string]int{}}

// FreeAddresses returns addresses at an IP number that nothing listens on. No
// address is given out twice.
func FreeAddresses(ip string, count int) ([]string, error) {
	ports.mutex.Lock()
	defer ports.mutex.Unlock()
	var addresses []string
	for port := max(firstPort, ports.next[ip]); port < lastPort; port++ {
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
