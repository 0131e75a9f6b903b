package move

import (
	"math"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// foreseenFraction is the fraction of the calls foreseen up to the deadline that count
	// for the allowance of a version that is being proven. The rest is a reserve for less
	// traffic than foreseen.
	foreseenFraction = 0.8
	// trialCallsFraction is the fraction of Policy.ExposedCalls that may be used while a
	// version is being proven. The rest is a reserve for calls that are lost from counts.
	trialCallsFraction = 0.6
	// permissionTime is how long after its last contact with the source's leader a daemon
	// may send a proven version more calls than an unproven one. It bounds the calls that
	// a daemon out of touch sends to a version that has been rolled back.
	permissionTime = 3 * time.Second
)

// isExposed reports whether a share is above ExposedFraction.
func (p Policy) isExposed(share int) bool {
	return float64(share) > p.ExposedFraction*config.FullShare
}

// isProven reports whether a version at a share has passed its trial, which is the last step
// but one: the last step is above the limit and is taken only with a proof under the load
// of the step before.
func (p Policy) isProven(share int) bool {
	return p.isExposed(share) && share >= p.Steps[len(p.Steps)-1]
}

// hasTrial reports whether a step above ExposedFraction precedes the last one.
func (p Policy) hasTrial() bool {
	return len(p.Steps) > 1 && p.isExposed(p.Steps[len(p.Steps)-2])
}

// allowance returns how many of the given calls, which have reached a service since the
// start of the move m, its new version may have got at now without being proven. It is
// proportional to the calls: the allowances of all daemons, each for its own calls, add up
// to that of the fleet. Above ExposedFraction it includes most of the calls foreseen up to
// the deadline.
func (p Policy) allowance(now time.Time, m config.Move, calls float64) float64 {
	fraction := p.ExposedFraction
	if !p.isExposed(m.Share) {
		return fraction * calls
	}
	length := m.By.Sub(m.Start).Seconds()
	passed := max(now.Sub(m.Start).Seconds(), p.HoldFraction*length, 1)
	fraction *= 1 + foreseenFraction*max(0, length/passed-1)
	// When the step was taken, the calls of the new version at the first step told those of
	// the service, which have grown with the time since.
	if m.Touched > 0 {
		callsNow := float64(m.Touched) * config.FullShare / float64(p.Steps[0]) * passed / max(m.Since.Sub(m.Start).Seconds(), 1)
		fraction += min(p.ExposedFraction, trialCallsFraction*float64(p.ExposedCalls)/callsNow)
	}
	return fraction * calls
}

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
	Contact     time.Time // The move is as the source's leader knew it at this time.
}

// Exposure chooses the versions of one daemon's calls while moves are running. Without a
// proof, a new version never gets more than Policy.ExposedFraction of the calls that reached
// a service from this daemon, whatever the daemon knows of other upstreams and whenever it
// started. It is safe for concurrent use. Create one with NewExposure.
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

// Choose returns the version for a call of a service with the running move m, and the
// reason. A call for the new version counts as sent to it.
func (e *Exposure) Choose(now time.Time, m config.Move, k Knowledge) (version string, reason Reason) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x := e.of(m)
	x.credit = min(x.credit+float64(m.Share)/config.FullShare, 1+float64(m.Share)/config.FullShare)
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
		x.sent = math.Max(0, x.sent-1)
	}
}
