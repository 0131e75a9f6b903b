package processtest_test

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/processtest"
	"github.com/endivewalk/endivewalk/internal/standin"
)

// bookingAttempt is one try of a booking, as its caller saw it.
type bookingAttempt struct {
	id        string
	status    int
	execution call.Execution
	body      string
	err       error
}

// sendBooking sends a booking with an idempotency key to a daemon. The call ID id
// identifies the attempt. Errors are reported in the attempt.
func sendBooking(client *http.Client, address, id, key string) bookingAttempt {
	b := bookingAttempt{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/internal/bookings", strings.NewReader("deposit"))
	if err != nil {
		return bookingAttempt{err: err}
	}
	r.Header.Set(call.HeaderTeam, "services")
	r.Header.Set(call.HeaderKey, key)
	r.Header.Set(standin.HeaderCallID, id)
	response, err := client.Do(r)
	if err != nil {
		b.err = err
		return b
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	b.status, b.execution, b.body, b.err = response.StatusCode, call.Execution(response.Header.Get(call.HeaderRun)), string(data), err
	return b
}

// executionsAt returns the calls that a stand-in has executed.
func executionsAt(t *testing.T, address string) []standin.Execution {
	response, err := http.Get("http://" + address + "/standin/runs")
	require.NoError(t, err)
	defer response.Body.Close()
	var executions []standin.Execution
	require.NoError(t, json.NewDecoder(response.Body).Decode(&executions))
	return executions
}

// TestKeyedBookingsExecuteOnceUnderFaults kills daemons and freezes them by SIGSTOP
// while callers retry bookings with idempotency keys at random daemons. The daemons
// are outbound proxies, inbound proxies and claim replicas at once. It guards
// against keys that are executed twice, attempts that are reported as not executed
// and were, and responses of a key that differ.
func TestKeyedBookingsExecuteOnceUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			names := []string{"d1", "d2", "d3"}
			g.UseWitnesses("d1", "d2", "d3", "d4")
			g.UseClaimReplicas(names...)
			daemons := startDaemons(g, append(names, "d4"))
			applyToLatest(t, g, "base", kileleObjects(t)...)
			out := applyToLatest(t, g, "room", contract(t, "services", 900_000_000))
			t.Cleanup(func() {
				if t.Failed() {
					logClaimCounters(t, g, append(names, "d4"))
				}
			})
			var standins []string
			for _, name := range names {
				_, address := g.StartStandin(name, "w-"+name, "booking", "v1", "--work", "2ms")
				standins = append(standins, address)
			}
			g.Eventually(eventuallyTimeout, "registration of all upstreams", func() bool {
				s, err := g.Status("d4")
				return err == nil && s.Upstreams == len(names) && allServe(g, names, out.Revision)
			})
			var mutex sync.Mutex
			attempts := map[string][]bookingAttempt{}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for w := range 8 {
				group.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(w)))
					client := &http.Client{Timeout: 700 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						key := fmt.Sprintf("k-%d-%d", w, i)
						for n := range 5 {
							outbound := g.OutboundAddress([]string{"d1", "d2", "d3", "d4"}[random.IntN(4)])
							b := sendBooking(client, outbound, fmt.Sprintf("%s-%d", key, n), key)
							mutex.Lock()
							attempts[key] = append(attempts[key], b)
							mutex.Unlock()
							if b.err != nil {
								// Without a pause the system runs out of ephemeral ports.
								time.Sleep(10 * time.Millisecond)
							}
							if b.err == nil && b.status == http.StatusOK && random.IntN(3) > 0 {
								break // The others retry, as if the response had been lost.
							}
						}
					}
				})
			}
			random := rand.New(rand.NewPCG(seed, 60))
			for range 3 {
				victim := names[random.IntN(len(names))]
				daemons[victim].Freeze()
				time.Sleep(time.Duration(200+random.IntN(900)) * time.Millisecond)
				daemons[victim].Signal(syscall.SIGCONT)
				victim = names[random.IntN(len(names))]
				daemons[victim].Kill()
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				daemons[victim] = g.StartDaemon(victim, "zone-1")
				g.Eventually(eventuallyTimeout, "claims of "+victim, func() bool { return g.Counter(victim, "claims_granted") > 0 })
			}
			close(stop)
			group.Wait()
			executed := map[string]int{}
			for _, address := range standins {
				for _, r := range executionsAt(t, address) {
					executed[r.ID]++
				}
			}
			checkBookings(t, attempts, executed)
		})
	}
}

// logClaimCounters logs the counters of claims at daemons.
func logClaimCounters(t *testing.T, g *processtest.Group, daemons []string) {
	for _, name := range daemons {
		all, err := g.Counters(name)
		maps.DeleteFunc(all, func(counter string, _ any) bool { return !strings.HasPrefix(counter, "claims_") })
		t.Logf("%s: %v %v", name, all, err)
	}
}

// checkBookings compares the attempts of each key with the calls that were executed,
// which are counted by call ID.
func checkBookings(t *testing.T, attempts map[string][]bookingAttempt, executed map[string]int) {
	succeeded, replayed, unknown := 0, 0, 0
	for key, all := range attempts {
		total, body := 0, ""
		for _, b := range all {
			total += executed[b.id]
			require.False(t, b.execution == call.NotExecuted && executed[b.id] > 0, "%s was reported as not executed and was executed", b.id)
			switch {
			case b.err == nil && b.status == http.StatusOK && body == "":
				body = b.body
				succeeded++
			case b.err == nil && b.status == http.StatusOK:
				require.Equal(t, body, b.body, "two different responses of %s", key)
				replayed++
			case b.execution == call.ExecutionUnknown:
				unknown++
			}
		}
		require.LessOrEqual(t, total, 1, "%s was executed %d times: %+v", key, total, all)
		require.False(t, body != "" && total == 0, "%s got a response and was not executed", key)
	}
	require.NotZero(t, succeeded)
	require.NotZero(t, replayed)
	t.Logf("%d keys: %d succeeded, %d responses were replayed, %d attempts had an unknown outcome", len(attempts), succeeded, replayed, unknown)
}
