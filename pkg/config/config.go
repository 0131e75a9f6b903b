package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// HostRoute routes calls by their Host header and path. Among the routes of a
// host, the one with the longest matching prefix applies.
type HostRoute struct {
	Name      string        `json:"name" jsonc:"required"`
	Host      string        `json:"host" jsonc:"required"`
	Prefix    string        `json:"prefix" jsonc:"required"`   // Path prefix; begins and ends with a slash.
	Repeat    string        `json:"repeat" jsonc:"required"`   // RepeatSafe or RepeatNever.
	Timeout   Duration      `json:"timeout" jsonc:"required"`  // Of a call with all its attempts; positive, at most 10 minutes.
	Objective Duration      `json:"objective,omitempty"`       // Latency objective; 0 means none.
	Priority  int           `json:"priority,omitempty"`        // 0 is the most urgent. Check accepts any value.
	Attempts  int           `json:"attempts" jsonc:"required"` // Maximum per call, at least 1.
	Split     []Destination `json:"split" jsonc:"required"`
	Anonymous bool          `json:"anonymous,omitempty"` // Calls need no API key.
	Bulk      bool          `json:"bulk,omitempty"`      // The responses are large.
}

// Destination is a weighted destination of a route. Service gets the share of
// the route's calls that Weight has of the sum of all weights. Weight is at
// least 0; the weights of a route must not all be 0.
type Destination struct {
	Service string  `json:"service" jsonc:"required"`
	Weight  float64 `json:"weight" jsonc:"required"`
}

// CallerLimits bounds what callers may send, and how long they may take to send
// it. Sizes are in bytes. A zero field means no limit; a negative one is invalid.
type CallerLimits struct {
	HeaderBytes int      `json:"headerBytes,omitempty"`
	BodyBytes   int64    `json:"bodyBytes,omitempty"`
	HeaderTime  Duration `json:"headerTime,omitempty"` // From the first byte to the end of the header.
	IdleTime    Duration `json:"idleTime,omitempty"`   // Between two calls on a connection.
}

// Fleet holds the settings of a Config that apply to the fleet as a whole.
type Fleet struct {
	Version uint64       `json:"version"` // Config.Version.
	Limits  CallerLimits `json:"limits"`
	Keyed   bool         `json:"keyed,omitempty"` // Config.Keyed.
}

// FleetKey is the key of the only Fleet object.
const FleetKey = Key(KindFleet) + "/all"

// Config is a complete configuration, which replaces the previous one as a
// unit. It is the alternative to a Document, which changes single objects.
type Config struct {
	Version  uint64 // Set by the author of the configuration; positive. It is not the Revision, which the source sets.
	Limits   CallerLimits
	Services []Service
	Routes   []HostRoute
	// Keyed means that a call needs the API key of one of Teams, unless its route is
	// Anonymous. Without it, Teams must be empty.
	Keyed bool
	Teams []Team
}

// ErrInvalidConfig is matched, with errors.Is, by every error of Config.Check.
var ErrInvalidConfig = errs.New("config: the configuration is not sound")

// maxTimeout is the longest timeout that a HostRoute may have.
const maxTimeout = 10 * time.Minute

// Check checks the configuration and its routes and services against each
// other. If there are faults, it returns an error that matches ErrInvalidConfig
// and names the place and the reason of the first one.
func (c Config) Check() error {
	if c.Version == 0 {
		return invalidConfig("version", "want a positive number")
	}
	if err := c.Limits.check("limits"); err != nil {
		return err
	}
	if !c.Keyed && len(c.Teams) > 0 {
		return invalidConfig("teams", "a configuration that is not keyed has teams")
	}
	if err := checkTeams(c.Teams); err != nil {
		return err
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		place := fmt.Sprintf("services[%d]", i)
		if err := s.check(place); err != nil {
			return err
		}
		if services[s.Name] {
			return invalidConfig(place, "name %q stands twice", s.Name)
		}
		services[s.Name] = true
	}
	routeNames := map[Key]string{}
	for i, r := range c.Routes {
		place := fmt.Sprintf("routes[%d] (%s)", i, r.Name)
		if err := r.check(place); err != nil {
			return err
		}
		for _, d := range r.Split {
			if !services[d.Service] {
				return invalidConfig(place, "service %q does not exist", d.Service)
			}
		}
		if other, ok := routeNames[r.Key()]; ok {
			return invalidConfig(place, "host %q and prefix %q are those of route %s", r.Host, r.Prefix, other)
		}
		routeNames[r.Key()] = r.Name
	}
	return nil
}

