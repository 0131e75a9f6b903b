// Package upstream is a daemon's inbound side. It registers the local upstreams,
// which announce themselves to the daemon, and admits, queues and forwards each
// call to them.
package upstream

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors that callers test with errors.Is.
var (
	ErrInvalid         = errs.New("upstream: invalid announcement")
	ErrUnknownUpstream = errs.New("upstream: no such upstream has announced itself here")
	// ErrStopping means that the daemon is about to stop and accepts no more
	// changes to its upstreams.
	ErrStopping = errs.New("upstream: the daemon is about to stop")
)

// Announcement is an upstream's description of itself. It must be renewed before
// its lease ends.
type Announcement struct {
	ID          string          `json:"id" jsonc:"required"`
	Service     string          `json:"service" jsonc:"required"`
	Version     string          `json:"version" jsonc:"required"`
	Address     string          `json:"address" jsonc:"required"`     // IP address and port.
	Slots       int             `json:"slots" jsonc:"required"`       // Calls that the upstream executes concurrently.
	Connections int             `json:"connections" jsonc:"required"` // Largest number of connections to the upstream.
	Lease       config.Duration `json:"lease" jsonc:"required"`       // Time until the announcement must be renewed.
	// Start is when the upstream started, in milliseconds since 1970; 0 if it does not
	// say. An announcement that was sent before the upstream drained or left, and that
	// arrives later, can then be distinguished from one of its next start.
	Start int64 `json:"start,omitempty"`
}

