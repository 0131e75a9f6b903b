package feed

import (
	"math"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// freshnessStep is by how much a parent's freshness time must exceed what the child
	// already has before the parent replies to a waiting pull for that alone. It bounds
	// the rate of such replies.
	freshnessStep = 500 * time.Millisecond
	// maxFreshnessAge is the age of the freshness from which on a daemon asks for a newer
	// one. Between two ordinary pulls the freshness does not get as old.
	maxFreshnessAge = 1500 * time.Millisecond
	// unknownAge is the age of a freshness that is not known.
	unknownAge = time.Duration(math.MaxInt64)
)

// FreshAt returns the freshness time of the configuration: a boot time of this host (package
// bootclock) at which no newer configuration had been accepted. known is false if there is
// none, as always while no configuration with API keys has been in force. It is the only
// part of a State that changes; the time never decreases.
//
// A caller that decides by a configuration should read this of the same State: the hub's
// newest freshness time says nothing about an older configuration.
func (s *State) FreshAt() (bootTime time.Duration, known bool) {
	if t := s.freshAt.Load(); t != nil {
		return *t, true
	}
	return 0, false
}

// freshnessAge returns the age of the freshness at the boot time now, or unknownAge.
func (s *State) freshnessAge(now time.Duration) time.Duration {
	if freshAt, known := s.FreshAt(); known {
		return now - freshAt
	}
	return unknownAge
}

// FreshAt returns State.FreshAt of the configuration in force.
func (h *Hub) FreshAt() (bootTime time.Duration, known bool) { return h.State().FreshAt() }

// SetFreshAt records that no configuration newer than revision r had been accepted at the
// boot time t. It records nothing and returns false if an older one is in force. An earlier
// time than the recorded one is ignored.
func (h *Hub) SetFreshAt(r config.Revision, t time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	s := h.state.Load()
	if s.Revision() < r {
		return false
	}
	previous, known := s.FreshAt()
	if known && t <= previous {
		return true
	}
	s.freshAt.Store(&t)
	if !known || t-previous >= freshnessStep {
		h.changed.raise() // Pulls may wait for it.
	}
	return true
}

// keyedFreshnessAge returns the age of the freshness at the boot time now, as in
// PullArgs.FreshnessAge: 0 if the configuration in force has no API keys.
func (h *Hub) keyedFreshnessAge(now time.Duration) time.Duration {
	s := h.State()
	if !s.table.Keyed() {
		return 0
	}
	return max(s.freshnessAge(now), 1) // 0 has another meaning.
}

// freshnessGoal returns from which freshness time on, a boot time of the parent, the parent
// replies to a waiting pull for that alone; ok is false if it never does. childAge is
// PullArgs.FreshnessAge of a pull that has arrived at the boot time arrived. Daemons pass on
// at once what they get, so that the age does not add up over the levels of the tree. A
// source replica gets a newer freshness several times a second, which the end of an ordinary
// pull passes on often enough.
func freshnessGoal(arrived, childAge time.Duration, source bool) (goal time.Duration, ok bool) {
	if childAge <= 0 || source && childAge < maxFreshnessAge {
		return 0, false
	}
	return arrived - childAge + freshnessStep, true
}

// setFreshness adds the freshness of s, which the rest of the reply must be about.
func (r *PullReply) setFreshness(s *State, arrived time.Duration) {
	if freshAt, known := s.FreshAt(); known && s.table.Keyed() {
		r.FreshRevision, r.Fresh = s.Revision(), freshAt-arrived
	}
}

// freshAt returns the child's freshness time by a reply to a pull that it sent and received
// at these boot times, and the revision for which it holds. ok is false if the reply
// establishes none.
func (r *PullReply) freshAt(sent, received time.Duration) (t time.Duration, revision config.Revision, ok bool) {
	if r.FreshRevision == 0 || r.Busy > 0 || r.Elsewhere {
		return 0, 0, false
	}
	return sent + min(r.Fresh, received-sent), r.FreshRevision, true
}

// recordFreshness records the freshness by a reply that has been applied, unless what it
// describes could not be applied. sent is the boot time before the pull was sent.
func (c *Client) recordFreshness(sent time.Duration, reply *PullReply) {
	if t, revision, ok := reply.freshAt(sent, c.hub.config.BootClock()); ok && !c.wantsFull() {
		c.hub.SetFreshAt(revision, t)
	}
}

const (
	// freshnessCheckInterval is the time between two checks of the freshness's age.
	freshnessCheckInterval = 150 * time.Millisecond
	freshnessTimeout       = 400 * time.Millisecond // Of a pull for freshness.
)

// RunFreshness pulls from other candidates than the parent, while the configuration in force
// has API keys and its freshness is older than maxFreshnessAge, until Stop. The parent's
// process may hang while its connections stay open. A random delay that grows with each
// attempt keeps the source from being overloaded when it recovers.
func (c *Client) RunFreshness() {
	for attempt := 0; c.sleep(freshnessCheckInterval + backoff(attempt, c.config.Random())); {
		if c.hub.keyedFreshnessAge(c.hub.config.BootClock()) < maxFreshnessAge {
			attempt = 0
			continue
		}
		address := c.freshnessCandidate(attempt)
		attempt++
		if address != "" {
			c.hub.config.Counters.Add("feed_freshness_pulls", 1)
			c.pullConfiguration(address, freshnessTimeout)
		}
	}
}

// freshnessCandidate returns the address to pull freshness from: the second parent at first,
// and then all candidates but the parent in turn. It returns "" if there is none.
func (c *Client) freshnessCandidate(attempt int) string {
	parent := c.Parent()
	if attempt == 0 {
		return c.choice.second(parent, c.candidates())
	}
	var others []string
	for _, a := range c.candidates() {
		if a != parent {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[attempt%len(others)]
}
