package move

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Reason says why a call was given its version while a move is running.
type Reason string

const (
	ReasonShare     Reason = "share"     // The call falls within the share of the new version.
	ReasonRest      Reason = "rest"      // The call falls outside the share.
	ReasonAllowance Reason = "allowance" // The call falls within the share, but the allowance is used up.
	ReasonNewGone   Reason = "new-gone"  // No upstream of the new version is ready in the daemon's view.
	ReasonOldGone   Reason = "old-gone"  // No upstream of the old version is ready in the daemon's view.
	ReasonNotKnown  Reason = "not-known" // Neither is, or the call must not go past the share.
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonShare, ReasonRest, ReasonAllowance, ReasonNewGone, ReasonOldGone, ReasonNotKnown}
}

// Knowledge is what a daemon knows during a move. It may be wrong: a daemon that has just
// started or is cut off knows few upstreams.
type Knowledge struct {
	OldReady    bool      // An upstream of the old version is ready.
	NewReady    bool      // An upstream of the new version is ready.
	OthersKnown bool      // Other daemons are live.
	Contact     time.Time // The latest time at which the source's leader is known to have had this state of the move.
}

// Exposure chooses the versions of one daemon's calls while moves are running. A version that
// is not proven gets no more than its allowance out of the calls that reached the service
// from this daemon, whatever the daemon knows of upstreams and whenever it started. It is
// safe for concurrent use. Create one with NewExposure.
type Exposure struct {
	policy Policy
	random func() float64
	mutex  sync.Mutex // Guards moves.
	moves  map[string]*exposedMove
}

// exposedMove holds the calls of one move that this daemon has made.
type exposedMove struct {
	start time.Time
	// offset is in [0, 1). It stands for the part of a call that is allowed from the
	// beginning. Its mean over many daemons makes up for the parts that remain unused.
	offset  float64
	credit  float64 // Calls of the new version that the share allows.
	reached float64 // Calls that reached either version.
	routes  routeMix
	sent    float64 // Sends to the new version that reached it, or may have.
}

// NewExposure returns an exposure without moves. random returns a number in [0, 1) and must
// be safe for concurrent use.
func NewExposure(p Policy, random func() float64) *Exposure {
	return &Exposure{policy: p.withDefaults(), random: random, moves: map[string]*exposedMove{}}
}

// of returns the state of a move. That of a move that a newer one of the service has
// followed is not kept. The caller must hold e.mutex.
func (e *Exposure) of(m config.Move) *exposedMove {
	x := e.moves[m.Service]
	if x != nil && x.start.Equal(m.Start) {
		return x
	}
	offset := e.random()
	begun := &exposedMove{start: m.Start, offset: offset, credit: offset}
	if x == nil || m.Start.After(x.start) {
		e.moves[m.Service] = begun
	}
	return begun
}

// Choose returns the version for a call on a route of a service with the running move m, and
// the reason. A call for the new version counts as sent to it. Up to the limit of a version
// without proof, its share is spread over the routes rather than over the calls.
func (e *Exposure) Choose(now time.Time, m config.Move, route string, k Knowledge) (version string, reason Reason) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x := e.of(m)
	share := float64(m.Share) / config.FullShare
	if weight := x.routes.add(route); !e.policy.isExposed(m.Share) {
		share *= weight
	}
	x.credit = min(x.credit+share, 1+share)
	due := x.credit >= 1
	allowed := k.NewReady && m.Share > 0 && e.allows(now, m, k, x)
	switch {
	case due && allowed:
		reason = ReasonShare
	case allowed && !k.OldReady && (e.policy.ExposedFraction > 0 || k.OthersKnown):
		reason = ReasonOldGone
	case due && !k.NewReady && k.OldReady:
		return m.From, ReasonNewGone
	case !k.OldReady:
		return m.From, ReasonNotKnown
	case due:
		return m.From, ReasonAllowance
	default:
		return m.From, ReasonRest
	}
	x.credit = max(0, x.credit-1)
	x.sent++
	return m.To, reason
}

// allows reports whether the new version may get one more call. The caller must hold
// e.mutex.
func (e *Exposure) allows(now time.Time, m config.Move, k Knowledge, x *exposedMove) bool {
	if e.policy.ExposedFraction == 0 || e.policy.isProven(m.Share) && now.Sub(k.Contact) <= permissionTime {
		return true
	}
	return x.sent+1 <= x.offset+e.policy.allowance(now, m, x.reached)
}

// Again returns the version for another attempt at a call that was sent to version, and
// false if it must not be attempted again: a call that an unproven version did not serve
// goes to the old one, or counts as another call of the new one.
func (e *Exposure) Again(now time.Time, m config.Move, k Knowledge, version string) (string, bool) {
	if version != m.To || k.OldReady {
		return m.From, true
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x := e.of(m)
	if !k.NewReady || !e.allows(now, m, k, x) {
		return m.To, false
	}
	x.sent++
	return m.To, true
}

// Record records whether an attempt reached an upstream of version. first is set for the
// first attempt of a call that did.
func (e *Exposure) Record(m config.Move, version string, reached, first bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x := e.of(m)
	switch {
	case reached && first:
		x.reached++
	case !reached && version == m.To:
		x.sent = max(0, x.sent-1)
	}
}
