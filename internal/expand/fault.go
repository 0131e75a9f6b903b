package expand

import (
	"fmt"
	"strings"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Fault is one reason why a set of objects can't be in force. Path is the
// place within the object.
type Fault struct {
	Key    config.Key `json:"key"`
	Path   string     `json:"path,omitempty"`
	Reason string     `json:"reason"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Key, f.Path, f.Reason)
}

// Faults is a list of faults that serves as an error.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