// Check checks the object by itself: its body must be the canonical form of a
// value of its key, and a Fleet, Service or HostRoute must have valid values.
// References to other objects are not checked. The error matches
// ErrInvalidConfig.
func (o Object) Check() error {
	place := string(o.Key)
	value, err := o.Value()
	if err != nil {
		return errs.Combine(ErrInvalidConfig, err)
	}
	canonical, err := MakeObject(value)
	if err != nil {
		return errs.Combine(ErrInvalidConfig, err)
	}
	if canonical.Key != o.Key || string(canonical.Body) != string(o.Body) {
		return invalidConfig(place, "the body is not in its canonical form")
	}
	switch v := value.(type) {
	case Fleet:
		return v.Limits.check(place)
	case Service:
		return v.check(place)
	case HostRoute:
		return v.check(place)
	case Team:
		return v.check(place)
	default:
		return nil
	}
}

func (l CallerLimits) check(place string) error {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTime < 0 || l.IdleTime < 0 {
		return invalidConfig(place, "a limit is negative")
	}
	return nil
}

func (s Service) check(place string) error {
	switch {
	case !ValidName(s.Name):
		return invalidConfig(place, "name %q is invalid", s.Name)
	case s.Version != "" && !ValidName(s.Version):
		return invalidConfig(place, "version %q is invalid", s.Version)
	case s.Deadline != DeadlineFinish && s.Deadline != DeadlineRollBack:
		return invalidConfig(place, "deadline: want %q or %q, got %q", DeadlineFinish, DeadlineRollBack, s.Deadline)
	case s.Connections < 0:
		return invalidConfig(place, "connections is negative")
	case s.ColdTime < 0 || !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 1):
		return invalidConfig(place, "coldTime or coldRate is negative or no number")
	default:
		return nil
	}
}

// check checks the route by itself; the services of its destinations need not
// exist.
func (r HostRoute) check(place string) error {
	switch {
	case r.Host == "":
		return invalidConfig(place, "host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalidConfig(place, "prefix %q does not begin and end with a slash", r.Prefix)
	case r.Repeat != RepeatSafe && r.Repeat != RepeatNever:
		return invalidConfig(place, "repeat: want %q or %q, got %q", RepeatSafe, RepeatNever, r.Repeat)
	case r.Timeout <= 0 || time.Duration(r.Timeout) > maxTimeout:
		return invalidConfig(place, "timeout: want more than 0 and at most %v, got %v", maxTimeout, time.Duration(r.Timeout))
	case r.Objective < 0:
		return invalidConfig(place, "objective is negative")
	case r.Attempts < 1:
		return invalidConfig(place, "attempts: want at least 1, got %d", r.Attempts)
	case len(r.Split) == 0:
		return invalidConfig(place, "the route has no service")
	}
	sum := 0.0
	for _, d := range r.Split {
		if !(d.Weight >= 0) {
			return invalidConfig(place, "weight of %q is negative or no number", d.Service)
		}
		sum += d.Weight
	}
	if sum <= 0 || math.IsInf(sum, 1) {
		return invalidConfig(place, "the weights add up to 0 or to more than a number can hold")
	}
	return nil
}

func invalidConfig(place, format string, args ...any) error {
	return errs.Combine(ErrInvalidConfig, errs.New("%s: %s", place, fmt.Sprintf(format, args...)))
}

// Key returns the key of the route's object. Two routes have the same key if
// and only if they have the same host and prefix, apart from collisions of the
// 64-bit hash that it is made of.
func (r HostRoute) Key() Key {
	return MakeKey(KindRoute, strconv.FormatUint(xxh3.HashString(r.Host+"\x00"+r.Prefix), 16))
}

// Objects returns the objects of the configuration, sorted by key: one Fleet,
// and one object for each service, route and team. It does not check the
// configuration; see Check.
func (c Config) Objects() ([]Object, error) {
	all := make([]Object, 0, len(c.Routes)+len(c.Services)+len(c.Teams)+1)
	add := func(value any) error {
		o, err := MakeObject(value)
		all = append(all, o)
		return err
	}
	err := add(Fleet{Version: c.Version, Limits: c.Limits, Keyed: c.Keyed})
	for _, t := range c.Teams {
		err = errs.Combine(err, add(t))
	}
	for _, s := range c.Services {
		err = errs.Combine(err, add(s))
	}
	for _, r := range c.Routes {
		err = errs.Combine(err, add(r))
	}
	slices.SortFunc(all, func(a, b Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return all, err
}
