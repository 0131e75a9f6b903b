package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	minExchangeInterval = 50 * time.Millisecond // Between two exchanges.
	maxExchangeInterval = time.Second           // Also without news.
	exchangeTimeout     = time.Second
)

// sibling is what this replica knows of its exchange with another one.
type sibling struct {
	name     string
	client   *peer.Client
	cursor   feed.Cursor
	instance uint64
	differs  time.Time // Since when the two directories have differed.
}

// runExchange drops what is outdated of the exchange with other replicas.
func (n *Node) runExchange() {
	for n.pause(time.Second) {
		n.hub.Expire(n.config.Clock())
	}
}

// exchangeWith tells another replica what daemons below this one report, so
// that every replica knows the whole fleet.
func (n *Node) exchangeWith(one *link) {
	s := &sibling{name: one.name, client: one.client}
	for n.pause(minExchangeInterval) {
		wake := n.hub.Changed()
		n.exchangeOnce(s)
		timer := time.NewTimer(maxExchangeInterval)
		select {
		case <-n.stop:
		case <-one.stop:
			timer.Stop()
			return
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) exchangeOnce(s *sibling) {
	records, reports, next := n.hub.ChangesFor(s.name, s.cursor)
	args := feed.ReportArgs{Host: n.config.Name, Ack: n.hub.Ack(), Records: records, Reports: reports, Zone: n.config.Zone}
	var reply ExchangeReply
	if err := s.client.Call("Source.Exchange", args, &reply, exchangeTimeout); err != nil {
		return
	}
	s.cursor = next
	n.repair(s, reply)
}

// repairDelay is how long the directories of two replicas may differ before
// they are compared. News on their way make them differ for a moment.
const repairDelay = 5 * time.Second

// repair compares directories with a replica that has started anew, or whose
// directory has differed for long.
func (n *Node) repair(s *sibling, reply ExchangeReply) {
	now := n.config.Clock()
	if reply.Digest == n.hub.RecordsDigest() {
		s.differs = time.Time{}
		s.instance = reply.Instance
		return
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	if s.instance == reply.Instance && now.Sub(s.differs) < repairDelay {
		return
	}
	s.differs = time.Time{}
	cursor, err := n.hub.Reconcile(now, s.name, s.client)
	if err == nil {
		s.cursor = cursor
		s.instance = reply.Instance
	}
}
