package fleet_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// TestReadWaitsUntilReplicaKnowsLeader reads the configuration at a replica that has just
// started and knows no leader yet. The read must wait until it does, as a change
// does.
func TestReadWaitsUntilReplicaKnowsLeader(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startFleet(t, fleet.Config{Dial: n.dial})
	r := apply(t, f, "first", kileleObjects(t)...)
	late := (waitForLeader(t, f) + 1) % f.Replicas()
	setCut := func(cut bool) {
		own := f.SourceAddresses()[late]
		for i := range f.Replicas() {
			name := f.Replica(i).Config.Name
			if i != late {
				n.setCut(cut, name, own)
				continue
			}
			n.setCut(cut, name, slices.DeleteFunc(f.SourceAddresses(), func(a string) bool { return a == own })...)
		}
	}
	setCut(true)
	f.StopReplica(late)
	require.NoError(t, f.StartReplica(late))
	time.AfterFunc(300*time.Millisecond, func() { setCut(false) })
	client := operator.Client{Token: fleet.Token, Sources: []string{f.Replica(late).OperatorAddress}}
	now, err := client.Configuration(context.Background())
	require.NoError(t, err)
	require.GreaterOrEqual(t, now.Revision, r)
}
