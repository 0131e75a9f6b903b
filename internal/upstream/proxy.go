package upstream

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Errors that callers test with errors.Is.
var (
	ErrInvalid         = errs.New("upstream: invalid announcement")
	ErrUnknownUpstream = errs.New("upstream: no such upstream has announced itself here")
	// ErrStopping means that the daemon is about to stop and takes in nothing more
	// of what upstreams say.
	ErrStopping = errs.New("upstream: the daemon is about to stop")
)

// Announcement is what an upstream says of itself. It has to be renewed before
// the lease ends.
type Announcement struct {
	ID          string          `json:"id" jsonc:"required"`
	Service     string          `json:"service" jsonc:"required"`
	Version     string          `json:"version" jsonc:"required"`
	Address     string          `json:"address" jsonc:"required"` // IP number and port.
	Slots       int             `json:"slots" jsonc:"required"`
	Connections int             `json:"connections" jsonc:"required"`
	Lease       config.Duration `json:"lease" jsonc:"required"`
}

// The spans that a lease may have.
const (
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Check returns an error that says what is wrong, matching ErrInvalid.
func (a Announcement) Check() error {
	if err := a.upstream(time.Time{}, false).Check(); err != nil {
		return errs.Combine(ErrInvalid, err)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errs.Combine(ErrInvalid, errs.New("address: want an IP number and a port, got %q", a.Address))
	}
	if l := time.Duration(a.Lease); l < minLease || l > maxLease {
		return errs.Combine(ErrInvalid, errs.New("lease: want %v to %v, got %v", minLease, maxLease, l))
	}
	return nil
}

func (a Announcement) upstream(since time.Time, draining bool) directory.Upstream {
	u := directory.Upstream{
		ID: a.ID, Service: a.Service, Version: a.Version,
		Slots: a.Slots, Connections: a.Connections, Since: since,
	}
	if draining {
		u.State = directory.StateDraining
	}
	return u
}

// registration is one upstream that has announced itself.
type registration struct {
	announcement Announcement
	since        time.Time
	expiry       time.Time
	draining     bool
	resumed      bool // Known from an earlier life of the daemon only.
	incarnation  Incarnation
	scheduler    *scheduler
	sender       Sender
}

// Config describes a Proxy.
type Config struct {
	Clock    func() time.Time
	Counters *count.Set
	Events   *event.Ring
	// OnChange is called after the set of upstreams changed.
	OnChange func()
	// NewSender returns what sends calls to an upstream. Nil means HTTP with the
	// system's own headers.
	NewSender func(Announcement) Sender
	CallLog   *logs.Calls // Nil means that calls are not logged.
	// CallID returns the ID of a call for the log; nil means that there is none.
	CallID func(http.Header) string
	// FixedLimit keeps the limit of an upstream at its slots. Otherwise it is lowered
	// while calls take long, which suits upstreams whose calls are alike.
	FixedLimit bool
}

// Proxy knows the upstreams beside a daemon, and every call to them passes it.
// It is safe for concurrent use. Make one with New.
type Proxy struct {
	config    Config
	mutex     sync.Mutex
	upstreams map[string]*registration
	ended     map[string]endedUpstream // By upstream ID.
	stopping  bool
}

// New returns a gate that knows no upstream.
func New(c Config) *Proxy {
	if c.CallID == nil {
		c.CallID = func(http.Header) string { return "" }
	}
	if c.NewSender == nil {
		c.NewSender = newHTTPSender
	}
	return &Proxy{config: c, upstreams: map[string]*registration{}, ended: map[string]endedUpstream{}}
}

// Announce takes in an announcement or renews one.
func (g *Proxy) Announce(now time.Time, a Announcement) error { return g.announce(now, now, a) }

// announce takes in an announcement of an upstream that has been there since a
// time.
func (g *Proxy) announce(now, since time.Time, a Announcement) error {
	if err := a.Check(); err != nil {
		g.config.Counters.Add("announcements_refused", 1)
		return err
	}
	g.config.Counters.Add("announcements", 1)
	g.mutex.Lock()
	if g.stopping {
		g.mutex.Unlock()
		return ErrStopping
	}
	e := g.upstreams[a.ID]
	changed := e == nil || e.announcement != a || e.draining
	if changed {
		if e != nil {
			g.close(e)
		}
		e = &registration{announcement: a, since: since, scheduler: newScheduler(a.Slots), sender: g.config.NewSender(a)}
		e.scheduler.queue.limiter.fixed = g.config.FixedLimit
		g.upstreams[a.ID] = e
	}
	e.expiry = now.Add(time.Duration(a.Lease))
	g.mutex.Unlock()
	if changed {
		g.note(now, "announced", a, "announced itself")
	}
	return nil
}

// Drain lets no new call reach an upstream; those that run go on.
func (g *Proxy) Drain(now time.Time, id string) error {
	g.mutex.Lock()
	if g.stopping {
		g.mutex.Unlock()
		return ErrStopping
	}
	e := g.upstreams[id]
	if e == nil {
		g.mutex.Unlock()
		return ErrUnknownUpstream
	}
	changed := !e.draining
	e.draining = true
	e.scheduler.drain(false)
	g.mutex.Unlock()
	if changed {
		g.note(now, "draining", e.announcement, "takes no new work")
	}
	return nil
}

// StopAnnouncements takes in no more announcements, so that what the daemon has said last
// of its upstreams stays true until it stops.
func (g *Proxy) StopAnnouncements() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
}

