// Package daemon runs the process beside the local upstreams. It holds the
// outbound proxy for callers and the inbound proxy of the upstreams, and passes
// configuration and directory on to other daemons.
package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/bootclock"
	"github.com/endivewalk/endivewalk/internal/caller"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quota"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Addresses holds the addresses that a daemon listens on, each an IP address and a
// port.
type Addresses struct {
	Outbound string // Calls from callers. Empty if another package serves callers.
	Inbound  string // Calls from other daemons.
	Peer     string // RPCs from other processes.
	Local    string // Announcements of upstreams, counters and events.
}

// Config configures a Daemon. Host, Zone, Listen and Sources are required. Zero
// fields that name a default get it.
type Config struct {
	Host      string
	Zone      string
	Listen    Addresses
	Sources   []string        // Peer addresses of the source's replicas.
	Witnesses []string        // Peer addresses of the daemons that record this one's minimum revision. See feed.MinRevisionConfig.
	Shape     directory.Shape // Of the distribution tree; the zero value selects the defaults of package directory.
	Claims    Claims
	// NewLocalHandler returns the handler of the local address. If nil, the daemon
	// does not listen there.
	NewLocalHandler func(*Daemon) (http.Handler, error)
	DrainTime       time.Duration // How long a leaving daemon still accepts connections. Default: 3 s.
	// WithdrawTime is how long before the end of DrainTime the directory record asks
	// other daemons to send no more calls to the local upstreams. Default and
	// maximum: DrainTime.
	WithdrawTime time.Duration
	// Upstream is the address of the local upstream, or empty if it is not
	// configured. With it, a daemon that restarts after a graceful shutdown sends
	// calls to that upstream before the upstream announces itself again.
	Upstream string
	Clock    func() time.Time // Default: time.Now.
	// BootClock returns the boot time, by which the freshness of the configuration is
	// checked. Default: bootclock.Now.
	BootClock func() time.Duration
	// KeyValidity is how long after a time at which the configuration in force was
	// certainly the newest accepted one API keys are accepted by it. 0 means no bound.
	KeyValidity    time.Duration
	Random         func() float64 // Random numbers in [0, 1). Default: rand.Float64.
	Dial           peer.Dial
	Policy         move.Policy        // Parameters of the analyzers of the circuit breakers; zero fields get the defaults of package move.
	TeamLimits     quota.Config       // How much of what is tolerated beyond the limits of teams is used.
	ReportInterval time.Duration      // Between two reports of call statistics of a move. Default: 1 s.
	Retries        caller.RetryPolicy // Limits retries; zero fields get the defaults of package caller.
	Balance        balance.Config     // The daemon sets Zone.
	// TeamHeader is the header in which upstreams get the name of the team that makes a
	// call; see caller.Config. Senders of NewSender set it themselves.
	TeamHeader string
	// CallLog logs calls, and CallID returns the ID of a call. Both may be nil.
	CallLog *logs.Calls
	CallID  func(http.Header) string
	// NewSender returns the sender for an announced upstream. Nil means HTTP by
	// net/http. FixedLimit keeps the concurrency limit of each upstream at its
	// announced slots.
	NewSender  func(upstream.Announcement) upstream.Sender
	FixedLimit bool
	// Features are those that the daemon declares. Nil means all of this build; an empty
	// list, which tests use, those of builds before there were any.
	Features []config.Feature
	Logger   log.Logger
	Events   *event.Ring
	Counters *count.Set
}

// Claims configures the claim replicas: the daemons that store the claims of calls
// with an idempotency key. It must be the same in all daemons. Without replicas,
// there are no claims.
type Claims struct {
	Replicas   []string      // Peer addresses, in the same order in all daemons.
	Lifetime   time.Duration // How long a key is remembered. Default: 1 h.
	FirstStart bool          // These replicas have never granted a claim.
}

// defaultClaimLifetime is the default of Claims.Lifetime.
const defaultClaimLifetime = time.Hour

// defaultDrainTime is the default of Config.DrainTime.
const defaultDrainTime = 3 * time.Second

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	if c.ReportInterval == 0 {
		c.ReportInterval = defaultReportInterval
	}
	if c.DrainTime == 0 {
		c.DrainTime = defaultDrainTime
	}
	if c.WithdrawTime == 0 || c.WithdrawTime > c.DrainTime {
		c.WithdrawTime = c.DrainTime
	}
	if c.Claims.Lifetime == 0 {
		c.Claims.Lifetime = defaultClaimLifetime
	}
	if c.Features == nil {
		c.Features = config.Features()
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.BootClock == nil {
		c.BootClock = bootclock.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.CallID == nil {
		c.CallID = func(http.Header) string { return "" }
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
