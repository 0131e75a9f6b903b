package clip_test

import (
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/clip"
)

func ExampleText() {
	fmt.Println(clip.Text(`id: "w1" is no valid name`, 40))
	fmt.Println(clip.Text(`id: "`+strings.Repeat("x", 5<<20)+`" is no valid name`, 20))
	// Output:
	// id: "w1" is no valid name
	// id: "xxxxxxxxxxxx...
}

// A shortened text is never longer than the limit, and stays valid UTF-8.
func TestTextKeepsLimitAndCharacters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, limit := rapid.String().Draw(t, "s"), rapid.IntRange(3, 40).Draw(t, "limit")
		got := clip.Text(s, limit)
		if len(got) > max(limit, 3) || !utf8.ValidString(got) {
			t.Fatalf("%q to %d bytes: %q", s, limit, got)
		}
	})
}
