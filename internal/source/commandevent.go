package source

import (
	"fmt"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// describeCommand returns the event kind of a command and the service that it
// affects, or "" for changes of the configuration.
func describeCommand(c ledger.Command) (kind, subject string) {
	switch {
	case c.Begin != nil:
		return "move", c.Begin.Service
	case c.Step != nil:
		return "step", c.Step.Service
	default:
		return "change", ""
	}
}

// proposalKind returns the kind of a command, as a label of metrics.
func proposalKind(c ledger.Command) string {
	switch {
	case c.Retire != nil:
		return "retire"
	case c.Replace != nil:
		return "replace"
	default:
		kind, _ := describeCommand(c)
		return kind
	}
}

// stepText returns the event text of a step of a move.
func stepText(s *ledger.MoveStep) string {
	switch s.State {
	case config.MoveDone:
		return "done: " + s.Reason
	case config.MoveRolledBack:
		return "taken back: " + s.Reason
	default:
		return fmt.Sprintf("share %.1f %%: %s", float64(s.Share)/10, s.Reason)
	}
}