// Leave takes an upstream out.
func (g *Proxy) Leave(now time.Time, id string) error {
	g.mutex.Lock()
	if g.stopping {
		g.mutex.Unlock()
		return ErrStopping
	}
	e := g.upstreams[id]
	if e == nil {
		g.mutex.Unlock()
		return ErrUnknownUpstream
	}
	delete(g.upstreams, id)
	g.close(e)
	g.mutex.Unlock()
	g.note(now, "left", e.announcement, "left")
	return nil
}

// close lets running calls end and takes no others. The caller holds the lock.
func (g *Proxy) close(e *registration) {
	e.scheduler.drain(true)
	e.sender.Close()
}

// Expire takes out the upstreams whose leases have ended.
func (g *Proxy) Expire(now time.Time) {
	g.mutex.Lock()
	g.forgetEnded(now)
	var late []Announcement
	for id, e := range g.upstreams {
		if now.After(e.expiry) {
			delete(g.upstreams, id)
			g.close(e)
			late = append(late, e.announcement)
		}
	}
	g.mutex.Unlock()
	for _, a := range late {
		g.config.Counters.Add("leases_expired", 1)
		g.note(now, "expired", a, "did not renew its lease")
	}
}

func (g *Proxy) note(now time.Time, kind string, a Announcement, text string) {
	g.config.Events.Add(now, event.Event{
		Kind: "upstream-" + kind, Subject: a.Service + "/" + a.ID,
		Text: a.ID + " (" + a.Service + " " + a.Version + ") " + text,
	})
	if g.config.OnChange != nil {
		g.config.OnChange()
	}
}

// Upstreams returns what the daemon's directory record says, by ID.
func (g *Proxy) Upstreams() []directory.Upstream {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var all []directory.Upstream
	for _, e := range g.upstreams {
		all = append(all, e.announcement.upstream(e.since, e.draining))
	}
	sortUpstreams(all)
	return all
}

// Idle reports whether no call runs or waits at any upstream.
func (g *Proxy) Idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, e := range g.upstreams {
		if !e.scheduler.idle() {
			return false
		}
	}
	return true
}

// Loads returns the load of each upstream by ID.
func (g *Proxy) Loads() map[string]call.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	loads := map[string]call.Load{}
	for id, e := range g.upstreams {
		loads[id] = e.scheduler.Load()
	}
	return loads
}

func (g *Proxy) registration(id string) *registration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.upstreams[id]
}
