// Package clip shortens texts that contain what another process has sent, such as
// quoted values in error texts, so that they stay small in responses, logs and events.
package clip

import "unicode/utf8"

// mark is appended to a text that was shortened.
const mark = "..."

// Text returns s if it has at most limit bytes. Otherwise it returns the start of s,
// cut at the boundary of a character, and an ellipsis; limit bytes in all. A limit
// below 3 counts as 3.
func Text(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	n := max(0, limit-len(mark))
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + mark
}
