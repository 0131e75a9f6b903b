package source

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/queue"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// link is the connection to another replica and the queue of messages to it.
type link struct {
	name    string
	address string
	client  *peer.Client
	outbox  *queue.Queue[quorum.Message]
	stop    chan struct{} // Closed when a link with another address replaces this one.
}

// links holds the links to all other known replicas, by name. It is safe for
// concurrent use.
type links struct {
	mutex  sync.RWMutex
	byName map[string]*link
}

// get returns the link to a replica, or nil.
func (l *links) get(name string) *link {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.byName[name]
}

// client returns the client of a replica, or nil.
func (l *links) client(name string) *peer.Client {
	if found := l.get(name); found != nil {
		return found.client
	}
	return nil
}

// all returns the links in no particular order.
func (l *links) all() []*link {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	all := make([]*link, 0, len(l.byName))
	for _, each := range l.byName {
		all = append(all, each)
	}
	return all
}

// AddReplica adds a link to another replica, or replaces its link if the address
// has changed. It ignores the node itself, known replicas, and members without a
// name or an address. It may be called at any time.
func (n *Node) AddReplica(m Member) {
	if m.Name == n.config.Name || m.Name == "" || m.Address == "" {
		return
	}
	n.links.mutex.Lock()
	previous := n.links.byName[m.Name]
	if previous != nil && previous.address == m.Address {
		n.links.mutex.Unlock()
		return
	}
	added := &link{
		name: m.Name, address: m.Address, stop: make(chan struct{}),
		client: peer.NewClient(m.Address, n.config.Dial, &n.traffic),
		outbox: queue.New[quorum.Message](maxOutboxMessages),
	}
	n.links.byName[m.Name] = added
	started := n.linksStarted
	n.links.mutex.Unlock()
	if previous != nil {
		close(previous.stop)
		previous.client.Close()
	}
	if started {
		n.startLink(added)
	}
}

// startLink starts the background goroutines of a link.
func (n *Node) startLink(l *link) {
	n.goBackground(func() { n.runOutbox(l) })
	n.goBackground(func() { n.exchangeWith(l) })
}

// startLinks starts the background goroutines of the links known so far.
// AddReplica starts those of later links.
func (n *Node) startLinks() {
	n.links.mutex.Lock()
	n.linksStarted = true
	n.links.mutex.Unlock()
	for _, l := range n.links.all() {
		n.startLink(l)
	}
}

// setMembers adds links to the replicas in a member list and publishes their
// addresses to daemons.
func (n *Node) setMembers(members []quorum.Member) {
	for _, m := range members {
		n.AddReplica(Member{Name: memberName(m.ID), Address: m.Address})
	}
	n.zones.mutex.Lock()
	defer n.zones.mutex.Unlock()
	n.zones.members = members
	n.publishSources()
}

// zones holds the data centres of the replicas, which they send each other with
// Source.Exchange, and the newest member list.
type zones struct {
	mutex   sync.Mutex
	byName  map[string]string
	members []quorum.Member
}

// setZone stores the data centre of another replica and publishes a change.
func (n *Node) setZone(name, zone string) {
	n.zones.mutex.Lock()
	defer n.zones.mutex.Unlock()
	if n.zones.byName[name] == zone {
		return
	}
	if n.zones.byName == nil {
		n.zones.byName = map[string]string{}
	}
	n.zones.byName[name] = zone
	n.publishSources()
}

// publishSources passes the addresses and data centres of the replicas to the
// hub, for daemons. The caller must hold zones.mutex.
func (n *Node) publishSources() {
	var sources []directory.Source
	for _, m := range n.zones.members {
		if m.Address == "" {
			continue
		}
		zone := n.zones.byName[memberName(m.ID)]
		if memberName(m.ID) == n.config.Name {
			zone = n.config.Zone
		}
		sources = append(sources, directory.Source{Address: m.Address, Zone: zone})
	}
	n.hub.SetSources(sources)
}

// updateMembers passes a new member list on to the node.
func (c *consensus) updateMembers() {
	if version := c.core.MembersVersion(); version != c.membersVersion {
		c.membersVersion = version
		members := c.core.Members()
		c.node.config.Logger.Log("msg", "members changed", "members", formatMembers(members))
		c.node.setMembers(members)
	}
}

// formatMembers returns the member IDs for a log line, separated by commas.
func formatMembers(members []quorum.Member) string {
	text := ""
	for _, m := range members {
		if text != "" {
			text += ","
		}
		text += m.ID
		if !m.Voter {
			text += "(learner)"
		}
	}
	return text
}
