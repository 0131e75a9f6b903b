package source

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/queue"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// link is the way to another replica.
type link struct {
	name    string
	address string
	client  *peer.Client
	outbox  *queue.Queue[quorum.Message]
	stop    chan struct{}
}

// links holds the ways to all other replicas that are known, by name. It is
// safe for concurrent use.
type links struct {
	mutex  sync.RWMutex
	byName map[string]*link
}

func (l *links) get(name string) *link {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.byName[name]
}

// client returns the client of a replica, or nil.
func (l *links) client(name string) *peer.Client {
	if one := l.get(name); one != nil {
		return one.client
	}
	return nil
}

// all returns the links in no particular order.
func (l *links) all() []*link {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	all := make([]*link, 0, len(l.byName))
	for _, one := range l.byName {
		all = append(all, one)
	}
	return all
}

// AddReplica tells the node of another replica, or of a new address of one. It may
// be called at any time; the node itself and known replicas are passed over.
func (n *Node) AddReplica(m Member) {
	if m.Name == n.config.Name || m.Name == "" || m.Address == "" {
		return
	}
	n.links.mutex.Lock()
	old := n.links.byName[m.Name]
	if old != nil && old.address == m.Address {
		n.links.mutex.Unlock()
		return
	}
	one := &link{
		name: m.Name, address: m.Address, stop: make(chan struct{}),
		client: peer.NewClient(m.Address, n.config.Dial, &n.traffic),
		outbox: queue.New[quorum.Message](outboxSize),
	}
	n.links.byName[m.Name] = one
	started := n.linksStarted
	n.links.mutex.Unlock()
	if old != nil {
		close(old.stop)
		old.client.Close()
	}
	if started {
		n.startLink(one)
	}
}

// startLink starts the duties of a link.
func (n *Node) startLink(one *link) {
	n.goBackground(func() { n.runOutbox(one) })
	n.goBackground(func() { n.exchangeWith(one) })
}

// startLinks starts the duties of the links known so far; later ones start with
// Learn.
func (n *Node) startLinks() {
	n.links.mutex.Lock()
	n.linksStarted = true
	n.links.mutex.Unlock()
	for _, one := range n.links.all() {
		n.startLink(one)
	}
}

// learnMembers takes the addresses in a member list in.
func (n *Node) learnMembers(members []quorum.Member) {
	for _, m := range members {
		n.AddReplica(Member{Name: memberName(m.ID), Address: m.Address})
	}
	n.zones.mutex.Lock()
	defer n.zones.mutex.Unlock()
	n.zones.members = members
	n.publishSources()
}

// zones holds in which data centres the replicas are, which they tell each
// other.
type zones struct {
	mutex   sync.Mutex
	byName  map[string]string
	members []quorum.Member
}

// noteZone notes in which data centre another replica is.
func (n *Node) noteZone(name, zone string) {
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

// publishSources tells daemons of the replicas that can be called. The caller
// holds the lock of zones.
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

// noteMembers tells the node of the addresses in a new member list.
func (a *consensus) noteMembers() {
	if change := a.core.MembersChange(); change != a.members {
		a.members = change
		members := a.core.Members()
		a.node.config.Logger.Log("msg", "members changed", "members", describeMembers(members))
		a.node.learnMembers(members)
	}
}

func describeMembers(members []quorum.Member) string {
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
