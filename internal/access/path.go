package access

import "strings"

// isPlain reports whether every server takes a path to be below the prefixes that it begins
// with. A server may resolve dot segments, drop empty segments and path parameters, decode
// escapes twice or take a backslash for a slash, and so execute a call on another path than
// the one that its route was found by. escaped is the path as the caller wrote it.
func isPlain(escaped string) bool {
	if !strings.HasPrefix(escaped, "/") || strings.ContainsAny(escaped, "\\;") {
		return false
	}
	segments := strings.Split(escaped[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || s == "" && !last || hasStructuralEscape(s) {
			return false
		}
	}
	return true
}

// hasStructuralEscape reports whether a segment has an escape of a character by which servers
// divide paths, of a percent sign or of a control byte.
func hasStructuralEscape(segment string) bool {
	for {
		_, rest, found := strings.Cut(segment, "%")
		if !found {
			return false
		}
		if len(rest) < 2 || rest[0] < '2' {
			return true // Malformed, or below 0x20.
		}
		switch strings.ToLower(rest[:2]) {
		case "2e", "2f", "25", "3b", "5c", "7f":
			return true
		}
		segment = rest
	}
}
