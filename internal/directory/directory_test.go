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

// acceptAll makes Since return the records from all processes.
func acceptAll(string) bool { return true }

// Directories must end in the same state in whatever order, and however often,
// they receive the same records.
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

// A copy that merges the changes since its last cursor must equal the original
// each time, while records of the same hosts replace each other.
func TestSinceReturnsAllLaterChanges(t *testing.T) {
	var d, copied directory.Directory
	cursor := uint64(0)
	random := rand.New(rand.NewPCG(7, 7))
	sequences := map[string]uint64{}
	for range 3000 {
		host := fmt.Sprintf("h%d", random.IntN(20))
		sequences[host]++
		d.Merge(now, "", record(host, "z", 1, sequences[host]))
		if random.IntN(5) == 0 {
			copied.Merge(now, "d", d.Since(cursor, acceptAll)...)
			cursor = d.LastIndex()
			require.Equal(t, d.Digest(), copied.Digest())
		}
	}
}

// One exchange of differing buckets must make two directories equal when each
// lacks records of the other, and must return fewer than 100 of 500 records.
func TestDifferingAndNewerRepairDifferences(t *testing.T) {
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

// A daemon must be marked as gone only in its current incarnation, and a late
// copy of its old record must not make it live again. A newer record must: only
// the daemon itself raises the sequence.
func TestOnlyNewerRecordOverridesGone(t *testing.T) {
	var d directory.Directory
	d.Merge(now, "", record("a", "z", 5, 1))
	_, ok := d.MarkGone(now, "a", 4)
	require.False(t, ok, "the mark is for another incarnation")
	_, ok = d.MarkGone(now, "a", 5)
	require.True(t, ok)
	d.Merge(now, "x", record("a", "z", 5, 1))
	require.Empty(t, d.Live(), "an old record must not make a gone daemon live")
	d.Merge(now, "x", record("a", "z", 5, 2))
	require.Len(t, d.Live(), 1)
}

// Merge must reject records with an invalid host, data centre, incarnation or
// upstream.
func TestMergeRejectsInvalidRecords(t *testing.T) {
	var d directory.Directory
	bad := []directory.Record{{}, record("A", "z", 1, 1), record("a", "", 1, 1), record("a", "z", 0, 1)}
	withUpstream := record("a", "z", 1, 1)
	withUpstream.Upstreams = []directory.Upstream{{ID: "u", Service: "s", Version: "v", Slots: 0}}
	require.Empty(t, d.Merge(now, "x", append(bad, withUpstream)...))
}

// An expired record must be removed from the directory and from its digest.
func TestExpireDropsGoneDaemons(t *testing.T) {
	var d directory.Directory
	d.Merge(now, "", record("a", "z", 1, 1), record("b", "z", 1, 1))
	d.MarkGone(now, "a", 1)
	d.Expire(now.Add(2 * time.Hour))
	_, ok := d.Get("a")
	require.False(t, ok)
	var expected directory.Directory
	expected.Merge(now, "", record("b", "z", 1, 1))
	require.Equal(t, expected.Digest(), d.Digest())
}

// Daemons whose directories differ must not choose each other as parents in a
// cycle. Each daemon here lacks about a tenth of the others. No daemon may be
// more than 6 levels below a relay.
func TestParentsFormNoCycle(t *testing.T) {
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
			for host := r.Host; parents[host] != ""; host = parents[host] {
				depth++
				require.Less(t, depth, 300, "seed %d: cycle of parents above %s", seed, r.Host)
			}
			deepest = max(deepest, depth)
		}
		require.LessOrEqual(t, deepest, 6, "seed %d", seed)
	}
}

// In a data centre of 640 daemons there must be as many relays as configured, no
// daemon with more children than the fanout, and no first parent in another data
// centre. Every daemon that is not a relay needs an alternative parent.
func TestParentsLimitRelaysAndChildren(t *testing.T) {
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
		require.GreaterOrEqual(t, len(up), 2, "want an alternative parent")
		children[up[0].Host]++
	}
	require.Equal(t, 2, relays)
	for host, n := range children {
		require.LessOrEqual(t, n, 8, host)
	}
}

// A failed direct probe must not be enough to mark a daemon as gone, since the
// failure detector may itself be cut off. An indirect probe must have failed too,
// and none have succeeded.
func TestAssessLivenessNeedsIndirectProbe(t *testing.T) {
	type results []directory.ProbeResult
	for _, test := range []struct {
		reached  bool
		indirect results
		want     directory.Liveness
	}{
		{true, nil, directory.Alive},
		{false, nil, directory.Suspect},
		{false, results{directory.ProbeNoReply, directory.ProbeNoReply}, directory.Suspect},
		{false, results{directory.ProbeNoReply, directory.ProbeFailed}, directory.Gone},
		{false, results{directory.ProbeFailed, directory.ProbeReached}, directory.Alive},
	} {
		require.Equal(t, test.want, directory.AssessLiveness(test.reached, test.indirect))
	}
}
