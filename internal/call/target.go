package call

import (
	"net"
	"net/http"
	"net/url"
	"strings"
)

// Target returns the path and query of a request that a server has read, byte for byte as
// its sender wrote them.
func Target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // An absolute URL, or a request that no server has read.
}

// TargetURL returns the URL with which the client of net/http sends a request with the
// given target to a host, byte for byte. The target begins with a slash.
func TargetURL(host, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: host, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// An opaque path with two slashes would become an absolute URL.
		u.Path, u.RawPath = unescaped(path), path
		return u
	}
	u.Opaque = path
	return u
}

// unescaped returns a path without its escapes, or the path itself if they are invalid.
func unescaped(path string) string {
	if p, err := url.PathUnescape(path); err == nil {
		return p
	}
	return path
}

// HostName returns the value of a Host header without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