// Bounds of Announcement.Lease.
const (
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Check validates the announcement. The error matches ErrInvalid and names the
// invalid field.
func (a Announcement) Check() error {
	if err := a.directoryUpstream(time.Time{}, false).Check(); err != nil {
		return errs.Combine(ErrInvalid, err)
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return errs.Combine(ErrInvalid, errs.New("address: want an IP number and a port, got %q", a.Address))
	}
	if a.Start < 0 {
		return errs.Combine(ErrInvalid, errs.New("start: want milliseconds since 1970, got %d", a.Start))
	}
	if l := time.Duration(a.Lease); l < minLease || l > maxLease {
		return errs.Combine(ErrInvalid, errs.New("lease: want %v to %v, got %v", minLease, maxLease, l))
	}
	return nil
}

// directoryUpstream returns the upstream's entry in the daemon's directory record.
func (a Announcement) directoryUpstream(startTime time.Time, draining bool) directory.Upstream {
	u := directory.Upstream{
		ID: a.ID, Service: a.Service, Version: a.Version,
		Slots: a.Slots, Connections: a.Connections, Since: startTime,
	}
	if draining {
		u.State = directory.StateDraining
	}
	return u
}

// registration is one upstream that has announced itself or was resumed.
// Proxy.mutex guards the fields; the scheduler has a lock of its own.
type registration struct {
	announcement Announcement
	// startTime is when the upstream started or was first announced.
	startTime   time.Time
	leaseExpiry time.Time
	draining    bool
	// resumed means that the upstream is known from the daemon's previous
	// incarnation only: it has not announced itself to this one yet.
	resumed     bool
	recorded    bool // The source has recorded the upstream's retirement.
	unconfirmed bool // It is not known yet whether the upstream has retired.
	incarnation Incarnation
	scheduler   *scheduler
	sender      Sender
}

// Config describes a Proxy. Clock, Counters and Events are required.
type Config struct {
	Clock    func() time.Time
	Counters *count.Set
	Events   *event.Ring
	// OnChange is called after the set of upstreams or the state of one changed,
	// without a lock held. It may be nil.
	OnChange func()
	// NewSender returns the Sender for an upstream; the proxy closes it. Nil means
	// HTTP with the system's own Endivewalk-* headers.
	NewSender func(Announcement) Sender
	CallLog   *logs.Calls // Nil means that calls are not logged.
	// CallID returns the ID of a call for the log. Nil means that calls have no
	// ID.
	CallID func(http.Header) string
	// FixedLimit keeps the concurrency limit of each upstream at its slots.
	// Otherwise the limit is lowered while calls take long, which suits upstreams
	// whose calls take similar times.
	FixedLimit bool
	// IsService reports whether the configuration in force has a service. An announcement
	// for a service that it does not have must not end an upstream of one that it has. Nil
	// means that all services exist. It is called with a lock held.
	IsService func(name string) bool
	// Table returns the configuration in force, which says whether calls need API keys. Nil
	// means that they do not.
	Table func() *expand.Table
	// KeysValid reports whether that was the newest configuration recently enough to accept
	// and refuse API keys by it. Nil means that it always was.
	KeysValid func() bool
	// AwaitRetirements lets calls to upstreams wait until SetRetirements or
	// ReleaseAnnouncements is called: until then it is not known whether an announcement
	// is a late one of an upstream that has left. Announcements without a Start are not
	// affected.
	AwaitRetirements bool
}

// Proxy is the inbound proxy of a daemon: it keeps the registry of the local
// upstreams and admits, queues and forwards each call to them. It is safe for
// concurrent use. Create one with New. Its metrics are named gate_*.
type Proxy struct {
	config    Config
	mutex     sync.Mutex
	upstreams map[string]*registration
	ended     map[string]endedUpstream // By upstream ID.
	stopping  bool
	refusing  atomic.Bool // RefuseCalls was called.
	// awaitsRetirements is set until SetRetirements or ReleaseAnnouncements, which close
	// retirementsKnown.
	awaitsRetirements bool
	retirementsKnown  chan struct{}
}

// New returns a proxy without upstreams.
func New(c Config) *Proxy {
	if c.CallID == nil {
		c.CallID = func(http.Header) string { return "" }
	}
	if c.IsService == nil {
		c.IsService = func(string) bool { return true }
	}
	if c.NewSender == nil {
		c.NewSender = newHTTPSender
	}
	if c.KeysValid == nil {
		c.KeysValid = func() bool { return true }
	}
	return &Proxy{
		config: c, upstreams: map[string]*registration{}, ended: map[string]endedUpstream{},
		awaitsRetirements: c.AwaitRetirements, retirementsKnown: make(chan struct{}),
	}
}

// Announce adds an upstream or renews its lease. An announcement that differs from
// the last one, or that follows Drain, replaces the registration: running calls go
// on, queued calls are rejected. With the Start of an upstream that has drained or
// left, it does not: it only renews the lease of the former and is ErrStale for the
// latter. The error is ErrStopping, ErrStale or matches ErrInvalid.
func (p *Proxy) Announce(now time.Time, a Announcement) error {
	if a.Start == 0 || a.Check() != nil {
		err := p.announce(now, now, a)
		p.confirm(a.ID) // No retirement binds it.
		return err
	}
	incarnation := Incarnation{Start: a.Start}
	p.mutex.Lock()
	e, ended := p.ended[a.ID]
	stale := ended && !e.precedes(incarnation)
	r := p.upstreams[a.ID]
	drained := r != nil && r.draining && !r.resumed && a.Start <= r.announcement.Start
	if drained {
		r.leaseExpiry = now.Add(time.Duration(a.Lease))
	}
	p.mutex.Unlock()
	if stale {
		p.config.Counters.Add("announcements_stale", 1)
		return ErrStale
	}
	if drained {
		return nil
	}
	return p.announce(now, incarnation.startTime(now), a)
}

// confirm lets an upstream get calls before SetRetirements.
func (p *Proxy) confirm(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r := p.upstreams[id]; r != nil {
		r.unconfirmed = false
	}
}

// announce is Announce for an upstream that started at startTime. A registration
// that is renewed unchanged keeps its start time.
func (p *Proxy) announce(now, startTime time.Time, a Announcement) error {
	if err := a.Check(); err != nil {
		p.config.Counters.Add("announcements_refused", 1)
		return err
	}
	p.config.Counters.Add("announcements", 1)
	p.mutex.Lock()
	if p.stopping {
		p.mutex.Unlock()
		return ErrStopping
	}
	r := p.upstreams[a.ID]
	changed := r == nil || r.announcement != a || r.draining
	if changed {
		if r != nil {
			p.closeRegistration(r)
		}
		r = &registration{announcement: a, incarnation: Incarnation{Start: a.Start}, unconfirmed: p.awaitsRetirements, startTime: startTime, scheduler: newScheduler(a.Slots), sender: p.config.NewSender(a)}
		r.scheduler.queue.limiter.fixed = p.config.FixedLimit
		p.upstreams[a.ID] = r
	}
	r.leaseExpiry = now.Add(time.Duration(a.Lease))
	p.mutex.Unlock()
	if changed {
		p.recordChange(now, "announced", a, "announced itself")
	}
	return nil
}

// Drain stops new calls to an upstream and rejects its queued calls; running calls
// go on. The error is ErrUnknownUpstream or ErrStopping.
func (p *Proxy) Drain(now time.Time, id string) error {
	p.mutex.Lock()
	if p.stopping {
		p.mutex.Unlock()
		return ErrStopping
	}
	r := p.upstreams[id]
	if r == nil {
		p.mutex.Unlock()
		return ErrUnknownUpstream
	}
	changed := !r.draining
	r.draining = true
	r.scheduler.drain(false)
	p.mutex.Unlock()
	if changed {
		p.recordChange(now, "draining", r.announcement, "takes no new work")
	}
	return nil
}

// RefuseCalls makes Do reject further calls as not executed, with reason draining. Calls that
// wait for a slot go on.
func (p *Proxy) RefuseCalls() { p.refusing.Store(true) }

// StopAnnouncements makes Announce, Heartbeat, Drain and Leave fail with
// ErrStopping, so that the daemon's final directory record stays correct until the
// daemon stops.
func (p *Proxy) StopAnnouncements() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopping = true
}

