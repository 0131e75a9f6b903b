package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
)

const (
	callerCount  = 12                   // Concurrent callers.
	callInterval = 2 * time.Millisecond // Pause of a caller between two calls.
)

// callers are concurrent clients that send calls to the fleet from startCallers
// until stop, and count the outcomes.
type callers struct {
	client         *http.Client
	addresses      map[string]string // Of the daemons' outbound proxies, by host.
	mutex          sync.RWMutex      // Guards avoidedHost; read-locked during each call.
	avoidedHost    string
	calls          atomic.Int64
	responses      atomic.Int64 // Calls with a valid response, faultResponses included.
	failures       atomic.Int64
	faultResponses atomic.Int64           // Responses by which an upstream reports a failure of its own.
	firstFailure   atomic.Pointer[string] // Describes the first failure; nil if there is none.
	quit           chan struct{}          // Closed by stop.
	stopOnce       sync.Once
	group          sync.WaitGroup
}

// callKind is one kind of call that the callers of Kilele Wax Works make.
type callKind struct {
	team, method, path, service string
}

var callKinds = []callKind{
	{"counters", http.MethodGet, "/counters/benches/7", "availability"},
	{"clubs", http.MethodGet, "/clubs/wax/blue", "stock"},
	{"counters", http.MethodGet, "/counters/wax/red", "stock"},
	{"services", http.MethodGet, "/internal/benches", "availability"},
	{"services", http.MethodPost, "/internal/bookings", "booking"},
}

// startCallers starts the callers, which call the daemons that run now. seed is
// the seed of their random choices. The caller of startCallers must call stop.
func startCallers(f *fleet.Fleet, seed uint64) *callers {
	c := &callers{
		client:    &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
		addresses: map[string]string{}, quit: make(chan struct{}),
	}
	for host, d := range f.Daemons() {
		c.addresses[host] = d.Addresses().Outbound
	}
	for i := range callerCount {
		c.group.Add(1)
		go c.run(i, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return c
}

// avoid stops calls to the daemon of a host that is about to be stopped, as
// operators would. It returns 50 ms after the last call to that daemon has ended.
func (c *callers) avoid(host string) {
	c.mutex.Lock()
	c.avoidedHost = host
	c.mutex.Unlock()
	time.Sleep(50 * time.Millisecond)
}

// stop ends all callers and waits for their last calls. It may be called more
// than once.
func (c *callers) stop() {
	c.stopOnce.Do(func() {
		close(c.quit)
		c.group.Wait()
		c.client.CloseIdleConnections()
	})
}

func (c *callers) totals() (calls, responses, failures, faultResponses int64) {
	return c.calls.Load(), c.responses.Load(), c.failures.Load(), c.faultResponses.Load()
}

// run makes calls, one after the other, until the callers are stopped.
func (c *callers) run(index int, random *rand.Rand) {
	defer c.group.Done()
	hosts := make([]string, 0, len(c.addresses))
	for h := range c.addresses {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for i := 0; ; i++ {
		select {
		case <-c.quit:
			return
		case <-time.After(callInterval):
		}
		host := hosts[random.IntN(len(hosts))]
		k := callKinds[random.IntN(len(callKinds))]
		c.mutex.RLock()
		if host != c.avoidedHost {
			c.send(k, c.addresses[host], fmt.Sprintf("demo-%d-%d", index, i))
		}
		c.mutex.RUnlock()
	}
}

// send makes a call and counts its outcome. A response counts if it is complete
// and belongs to this call, or if it is a failure of the upstream's own (status
// 500 of an executed call). Everything else is a failure.
func (c *callers) send(k callKind, address, id string) {
	c.calls.Add(1)
	request, err := http.NewRequest(k.method, "http://"+address+k.path, strings.NewReader(""))
	if err != nil {
		c.failures.Add(1)
		return
	}
	request.Header.Set(call.HeaderTeam, k.team)
	request.Header.Set(standin.HeaderCallID, id)
	response, err := c.client.Do(request)
	if err != nil {
		c.recordFailure("%s %s: %v", k.method, k.path, err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.recordFailure("%s %s: %v", k.method, k.path, err)
		return
	}
	if response.StatusCode == http.StatusInternalServerError && response.Header.Get(call.HeaderRun) == string(call.Executed) {
		c.responses.Add(1)
		c.faultResponses.Add(1)
		return
	}
	var body struct{ ID, Service, Path string }
	if json.Unmarshal(data, &body) != nil || body.ID != id || body.Service != k.service || body.Path != k.path {
		c.recordFailure("%s %s: status %d, run %s, reason %s", k.method, k.path, response.StatusCode,
			response.Header.Get(call.HeaderRun), response.Header.Get(call.HeaderReason))
		return
	}
	c.responses.Add(1)
}

// recordFailure counts a call without a complete response of its own, and keeps
// the description of the first.
func (c *callers) recordFailure(format string, args ...any) {
	c.failures.Add(1)
	failure := fmt.Sprintf(format, args...)
	c.firstFailure.CompareAndSwap(nil, &failure)
}
