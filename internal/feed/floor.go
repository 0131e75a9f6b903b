package feed

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	latestTimeout = time.Second
	// floorPause bounds the time between two questions for the floor: a daemon
	// without one serves nothing.
	floorPause = 300 * time.Millisecond
	// proveMost is how long a revision is held back for the keepers. After
	// that to be behind is worse than to be unproved.
	proveMost = 2 * time.Second
)

// FloorConfig names the daemons that remember the floor of this one. Without
// any, a daemon that starts serves only once it has reached the source.
type FloorConfig struct {
	Keepers []string // Their peer addresses.
	// Proved is called with each revision that is about to be in force, and
	// whether most keepers have noted it. It may be nil.
	Proved func(r config.Revision, ok bool)
}

// RunFloor finds out below what revision this daemon must not serve: what the
// source's quorum says is the newest accepted one, or, if the source can't be
// reached, what the keepers remember of this daemon's earlier life.
func (c *Child) RunFloor() {
	for attempt := 0; ; attempt++ {
		r, ok := c.askSources()
		if !ok {
			r, ok = c.floor.Ask()
		}
		if ok {
			c.takeFloor(r)
			return
		}
		if !c.pause(min(backoff(attempt, c.config.Draw()), floorPause)) {
			return
		}
	}
}

func (c *Child) askSources() (config.Revision, bool) {
	for _, address := range c.sources() {
		var reply LatestReply
		if c.Call(address, "Feed.Latest", LatestArgs{Host: c.config.Host}, &reply, latestTimeout) == nil {
			return reply.Revision, true
		}
	}
	return 0, false
}

// takeFloor begins to serve, if what is in force is new enough. Nothing is
// noted before the floor is known: what an earlier life noted may be newer.
func (c *Child) takeFloor(r config.Revision) {
	c.taking.Lock()
	defer c.taking.Unlock()
	c.prove(max(r, c.hub.State().Revision()))
	c.hub.setFloor(r)
}

// prove has the keepers note a revision before it is in force.
func (c *Child) prove(r config.Revision) {
	if len(c.config.Floor.Keepers) == 0 {
		return
	}
	ok := c.floor.Prove(r, proveMost, c.stop)
	if !ok {
		c.hub.config.Counters.Add("floors_unproved", 1)
	}
	if c.config.Floor.Proved != nil {
		c.config.Floor.Proved(r, ok)
	}
}

// RunKeepers keeps the keepers informed, each by itself, until Stop.
func (c *Child) RunKeepers() {
	var group sync.WaitGroup
	for i := range c.config.Floor.Keepers {
		group.Go(func() { c.floor.Run(i, c.stop) })
	}
	group.Wait()
}

// serves reports whether a daemon with revision r in force serves calls.
func (h *Hub) serves(r config.Revision) bool {
	floor := h.floor.Load()
	return floor > 0 && uint64(r)+1 >= floor
}
