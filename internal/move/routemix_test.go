package move_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// routePart is the fraction of a service's calls that are on a route.
type routePart struct {
	route    string
	fraction float64
}

// sendByRoute returns how many calls of each route the new version gets out of 50,000, made
// by a number of daemons, which restart now and then.
func sendByRoute(daemons, share int, parts []routePart) map[string]int {
	random := rand.New(rand.NewPCG(1, 7))
	exposures := make([]*move.Exposure, daemons)
	m, sent := exposedMove(share), map[string]int{}
	known := move.Knowledge{OldReady: true, NewReady: true, OthersKnown: true, Contact: start}
	for range 50_000 {
		d := random.IntN(daemons)
		if exposures[d] == nil || random.IntN(500) == 0 {
			exposures[d] = move.NewExposure(closingPolicy, random.Float64)
		}
		route, rest := parts[0].route, random.Float64()
		for _, p := range parts {
			if rest >= 0 && rest < p.fraction {
				route = p.route
			}
			rest -= p.fraction
		}
		version, _ := exposures[d].Choose(start, m, route, known)
		exposures[d].Record(m, version, true, true)
		if version == "v2" {
			sent[route]++
		}
	}
	return sent
}

// A fault on a route with few calls was not noticed before a version got all calls.
func TestRareRoutesGetMoreOfSmallShare(t *testing.T) {
	for _, daemons := range []int{1, 9, 100} {
		sent := sendByRoute(daemons, 40, []routePart{{"often", 0.9}, {"seldom", 0.1}})
		sum := sent["often"] + sent["seldom"]
		require.InDelta(t, 2000, sum, 250, "%d daemons", daemons)
		require.Greater(t, float64(sent["seldom"]), 0.25*float64(sum), "%d daemons", daemons)
	}
	// Many rare routes do not take the calls of the common one.
	parts := []routePart{{"often", 0.8}}
	for i := range 20 {
		parts = append(parts, routePart{fmt.Sprint("seldom-", i), 0.01})
	}
	sent := sendByRoute(1, 40, parts)
	sum := 0
	for _, n := range sent {
		sum += n
	}
	require.InDelta(t, 2000, sum, 100)
	require.Greater(t, sent["often"], 500)
}

// In the closing of a move the new version gets the calls of each route.
func TestFullShareIsThatOfEachRoute(t *testing.T) {
	sent := sendByRoute(1, config.FullShare, []routePart{{"often", 0.9}, {"seldom", 0.1}})
	require.Equal(t, 50_000, sent["often"]+sent["seldom"])
}
