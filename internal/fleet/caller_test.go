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

// mesh starts a fleet with one worker of each service beside each of three
// daemons, and waits until calls can be served.
func mesh(t *testing.T, c fleet.Config, work time.Duration) *fleet.Fleet {
	t.Helper()
	f := start(t, c)
	startDaemons(t, f, 3)
	for i := range 3 {
		for _, service := range []string{"availability", "booking", "stock"} {
			startWorker(t, f, fmt.Sprintf("d%d", i), service, "v1", work)
		}
	}
	apply(t, f, "first", kilele(t)...)
	r := apply(t, f, "room", object(t, config.Contract{Team: "services", Limit: "900000000 bench-credits"}))
	eventually(t, "readiness", func() bool {
		if !everywhere(f, r) {
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

func startWorker(t *testing.T, f *fleet.Fleet, host, service, version string, work time.Duration) *standin.Standin {
	t.Helper()
	s, err := f.StartStandin(host, standin.Config{
		ID: fmt.Sprintf("%s-%s-%s", service, host, version), Service: service, Version: version, Slots: 9, Work: work,
	})
	require.NoError(t, err)
	return s
}

// answer is what a caller saw.
type answer struct {
	id     string
	status int
	run    call.Execution
	reason call.Reason
	whole  bool // The body came whole and is that of this call.
	err    error
}

type caller struct{ client *http.Client }

func newCaller(t *testing.T) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{client: &http.Client{Transport: transport, Timeout: 10 * time.Second}}
}

func (c *caller) call(address, method, path, id string, body io.Reader, header map[string]string) answer {
	r, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return answer{id: id, err: err}
	}
	r.Header.Set(call.HeaderTeam, "services")
	r.Header.Set(standin.CallID, id)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer response.Body.Close()
	a := answer{
		id: id, status: response.StatusCode,
		run: call.Execution(response.Header.Get(call.HeaderRun)), reason: call.Reason(response.Header.Get(call.HeaderReason)),
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	var said struct{ ID, Path string }
	a.whole = json.Unmarshal(data, &said) == nil && said.ID == id && said.Path == path
	return a
}

// runs counts how often each call was run by any worker.
func runs(f *fleet.Fleet) map[string]int {
	count := map[string]int{}
	for host := range 3 {
		for _, service := range []string{"availability", "booking", "stock"} {
			for _, version := range []string{"v1", "v2"} {
				if s := f.Standin(fmt.Sprintf("%s-d%d-%s", service, host, version)); s != nil {
					for _, r := range s.Runs() {
						count[r.ID]++
					}
				}
			}
		}
	}
	return count
}

// checkHistory holds what callers saw against what workers ran.
func checkHistory(t *testing.T, f *fleet.Fleet, answers []answer, once bool) {
	t.Helper()
	ran := runs(f)
	tally := map[string]int{}
	for _, a := range answers {
		n := ran[a.id]
		tally[fmt.Sprintf("%s/%d", a.run, a.status)]++
		if once && n > 1 {
			t.Errorf("%s ran %d times", a.id, n)
		}
		if a.run == call.NotExecuted && n > 0 {
			t.Errorf("%s was told not to have run (%s) and ran", a.id, a.reason)
		}
		if a.status == http.StatusOK && a.err == nil && (!a.whole || n == 0) {
			t.Errorf("%s got an answer that is not whole or not its own", a.id)
		}
	}
	t.Logf("%d calls: %v", len(answers), tally)
}

// requireAllAnswered checks the history of calls that must not be repeated, and
// that each of them got its worker's answer.
func requireAllAnswered(t *testing.T, f *fleet.Fleet, answers []answer) {
	t.Helper()
	checkHistory(t, f, answers, true)
	for _, a := range answers {
		require.Equal(t, http.StatusOK, a.status, "%v", a)
	}
}

// storm makes many concurrent calls while disturb goes on.
func storm(t *testing.T, f *fleet.Fleet, seed uint64, method, path string, disturb func(random *rand.Rand)) []answer {
	t.Helper()
	c := newCaller(t)
	var mutex sync.Mutex
	var all []answer
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
