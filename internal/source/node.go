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

// Node is a running source replica. It is safe for concurrent use. Create one
// with Start and end it with Stop.
type Node struct {
	config    Config
	id        string
	hub       *feed.Hub
	consensus *consensus
	server    *peer.Server
	traffic   peer.Traffic
	// confirmations serves Latest, and startConfirmations the daemons that start.
	confirmations      confirmations
	startConfirmations confirmations
	quota              quotaLeader
	links              links
	zones              zones
	leader             atomic.Value // A replica name (string), or "".
	stop               chan struct{}
	background         sync.WaitGroup

	linksStarted bool // Guarded by links.mutex.

	leaderMutex  sync.Mutex    // Serializes changes of leader and guards leaderChange.
	leaderChange chan struct{} // Closed and replaced when leader changes.
}

// maxOutboxMessages limits the messages queued for one other replica.
const maxOutboxMessages = 1024

// Start opens the data folder, listens on Config.Listen and starts the node. The
// caller must end the node with Stop.
func Start(c Config) (*Node, error) {
	c = c.withDefaults()
	n := &Node{config: c, links: links{byName: map[string]*link{}}, stop: make(chan struct{}), leaderChange: make(chan struct{})}
	n.leader.Store("")
	for _, m := range c.Founders {
		n.AddReplica(m)
	}
	store, id, start, err := openFolder(c, n.groupExists)
	if err != nil {
		return nil, err
	}
	n.id = id
	now := c.Clock()
	n.hub = feed.NewHub(feed.HubConfig{Host: c.Name, Zone: c.Zone, Instance: uint64(now.UnixNano()), Source: true, Counters: c.Counters,
		OnWithheld: n.recordWithheld, BootClock: c.BootClock})
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

// listen opens the listener and registers the RPC services.
func (n *Node) listen() error {
	server, err := peer.Listen(n.config.Listen, &n.traffic)
	if err != nil {
		return err
	}
	n.server = server
	services := map[string]any{
		"Quorum": &quorumService{node: n},
		"Source": &sourceService{node: n},
		"Quota":  &quotaService{node: n},
		"Feed":   feed.NewService(n.hub, n.config.Clock, &feed.Source{Latest: n.latestFor, Retire: n.retire}),
	}
	for name, s := range services {
		if err := server.Register(name, s); err != nil {
			server.Close()
			return err
		}
	}
	return nil
}

// startBackground starts the background goroutines of the node.
func (n *Node) startBackground() {
	n.goBackground(func() { n.consensus.run(n.stop) })
	n.goBackground(n.server.Serve)
	n.goBackground(n.runExpiry)
	n.goBackground(n.runFreshness)
	n.goBackground(n.runMoveController)
	n.goBackground(n.runJoin)
	n.goBackground(n.runQuotaLeader)
	n.startLinks()
}

// goBackground starts a goroutine that Stop waits for.
func (n *Node) goBackground(run func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		run()
	}()
}

// publishGauges adds the gauges of the node to Config.Counters.
func (n *Node) publishGauges() {
	c := n.config.Counters
	c.Gauge("control_bytes_sent", func() any { return n.traffic.Sent() })
	c.Gauge("control_bytes_received", func() any { return n.traffic.Received() })
	c.Gauge("revision", func() any { return n.hub.State().Revision() })
	c.Gauge("quota_shares", func() any { return n.quota.shares() })
	c.Gauge("inputs_shed", func() any { return n.consensus.inputs.Dropped() })
	c.Gauge("outbox_shed", func() any {
		shed := map[string]any{}
		for _, l := range n.links.all() {
			shed[l.name] = l.outbox.Dropped()
		}
		return shed
	})
}

// Stop ends all background goroutines, closes the connections and the data
// folder, and returns when that is done. It must be called once only.
func (n *Node) Stop() {
	close(n.stop)
	n.server.Close()
	for _, l := range n.links.all() {
		l.client.Close()
	}
	n.background.Wait()
}

// Hub returns the hub with the replica's configuration, directory and call
// statistics.
func (n *Node) Hub() *feed.Hub { return n.hub }

// Address returns the address on which the node listens for other processes.
func (n *Node) Address() string { return n.server.Address() }

