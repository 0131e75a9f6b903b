package feed

import (
	"errors"
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	latestTimeout = time.Second // In addition to the wait for a leader.
	// leaderWait is how long a source replica that knows no leader waits for one, unless
	// this is the first question.
	leaderWait = time.Second
	// maxMinRevisionDelay is the maximum pause between two attempts to find the
	// minimum revision. A daemon without one serves no calls.
	maxMinRevisionDelay = 300 * time.Millisecond
	// witnessTimeout is how long a revision is held back until a majority of the
	// witnesses has recorded it. After that, a revision that they have not recorded
	// does less harm than an outdated one.
	witnessTimeout = 2 * time.Second
)

// MinRevisionConfig names the witnesses of this daemon: the daemons that record
// its minimum revision. Without witnesses, a daemon that has started serves calls
// only after it has reached the source.
type MinRevisionConfig struct {
	Witnesses []string // Peer addresses of the witnesses.
	// OnConfirmation is called with each revision that the witnesses were asked to
	// record before it takes effect. ok reports whether a majority of them recorded
	// it within witnessTimeout. OnConfirmation may be nil.
	OnConfirmation func(r config.Revision, ok bool)
}

// RunMinRevision finds the minimum revision, below which this daemon must not
// serve calls: the newest accepted revision, as a quorum of the source confirms
// it, or, if the source is unreachable, the one that the witnesses recorded for
// the daemon's previous incarnation. It retries until it finds one or Stop is
// called.
func (c *Client) RunMinRevision() {
	for attempt := 0; ; attempt++ {
		latest, ok := c.askSources(attempt)
		if ok {
			c.setRetirements(latest.Retired)
			c.applyMinRevision(latest.Revision)
			return
		}
		if r, ok := c.minRevision.Ask(); ok {
			c.setRetirements(nil)
			c.applyMinRevision(r)
			c.awaitRetirements()
			return
		}
		if !c.sleep(min(backoff(attempt, c.config.Random()), maxMinRevisionDelay)) {
			return
		}
	}
}

// awaitRetirements asks the source for the retirements of this daemon's upstreams until
// it can confirm them or Stop is called.
func (c *Client) awaitRetirements() {
	for attempt := 1; c.sleep(backoff(attempt-1, c.config.Random())); attempt++ {
		if latest, ok := c.askSources(attempt); ok {
			c.setRetirements(latest.Retired)
			return
		}
	}
}

// setRetirements passes on the retirements of this daemon's upstreams.
func (c *Client) setRetirements(retired []directory.Retirement) {
	if c.config.OnRetirements != nil {
		c.config.OnRetirements(retired)
	}
}

// askSources returns the newest accepted revision, and the retirements of this daemon's
// upstreams, from the first source replica that replies. Each attempt begins with another
// replica. If one replies that it cannot confirm a revision, the others are not asked:
// after a power loss of everything, all daemons would ask all replicas again and again,
// which are busy with the election.
func (c *Client) askSources(attempt int) (LatestReply, bool) {
	sources := c.sources()
	for i := range sources {
		args := LatestArgs{Host: c.config.Host}
		if attempt > 0 {
			args.Wait = leaderWait
		}
		var reply LatestReply
		err := c.Call(sources[(attempt+i)%len(sources)], "Feed.Latest", args, &reply, args.Wait+latestTimeout)
		if err == nil {
			return reply, true
		}
		if !errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrUnknown) {
			break
		}
	}
	return LatestReply{}, false
}

// applyMinRevision has the witnesses record r, or the revision in force if that is
// newer, and sets the minimum revision to r: the daemon serves calls if the
// revision in force is new enough. Nothing is recorded before the minimum is
// known, since what the previous incarnation recorded may be newer.
func (c *Client) applyMinRevision(r config.Revision) {
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	c.awaitWitnesses(max(r, c.hub.State().Revision()))
	c.hub.setMinRevision(r)
}

// awaitWitnesses waits up to witnessTimeout until a majority of the witnesses has
// recorded a revision that is about to be in force. The caller must hold
// c.applyMutex.
func (c *Client) awaitWitnesses(r config.Revision) {
	if len(c.config.MinRevision.Witnesses) == 0 {
		return
	}
	ok := c.minRevision.Confirm(r, witnessTimeout, c.stop)
	if !ok {
		c.hub.config.Counters.Add("floors_unproved", 1)
	}
	if c.config.MinRevision.OnConfirmation != nil {
		c.config.MinRevision.OnConfirmation(r, ok)
	}
}

// RunWitnesses keeps the witnesses' records up to date until Stop, each in a
// goroutine of its own.
func (c *Client) RunWitnesses() {
	var group sync.WaitGroup
	for i := range c.config.MinRevision.Witnesses {
		group.Go(func() { c.minRevision.Run(i, c.stop) })
	}
	group.Wait()
}

// serves reports whether a daemon with revision r in force serves calls: the
// minimum revision is known, and r is not older.
func (h *Hub) serves(r config.Revision) bool {
	encoded := h.minRevision.Load() // The minimum plus 1, or 0 if unknown.
	return encoded > 0 && uint64(r)+1 >= encoded
}
