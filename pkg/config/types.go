package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Unit defines a unit of the old system in which contracts state their
// limits: what one call of each route costs, and over what time a limit runs.
type Unit struct {
	Name   string         `json:"name" jsonc:"required"`
	Window Duration       `json:"window" jsonc:"required"`
	Costs  map[string]int `json:"costs" jsonc:"required"` // By "template.route".
}

// Template is written once. Its text fields may hold ${name} for each
// declared parameter; each team's Parameters fill them in.
type Template struct {
	Name       string          `json:"name" jsonc:"required"`
	Parameters []string        `json:"parameters,omitempty"`
	Routes     []TemplateRoute `json:"routes" jsonc:"required"`
}

// TemplateRoute is a route before its parameters are filled in.
type TemplateRoute struct {
	Name    string `json:"name" jsonc:"required"`
	Method  string `json:"method" jsonc:"required"`
	Path    string `json:"path" jsonc:"required"` // A prefix, whole segments.
	Service string `json:"service" jsonc:"required"`
	Repeat  string `json:"repeat" jsonc:"required"`  // RepeatSafe or RepeatNever.
	Timeout string `json:"timeout" jsonc:"required"` // A time span.
}

// The values of TemplateRoute.Repeat.
const (
	RepeatSafe  = "safe"  // The call may be run more than once.
	RepeatNever = "never" // The call runs at most once.
)

// Parameters fills in a template for one team.
type Parameters struct {
	Team     string            `json:"team" jsonc:"required"`
	Template string            `json:"template" jsonc:"required"`
	Values   map[string]string `json:"values,omitempty"`
}

// Contract limits a team. Limit is an amount and a unit, as in
// "600 bench-credits"; it holds over the whole fleet, for each window of the
// unit.
type Contract struct {
	Team  string `json:"team" jsonc:"required"`
	Limit string `json:"limit" jsonc:"required"`
}

// Split returns the amount and the unit of the limit.
func (c Contract) Split() (amount int, unit string, err error) {
	number, unit, found := strings.Cut(c.Limit, " ")
	amount, convErr := strconv.Atoi(number)
	if !found || convErr != nil || amount <= 0 || !ValidName(unit) {
		return 0, "", errs.New("want an amount and a unit such as \"600 credits\", got %q", c.Limit)
	}
	return amount, unit, nil
}

// Service is a group of upstreams that routes point at.
type Service struct {
	Name string `json:"name" jsonc:"required"`
	// Version is the version that gets the traffic. After the first time it
	// changes only by a move. If it is empty, the source sets it to the version
	// of the first upstreams that announce themselves.
	Version string `json:"version" jsonc:"required"`
	// Deadline says what to do with a move whose time runs out before the new
	// version is proved: DeadlineFinish or DeadlineRollBack.
	Deadline string `json:"deadline" jsonc:"required"`
	// Connections is how many connections an upstream takes from all callers
	// together; 0 means as many as it announces.
	Connections int `json:"connections,omitempty"`
}

// The values of Service.Deadline.
const (
	DeadlineFinish   = "finish"
	DeadlineRollBack = "takeback"
)

// MoveState is where a move stands.
type MoveState string

// The states of a move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "taken-back"
)

// FullShare is a share of all traffic; shares are counted in thousandths.
const FullShare = 1000

// Move carries a service's traffic from one version to another by a time. The
// source writes it; operators ask for it.
type Move struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Start   time.Time `json:"start"`
	By      time.Time `json:"by"`
	Share   int       `json:"share"` // Of the new version, in thousandths.
	Since   time.Time `json:"since"` // When Share was set.
	State   MoveState `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Ended   time.Time `json:"ended,omitzero"`
	// Touched and Failed count the calls of the new version that are known of
	// at the end of the move, and those of them that failed.
	Touched  int64  `json:"touched"`
	Failed   int64  `json:"failed"`
	Operator string `json:"operator"`
	Request  string `json:"request"`
}
