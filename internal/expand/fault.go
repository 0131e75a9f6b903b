package expand

import (
	"fmt"
	"strings"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Fault is one reason why a set of objects is invalid. Path is the place within
// the object of Key, or empty.
type Fault struct {
	Key    config.Key `json:"key"`
	Path   string     `json:"path,omitempty"`
	Reason string     `json:"reason"`
}

// String returns the fault as one line, as in "key: path: reason".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Key, f.Path, f.Reason)
}

// Faults is the error of Builder.Build.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
