package fleet_test

import (
	"fmt"
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
)

// claimReplicas are the hosts whose daemons store claims.
var claimReplicas = []string{"d0", "d1", "d2"}

// keyHeader returns the header of a call with an idempotency key.
func keyHeader(key string) map[string]string { return map[string]string{call.HeaderKey: key} }

// TestKeyedBookingExecutesOnce retries a booking with the same key at another
// daemon, which replays the stored response. The key is rejected for another
// booking, and so is a booking with a key whose body is too large.
func TestKeyedBookingExecutesOnce(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{ClaimReplicas: claimReplicas}, 0)
	c := newCaller(t)
	book := func(host, id, key, body string) attempt {
		return c.call(f.Daemon(host).Addresses().Outbound, http.MethodPost, "/internal/bookings", id, strings.NewReader(body), keyHeader(key))
	}
	first := book("d0", "one", "k1", "deposit")
	require.Equal(t, http.StatusOK, first.status, "%v", first)
	require.True(t, first.intact)
	eventually(t, "replay of the stored response", func() bool {
		retry := book("d1", "two", "k1", "deposit")
		return retry.status == http.StatusOK && retry.execution == call.Executed
	})
	require.Zero(t, executions(f)["two"], "the retry was executed")
	other := book("d2", "three", "k1", "another deposit")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, call.ReasonKeyReused, other.reason)
	require.Equal(t, http.StatusOK, book("d1", "four", "k2", "deposit").status)
	require.Equal(t, call.ReasonTooLarge, book("d1", "five", "k3", strings.Repeat("x", 100<<10)).reason)
	require.Zero(t, executions(f)["five"])
}

// TestKeyedRetryAtUnreadyDaemonIsUnknown retries a booking at a daemon that is not
// ready and cannot ask for claims yet. The daemon must not report it as not
// executed: it was executed elsewhere.
func TestKeyedRetryAtUnreadyDaemonIsUnknown(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{ClaimReplicas: claimReplicas}, 0)
	c := newCaller(t)
	book := func(host, id string) attempt {
		return c.call(f.Daemon(host).Addresses().Outbound, http.MethodPost, "/internal/bookings", id, strings.NewReader("deposit"), keyHeader("k1"))
	}
	require.Equal(t, http.StatusOK, book("d0", "one").status)
	stopSource(f)
	restartDaemon(t, f, "d1")
	retry := book("d1", "two")
	require.Equal(t, call.ReasonNotReady, retry.reason)
	require.Equal(t, call.ExecutionUnknown, retry.execution)
}

// TestKeyedRetriesExecuteOnceUnderFaults has callers retry bookings at any daemon
// until they get a response, while upstreams fail, are slow, respond late and
// truncate responses, and daemons crash and restart. It guards against keys that
// are executed twice or whose attempts are reported as not executed and were.
func TestKeyedRetriesExecuteOnceUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := startMesh(t, fleet.Config{ClaimReplicas: claimReplicas, Seed: seed}, time.Millisecond)
			h := newKeyedHistory()
			stop := make(chan struct{})
			var group sync.WaitGroup
			for w := range 12 {
				group.Go(func() { h.sendBookings(t, f, seed, w, stop) })
			}
			random := rand.New(rand.NewPCG(seed, 5))
			for range 3 {
				for i := range 3 {
					if s := f.Standin(fmt.Sprintf("booking-d%d-v1", i)); s != nil {
						s.SetFaults(faults[random.IntN(len(faults))])
					}
				}
				time.Sleep(time.Duration(200+random.IntN(200)) * time.Millisecond)
				host := fmt.Sprintf("d%d", 1+random.IntN(2))
				restartDaemon(t, f, host)
				eventually(t, "claims of "+host, f.Daemon(host).ServesClaims)
			}
			close(stop)
			group.Wait()
			h.check(t, f)
		})
	}
}

// keyedHistory collects the attempts of bookings with idempotency keys. It may be
// used concurrently.
type keyedHistory struct {
	mutex    sync.Mutex
	attempts map[string][]attempt // By key.
}

// newKeyedHistory returns an empty history.
func newKeyedHistory() *keyedHistory { return &keyedHistory{attempts: map[string][]attempt{}} }

// maxAttempts is how many times a caller sends a booking before it gives up.
const maxAttempts = 6

// sendBookings sends one booking after the other until stop is closed, and retries
// each at random daemons until it succeeds. A quarter of the attempts time out
// after 3 ms, mostly without a response.
func (h *keyedHistory) sendBookings(t *testing.T, f *fleet.Fleet, seed uint64, worker int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	c := newCaller(t)
	shortTimeout := newCaller(t)
	shortTimeout.client.Timeout = 3 * time.Millisecond
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprintf("k-%d-%d-%d", seed, worker, i)
		for n := range maxAttempts {
			client := c
			if random.IntN(4) == 0 {
				client = shortTimeout
			}
			addresses, err := f.Addresses(fmt.Sprintf("d%d", random.IntN(3)))
			require.NoError(t, err)
			a := client.call(addresses.Outbound, http.MethodPost, "/internal/bookings", fmt.Sprintf("%s-%d", key, n), strings.NewReader("deposit"), keyHeader(key))
			h.add(key, a)
			if a.status == http.StatusOK && a.err == nil {
				break
			}
		}
	}
}

// add records an attempt of a key.
func (h *keyedHistory) add(key string, a attempt) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attempts[key] = append(h.attempts[key], a)
}

// check compares what callers saw with what upstreams executed: of all attempts of
// a key at most one was executed, none that was reported as not executed was, and
// a key that got a response was executed.
func (h *keyedHistory) check(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	executed := executions(f)
	succeeded, retried, unknown := 0, 0, 0
	for key, attempts := range h.attempts {
		total := 0
		for _, a := range attempts {
			total += executed[a.id]
			if a.execution == call.NotExecuted && executed[a.id] > 0 {
				t.Errorf("%s was reported as not executed (%s) and was executed", a.id, a.reason)
			}
		}
		if total > 1 {
			t.Errorf("%s was executed %d times: %+v", key, total, attempts)
		}
		last := attempts[len(attempts)-1]
		switch {
		case last.status == http.StatusOK && last.err == nil:
			succeeded++
			if total != 1 {
				t.Errorf("%s got a response and was executed %d times", key, total)
			}
		case last.execution == call.ExecutionUnknown:
			unknown++
		}
		if len(attempts) > 1 {
			retried++
		}
	}
	require.NotZero(t, succeeded)
	require.NotZero(t, retried)
	t.Logf("%d keys: %d succeeded, %d were retried, the last attempt of %d had an unknown outcome", len(h.attempts), succeeded, retried, unknown)
}

// faults are those that a stand-in is set to at random; the first one is none.
var faults = []standin.Fault{{}, {Kind: standin.FaultFail}, {Kind: standin.FaultSlow}, {Kind: standin.FaultLate}, {Kind: standin.FaultTruncate}}
