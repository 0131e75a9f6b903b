package access

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// kind says why a call was granted.
type kind string

// The kinds of grants, as daemons write them.
const (
	kindKey       kind = "key"       // A team holds the key that the caller showed.
	kindAnonymous kind = "anonymous" // The route needs no key.
	kindOpen      kind = "open"      // The configuration is not keyed.
)

// Grant says for which team a call may be made. The zero value is that of a call on which
// nothing was decided, by a process of an older build. It is immutable.
type Grant struct {
	kind     kind
	revision config.Revision // Of the configuration by which it was decided.
	digest   string          // Of the key.
	team     string
}

// IsDecided reports whether the call was decided on.
func (g Grant) IsDecided() bool { return g.kind != "" }

// IsKeyed reports whether the call was decided on by a keyed configuration, so that its
// credentials must not be sent on.
func (g Grant) IsKeyed() bool { return g.kind == kindKey || g.kind == kindAnonymous }

// Team returns the name of the team that makes the call, or "" if there is none.
func (g Grant) Team() string { return g.team }

// Renew decides anew on a call if nothing was decided yet or if t is newer than the
// configuration of the decision: a key may have been withdrawn since, or given to another team,
// while the call waited or on its way. confirmed is as for Decide; a call with a key that has
// waited needs it again, unless its route is anonymous. The error is one of this package.
func (g Grant) Renew(t *expand.Table, r Request, confirmed bool) (Grant, error) {
	if !g.IsDecided() {
		return Decide(t, r, confirmed)
	}
	if g.kind == kindKey && !confirmed && !isAnonymous(t, r) {
		return Grant{}, ErrUnconfirmed
	}
	if !t.Keyed() || t.Revision() <= g.revision {
		return g, nil
	}
	if g.kind == kindKey {
		r.Credential = Credential{shown: true, digest: g.digest}
	}
	return Decide(t, r, confirmed)
}

// String returns the grant for a header between daemons, which Parse reads. It holds no key
// but the digest of one, and is empty if nothing was decided.
func (g Grant) String() string {
	if !g.IsDecided() {
		return ""
	}
	text := string(g.kind) + " " + strconv.FormatUint(uint64(g.revision), 10)
	if g.kind == kindKey {
		text += " " + g.digest + " " + g.team
	}
	return text
}

// ErrBadGrant means that a text is no grant.
var ErrBadGrant = errs.New("access: malformed grant, want a kind and a revision, and of a key its digest and its team")

// Parse reads the result of Grant.String. The error is ErrBadGrant.
func Parse(text string) (Grant, error) {
	if text == "" {
		return Grant{}, nil
	}
	words := strings.Split(text, " ")
	if len(words) < 2 {
		return Grant{}, ErrBadGrant
	}
	revision, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		return Grant{}, ErrBadGrant
	}
	g := Grant{kind: kind(words[0]), revision: config.Revision(revision)}
	switch {
	case (g.kind == kindAnonymous || g.kind == kindOpen) && len(words) == 2:
		return g, nil
	case g.kind == kindKey && len(words) == 4 && words[2] != "" && config.ValidName(words[3]):
		g.digest, g.team = words[2], words[3]
		return g, nil
	default:
		return Grant{}, ErrBadGrant
	}
}
