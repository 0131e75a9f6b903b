package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/quota"
)

// Messages must arrive as they were sent, and malformed ones must be rejected without a panic or
// large memory.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Custom(func(t *rapid.T) quota.Amount { return quota.Amount(rapid.Int64Range(0, 1e9).Draw(t, "amount")) })
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quota.Demand {
			return quota.Demand{
				Team: quota.ID(rapid.Uint32().Draw(t, "team")), Rate: amount.Draw(t, "rate"), Burst: amount.Draw(t, "burst"),
				Demand: amount.Draw(t, "demand"), Tokens: amount.Draw(t, "tokens"), Waiting: 1000 * quota.Amount(rapid.IntRange(0, 99).Draw(t, "waiting")),
			}
		}), 0, 9).Draw(t, "demands")
		decoded, err := quota.DecodeDemands(quota.EncodeDemands(demands))
		require.NoError(t, err)
		require.Equal(t, demands, decoded)
		leases := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quota.Lease {
			return quota.Lease{None: rapid.Bool().Draw(t, "none"), Exhausted: rapid.Bool().Draw(t, "exhausted"), Rate: amount.Draw(t, "rate"), Burst: amount.Draw(t, "burst"), Tokens: amount.Draw(t, "tokens")}
		}), 0, 9).Draw(t, "leases")
		decodedLeases, err := quota.DecodeLeases(quota.EncodeLeases(leases))
		require.NoError(t, err)
		require.Equal(t, leases, decodedLeases)
		noise := rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
		_, err = quota.DecodeDemands(append(quota.EncodeDemands(demands), append(noise, 0xff)...))
		require.ErrorIs(t, err, quota.ErrBadMessage)
		_, _ = quota.DecodeLeases(noise)
	})
}

// A request that arrives after a newer one of the same holder must not free what the newer one
// was granted.
func TestLateRequestIsIgnored(t *testing.T) {
	limits := func(quota.ID) (quota.Limit, bool) { return quota.Limit{Rate: 10000, Burst: 20000}, true }
	a := quota.NewAllocator(0)
	now := time.Minute
	request := func(holder, seq uint64, held quota.Amount) (quota.Reply, bool) {
		return a.Lease(now, quota.Request{Holder: holder, Seq: seq, Teams: []quota.Demand{{Team: team, Rate: held, Burst: held, Demand: 90000, Waiting: 5000}}}, limits)
	}
	newer, ok := request(1, 2, 0)
	require.True(t, ok)
	require.Positive(t, newer.Leases[0].Rate)
	_, ok = request(1, 1, 0)
	require.False(t, ok)
	_, ok = request(1, 2, 0)
	require.False(t, ok)
	other, ok := request(2, 1, 0)
	require.True(t, ok)
	require.LessOrEqual(t, newer.Leases[0].Rate+other.Leases[0].Rate, quota.Amount(10000))
}

// What one message of a daemon costs the leader.
func BenchmarkLease(b *testing.B) {
	for _, teams := range []int{1, 20} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			limits := func(quota.ID) (quota.Limit, bool) { return platform.Limit(500, 50), true }
			a := quota.NewAllocator(0)
			now, holders, bytes := time.Minute, 79, 0
			demands := make([]quota.Demand, teams)
			for i := range demands {
				demands[i] = quota.Demand{Team: quota.ID(i * 7919), Rate: 4000, Burst: 3000, Demand: 4000, Tokens: 1500}
			}
			data := quota.EncodeDemands(demands)
			for i := 0; b.Loop(); i++ {
				now += requestTime / time.Duration(holders)
				teams, err := quota.DecodeDemands(data)
				if err != nil {
					b.Fatal(err)
				}
				r, _ := a.Lease(now, quota.Request{Holder: uint64(i % holders), Seq: uint64(i + 1), Teams: teams}, limits)
				bytes = len(data) + len(quota.EncodeLeases(r.Leases))
			}
			b.ReportMetric(float64(bytes), "bytes/message")
		})
	}
}

const requestTime = 500 * time.Millisecond
