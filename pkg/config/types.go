package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Unit defines a unit in which contracts state rate limits: what one call of
// each route costs, and the length of the window that a limit applies to.
type Unit struct {
	Name   string         `json:"name" jsonc:"required"`
	Window Duration       `json:"window" jsonc:"required"`
	Costs  map[string]int `json:"costs" jsonc:"required"` // By "template.route"; at least 0.
}

// Template holds routes that several teams share. The path, service and timeout
// of its routes may contain ${name} for each declared parameter; the Parameters
// of a team supply the values.
type Template struct {
	Name       string          `json:"name" jsonc:"required"`
	Parameters []string        `json:"parameters,omitempty"`
	Routes     []TemplateRoute `json:"routes" jsonc:"required"`
}

// TemplateRoute is a route of a template, before the parameters are filled in.
type TemplateRoute struct {
	Name    string `json:"name" jsonc:"required"`
	Method  string `json:"method" jsonc:"required"` // GET, HEAD, POST, PUT, PATCH or DELETE.
	Path    string `json:"path" jsonc:"required"`   // Path prefix; matches whole segments.
	Service string `json:"service" jsonc:"required"`
	Repeat  string `json:"repeat" jsonc:"required"`  // RepeatSafe or RepeatNever.
	Timeout string `json:"timeout" jsonc:"required"` // In the syntax of Duration.
}

// The values of TemplateRoute.Repeat and HostRoute.Repeat.
const (
	RepeatSafe  = "safe"  // A call may be executed more than once.
	RepeatNever = "never" // A call is executed at most once.
)

// Parameters adds the routes of a template for one team.
type Parameters struct {
	Team     string            `json:"team" jsonc:"required"`
	Template string            `json:"template" jsonc:"required"`
	Values   map[string]string `json:"values,omitempty"` // By parameter; exactly the declared ones.
}

// Contract is the rate limit of a team. Limit is an amount and the name of a
// Unit, as in "600 bench-credits". The limit applies to each window of the unit
// and to the whole fleet together.
type Contract struct {
	Team  string `json:"team" jsonc:"required"`
	Limit string `json:"limit" jsonc:"required"`
}

// ParseLimit returns the amount and the unit of the limit. It returns an error
// unless the amount is positive and the unit is a valid name; the unit need not
// exist.
func (c Contract) ParseLimit() (amount int, unit string, err error) {
	number, unit, found := strings.Cut(c.Limit, " ")
	amount, convErr := strconv.Atoi(number)
	if !found || convErr != nil || amount <= 0 || !ValidName(unit) {
		return 0, "", errs.New("want an amount and a unit such as \"600 credits\", got %q", c.Limit)
	}
	return amount, unit, nil
}

// Service is a group of upstreams that routes send calls to.
type Service struct {
	Name string `json:"name" jsonc:"required"`
	// Version is the version that gets the traffic. Once set, it changes only
	// by a move. The key must be given, but may have an empty value: then the
	// source sets it to the version of the first upstreams that announce
	// themselves.
	Version string `json:"version" jsonc:"required"`
	// Deadline says how a move ends whose time runs out before there is enough
	// evidence for the new version: DeadlineFinish or DeadlineRollBack.
	Deadline string `json:"deadline" jsonc:"required"`
	// Connections is the maximum number of connections that one upstream
	// accepts from all callers together; 0 means as many as the upstream
	// announces.
	Connections int `json:"connections,omitempty"`
	// ColdTime is how long an upstream is cold after it starts. While it is cold, it
	// tolerates ColdRate calls per second. 0 means that it tolerates any number.
	ColdTime Duration `json:"coldTime,omitempty"`
	ColdRate float64  `json:"coldRate,omitempty"`
}

// The values of Service.Deadline.
const (
	DeadlineFinish   = "finish"   // All traffic goes to the new version.
	DeadlineRollBack = "takeback" // All traffic goes back to the old version.
)

// MoveState is the state of a move. A move starts as MoveRunning and ends in
// one of the other states.
type MoveState string

// The states of a move.
const (
	MoveRunning    MoveState = "running"    // The old and the new version may get traffic.
	MoveDone       MoveState = "done"       // All traffic goes to the new version.
	MoveRolledBack MoveState = "taken-back" // All traffic goes to the old version.
)

// FullShare is the share of all traffic. Shares are in thousandths.
const FullShare = 1000

// Move is a gradual rollout: it moves a service's traffic from one version to
// another until a deadline. Operators request moves; only the source writes
// them.
type Move struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Start   time.Time `json:"start"`
	By      time.Time `json:"by"`    // Deadline.
	Share   int       `json:"share"` // Of the new version, in thousandths.
	Since   time.Time `json:"since"` // Time when Share was set.
	State   MoveState `json:"state"`
	Reason  string    `json:"reason,omitempty"` // Why the share or the state was set.
	Ended   time.Time `json:"ended,omitzero"`   // Zero while the move is running.
	// Touched and Failed count the calls of the new version, and the failed
	// ones among them, that were known when the source last changed the move.
	Touched  int64  `json:"touched"`
	Failed   int64  `json:"failed"`
	Operator string `json:"operator"` // Who requested the move.
	Request  string `json:"request"`  // Request ID.
}
