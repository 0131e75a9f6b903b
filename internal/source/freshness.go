package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// freshnessInterval is the time between two reads of the newest revision while a
	// configuration with API keys is in force. At a follower, a read costs one call to
	// the leader, and among the replicas no message beyond the regular heartbeats.
	freshnessInterval = 250 * time.Millisecond
	// inForceTimeout is how long a revision that a quorum has confirmed may take to be
	// in force here, before the newest revision is read again.
	inForceTimeout = time.Second
)

// runFreshness keeps the freshness time of the configuration in force up to date until the
// node stops, while that has API keys: daemons accept keys by it. See feed.State.FreshAt.
func (n *Node) runFreshness() {
	failing := false
	for {
		published := n.hub.Published()
		if !n.hub.State().Table().Keyed() {
			select {
			case <-published:
				continue
			case <-n.stop:
				return
			}
		}
		start := n.config.BootClock()
		err := n.confirmFreshness(func() (confirmedRead, error) { return n.confirm(true) })
		if (err != nil) != failing {
			failing = err != nil
			n.logFreshness(err)
		}
		if !n.pause(freshnessInterval - min(n.config.BootClock()-start, freshnessInterval)) {
			return
		}
	}
}

// logFreshness logs that reads of the newest revision begin to fail, or succeed again if err
// is nil.
func (n *Node) logFreshness(err error) {
	if err != nil {
		n.config.Logger.Log("msg", "the newest revision cannot be confirmed: API keys expire", "revision", n.hub.State().Revision(), "leader", n.Leader(), "err", err)
		return
	}
	n.config.Logger.Log("msg", "the newest revision is confirmed again", "revision", n.hub.State().Revision(), "leader", n.Leader())
}

// confirmFreshness reads the newest revision and, once that is in force here, sets the
// freshness time to the time before the read.
func (n *Node) confirmFreshness(read func() (confirmedRead, error)) error {
	before := n.config.BootClock()
	n.config.Counters.Add("freshness_reads", 1)
	confirmed, err := read()
	if err == nil && !n.awaitInForce(confirmed.revision, before) {
		err = feed.ErrUnconfirmed
	}
	if err != nil {
		n.config.Counters.Add("freshness_reads_failed", 1)
	}
	return err
}

// awaitInForce sets the freshness time to t once revision r is in force. It returns false if
// that takes longer than inForceTimeout, or the node stops.
func (n *Node) awaitInForce(r config.Revision, t time.Duration) bool {
	timer := time.NewTimer(inForceTimeout)
	defer timer.Stop()
	for {
		published := n.hub.Published()
		if n.hub.SetFreshAt(r, t) {
			return true
		}
		select {
		case <-published:
		case <-timer.C:
			return false
		case <-n.stop:
			return false
		}
	}
}
