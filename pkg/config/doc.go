// Package config holds what operators write: units, templates, parameters,
// contracts and services, and the moves of traffic between versions of a
// service.
//
// The types double as the file format and the wire format, so their fields are
// exported. All values are plain data: copying one is safe as long as its maps
// and slices are not changed, and nothing here needs a lock.
package config

import (
	"regexp"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/jsonc"
)

// ErrInvalid is matched, with errors.Is, by the error of Parse.
var ErrInvalid = jsonc.ErrInvalid

// Problem is one fault of an operator's file, with its place.
type Problem = jsonc.Problem

// Problems is every fault of an operator's file.
type Problems = jsonc.Problems

// Revision numbers the accepted changes of a fleet from 1 on, without gaps. A
// revision is never used twice. The zero value means that nothing has been
// accepted yet.
type Revision uint64

// Duration is a time span written as in "250ms" or "10m".
type Duration time.Duration

// UnmarshalText parses a span. Spans must be positive.
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

// MarshalText returns the span in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the span as in "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// ValidName reports whether s may name an object: lower case letters, digits
// and inner hyphens, 64 at most.
func ValidName(s string) bool { return namePattern.MatchString(s) }
