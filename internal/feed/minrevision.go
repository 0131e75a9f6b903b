package feed

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	latestTimeout = time.Second
	// minRevisionPause bounds the time between two questions for the floor: a daemon
	// without one serves nothing.
	minRevisionPause = 300 * time.Millisecond
	// maxConfirm is how long a revision is held back for the keepers. After
	// that to be behind is worse than to be unproved.
	maxConfirm = 2 * time.Second
)

// MinRevisionConfig names the daemons that remember the floor of this one. Without
// any, a daemon that starts serves only once it has reached the source.
type MinRevisionConfig struct {
	Witnesses []string // Their peer addresses.
	// OnConfirmed is called with each revision that is about to be in force, and
	// whether most keepers have noted it. It may be nil.
	OnConfirmed func(r config.Revision, ok bool)
}

// RunMinRevision finds out below what revision this daemon must not serve: what the
// source's quorum says is the newest accepted one, or, if the source can't be
// reached, what the keepers remember of this daemon's earlier life.
func (c *Client) RunMinRevision() {
	for attempt := 0; ; attempt++ {
		r, ok := c.askSources()
		if !ok {
			r, ok = c.minRevision.Ask()
		}
		if ok {
			c.takeMinRevision(r)
			return
		}
		if !c.pause(min(backoff(attempt, c.config.Random()), minRevisionPause)) {
			return
		}
	}
}

func (c *Client) askSources() (config.Revision, bool) {
	for _, address := range c.sources() {
		var reply LatestReply
		if c.Call(address, "Feed.Latest", LatestArgs{Host: c.config.Host}, &reply, latestTimeout) == nil {
			return reply.Revision, true
		}
	}
	return 0, false
}

// takeMinRevision begins to serve, if what is in force is new enough. Nothing is
// noted before the floor is known: what an earlier life noted may be newer.
func (c *Client) takeMinRevision(r config.Revision) {
	c.taking.Lock()
	defer c.taking.Unlock()
	c.confirm(max(r, c.hub.State().Revision()))
	c.hub.setMinRevision(r)
}

// confirm has the keepers note a revision before it is in force.
func (c *Client) confirm(r config.Revision) {
	if len(c.config.MinRevision.Witnesses) == 0 {
		return
	}
	ok := c.minRevision.Confirm(r, maxConfirm, c.stop)
	if !ok {
		c.hub.config.Counters.Add("floors_unproved", 1)
	}
	if c.config.MinRevision.OnConfirmed != nil {
		c.config.MinRevision.OnConfirmed(r, ok)
	}
}

// RunWitnesses keeps the keepers informed, each by itself, until Stop.
func (c *Client) RunWitnesses() {
	var group sync.WaitGroup
	for i := range c.config.MinRevision.Witnesses {
		group.Go(func() { c.minRevision.Run(i, c.stop) })
	}
	group.Wait()
}

// serves reports whether a daemon with revision r in force serves calls.
func (h *Hub) serves(r config.Revision) bool {
	floor := h.minRevision.Load()
	return floor > 0 && uint64(r)+1 >= floor
}
