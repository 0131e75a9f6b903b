package retryafter_test

import (
	"fmt"
	"time"

	"github.com/endivewalk/endivewalk/internal/retryafter"
)

// Callers that are rejected at the same moment are told to retry one after the other.
func ExampleSpacing_Delay() {
	now := time.Unix(1000, 0)
	var s retryafter.Spacing
	for range 3 {
		fmt.Println(s.Delay(now, 100*time.Millisecond, 25*time.Millisecond))
	}
	// Output:
	// 100ms
	// 125ms
	// 150ms
}