// Traffic returns the byte counters of the connections to other processes.
func (n *Node) Traffic() *peer.Traffic { return &n.traffic }

// Leader returns the name of the leader that this replica follows, or "" if it
// knows none.
func (n *Node) Leader() string { return n.leader.Load().(string) }

// IsLeader reports whether this replica regards itself as the leader. Another
// one may already have been elected.
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

// currentLeader returns the name of the leader, or "", and a channel that is
// closed when that changes.
func (n *Node) currentLeader() (string, <-chan struct{}) {
	n.leaderMutex.Lock()
	defer n.leaderMutex.Unlock()
	return n.Leader(), n.leaderChange
}

// callLeader calls a method of the leader. It returns peer.ErrUnknown as soon as
// changed is closed, because a deposed leader may be frozen and never reply. The
// call may then still write to reply, so the caller must not read it.
func (n *Node) callLeader(client *peer.Client, changed <-chan struct{}, method string, args, reply any) error {
	done := make(chan error, 1)
	go func() { done <- client.Call(method, args, reply, leaderRequestTimeout) }()
	select {
	case err := <-done:
		return err
	case <-changed:
		return peer.ErrUnknown
	}
}

// send queues a message to another member. If the queue is full the message is
// dropped; the consensus sends again what is needed.
func (n *Node) send(m quorum.Message) {
	if l := n.links.get(memberName(m.To)); l != nil {
		l.outbox.Offer(m)
	}
}

// maxBatchMessages limits the messages in one call of Quorum.Step.
const maxBatchMessages = 64

// runOutbox sends the queued messages of a link, in batches, until the node or
// the link stops.
func (n *Node) runOutbox(l *link) {
	for {
		select {
		case <-n.stop:
			return
		case <-l.stop:
			return
		case m := <-l.outbox.Out():
			batch := takeBatch(m, l.outbox)
			timeout := 2 * n.config.Timing.Election
			if err := l.client.Call("Quorum.Step", StepArgs{Messages: batch, Address: n.config.Address}, &StepReply{}, timeout); err != nil {
				n.config.Counters.Add("quorum_calls_failed", 1)
				n.pause(n.config.Timing.Heartbeat)
			}
		}
	}
}

