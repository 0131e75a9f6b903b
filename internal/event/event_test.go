package event_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/event"
)

// A text that quotes a value of megabytes is shortened, so that a full ring stays
// small.
func TestLongTextIsShortened(t *testing.T) {
	now := time.Unix(1000, 0)
	r := event.New("p", "z")
	r.Add(now, event.Event{Kind: "k", Text: "id " + strings.Repeat("x", 5<<20)})
	found := r.Since(now)
	require.Len(t, found, 1)
	require.Less(t, len(found[0].Text), 4<<10)
	require.True(t, strings.HasPrefix(found[0].Text, "id x"))
}
