package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

const (
	minExchangeInterval = 50 * time.Millisecond // Minimum pause between two exchanges.
	maxExchangeInterval = time.Second           // An exchange follows after this time also without changes.
	exchangeTimeout     = time.Second           // Timeout of one call.
	// reportsDelay is how long an exchange waits for more call statistics after some
	// have arrived. Each daemon reports its own.
	reportsDelay = 100 * time.Millisecond
)

// sibling is the state of the exchange with another source replica.
type sibling struct {
	name         string
	client       *peer.Client
	cursor       feed.Cursor // Changes up to here have been sent.
	instance     uint64      // The sibling's instance when the directories were last equal or repaired; another one means that it has restarted.
	partial      bool        // The sibling merges partial reports of call statistics.
	reportedTo   uint64      // The sibling's instance that has got the call statistics; 0 if none has.
	ack          feed.Ack    // In the last exchange.
	sentAt       time.Time   // Of the last successful exchange; zero if there was none.
	differsSince time.Time   // When the two directories began to differ; zero while they are equal.
}

// runExpiry drops old directory records, and children that no longer report,
// from the hub every second until the node stops.
func (n *Node) runExpiry() {
	for n.pause(time.Second) {
		n.hub.Expire(n.config.Clock())
	}
}

// exchangeWith sends another replica the changes that the daemons below this one
// report, so that every replica knows the whole fleet. It returns when the node
// or the link stops.
func (n *Node) exchangeWith(l *link) {
	s := &sibling{name: l.name, client: l.client}
	for n.pause(minExchangeInterval) {
		changed, acknowledged, reported := n.hub.Changed(), n.hub.Acknowledged(), n.hub.Reported()
		n.exchangeOnce(n.config.Clock(), s)
		timer := time.NewTimer(maxExchangeInterval)
		select {
		case <-n.stop:
		case <-l.stop:
			timer.Stop()
			return
		case <-changed:
		case <-acknowledged:
		case <-reported:
			n.pause(reportsDelay)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// exchangeOnce sends the changes since the last successful exchange, and without changes
// every maxExchangeInterval. Most changes come from the other replicas.
func (n *Node) exchangeOnce(now time.Time, s *sibling) {
	records, reports, next := n.hub.ChangesFor(s.name, s.cursor, s.partial)
	args := feed.ReportArgs{Host: n.config.Name, Ack: n.hub.Ack(), Records: records, Reports: reports, Zone: n.config.Zone}
	if len(records)+len(reports) == 0 && s.ack.Covers(args.Ack) && now.Sub(s.sentAt) < maxExchangeInterval {
		s.cursor = next
		return
	}
	var reply ExchangeReply
	if err := s.client.Call("Source.Exchange", args, &reply, exchangeTimeout); err != nil {
		return
	}
	s.ack, s.sentAt = args.Ack, now
	s.cursor, s.partial = next, reply.Partial
	if reply.Instance != s.reportedTo {
		if s.reportedTo != 0 {
			s.cursor.ForgetReports() // The sibling has restarted and lost them.
		}
		s.reportedTo = reply.Instance
	}
	n.repair(s, reply)
}

// repairDelay is how long the directories of two replicas may differ before
// repair reconciles them. Changes in transit make them differ for a moment.
// Package feed has a constant of the same name for a daemon and its parent.
const repairDelay = 5 * time.Second

// repair reconciles the directory with that of a sibling if they differ and the
// sibling is new or has restarted, or if they have differed for repairDelay.
func (n *Node) repair(s *sibling, reply ExchangeReply) {
	now := n.config.Clock()
	if reply.Digest == n.hub.RecordsDigest() {
		s.differsSince = time.Time{}
		s.instance = reply.Instance
		return
	}
	if s.differsSince.IsZero() {
		s.differsSince = now
	}
	if s.instance == reply.Instance && now.Sub(s.differsSince) < repairDelay {
		return
	}
	s.differsSince = time.Time{}
	cursor, err := n.hub.Reconcile(now, s.name, s.client)
	if err == nil {
		s.cursor = cursor
		s.instance = reply.Instance
	}
}