// takeBatch returns first and the messages that are already queued, up to
// maxBatchMessages.
func takeBatch(first quorum.Message, outbox *queue.Queue[quorum.Message]) []quorum.Message {
	batch := []quorum.Message{first}
	for len(batch) < maxBatchMessages {
		select {
		case m := <-outbox.Out():
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// pause waits for d. It returns false if the node stops first.
func (n *Node) pause(d time.Duration) bool { return wait.For(d, n.stop) }

const (
	// leaderRequestTimeout limits one attempt to propose a command or to confirm
	// the newest revision.
	leaderRequestTimeout = 2 * time.Second
	proposeRetryPause    = 25 * time.Millisecond
	// leaderWaitTimeout is how long Propose and Confirm retry without a leader. It is
	// long enough for an election; after it, the operator of an isolated replica
	// can try another replica.
	leaderWaitTimeout = 1500 * time.Millisecond
)

// Propose proposes a command through the leader and returns its outcome. It may
// be called on any replica, and retries until deadline. A command with a request
// ID that has been decided already returns the first outcome.
//
// The error is ErrDiskFull or ErrNoLeader if the command was not accepted, and
// ErrUnknown if it may have been.
func (n *Node) Propose(c ledger.Command, deadline time.Time) (ledger.Outcome, error) {
	unknown := false
	start := n.config.Clock()
	for {
		out, err := n.proposeOnce(c)
		if err == nil || isPermanent(err) {
			return out, err
		}
		unknown = unknown || mayBeAccepted(err)
		if n.Leader() == "" && n.config.Clock().Sub(start) > leaderWaitTimeout {
			break
		}
		if n.config.Clock().Add(proposeRetryPause).After(deadline) || !n.pause(proposeRetryPause) {
			break
		}
	}
	if unknown {
		return ledger.Outcome{}, ErrUnknown
	}
	return ledger.Outcome{}, ErrNoLeader
}

// proposeOnce makes one attempt of Propose.
func (n *Node) proposeOnce(c ledger.Command) (ledger.Outcome, error) {
	leader, changed := n.currentLeader()
	if leader == n.config.Name {
		return n.proposeLocally(c)
	}
	client := n.links.client(leader)
	if client == nil {
		return ledger.Outcome{}, ErrNoLeader
	}
	var reply ProposeReply
	if err := n.callLeader(client, changed, "Source.Propose", ProposeArgs{Command: c}, &reply); err != nil {
		return ledger.Outcome{}, err
	}
	return reply.Outcome, reply.Code.err()
}

// proposeLocally proposes a command on this replica. The error is ErrNoLeader if
// it does not lead.
func (n *Node) proposeLocally(c ledger.Command) (ledger.Outcome, error) {
	return n.submitProposal(proposal{command: c})
}

// submitProposal queues p for the consensus goroutine, which may change it at any time
// from then on, and waits for its outcome. It sets p.done.
func (n *Node) submitProposal(p proposal) (ledger.Outcome, error) {
	done := make(chan proposeResult, 1)
	p.done = done
	start, kind := n.config.Clock(), proposalKind(p.command)
	defer func() {
		n.config.Counters.Observe("proposal", "kind", kind, n.config.Clock().Sub(start))
	}()
	if !n.consensus.inputs.Offer(input{propose: &p}) {
		return ledger.Outcome{}, ErrBusy
	}
	t := time.NewTimer(leaderRequestTimeout)
	defer t.Stop()
	select {
	case r := <-done:
		return r.outcome, r.err
	case <-t.C:
	case <-n.stop:
	}
	return ledger.Outcome{}, ErrUnknown
}

// Latest returns the newest accepted revision, which a quorum confirms after the
// call began. Concurrent calls share a confirmation. Any error means that it could not
// be confirmed.
func (n *Node) Latest() (config.Revision, error) {
	confirmed, err := n.confirmations.do(n.confirmLatest)
	return confirmed.revision, err
}

// confirmLatest returns the newest accepted revision, confirmed by a quorum for this
// call alone.
func (n *Node) confirmLatest() (confirmedRead, error) { return n.confirm(false) }

// confirm is confirmLatest. A patient call takes up to a heartbeat longer and makes the
// leader send no additional messages to the other replicas.
func (n *Node) confirm(patient bool) (confirmedRead, error) {
	leader, changed := n.currentLeader()
	if leader == n.config.Name {
		return n.latestLocally(patient)
	}
	client := n.links.client(leader)
	if client == nil {
		return confirmedRead{}, feed.ErrUnconfirmed
	}
	var reply LatestReply
	err := n.callLeader(client, changed, "Source.Latest", feed.LatestArgs{Host: n.config.Name, Patient: patient}, &reply)
	if err != nil {
		return confirmedRead{}, feed.ErrUnconfirmed
	}
	return confirmedRead{revision: reply.Revision, applied: reply.Applied}, nil
}

// latestLocally is confirm on this replica, which must lead.
func (n *Node) latestLocally(patient bool) (confirmedRead, error) {
	done := make(chan readResult, 1)
	if !n.consensus.inputs.Offer(input{read: &readRequest{done: done, patient: patient}}) {
		return confirmedRead{}, ErrBusy
	}
	t := time.NewTimer(leaderRequestTimeout)
	defer t.Stop()
	select {
	case r := <-done:
		return r.confirmedRead, r.err
	case <-t.C:
	case <-n.stop:
	}
	return confirmedRead{}, feed.ErrUnconfirmed
}

// inspect calls f in the consensus goroutine, so that f reads a consistent state,
// and returns its result. It returns the zero value and false if the input queue is
// full or the node stops; in the latter case f may still be called, so f must not
// write to variables of the caller.
func inspect[T any](n *Node, f func(*consensus) T) (T, bool) {
	var none T
	result := make(chan T, 1)
	if !n.consensus.inputs.Offer(input{inspect: func(c *consensus) { result <- f(c) }}) {
		return none, false
	}
	select {
	case r := <-result:
		return r, true
	case <-n.stop:
		return none, false
	}
}
