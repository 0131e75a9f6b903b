package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	noticeWait    = 2 * time.Second // How long the second parent waits for a newer revision.
	noticeTimeout = 3 * time.Second // Of the call, which includes noticeWait.
	// secondPullDelay is how long the parent may take to deliver a revision that
	// the second parent has announced, before it is pulled from the second parent.
	secondPullDelay = 150 * time.Millisecond
	// secondRetryDelay is the pause after a failed call or if there is no second
	// parent.
	secondRetryDelay = 500 * time.Millisecond
)

// RunSecondParent waits for notices from a second parent until Stop. A notice only says
// that there is a newer revision. If the parent does not deliver it in time, for
// example because its process hangs while its connections stay open, the revision
// is pulled from the second parent.
func (c *Client) RunSecondParent() {
	for {
		address := c.secondParent()
		if address == "" || !c.awaitNotice(address) {
			if !c.sleep(secondRetryDelay) {
				return
			}
			continue
		}
		select {
		case <-c.stop:
			return
		default:
		}
	}
}

// secondParent returns the address of the best candidate that is not the parent,
// or "" if there is none.
func (c *Client) secondParent() string {
	return c.choice.second(c.Parent(), c.candidates())
}

// noticeResult is the result of a Feed.Notice call.
type noticeResult struct {
	revision config.Revision
	err      error
}

// awaitNotice waits for one notice from the second parent and pulls the revision
// from there if the parent does not deliver it. It returns false if the caller
// should pause before the next notice. It returns early if the second parent becomes
// the parent: until the call ended, the daemon would have no second one.
func (c *Client) awaitNotice(address string) bool {
	have := c.hub.State().Revision()
	result := make(chan noticeResult, 1)
	go func() {
		var reply NoticeReply
		args := NoticeArgs{Host: c.config.Host, Have: have, Wait: noticeWait, Features: c.config.Features}
		err := c.client(address).Call("Feed.Notice", args, &reply, noticeTimeout)
		result <- noticeResult{revision: reply.Revision, err: err}
	}()
	notice, ok := c.awaitUnlessParent(address, result)
	if !ok {
		return true
	}
	if notice.err != nil {
		c.choice.recordResult(c.config.Clock(), address, notice.err, c.config.Random())
		return false
	}
	if notice.revision <= have {
		return true
	}
	if !c.sleep(secondPullDelay) {
		return false
	}
	if c.hub.State().Revision() < notice.revision {
		c.hub.config.Counters.Add("feed_second_pulls", 1)
		return c.pullConfiguration(address, pullTimeout)
	}
	return true
}

// awaitUnlessParent waits for the result of a call to the second parent, whose address
// is given. It returns false once that is the parent's.
func (c *Client) awaitUnlessParent(address string, result <-chan noticeResult) (noticeResult, bool) {
	for {
		parent, changed := c.watchParent()
		if parent == address {
			return noticeResult{}, false
		}
		select {
		case notice := <-result:
			return notice, true
		case <-changed:
		}
	}
}

// watchParent returns the address of the current parent, and a channel that is closed
// when another one becomes the parent.
func (c *Client) watchParent() (string, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parent, c.parentChange
}

// pullConfiguration pulls configuration and its freshness from another process than the
// parent, without directory records. It reports whether a delta was received and applied.
func (c *Client) pullConfiguration(address string, timeout time.Duration) bool {
	state := c.hub.State()
	args := PullArgs{
		Host: c.config.Host, Have: state.Revision(), Digest: state.Catalog().Digest(),
		Sources: directory.DigestSources(c.hub.Sources()), Features: c.config.Features,
	}
	sent := c.hub.config.BootClock()
	var reply PullReply
	if c.client(address).Call("Feed.Pull", args, &reply, timeout) != nil {
		return false
	}
	delta, err := reply.delta()
	if err != nil {
		c.hub.config.Counters.Add("feed_bad_messages", 1)
		return false
	}
	applied := delta != nil && c.apply(*delta)
	c.recordFreshness(sent, &reply)
	return applied
}
