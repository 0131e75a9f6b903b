package processtest_test

import (
	"encoding/json"
	"fmt"
	"io"
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

// booking is one attempt of a booking, as its caller saw it.
type booking struct {
	id     string
	status int
	run    call.Execution
	body   string
	err    error
}

func book(client *http.Client, address, id, key string) booking {
	b := booking{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/internal/bookings", strings.NewReader("deposit"))
	if err != nil {
		return booking{err: err}
	}
	r.Header.Set(call.HeaderTeam, "services")
	r.Header.Set(call.HeaderKey, key)
	r.Header.Set(standin.CallID, id)
	response, err := client.Do(r)
	if err != nil {
		b.err = err
		return b
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	b.status, b.run, b.body, b.err = response.StatusCode, call.Execution(response.Header.Get(call.HeaderRun)), string(data), err
	return b
}

// runsAt reads which calls a stand-in has run.
func runsAt(t *testing.T, address string) []standin.Run {
	response, err := http.Get("http://" + address + "/standin/runs")
	require.NoError(t, err)
	defer response.Body.Close()
	var runs []standin.Run
	require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

// TestKeyedBookingsOfProcesses kills and freezes daemons, which are entries,
// gates and keepers of claims at once, while callers send bookings again and
// again at any of them. No key runs twice, what was told not to have run did
// not, and all answers of a key are alike.
func TestKeyedBookingsOfProcesses(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			names := []string{"d1", "d2", "d3"}
			g.UseWitnesses("d1", "d2", "d3", "d4")
			g.UseClaimReplicas(names...)
			daemons := startAll(g, append(names, "d4"))
			applyNow(t, g, "base", kilele(t)...)
			out := applyNow(t, g, "room", contract(t, "services", 900_000_000))
			var standins []string
			for _, name := range names {
				_, address := g.StartStandin(name, "w-"+name, "booking", "v1", "--work", "2ms")
				standins = append(standins, address)
			}
			g.Eventually(patience, "upstreams", func() bool {
				s, err := g.Status("d4")
				return err == nil && s.Upstreams == len(names) && allHave(g, names, out.Revision)
			})
			var mutex sync.Mutex
			attempts := map[string][]booking{}
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
							entry := g.Caller([]string{"d1", "d2", "d3", "d4"}[random.IntN(4)])
							b := book(client, entry, fmt.Sprintf("%s-%d", key, n), key)
							mutex.Lock()
							attempts[key] = append(attempts[key], b)
							mutex.Unlock()
							if b.err != nil {
								// Without a pause the system runs out of ports.
								time.Sleep(10 * time.Millisecond)
							}
							if b.err == nil && b.status == http.StatusOK && random.IntN(3) > 0 {
								break // Some callers lose the answer and send again.
							}
						}
					}
				})
			}
			random := rand.New(rand.NewPCG(seed, 60))
			for range 3 {
				victim := names[random.IntN(len(names))]
				daemons[victim].Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(200+random.IntN(900)) * time.Millisecond)
				daemons[victim].Signal(syscall.SIGCONT)
				victim = names[random.IntN(len(names))]
				daemons[victim].Kill()
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				daemons[victim] = g.StartDaemon(victim, "zone-1")
				g.Eventually(patience, "claims of "+victim, func() bool { return g.Counter(victim, "claims_granted") > 0 })
			}
			close(stop)
			group.Wait()
			ran := map[string]int{}
			for _, address := range standins {
				for _, r := range runsAt(t, address) {
					ran[r.ID]++
				}
			}
			checkBookings(t, attempts, ran)
		})
	}
}

func checkBookings(t *testing.T, attempts map[string][]booking, ran map[string]int) {
	answered, again, unknown := 0, 0, 0
	for key, all := range attempts {
		total, body := 0, ""
		for _, b := range all {
			total += ran[b.id]
			require.False(t, b.run == call.NotExecuted && ran[b.id] > 0, "%s was told not to have run and ran", b.id)
			switch {
			case b.err == nil && b.status == http.StatusOK && body == "":
				body = b.body
				answered++
			case b.err == nil && b.status == http.StatusOK:
				require.Equal(t, body, b.body, "two answers of %s", key)
				again++
			case b.run == call.ExecutionUnknown:
				unknown++
			}
		}
		require.LessOrEqual(t, total, 1, "%s ran %d times: %+v", key, total, all)
		require.False(t, body != "" && total == 0, "%s was answered and did not run", key)
	}
	require.NotZero(t, answered)
	require.NotZero(t, again)
	t.Logf("%d keys: %d answered, %d answers given again, %d times unknown", len(attempts), answered, again, unknown)
}
