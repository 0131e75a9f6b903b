package feed

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
)

var (
	start      = time.Unix(1000, 0)
	errNoReply = errors.New("no reply")
)

// An unreachable preferred parent must not delay pulls again while another parent
// can be reached. After its backoff it must be probed in the background, once at a
// time, and be preferred again when a probe succeeds.
func TestUnreachableParentIsProbedInBackground(t *testing.T) {
	var p parentChoice
	candidates := []string{"preferred", "other", "third"}
	address, _, probe := p.choose(start, candidates)
	require.Equal(t, "preferred", address)
	require.Empty(t, probe)
	p.recordResult(start, "preferred", errNoReply, 1)

	address, _, _ = p.choose(start, candidates)
	require.Equal(t, "other", address)
	later := start.Add(time.Minute) // The backoff has passed.
	address, _, probe = p.choose(later, candidates)
	require.Equal(t, "other", address)
	require.Equal(t, "preferred", probe)
	p.deferForProbe(later, probe)
	_, _, probe = p.choose(later, candidates)
	require.Empty(t, probe, "want one probe at a time")
	require.Equal(t, "third", p.second("other", candidates), "want a second parent without a failure")

	p.recordResult(later, "preferred", nil, 1)
	address, _, _ = p.choose(later, candidates)
	require.Equal(t, "preferred", address)
}

// If no candidate can be reached, choose must return a wait during the backoff,
// and a candidate without a probe after it. Otherwise the daemon would never pull
// again.
func TestChooseRetriesWhenAllUnreachable(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b"}
	p.recordResult(start, "a", errNoReply, 1)
	p.recordResult(start, "b", errNoReply, 1)
	_, wait, _ := p.choose(start, candidates)
	require.Positive(t, wait)
	address, _, probe := p.choose(start.Add(time.Minute), candidates)
	require.Equal(t, "a", address)
	require.Empty(t, probe)
	require.Equal(t, "b", p.second("a", candidates))
}

// The second parent must not be stale if there is another candidate. With both
// parents on the same side of a network partition, a second one would be of no
// use. A stale one is still better than an unreachable one.
func TestSecondParentPrefersFreshOverStale(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b", "c"}
	p.recordResult(start, "b", errStale, 1)
	require.Equal(t, "c", p.second("a", candidates))
	p.recordResult(start, "c", errNoReply, 1)
	require.Equal(t, "b", p.second("a", candidates))
}

// A parent that loses contact with the source while a child waits must reply once
// the last contact is older than staleAge, and not only when the child's wait is
// over: the child would look for another parent too late.
func TestPullReturnsWhenParentBecomesStale(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	s := NewService(h, time.Now, nil)
	contact := time.Now()
	h.SetLastContact(contact)
	var reply PullReply
	require.NoError(t, s.Pull(PullArgs{Host: "d", Instance: 1, Wait: maxWait}, &reply))
	require.Greater(t, reply.Age, staleAge)
	require.Less(t, time.Since(contact), staleAge+500*time.Millisecond)

	// A parent that is stale from the start must wait as usual. Otherwise its
	// children would pull without pause.
	begin := time.Now()
	require.NoError(t, s.Pull(PullArgs{Host: "d", Instance: 1, Wait: 300 * time.Millisecond}, &reply))
	require.GreaterOrEqual(t, time.Since(begin), 290*time.Millisecond)
}

// A stale parent must not be used for staleRetryDelay while there is another one,
// but must be used if all candidates are stale.
func TestStaleParentIsUsedOnlyWithoutAlternative(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b"}
	p.recordResult(start, "a", errStale, 1)
	address, _, _ := p.choose(start, candidates)
	require.Equal(t, "b", address)
	p.recordResult(start, "b", errStale, 1)
	address, _, _ = p.choose(start, candidates)
	require.Equal(t, "a", address)
	address, _, probe := p.choose(start.Add(time.Minute), candidates)
	require.Equal(t, "a", address)
	require.Empty(t, probe)
}
