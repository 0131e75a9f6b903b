// Command endivewalk runs the processes of the system (source replicas, daemons
// and test upstreams) and is the operators' command line.
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
	exitSuccess  = 0
	exitRejected = 1 // Rejected, a conflict, or a check that failed.
	exitUsage    = 2 // Invalid usage, file or settings.
	exitUnknown  = 3 // The source is unreachable, or the outcome is unknown.
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the exit code.
func (e exitError) Unwrap() error { return e.error }

// withExitCode adds an exit code to an error. It returns nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return exitError{error: err, code: code}
}

// errAlreadyPrinted ends the program without an error message, because the
// command has printed the outcome itself.
var errAlreadyPrinted = errors.New("")

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

// exitCode returns the exit code for the error of a command, which may be nil.
func exitCode(err error) int {
	var c exitError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, operator.ErrUnauthorized), errors.Is(err, operator.ErrDiskFull):
		return exitRejected
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	case errors.Is(err, config.ErrInvalid), errors.Is(err, operator.ErrInvalid):
		return exitUsage
	default:
		return exitUsage
	}
}

// newRoot returns the root command with all subcommands.
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
