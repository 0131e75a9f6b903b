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

var claimKeepers = []string{"d0", "d1", "d2"}

func keyed(key string) map[string]string { return map[string]string{call.HeaderKey: key} }

// TestKeyedBookingRunsOnce resends a booking to another daemon, which gives the
// first answer, and refuses its key for another booking.
func TestKeyedBookingRunsOnce(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{ClaimReplicas: claimKeepers}, 0)
	c := newCaller(t)
	book := func(host, id, key, body string) answer {
		return c.call(f.Daemon(host).Addresses().Outbound, http.MethodPost, "/internal/bookings", id, strings.NewReader(body), keyed(key))
	}
	first := book("d0", "one", "k1", "deposit")
	require.Equal(t, http.StatusOK, first.status, "%v", first)
	require.True(t, first.whole)
	eventually(t, "the first answer again", func() bool {
		again := book("d1", "two", "k1", "deposit")
		return again.status == http.StatusOK && again.run == call.Executed
	})
	require.Zero(t, runs(f)["two"], "the resend was run")
	other := book("d2", "three", "k1", "another deposit")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, call.ReasonKeyReused, other.reason)
	require.Equal(t, http.StatusOK, book("d1", "four", "k2", "deposit").status)
	require.Equal(t, call.ReasonTooLarge, book("d1", "five", "k3", strings.Repeat("x", 100<<10)).reason)
	require.Zero(t, runs(f)["five"])
}

// A resend at a daemon that can't ask for claims yet must not be told that the
// booking did not run: it did, elsewhere.
func TestKeyedResendAtADaemonThatIsNotReady(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{ClaimReplicas: claimKeepers}, 0)
	c := newCaller(t)
	book := func(host, id string) answer {
		return c.call(f.Daemon(host).Addresses().Outbound, http.MethodPost, "/internal/bookings", id, strings.NewReader("deposit"), keyed("k1"))
	}
	require.Equal(t, http.StatusOK, book("d0", "one").status)
	stopSource(f)
	restart(t, f, "d1")
	again := book("d1", "two")
	require.Equal(t, call.ReasonNotReady, again.reason)
	require.Equal(t, call.ExecutionUnknown, again.run)
}

// TestKeyedResendsUnderFaults has callers send bookings again and again, at any
// daemon, until they get an answer, while upstreams fail, are slow and are
// killed, and daemons crash and restart. No key ever runs twice, and all
// answers of a key are the same.
func TestKeyedResendsUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := mesh(t, fleet.Config{ClaimReplicas: claimKeepers, Seed: seed}, time.Millisecond)
			h := newKeyedHistory()
			stop := make(chan struct{})
			var group sync.WaitGroup
			for w := range 12 {
				group.Go(func() { h.book(t, f, seed, w, stop) })
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
				restart(t, f, host)
				eventually(t, "claims of "+host, f.Daemon(host).ServesClaims)
			}
			close(stop)
			group.Wait()
			h.check(t, f)
		})
	}
}

// keyedHistory is what callers saw of bookings with keys.
type keyedHistory struct {
	mutex    sync.Mutex
	attempts map[string][]answer // By key.
}

func newKeyedHistory() *keyedHistory { return &keyedHistory{attempts: map[string][]answer{}} }

// maxAttempts is how often a caller sends a booking before it gives up.
const maxAttempts = 6

// book makes bookings, and sends each again, at any daemon, until it has an
// answer. Now and then it does not wait for one.
func (h *keyedHistory) book(t *testing.T, f *fleet.Fleet, seed uint64, worker int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	c := newCaller(t)
	impatient := newCaller(t)
	impatient.client.Timeout = 3 * time.Millisecond
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprintf("k-%d-%d-%d", seed, worker, i)
		for n := range maxAttempts {
			one := c
			if random.IntN(4) == 0 {
				one = impatient
			}
			place, err := f.Addresses(fmt.Sprintf("d%d", random.IntN(3)))
			require.NoError(t, err)
			a := one.call(place.Outbound, http.MethodPost, "/internal/bookings", fmt.Sprintf("%s-%d", key, n), strings.NewReader("deposit"), keyed(key))
			h.add(key, a)
			if a.status == http.StatusOK && a.err == nil {
				break
			}
		}
	}
}

func (h *keyedHistory) add(key string, a answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attempts[key] = append(h.attempts[key], a)
}

// check holds what callers saw against what workers ran: of all attempts of a
// key at most one ran, and every answer is that of the one that ran.
func (h *keyedHistory) check(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	ran := runs(f)
	answered, resent, unknown := 0, 0, 0
	for key, attempts := range h.attempts {
		total := 0
		for _, a := range attempts {
			total += ran[a.id]
			if a.run == call.NotExecuted && ran[a.id] > 0 {
				t.Errorf("%s was told not to have run (%s) and ran", a.id, a.reason)
			}
		}
		if total > 1 {
			t.Errorf("%s ran %d times: %+v", key, total, attempts)
		}
		last := attempts[len(attempts)-1]
		switch {
		case last.status == http.StatusOK && last.err == nil:
			answered++
			if total != 1 {
				t.Errorf("%s was answered and ran %d times", key, total)
			}
		case last.run == call.ExecutionUnknown:
			unknown++
		}
		if len(attempts) > 1 {
			resent++
		}
	}
	require.NotZero(t, answered)
	require.NotZero(t, resent)
	t.Logf("%d keys: %d answered, %d sent more than once, %d unknown in the end", len(h.attempts), answered, resent, unknown)
}

var faults = []standin.Fault{{}, {Kind: standin.FaultFail}, {Kind: standin.FaultSlow}, {Kind: standin.FaultLate}, {Kind: standin.FaultTruncate}}
