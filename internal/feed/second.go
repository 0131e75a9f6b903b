package feed

import (
	"time"
)

const (
	noticeWait    = 2 * time.Second
	noticeTimeout = 3 * time.Second
	// noticeGrace is how long the parent may take to bring a revision that the
	// second parent has told of.
	noticeGrace = 150 * time.Millisecond
	secondPause = 500 * time.Millisecond
)

// RunSecond listens to a second parent. It tells only that there is a newer
// revision; if the parent does not bring it soon, as when it is frozen but not
// dead, the revision is pulled from the second one.
func (c *Client) RunSecond() {
	for {
		address := c.secondParent()
		if address == "" || !c.listenTo(address) {
			if !c.pause(secondPause) {
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

// secondParent returns the best candidate that is not the parent.
func (c *Client) secondParent() string {
	return c.choice.second(c.Parent(), c.candidates())
}

// listenTo waits for one notice and acts on it.
func (c *Client) listenTo(address string) bool {
	have := c.hub.State().Revision()
	var reply NoticeReply
	args := NoticeArgs{Host: c.config.Host, Have: have, Wait: noticeWait}
	if err := c.client(address).Call("Feed.Notice", args, &reply, noticeTimeout); err != nil {
		c.choice.result(c.config.Clock(), address, err, c.config.Random())
		return false
	}
	if reply.Revision <= have {
		return true
	}
	if !c.pause(noticeGrace) {
		return false
	}
	if c.hub.State().Revision() < reply.Revision {
		c.hub.config.Counters.Add("feed_second_pulls", 1)
		return c.pullSecond(address)
	}
	return true
}

// pullSecond pulls configuration alone.
func (c *Client) pullSecond(address string) bool {
	state := c.hub.State()
	args := PullArgs{Host: c.config.Host, Have: state.Revision(), Digest: state.Catalog().Digest()}
	var reply PullReply
	if c.client(address).Call("Feed.Pull", args, &reply, pullTimeout) != nil {
		return false
	}
	delta, err := reply.delta()
	if err != nil {
		c.hub.config.Counters.Add("feed_bad_messages", 1)
		return false
	}
	return delta != nil && c.take(*delta)
}
