package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	exchangeLeast   = 50 * time.Millisecond // Between two exchanges.
	exchangeMost    = time.Second           // Also without news.
	exchangeTimeout = time.Second
)

// sibling is what this replica knows of its exchange with another one.
type sibling struct {
	client   *peer.Client
	cursor   feed.Cursor
	instance uint64
}

// runExchange tells the other replicas what daemons below this one report, so
// that every replica knows the whole fleet.
func (n *Node) runExchange() {
	for _, c := range n.clients {
		s := &sibling{client: c}
		n.goDuty(func() { n.exchangeWith(s) })
	}
	for n.pause(time.Second) {
		n.hub.Expire(n.config.Clock())
	}
}

func (n *Node) exchangeWith(s *sibling) {
	for n.pause(exchangeLeast) {
		wake := n.hub.Wake()
		n.exchangeOnce(s)
		timer := time.NewTimer(exchangeMost)
		select {
		case <-n.stop:
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) exchangeOnce(s *sibling) {
	records, reports, next := n.hub.ChangesBelow(s.cursor)
	args := feed.ReportArgs{Host: n.config.Name, Ack: n.hub.Ack(), Records: records, Reports: reports}
	var reply ExchangeReply
	if err := s.client.Call("Source.Exchange", args, &reply, exchangeTimeout); err != nil {
		return
	}
	s.cursor = next
	if reply.Instance != s.instance {
		// The other replica has started anew and lacks what it was told before.
		s.cursor = feed.Cursor{}
		s.instance = reply.Instance
	}
}