// Remove removes an upstream. Running calls go on; queued calls are rejected. The
// error is ErrUnknownUpstream or ErrStopping.
func (p *Proxy) Remove(now time.Time, id string) error {
	p.mutex.Lock()
	if p.stopping {
		p.mutex.Unlock()
		return ErrStopping
	}
	r := p.upstreams[id]
	if r == nil {
		p.mutex.Unlock()
		return ErrUnknownUpstream
	}
	r.draining = true // It has left: an announcement of the same start is a late one.
	p.endUpstream(now, id, r, r.mayReturn())
	p.mutex.Unlock()
	p.recordChange(now, "left", r.announcement, "left")
	return nil
}

// closeRegistration rejects new and queued calls of a registration that is being
// removed; running calls go on. The caller must hold p.mutex.
func (p *Proxy) closeRegistration(r *registration) {
	r.scheduler.drain(true)
	r.sender.Close()
}

// Expire removes the upstreams whose leases have ended. Call it periodically.
func (p *Proxy) Expire(now time.Time) {
	p.mutex.Lock()
	p.pruneEnded(now)
	var expired []Announcement
	for id, r := range p.upstreams {
		if now.After(r.leaseExpiry) {
			p.endUpstream(now, id, r, r.mayReturn())
			expired = append(expired, r.announcement)
		}
	}
	p.mutex.Unlock()
	for _, a := range expired {
		p.config.Counters.Add("leases_expired", 1)
		p.recordChange(now, "expired", a, "did not renew its lease")
	}
}

// recordChange adds an event about an upstream and calls OnChange. The caller must
// not hold p.mutex.
func (p *Proxy) recordChange(now time.Time, kind string, a Announcement, text string) {
	p.config.Events.Add(now, event.Event{
		Kind: "upstream-" + kind, Subject: a.Service + "/" + a.ID,
		Text: a.ID + " (" + a.Service + " " + a.Version + ") " + text,
	})
	if p.config.OnChange != nil {
		p.config.OnChange()
	}
}

// Upstreams returns the upstreams for the daemon's directory record, sorted by ID.
func (p *Proxy) Upstreams() []directory.Upstream {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []directory.Upstream
	for _, r := range p.upstreams {
		all = append(all, r.announcement.directoryUpstream(r.startTime, r.draining))
	}
	sortByID(all)
	return all
}

// Idle reports whether no upstream has running or queued calls.
func (p *Proxy) Idle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, r := range p.upstreams {
		if !r.scheduler.idle() {
			return false
		}
	}
	return true
}

// Loads returns the current load of each upstream, by upstream ID.
func (p *Proxy) Loads() map[string]call.Load {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	loads := map[string]call.Load{}
	for id, r := range p.upstreams {
		loads[id] = r.scheduler.Load()
	}
	return loads
}

// lookup returns the registration of an upstream, or nil.
func (p *Proxy) lookup(id string) *registration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.upstreams[id]
}
