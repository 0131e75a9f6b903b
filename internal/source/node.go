package source

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/queue"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Node is a running source replica. It is safe for concurrent use. Make one
// with Start.
type Node struct {
	config     Config
	id         string
	hub        *feed.Hub
	consensus  *consensus
	server     *peer.Server
	traffic    peer.Traffic
	links      links
	zones      zones
	leader     atomic.Value // A member name, or "".
	stop       chan struct{}
	background sync.WaitGroup

	linksStarted bool // Guarded by the mutex of links.

	leaderMutex  sync.Mutex
	leaderChange chan struct{} // Closed when leader changes.
}

const outboxSize = 1024

// Start opens the data folder and begins to serve.
func Start(c Config) (*Node, error) {
	c = c.withDefaults()
	n := &Node{config: c, links: links{byName: map[string]*link{}}, stop: make(chan struct{}), leaderChange: make(chan struct{})}
	n.leader.Store("")
	for _, m := range c.Members {
		n.AddReplica(m)
	}
	store, id, start, err := openFolder(c, n.groupExists)
	if err != nil {
		return nil, err
	}
	n.id = id
	now := c.Clock()
	n.hub = feed.NewHub(feed.HubConfig{Host: c.Name, Zone: c.Zone, Instance: uint64(now.UnixNano()), Source: true, Counters: c.Counters})
	if n.consensus, err = newConsensus(n, store, id, start, now); err != nil {
		store.Close()
		return nil, err
	}
	if err := n.listen(); err != nil {
		store.Close()
		return nil, err
	}
	n.publishGauges()
	n.startBackground()
	return n, nil
}

func (n *Node) listen() error {
	server, err := peer.Listen(n.config.Listen, &n.traffic)
	if err != nil {
		return err
	}
	n.server = server
	services := map[string]any{
		"Quorum": &quorumService{node: n},
		"Source": &sourceService{node: n},
		"Feed":   feed.NewService(n.hub, n.config.Clock, n.Latest),
	}
	for name, s := range services {
		if err := server.Register(name, s); err != nil {
			server.Close()
			return err
		}
	}
	return nil
}

// startBackground starts one goroutine for each duty.
func (n *Node) startBackground() {
	n.goBackground(func() { n.consensus.run(n.stop) })
	n.goBackground(n.server.Serve)
	n.goBackground(n.runExchange)
	n.goBackground(n.runMoveController)
	n.goBackground(n.runJoin)
	n.startLinks()
}

func (n *Node) goBackground(duty func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		duty()
	}()
}

func (n *Node) publishGauges() {
	c := n.config.Counters
	c.Gauge("control_bytes_sent", func() any { return n.traffic.Sent() })
	c.Gauge("control_bytes_received", func() any { return n.traffic.Received() })
	c.Gauge("revision", func() any { return n.hub.State().Revision() })
	c.Gauge("inputs_shed", func() any { return n.consensus.inputs.Shed() })
	c.Gauge("outbox_shed", func() any {
		shed := map[string]any{}
		for _, one := range n.links.all() {
			shed[one.name] = one.outbox.Shed()
		}
		return shed
	})
}

// Stop ends all duties and closes the disk.
func (n *Node) Stop() {
	close(n.stop)
	n.server.Close()
	for _, one := range n.links.all() {
		one.client.Close()
	}
	n.background.Wait()
}

// Hub returns what the replica knows and passes on.
func (n *Node) Hub() *feed.Hub { return n.hub }

// Address returns the address for other processes.
func (n *Node) Address() string { return n.server.Address() }

// Traffic returns the replica's control traffic.
func (n *Node) Traffic() *peer.Traffic { return &n.traffic }

// Leader returns the name of the leader as far as this replica knows, or "".
func (n *Node) Leader() string { return n.leader.Load().(string) }

// IsLeader reports whether this replica believes that it leads.
func (n *Node) IsLeader() bool { return n.Leader() == n.config.Name }

func (n *Node) setLeader(name string) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	if n.Leader() == name {
		return
	}
	n.leader.Store(name)
	close(n.leaderChange)
	n.leaderChange = make(chan struct{})
}

// leaderNow returns the leader and a channel that is closed when there is
// another one, or none.
func (n *Node) leaderNow() (string, <-chan struct{}) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	return n.Leader(), n.leaderChange
}

// ask calls the leader. It gives up as soon as this replica no longer takes the
// other one for the leader, which may be frozen and never answer.
func (n *Node) ask(client *peer.Client, changed <-chan struct{}, method string, args, reply any) error {
	done := make(chan error, 1)
	go func() { done <- client.Call(method, args, reply, proposeTimeout) }()
	select {
	case err := <-done:
		return err
	case <-changed:
		return peer.ErrUnknown
	}
}

// send hands a message to the duty that calls that member. A full queue sheds;
// the consensus repeats what matters.
func (n *Node) send(m quorum.Message) {
	if one := n.links.get(memberName(m.To)); one != nil {
		one.outbox.Offer(m)
	}
}

