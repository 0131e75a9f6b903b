package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// HostRoute routes calls by their Host header and path. Among the routes of a
// host, the one with the longest prefix applies.
type HostRoute struct {
	Name      string        `json:"name" jsonc:"required"`
	Host      string        `json:"host" jsonc:"required"`
	Prefix    string        `json:"prefix" jsonc:"required"` // Begins and ends with a slash.
	Repeat    string        `json:"repeat" jsonc:"required"` // RepeatSafe or RepeatNever.
	Timeout   Duration      `json:"timeout" jsonc:"required"`
	Objective Duration      `json:"objective,omitempty"` // Latency objective; 0 means none.
	Priority  int           `json:"priority,omitempty"`  // 0 is the most urgent.
	Attempts  int           `json:"attempts" jsonc:"required"`
	Split     []Destination `json:"split" jsonc:"required"`
}

// Destination is the share of a route's calls that a service gets: its weight out of
// the sum of the weights.
type Destination struct {
	Service string  `json:"service" jsonc:"required"`
	Weight  float64 `json:"weight" jsonc:"required"`
}

// CallerLimits bounds what callers may send and how long they may take. Zero
// fields mean no limit.
type CallerLimits struct {
	HeaderBytes int      `json:"headerBytes,omitempty"`
	BodyBytes   int64    `json:"bodyBytes,omitempty"`
	HeaderTime  Duration `json:"headerTime,omitempty"` // From the first byte to the end of the header.
	IdleTime    Duration `json:"idleTime,omitempty"`   // Between two calls on a connection.
}

// Fleet is what a whole configuration says besides its routes and services.
type Fleet struct {
	Version uint64       `json:"version"`
	Limits  CallerLimits `json:"limits"`
}

// FleetKey is the key of the Fleet object.
const FleetKey = Key(KindFleet) + "/all"

// Config is a configuration that replaces another one as a unit.
type Config struct {
	Version  uint64
	Limits   CallerLimits
	Services []Service
	Routes   []HostRoute
}

// ErrInvalidConfig is matched by errors of Config.Check.
var ErrInvalidConfig = errs.New("config: the configuration is not sound")

// maxTimeout is the longest timeout that a route may have.
const maxTimeout = 10 * time.Minute

// Check returns an error that names the place and the reason of the first
// fault, matching ErrInvalidConfig.
func (w Config) Check() error {
	if w.Version == 0 {
		return invalid("version", "want a positive number")
	}
	services := map[string]bool{}
	for i, s := range w.Services {
		place := fmt.Sprintf("services[%d]", i)
		if !ValidName(s.Name) || services[s.Name] {
			return invalid(place, "name %q is invalid or stands twice", s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for i, r := range w.Routes {
		place := fmt.Sprintf("routes[%d] (%s)", i, r.Name)
		if err := r.check(place, services); err != nil {
			return err
		}
		at := r.Host + "\x00" + r.Prefix
		if other, ok := places[at]; ok {
			return invalid(place, "host %q and prefix %q are those of route %s", r.Host, r.Prefix, other)
		}
		places[at] = r.Name
	}
	return nil
}

func (r HostRoute) check(place string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid(place, "host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(place, "prefix %q does not begin and end with a slash", r.Prefix)
	case r.Repeat != RepeatSafe && r.Repeat != RepeatNever:
		return invalid(place, "repeat: want %q or %q, got %q", RepeatSafe, RepeatNever, r.Repeat)
	case r.Timeout <= 0 || time.Duration(r.Timeout) > maxTimeout:
		return invalid(place, "timeout: want more than 0 and at most %v, got %v", maxTimeout, time.Duration(r.Timeout))
	case r.Objective < 0:
		return invalid(place, "objective is negative")
	case r.Attempts < 1:
		return invalid(place, "attempts: want at least 1, got %d", r.Attempts)
	case len(r.Split) == 0:
		return invalid(place, "the route has no service")
	}
	sum := 0.0
	for _, p := range r.Split {
		if !services[p.Service] {
			return invalid(place, "service %q does not exist", p.Service)
		}
		if p.Weight < 0 {
			return invalid(place, "weight of %q is negative", p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return invalid(place, "the weights add up to 0")
	}
	return nil
}

func invalid(place, format string, args ...any) error {
	return errs.Combine(ErrInvalidConfig, errs.New("%s: %s", place, fmt.Sprintf(format, args...)))
}

// Key returns the key of the route's object. Routes have the same key exactly
// if they share host and prefix.
func (r HostRoute) Key() Key {
	return MakeKey(KindRoute, strconv.FormatUint(xxh3.HashString(r.Host+"\x00"+r.Prefix), 16))
}

// Objects returns the objects of the configuration, by key.
func (w Config) Objects() ([]Object, error) {
	all := make([]Object, 0, len(w.Routes)+len(w.Services)+1)
	add := func(value any) error {
		o, err := MakeObject(value)
		all = append(all, o)
		return err
	}
	err := add(Fleet{Version: w.Version, Limits: w.Limits})
	for _, s := range w.Services {
		err = errs.Combine(err, add(s))
	}
	for _, r := range w.Routes {
		err = errs.Combine(err, add(r))
	}
	slices.SortFunc(all, func(a, b Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return all, err
}
