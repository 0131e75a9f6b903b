package count_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
)

// The zero Set must work, and its text must hold all counters, gauges that are numbers,
// and histograms, but no other gauges, which the text format cannot express.
func TestWriteTextShowsNumbersAndHistograms(t *testing.T) {
	var s count.Set
	s.Add("calls_refused_no-route", 2)
	s.Gauge("revision", func() any { return 7 })
	s.Gauge("shed", func() any { return map[string]any{"a": 1} })
	s.Observe("call", "route", "look", 20*time.Millisecond)
	s.Observe("call", "route", "look", 30*time.Millisecond)
	var b strings.Builder
	s.WriteText(&b)
	text := b.String()
	require.Contains(t, text, "endivewalk_calls_refused_no_route 2\n")
	require.Contains(t, text, "endivewalk_revision 7\n")
	require.NotContains(t, text, "shed")
	require.Contains(t, text, `endivewalk_call_seconds_count{route="look"} 2`)
	require.Contains(t, text, `endivewalk_call_seconds_sum{route="look"} 0.05`)
}
