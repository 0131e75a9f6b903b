// Package access decides whether a call may be made in a keyed configuration, by the API key
// that its caller shows, and for which team. It reads no clock and does no I/O.
//
// The daemon that takes a call from its caller decides first; what it decided travels with
// the call as a Grant. The daemon beside the upstream decides anew if the sender did not, or
// if the configuration has changed since: see Grant.Renew.
//
// Only configurations that are replaced as a whole can be keyed, so all their routes are host
// routes.
package access

import (
	"net/http"
	"strings"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors of decisions. None of them means that the call was executed.
var (
	// ErrNoKey means that the call shows no API key, and that its route needs one.
	ErrNoKey = errs.New("access: the call shows no API key")
	// ErrUnknownKey means that no team holds the key.
	ErrUnknownKey = errs.New("access: no team holds the API key")
	// ErrNoConfiguration means that there is no configuration to decide by.
	ErrNoConfiguration = errs.New("access: no configuration is in force")
	// ErrUnconfirmed means that the configuration may be too old to decide by.
	ErrUnconfirmed = errs.New("access: the configuration has not been confirmed recently enough")
)

// ReasonOf returns the reason for which a call is rejected with one of the errors of this
// package.
func ReasonOf(err error) call.Reason {
	switch err {
	case ErrNoKey:
		return call.ReasonNoKey
	case ErrUnknownKey:
		return call.ReasonUnknownKey
	case ErrNoConfiguration:
		return call.ReasonNotReady
	default:
		return call.ReasonKeysUnconfirmed
	}
}

// Request is what a decision needs to know of a call.
type Request struct {
	Host       string // The host that routes are matched by, without a port.
	Path       string // Without escapes.
	Escaped    string // The path as the caller wrote it, and as the upstream gets it.
	Credential Credential
}

// Credential is what a caller shows in the header Authorization. The zero value is none. It
// must not be logged.
type Credential struct {
	shown  bool
	key    string // The API key; empty if there is not exactly one.
	digest string // Of the key, if only that is known.
}

// scheme is the authentication scheme of API keys. Schemes ignore case.
const scheme = "Token"

// RequestOf returns what a decision needs to know of a request that a server has read.
func RequestOf(r *http.Request) Request {
	escaped, _, _ := strings.Cut(call.Target(r), "?")
	return Request{Host: call.HostName(r.Host), Path: r.URL.Path, Escaped: escaped, Credential: CredentialOf(r.Header)}
}

// CredentialOf returns the credential in the header of a request. More than one field, another
// scheme and more than one word after it are a credential that holds no key.
func CredentialOf(h http.Header) Credential {
	values, ok := h[call.HeaderCredential]
	if !ok {
		return Credential{}
	}
	c := Credential{shown: true}
	if len(values) != 1 {
		return c
	}
	words := strings.FieldsFunc(values[0], func(r rune) bool { return r == ' ' || r == '\t' })
	if len(words) == 2 && strings.EqualFold(words[0], scheme) {
		c.key = words[1]
	}
	return c
}

// keyDigest returns the digest of the API key, or "" if there is none.
func (c Credential) keyDigest() string {
	if c.key != "" {
		return config.KeyDigest(c.key)
	}
	return c.digest
}

// Decide decides on a call by the configuration t. confirmed states whether t was the newest
// configuration recently enough to accept and to refuse keys by it. A call on an anonymous
// route is always granted, and counts for the team whose key it shows, if any. The error is
// one of this package.
func Decide(t *expand.Table, r Request, confirmed bool) (Grant, error) {
	switch {
	case t.Revision() == 0:
		return Grant{}, ErrNoConfiguration
	case !t.Keyed():
		return Grant{kind: kindOpen, revision: t.Revision()}, nil
	}
	digest := r.Credential.keyDigest()
	if team, ok := t.TeamOfDigest(digest); ok {
		if !confirmed && !isAnonymous(t, r) {
			return Grant{}, ErrUnconfirmed
		}
		return Grant{kind: kindKey, revision: t.Revision(), digest: digest, team: team.Name()}, nil
	}
	switch {
	case isAnonymous(t, r):
		return Grant{kind: kindAnonymous, revision: t.Revision()}, nil
	case !confirmed:
		return Grant{}, ErrUnconfirmed
	case r.Credential.shown:
		return Grant{}, ErrUnknownKey
	default:
		return Grant{}, ErrNoKey
	}
}

// isAnonymous reports whether r needs no key: its route is anonymous, and its path belongs to
// such a route for every server.
func isAnonymous(t *expand.Table, r Request) bool {
	route, ok := t.MatchHost(r.Host, r.Path)
	return ok && route.Anonymous() && isAnonymousTarget(t, r.Host, route, r.Escaped)
}
