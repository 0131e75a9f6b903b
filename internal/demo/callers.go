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
	callerCount = 12
	callPause   = 2 * time.Millisecond
)

// callers send calls to the fleet until they are stopped.
type callers struct {
	client    *http.Client
	addresses map[string]string
	mutex     sync.RWMutex
	avoided   string
	calls     atomic.Int64
	answers   atomic.Int64
	failures  atomic.Int64
	faults    atomic.Int64
	first     atomic.Pointer[string] // What was wrong with the first failure.
	quit      chan struct{}
	once      sync.Once
	group     sync.WaitGroup
}

// kind is one kind of call that Kilele's callers make.
type kind struct {
	team, method, path, service string
}

var kinds = []kind{
	{"counters", http.MethodGet, "/counters/benches/7", "availability"},
	{"clubs", http.MethodGet, "/clubs/wax/blue", "stock"},
	{"counters", http.MethodGet, "/counters/wax/red", "stock"},
	{"services", http.MethodGet, "/internal/benches", "availability"},
	{"services", http.MethodPost, "/internal/bookings", "booking"},
}

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

// avoid keeps callers away from a daemon that is about to be stopped, as
// operators would.
func (c *callers) avoid(host string) {
	c.mutex.Lock()
	c.avoided = host
	c.mutex.Unlock()
	time.Sleep(50 * time.Millisecond)
}

func (c *callers) stop() {
	c.once.Do(func() {
		close(c.quit)
		c.group.Wait()
		c.client.CloseIdleConnections()
	})
}

func (c *callers) totals() (calls, answers, failures, faults int64) {
	return c.calls.Load(), c.answers.Load(), c.failures.Load(), c.faults.Load()
}

func (c *callers) run(number int, random *rand.Rand) {
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
		case <-time.After(callPause):
		}
		host := hosts[random.IntN(len(hosts))]
		k := kinds[random.IntN(len(kinds))]
		c.mutex.RLock()
		if host != c.avoided {
			c.one(k, c.addresses[host], fmt.Sprintf("demo-%d-%d", number, i))
		}
		c.mutex.RUnlock()
	}
}

// one makes a call and checks that the answer is whole and its own.
func (c *callers) one(k kind, address, id string) {
	c.calls.Add(1)
	request, err := http.NewRequest(k.method, "http://"+address+k.path, strings.NewReader(""))
	if err != nil {
		c.failures.Add(1)
		return
	}
	request.Header.Set(call.HeaderTeam, k.team)
	request.Header.Set(standin.CallID, id)
	response, err := c.client.Do(request)
	if err != nil {
		c.fail("%s %s: %v", k.method, k.path, err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.fail("%s %s: %v", k.method, k.path, err)
		return
	}
	if response.StatusCode == http.StatusInternalServerError && response.Header.Get(call.HeaderRun) == string(call.Executed) {
		c.answers.Add(1)
		c.faults.Add(1)
		return
	}
	var answer struct{ ID, Service, Path string }
	if json.Unmarshal(data, &answer) != nil || answer.ID != id || answer.Service != k.service || answer.Path != k.path {
		c.fail("%s %s: status %d, run %s, reason %s", k.method, k.path, response.StatusCode,
			response.Header.Get(call.HeaderRun), response.Header.Get(call.HeaderReason))
		return
	}
	c.answers.Add(1)
}

// fail counts a call without its whole answer, and remembers the first.
func (c *callers) fail(format string, args ...any) {
	c.failures.Add(1)
	what := fmt.Sprintf(format, args...)
	c.first.CompareAndSwap(nil, &what)
}
