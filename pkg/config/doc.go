// Package config defines the configuration of a service mesh as operators write
// it: units, templates, parameters, contracts, services, and routes by host. It
// also defines moves, which the source writes while a service's traffic goes
// over to a new version.
//
// Operators write a configuration in one of two forms. A Document puts and
// removes single objects. A Config is complete and replaces the whole
// configuration; it has routes by host and limits of callers, but no templates,
// parameters, units or contracts.
//
// The types are both the file format and the wire format, so their fields are
// exported. All values are plain data without locks: a value may be copied, and
// used concurrently, as long as its maps and slices are not modified.
package config

import (
	"regexp"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/jsonc"
)

// ErrInvalid is matched, with errors.Is, by every error of Parse.
var ErrInvalid = jsonc.ErrInvalid

// Problem is one fault in an operator's file, with the file, line, column and
// path where it was found.
type Problem = jsonc.Problem

// Problems is a list of faults in an operator's file. It is the error type of
// Parse.
type Problems = jsonc.Problems

// Revision numbers the accepted changes of a fleet, starting at 1 and without
// gaps. No revision is used twice. 0 means that no change has been accepted
// yet.
type Revision uint64

// Duration is a time.Duration that is written as text, such as "250ms" or
// "10m".
type Duration time.Duration

// UnmarshalText parses text in the syntax of time.ParseDuration. It returns an
// error and leaves d as it is unless the duration is positive.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return errs.New("want a time span such as \"250ms\", got %q", text)
	}
	if span <= 0 {
		return errs.New("want a positive time span, got %q", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText returns the text that UnmarshalText reads. Like it, MarshalText
// returns an error unless the duration is positive.
func (d Duration) MarshalText() ([]byte, error) {
	if d <= 0 {
		return nil, errs.New("want a positive time span, got %q", d.String())
	}
	return []byte(d.String()), nil
}

// String formats the duration like time.Duration, as in "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// ValidName reports whether s is valid as the name of an object: 1 to 64 lower
// case letters, digits and hyphens, without a hyphen at either end.
func ValidName(s string) bool { return namePattern.MatchString(s) }
