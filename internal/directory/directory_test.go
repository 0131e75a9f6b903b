package directory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/directory"
)

var now = time.Unix(9000, 0)

func record(host, zone string, incarnation, sequence uint64) directory.Record {
	return directory.Record{Host: host, Zone: zone, Incarnation: incarnation, Sequence: sequence, Peer: "p-" + host, Gate: "g-" + host}
}

func everyone(string) bool { return true }

// Records that come in any order, any number of times, end in the same state.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []directory.Record
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			r := record(fmt.Sprintf("h%d", rapid.IntRange(0, 5).Draw(t, "host")), "z",
				uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), uint64(rapid.IntRange(1, 3).Draw(t, "sequence")))
			r.Gone = rapid.Bool().Draw(t, "gone")
			records = append(records, r)
		}
		var a, b directory.Directory
		a.Merge(now, "x", records...)
		shuffled := append(append([]directory.Record{}, records...), records...)
		rand.New(rand.NewPCG(1, uint64(len(records)))).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		b.Merge(now, "y", shuffled...)
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.Live(), b.Live())
		require.Equal(t, a.Buckets(), b.Buckets())
	})
}

func TestSinceGivesEveryChangeOnce(t *testing.T) {
	var d, copied directory.Directory
	cursor := uint64(0)
	random := rand.New(rand.NewPCG(7, 7))
	sequences := map[string]uint64{}
	for range 3000 {
		host := fmt.Sprintf("h%d", random.IntN(20))
		sequences[host]++
		d.Merge(now, "", record(host, "z", 1, sequences[host]))
		if random.IntN(5) == 0 {
			copied.Merge(now, "d", d.Since(cursor, everyone)...)
			cursor = d.Last()
			require.Equal(t, d.Digest(), copied.Digest())
		}
	}
}

func TestDifferingMendsAnyDifference(t *testing.T) {
	var a, b directory.Directory
	for i := range 500 {
		r := record(fmt.Sprintf("h%d", i), "z", 1, 1)
		a.Merge(now, "", r)
		if i%97 != 0 {
			b.Merge(now, "", r)
		}
	}
	b.Merge(now, "", record("only-b", "z", 1, 1))
	groups, found := a.Differing(b.Buckets())
	require.Less(t, len(found), 100)
	newer := b.Newer(groups, found)
	b.Merge(now, "a", found...)
	a.Merge(now, "b", newer...)
	require.Len(t, newer, 1)
	require.Equal(t, a.Digest(), b.Digest())
}

func TestGoneIsContradictedByTheDaemonAlone(t *testing.T) {
	var d directory.Directory
	d.Merge(now, "", record("a", "z", 5, 1))
	_, ok := d.MarkGone(now, "a", 4)
	require.False(t, ok, "another life was watched")
	_, ok = d.MarkGone(now, "a", 5)
	require.True(t, ok)
	d.Merge(now, "x", record("a", "z", 5, 1))
	require.Empty(t, d.Live(), "old news does not bring it back")
	d.Merge(now, "x", record("a", "z", 5, 2))
	require.Len(t, d.Live(), 1)
}

func TestMalformedRecordsAreNotTaken(t *testing.T) {
	var d directory.Directory
	bad := []directory.Record{{}, record("A", "z", 1, 1), record("a", "", 1, 1), record("a", "z", 0, 1)}
	full := record("a", "z", 1, 1)
	full.Upstreams = []directory.Upstream{{ID: "u", Service: "s", Version: "v", Slots: 0}}
	require.Empty(t, d.Merge(now, "x", append(bad, full)...))
}

func TestExpireForgetsTheGone(t *testing.T) {
	var d directory.Directory
	d.Merge(now, "", record("a", "z", 1, 1), record("b", "z", 1, 1))
	d.MarkGone(now, "a", 1)
	d.Expire(now.Add(2 * time.Hour))
	_, ok := d.Get("a")
	require.False(t, ok)
	var same directory.Directory
	same.Merge(now, "", record("b", "z", 1, 1))
	require.Equal(t, same.Digest(), d.Digest())
}

// TestTreeHasNoCircle gives each daemon a directory that lacks some of the
// others, and follows the parents up.
func TestTreeHasNoCircle(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		var all []directory.Record
		for i := range 300 {
			all = append(all, record(fmt.Sprintf("h%d", i), "z", 1, 1))
		}
		parents := map[string]string{}
		children := map[string]int{}
		deepest := 0
		for _, r := range all {
			var known []directory.Record
			for _, o := range all {
				if o.Host == r.Host || random.Float64() < 0.9 {
					known = append(known, o)
				}
			}
			if up := (directory.Shape{}).Parents(known, r.Host, "z"); len(up) > 0 {
				parents[r.Host] = up[0].Host
				children[up[0].Host]++
			}
		}
		for _, r := range all {
			depth := 0
			for at := r.Host; parents[at] != ""; at = parents[at] {
				depth++
				require.Less(t, depth, 300, "seed %d: a circle from %s", seed, r.Host)
			}
			deepest = max(deepest, depth)
		}
		require.LessOrEqual(t, deepest, 6, "seed %d", seed)
	}
}

func TestTreeIsBounded(t *testing.T) {
	var all []directory.Record
	for i := range 640 {
		all = append(all, record(fmt.Sprintf("h%d", i), "z", 1, 1), record(fmt.Sprintf("o%d", i), "other", 1, 1))
	}
	children := map[string]int{}
	relays := 0
	for _, r := range all {
		if r.Zone != "z" {
			continue
		}
		up := directory.Shape{Relays: 2, Fanout: 8}.Parents(all, r.Host, "z")
		if len(up) == 0 {
			relays++
			continue
		}
		require.Equal(t, "z", up[0].Zone)
		require.GreaterOrEqual(t, len(up), 2, "a second parent to turn to")
		children[up[0].Host]++
	}
	require.Equal(t, 2, relays)
	for host, n := range children {
		require.LessOrEqual(t, n, 8, host)
	}
}

func TestOneWatcherIsNotEnough(t *testing.T) {
	type answers []directory.ProbeResult
	for _, test := range []struct {
		reached bool
		helpers answers
		want    directory.Liveness
	}{
		{true, nil, directory.Alive},
		{false, nil, directory.Suspect},
		{false, answers{directory.ProbeNoReply, directory.ProbeNoReply}, directory.Suspect},
		{false, answers{directory.ProbeNoReply, directory.ProbeFailed}, directory.Gone},
		{false, answers{directory.ProbeFailed, directory.ProbeReached}, directory.Alive},
	} {
		require.Equal(t, test.want, directory.AssessLiveness(test.reached, test.helpers))
	}
}
