// Command endivewalk runs the processes of the system and is the operators'
// command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// The exit codes, which docs/operate/commands.md explains.
const (
	exitDone    = 0
	exitRefused = 1 // Refused, a conflict, or a check that did not hold.
	exitUsage   = 2 // Bad usage, file or settings.
	exitUnknown = 3 // Not reachable, or the outcome is unknown.
)

// codedError is an error that decides the exit code.
type codedError struct {
	error
	code int
}

// Unwrap returns the error itself.
func (e codedError) Unwrap() error { return e.error }

func coded(code int, err error) error {
	if err == nil {
		return nil
	}
	return codedError{error: err, code: code}
}

// errSilent ends the program without a message: it has been printed already.
var errSilent = errors.New("")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	code := exitCode(err)
	if err != nil && err.Error() != "" {
		fmt.Fprintf(os.Stderr, "endivewalk: %v\n", err)
	}
	os.Exit(code)
}

func exitCode(err error) int {
	var c codedError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, operator.ErrUnauthorized), errors.Is(err, operator.ErrDiskFull):
		return exitRefused
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	case errors.Is(err, config.ErrInvalid), errors.Is(err, operator.ErrInvalid):
		return exitUsage
	default:
		return exitUsage
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "endivewalk",
		Short:         "Configuration distribution for a service mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	o := &options{}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.sources, "sources", envList("ENDIVEWALK_SOURCES"), "operator addresses of the source's replicas (also ENDIVEWALK_SOURCES)")
	flags.StringVar(&o.token, "token", os.Getenv("ENDIVEWALK_TOKEN"), "operator's token (also ENDIVEWALK_TOKEN)")
	flags.BoolVar(&o.json, "json", false, "print JSON")
	root.AddCommand(
		newSource(), newDaemon(), newStandin(), newDemo(o), newToken(o),
		newApply(o), newGet(o), newCheck(o), newStatus(o),
		newMove(o), newMoves(o), newTimeline(o), newExperiment(o),
	)
	return root
}
