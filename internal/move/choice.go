package move

import "github.com/endivewalk/endivewalk/pkg/config"

// Reason says why a call was given a version while a move is running.
type Reason string

const (
	ReasonShare    Reason = "share"     // The call falls within the share of the new version.
	ReasonRest     Reason = "rest"      // The call falls outside the share.
	ReasonNewGone  Reason = "new-gone"  // No upstream of the new version is ready in the daemon's view.
	ReasonOldGone  Reason = "old-gone"  // No upstream of the old version is ready in the daemon's view.
	ReasonNotKnown Reason = "not-known" // Neither is, or the daemon knows no other daemon.
)

// Knowledge is what a daemon knows of the upstreams of a service during a move. It may be
// wrong: a daemon that has just started or is cut off knows few upstreams.
type Knowledge struct {
	OldReady    bool // An upstream of the old version is ready.
	NewReady    bool // An upstream of the new version is ready.
	OthersKnown bool // Other daemons are live.
}

// Choose returns the version for a call of a service with a running move, and the reason.
// random is in [0, config.FullShare).
func Choose(m config.Move, random int, k Knowledge) (version string, reason Reason) {
	switch {
	case random < m.Share && k.NewReady:
		return m.To, ReasonShare
	case m.Share > 0 && k.OthersKnown && !k.OldReady:
		return m.To, ReasonOldGone
	case random < m.Share:
		return m.From, ReasonNewGone
	case k.OldReady:
		return m.From, ReasonRest
	default:
		return m.From, ReasonNotKnown
	}
}
