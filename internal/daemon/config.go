// Package daemon runs the process beside an upstream: the entry for callers,
// the gate of the upstream, and a relay of configuration and directory.
package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// Addresses are those that a daemon listens on, each an IP number and a port.
type Addresses struct {
	Outbound string // Calls from callers; empty if an adapter serves them.
	Inbound  string // Calls from other daemons.
	Peer     string // Control messages of other processes.
	Local    string // Announcements, counters and events.
}

// Config describes a Daemon. Host, Zone, Listen and Sources are required.
type Config struct {
	Host      string
	Zone      string
	Listen    Addresses
	Sources   []string // Control addresses of the source's replicas.
	Witnesses []string // Control addresses of daemons that remember this one's floor.
	Shape     directory.Shape
	Claims    Claims
	// Local returns the handler of the local address. Nil means that there is
	// none.
	Local     func(*Daemon) (http.Handler, error)
	DrainTime time.Duration // How long a leaving daemon still takes calls: 3 s.
	// Withdraw is how long before the end of DrainTime the other daemons are told to
	// send the upstreams beside this one no more calls: as long as DrainTime.
	Withdraw time.Duration
	// Upstream is the address of the upstream beside the daemon, if the settings
	// know it. With it, a daemon that was stopped and started in an orderly way
	// goes on with that upstream before it announces itself again.
	Upstream       string
	Clock          func() time.Time
	Random         func() float64 // Random numbers in [0, 1).
	Dial           peer.Dial
	Policy         move.Policy
	ReportInterval time.Duration // Between two reports of evidence on a move: 1 s.
	Retries        caller.RetryPolicy
	Balance        balance.Config // Zone is filled in.
	// CallLog logs calls, and CallID tells what their IDs are. Both may be nil.
	CallLog *logs.Calls
	CallID  func(http.Header) string
	// NewSender and FixedLimit are those of upstream.Config.
	NewSender  func(upstream.Announcement) upstream.Sender
	FixedLimit bool
	Logger     log.Logger
	Events     *event.Ring
	Counters   *count.Set
}

// Claims names the daemons that keep the claims of keyed calls. It must be the
// same in all daemons. Without keepers, no claims are kept.
type Claims struct {
	Replicas   []string      // Their control addresses, in the same order everywhere.
	Lifetime   time.Duration // How long a key is remembered: 1 h.
	FirstStart bool          // Nothing has ever been claimed from these keepers.
}

const defaultLifetime = time.Hour

const defaultDrainTime = 3 * time.Second

func (c Config) withDefaults() Config {
	if c.ReportInterval == 0 {
		c.ReportInterval = defaultReportInterval
	}
	if c.DrainTime == 0 {
		c.DrainTime = defaultDrainTime
	}
	if c.Withdraw == 0 || c.Withdraw > c.DrainTime {
		c.Withdraw = c.DrainTime
	}
	if c.Claims.Lifetime == 0 {
		c.Claims.Lifetime = defaultLifetime
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Counters == nil {
		c.Counters = &count.Set{}
	}
	if c.Events == nil {
		c.Events = event.New(c.Host, c.Zone)
	}
	return c
}
