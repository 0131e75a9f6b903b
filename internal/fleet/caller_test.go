package fleet_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// startMesh starts a fleet of three daemons, each with one local upstream of each
// service, and waits until calls can be served. Work is the mean time that an
// upstream takes for a call.
func startMesh(t *testing.T, c fleet.Config, work time.Duration) *fleet.Fleet {
	t.Helper()
	f := startFleet(t, c)
	startDaemons(t, f, 3)
	for i := range 3 {
		for _, service := range []string{"availability", "booking", "stock"} {
			startUpstream(t, f, fmt.Sprintf("d%d", i), service, "v1", work)
		}
	}
	apply(t, f, "first", kileleObjects(t)...)
	r := apply(t, f, "room", makeObject(t, config.Contract{Team: "services", Limit: "900000000 bench-credits"}))
	eventually(t, "readiness", func() bool {
		if !converged(f, r) {
			return false
		}
		for _, d := range f.Daemons() {
			if !d.Ready() || len(d.Hub().View().Targets("stock", "v1")) < 3 || len(d.Hub().View().Targets("booking", "v1")) < 3 {
				return false
			}
		}
		return true
	})
	return f
}

// startUpstream starts a stand-in for one version of a service as a local upstream
// of a host's daemon. Its ID is service-host-version.
func startUpstream(t *testing.T, f *fleet.Fleet, host, service, version string, work time.Duration) *standin.Standin {
	t.Helper()
	s, err := f.StartStandin(host, standin.Config{
		ID: fmt.Sprintf("%s-%s-%s", service, host, version), Service: service, Version: version, Slots: 9, Work: work,
	})
	require.NoError(t, err)
	return s
}

// attempt is one try of a call, as its caller saw it.
type attempt struct {
	id        string
	status    int
	execution call.Execution
	reason    call.Reason
	intact    bool // The response body is complete and names this call.
	err       error
}

// caller sends calls to daemons. It may be used concurrently.
type caller struct{ client *http.Client }

// newCaller returns a caller whose idle connections are closed at the end of the
// test.
func newCaller(t *testing.T) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{client: &http.Client{Transport: transport, Timeout: 10 * time.Second}}
}

// call sends one call, as the team "services" unless header names another one,
// and reads its response. Errors are reported in the attempt.
func (c *caller) call(address, method, path, id string, body io.Reader, header map[string]string) attempt {
	r, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return attempt{id: id, err: err}
	}
	r.Header.Set(call.HeaderTeam, "services")
	r.Header.Set(standin.HeaderCallID, id)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return attempt{id: id, err: err}
	}
	defer response.Body.Close()
	a := attempt{
		id: id, status: response.StatusCode,
		execution: call.Execution(response.Header.Get(call.HeaderRun)), reason: call.Reason(response.Header.Get(call.HeaderReason)),
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	var echo struct{ ID, Path string }
	a.intact = json.Unmarshal(data, &echo) == nil && echo.ID == id && echo.Path == path
	return a
}

// executions returns, by call ID, how often the upstreams executed each call.
func executions(f *fleet.Fleet) map[string]int {
	count := map[string]int{}
	for host := range 3 {
		for _, service := range []string{"availability", "booking", "stock"} {
			for _, version := range []string{"v1", "v2"} {
				if s := f.Standin(fmt.Sprintf("%s-d%d-%s", service, host, version)); s != nil {
					for _, r := range s.Executions() {
						count[r.ID]++
					}
				}
			}
		}
	}
	return count
}

// checkHistory compares what callers saw with what upstreams executed. No call may
// be executed twice if once is set, none that was reported as not executed may
// have been, and each successful response must be complete, belong to its call,
// and come from an execution.
func checkHistory(t *testing.T, f *fleet.Fleet, attempts []attempt, once bool) {
	t.Helper()
	executed := executions(f)
	tally := map[string]int{}
	for _, a := range attempts {
		n := executed[a.id]
		tally[fmt.Sprintf("%s/%d", a.execution, a.status)]++
		if once && n > 1 {
			t.Errorf("%s was executed %d times", a.id, n)
		}
		if a.execution == call.NotExecuted && n > 0 {
			t.Errorf("%s was reported as not executed (%s) and was executed", a.id, a.reason)
		}
		if a.status == http.StatusOK && a.err == nil && (!a.intact || n == 0) {
			t.Errorf("%s got a response that is incomplete, of another call, or without an execution", a.id)
		}
	}
	t.Logf("%d calls: %v", len(attempts), tally)
}

// requireAllSucceeded checks the history of calls that must not be retried, and
// that each of them succeeded.
func requireAllSucceeded(t *testing.T, f *fleet.Fleet, attempts []attempt) {
	t.Helper()
	checkHistory(t, f, attempts, true)
	for _, a := range attempts {
		require.Equal(t, http.StatusOK, a.status, "%v", a)
	}
}

// callDuring sends concurrent calls to d0 and d1 while disturb runs, and returns
// all of them.
func callDuring(t *testing.T, f *fleet.Fleet, seed uint64, method, path string, disturb func(random *rand.Rand)) []attempt {
	t.Helper()
	c := newCaller(t)
	var mutex sync.Mutex
	var all []attempt
	var group sync.WaitGroup
	stop := make(chan struct{})
	addresses := []string{f.Daemon("d0").Addresses().Outbound, f.Daemon("d1").Addresses().Outbound}
	for w := range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d-%d", seed, w, i)
				a := c.call(addresses[random.IntN(2)], method, path, id, strings.NewReader("deposit"), nil)
				mutex.Lock()
				all = append(all, a)
				mutex.Unlock()
			}
		}()
	}
	disturb(rand.New(rand.NewPCG(seed, 99)))
	close(stop)
	group.Wait()
	return all
}
