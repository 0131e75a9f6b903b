package feed

import (
	"strings"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
)

const (
	// retireAttemptTimeout limits one call to a source replica, so that a frozen one
	// leaves time to ask another.
	retireAttemptTimeout = 400 * time.Millisecond
	retireRetryDelay     = 25 * time.Millisecond
	// noSuchMethod is part of the error of net/rpc for a method that a process of an
	// older build does not have.
	noSuchMethod = "can't find method"
)

// Retire has the source record the retirement of an upstream of this daemon. It asks
// one replica after the other, and returns ErrNotRecorded if none has answered that it is
// recorded by deadline; it may be recorded all the same. A source of an older build knows
// no retirements; the error is nil then, so that upstreams can leave during an upgrade.
func (c *Client) Retire(r directory.Retirement, deadline time.Time) error {
	for {
		for _, address := range c.sources() {
			remaining := deadline.Sub(c.config.Clock())
			if remaining <= 0 {
				return ErrNotRecorded
			}
			args := RetireArgs{Host: c.config.Host, Retirement: r}
			err := c.Call(address, "Feed.Retire", args, &RetireReply{}, min(remaining, retireAttemptTimeout))
			if err == nil {
				return nil
			}
			if strings.Contains(err.Error(), noSuchMethod) {
				c.hub.config.Counters.Add("retirements_unsupported", 1)
				return nil
			}
		}
		if !c.sleep(min(retireRetryDelay, max(0, deadline.Sub(c.config.Clock())))) || !c.config.Clock().Before(deadline) {
			return ErrNotRecorded
		}
	}
}