const outboxBatch = 64

// runOutbox sends messages to one member, as many at once as wait.
func (n *Node) runOutbox(one *link) {
	for {
		select {
		case <-n.stop:
			return
		case <-one.stop:
			return
		case m := <-one.outbox.Out():
			batch := drainMessages(m, one.outbox)
			timeout := 2 * n.config.Timing.Election
			if err := one.client.Call("Quorum.Step", StepArgs{Messages: batch, Address: n.config.Address}, &StepReply{}, timeout); err != nil {
				n.config.Counters.Add("quorum_calls_failed", 1)
				n.pause(n.config.Timing.Heartbeat)
			}
		}
	}
}

func drainMessages(first quorum.Message, box *queue.Queue[quorum.Message]) []quorum.Message {
	batch := []quorum.Message{first}
	for len(batch) < outboxBatch {
		select {
		case m := <-box.Out():
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// pause waits for d and returns false if the node stops meanwhile.
func (n *Node) pause(d time.Duration) bool { return wait.For(d, n.stop) }

const (
	proposeTimeout = 2 * time.Second
	retryPause     = 25 * time.Millisecond
	// leaderWait is how long a change waits for a leader to be found. It spans
	// an election; a replica that is cut off lets the operator go elsewhere.
	leaderWait = 1500 * time.Millisecond
)

// Propose has a command decided and waits for its outcome until deadline. It
// may be called on any replica; a request sent again gets the first answer.
func (n *Node) Propose(c ledger.Command, deadline time.Time) (ledger.Outcome, error) {
	unknown := false
	began := n.config.Clock()
	for {
		out, err := n.proposeOnce(c)
		if err == nil || isFinal(err) {
			return out, err
		}
		unknown = unknown || mayBeAccepted(err)
		if n.Leader() == "" && n.config.Clock().Sub(began) > leaderWait {
			break
		}
		if n.config.Clock().Add(retryPause).After(deadline) || !n.pause(retryPause) {
			break
		}
	}
	if unknown {
		return ledger.Outcome{}, ErrUnknown
	}
	return ledger.Outcome{}, ErrNoLeader
}

func (n *Node) proposeOnce(c ledger.Command) (ledger.Outcome, error) {
	leader, changed := n.leaderNow()
	if leader == n.config.Name {
		return n.proposeHere(c)
	}
	client := n.links.client(leader)
	if client == nil {
		return ledger.Outcome{}, ErrNoLeader
	}
	var reply ProposeReply
	if err := n.ask(client, changed, "Source.Propose", ProposeArgs{Command: c}, &reply); err != nil {
		return ledger.Outcome{}, err
	}
	return reply.Outcome, reply.Code.err()
}

// proposeHere decides a command on this replica, which must lead.
func (n *Node) proposeHere(c ledger.Command) (ledger.Outcome, error) {
	return n.decideHere(proposal{command: c})
}

func (n *Node) decideHere(p proposal) (ledger.Outcome, error) {
	done := make(chan proposeResult, 1)
	p.done = done
	if !n.consensus.inputs.Offer(input{propose: &p}) {
		return ledger.Outcome{}, ErrBusy
	}
	t := time.NewTimer(proposeTimeout)
	defer t.Stop()
	select {
	case r := <-done:
		return r.outcome, r.err
	case <-t.C:
	case <-n.stop:
	}
	return ledger.Outcome{}, ErrUnknown
}

// Latest returns the newest accepted revision, confirmed by a quorum after the
// call began.
func (n *Node) Latest() (config.Revision, error) {
	leader, changed := n.leaderNow()
	if leader == n.config.Name {
		return n.latestHere()
	}
	client := n.links.client(leader)
	if client == nil {
		return 0, feed.ErrUnconfirmed
	}
	var reply feed.LatestReply
	err := n.ask(client, changed, "Source.Latest", feed.LatestArgs{Host: n.config.Name}, &reply)
	if err != nil {
		return 0, feed.ErrUnconfirmed
	}
	return reply.Revision, nil
}

func (n *Node) latestHere() (config.Revision, error) {
	done := make(chan readResult, 1)
	if !n.consensus.inputs.Offer(input{read: done}) {
		return 0, ErrBusy
	}
	t := time.NewTimer(proposeTimeout)
	defer t.Stop()
	select {
	case r := <-done:
		return r.revision, r.err
	case <-t.C:
	case <-n.stop:
	}
	return 0, feed.ErrUnconfirmed
}

// inspect runs f in the consensus goroutine, so that it sees one moment.
func (n *Node) inspect(f func(*consensus)) bool {
	done := make(chan struct{})
	wrapped := func(a *consensus) {
		f(a)
		close(done)
	}
	if !n.consensus.inputs.Offer(input{inspect: wrapped}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-n.stop:
		return false
	}
}
