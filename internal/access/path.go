package access

import (
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/endivewalk/endivewalk/internal/expand"
)

// maxUnescapes is how often servers are assumed to decode escapes, and one more.
const maxUnescapes = 3

// isAnonymousTarget reports whether a path belongs to an anonymous route for every server.
// path is as the caller wrote it, and as the upstream gets it, while the route is found by
// what it says literally. A server may resolve dot segments, drop empty segments and path
// parameters, decode escapes more than once, take a backslash for a slash or end the path at
// a number sign, and so execute the call on a path that belongs to another route.
func isAnonymousTarget(t *expand.Table, host string, route *expand.Route, path string) bool {
	prefix := route.Path()
	suffix, ok := strings.CutPrefix(path, prefix)
	if !ok {
		escaped := url.URL{Path: prefix}
		suffix, ok = strings.CutPrefix(path, escaped.EscapedPath())
	}
	if !ok {
		return false
	}
	isAnonymous := func(suffix string) bool {
		r, ok := t.MatchHost(host, prefix+suffix)
		return ok && r.Anonymous()
	}
	for level := range maxUnescapes {
		resolved, ok := resolve(suffix)
		if !ok || !isAnonymous(suffix) || !isAnonymous(resolved) {
			return false
		}
		next, err := url.PathUnescape(suffix)
		if err != nil {
			return level > 0 // What was decoded need not be an escape itself.
		}
		if next == suffix {
			return true
		}
		suffix = next
	}
	return false
}

// resolve returns what a server may take the rest of a path for. It returns false if that may
// lie above the rest's place, or if the rest has bytes that servers treat differently.
func resolve(suffix string) (string, bool) {
	if !utf8.ValidString(suffix) || strings.ContainsFunc(suffix, isControl) {
		return "", false
	}
	suffix, _, _ = strings.Cut(strings.ReplaceAll(suffix, `\`, "/"), "#")
	var kept []string
	for _, segment := range strings.Split(suffix, "/") {
		segment, _, _ = strings.Cut(segment, ";")
		switch strings.ReplaceAll(segment, " ", "") {
		case "..":
			return "", false
		case ".", "":
		default:
			kept = append(kept, segment)
		}
	}
	resolved := strings.Join(kept, "/")
	if strings.HasSuffix(suffix, "/") && resolved != "" {
		resolved += "/"
	}
	return resolved, true
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
