package feed

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
)

var (
	came       = time.Unix(1000, 0)
	errSilence = errors.New("no answer")
)

// A preferred parent that could not be reached does not hold the daemon up again
// while there is another one: it is probed aside.
func TestUnreachableParentIsProbedAside(t *testing.T) {
	var p parentChoice
	candidates := []string{"preferred", "other", "third"}
	address, _, probe := p.choose(came, candidates)
	require.Equal(t, "preferred", address)
	require.Empty(t, probe)
	p.result(came, "preferred", errSilence, 1)

	address, _, _ = p.choose(came, candidates)
	require.Equal(t, "other", address)
	later := came.Add(time.Minute) // Its pause is long over.
	address, _, probe = p.choose(later, candidates)
	require.Equal(t, "other", address)
	require.Equal(t, "preferred", probe)
	p.probing(later, probe)
	_, _, probe = p.choose(later, candidates)
	require.Empty(t, probe, "one probe at a time")
	require.Equal(t, "third", p.second("other", candidates), "nor is it the second parent")

	p.result(later, "preferred", nil, 1)
	address, _, _ = p.choose(later, candidates)
	require.Equal(t, "preferred", address)
}

// With no candidate that could be reached, those whose pause is over are asked.
func TestAllUnreachable(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b"}
	p.result(came, "a", errSilence, 1)
	p.result(came, "b", errSilence, 1)
	_, wait, _ := p.choose(came, candidates)
	require.Positive(t, wait)
	address, _, probe := p.choose(came.Add(time.Minute), candidates)
	require.Equal(t, "a", address)
	require.Empty(t, probe)
	require.Equal(t, "b", p.second("a", candidates))
}

// The second parent is one that hears the source, if there is one: both on the
// same side of a cut would be no help.
func TestSecondParentIsNotStale(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b", "c"}
	p.result(came, "b", errStale, 1)
	require.Equal(t, "c", p.second("a", candidates))
	p.result(came, "c", errSilence, 1)
	require.Equal(t, "b", p.second("a", candidates))
}

// A parent that is cut off from the source while a child waits says so soon, and
// not when the child's wait is over.
func TestParentThatIsCutOffSaysSo(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	s := NewService(h, time.Now, nil)
	began := time.Now()
	h.SetLastContact(began)
	var reply PullReply
	require.NoError(t, s.Pull(PullArgs{Host: "d", Instance: 1, Wait: maxWait}, &reply))
	require.Greater(t, reply.Age, staleAge)
	require.Less(t, time.Since(began), staleAge+500*time.Millisecond)

	// A stale parent is waited for all the same, or its children would not rest.
	again := time.Now()
	require.NoError(t, s.Pull(PullArgs{Host: "d", Instance: 1, Wait: 300 * time.Millisecond}, &reply))
	require.GreaterOrEqual(t, time.Since(again), 290*time.Millisecond)
}

// A parent that hears little of the source is passed over for a while, and used
// if there are only such.
func TestStaleParents(t *testing.T) {
	var p parentChoice
	candidates := []string{"a", "b"}
	p.result(came, "a", errStale, 1)
	address, _, _ := p.choose(came, candidates)
	require.Equal(t, "b", address)
	p.result(came, "b", errStale, 1)
	address, _, _ = p.choose(came, candidates)
	require.Equal(t, "a", address)
	address, _, probe := p.choose(came.Add(time.Minute), candidates)
	require.Equal(t, "a", address)
	require.Empty(t, probe)
}
