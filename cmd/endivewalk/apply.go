package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

type applyFlags struct {
	revision int64 // The revision that the change replaces; -1 means the newest.
	request  string
	wait     bool
	timeout  time.Duration
}

func newApply(o *options) *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put the objects of a file in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runApply(cmd, o, f, args[0])
		},
	}
	cmd.Flags().Int64Var(&f.revision, "version", -1, "the revision that the change replaces; without it, the newest one")
	cmd.Flags().StringVar(&f.request, "request", "", "request id; sent again, it gets the first answer")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on every live daemon")
	cmd.Flags().DurationVar(&f.timeout, "timeout", time.Minute, "how long to wait")
	return cmd
}

func runApply(cmd *cobra.Command, o *options, f applyFlags, path string) error {
	document, err := readDocument(path)
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	change := operator.Change{Request: f.request, Put: document.Objects(), Remove: document.Remove}
	if change.Request == "" {
		change.Request = newRequestID()
	}
	if change.Replaces, err = baseRevision(cmd.Context(), client, f.revision); err != nil {
		return err
	}
	out, err := client.Apply(cmd.Context(), change)
	if err != nil {
		return errs.New("%w (request %s)", err, change.Request)
	}
	err = report(cmd, o, out)
	printFaults(document, out.Faults)
	if err == nil && f.wait {
		err = waitInForce(cmd.Context(), client, out.Revision, f.timeout)
	}
	return err
}

// baseRevision returns the revision that a change replaces: revision, or the
// newest revision if that is negative.
func baseRevision(ctx context.Context, client *operator.Client, revision int64) (config.Revision, error) {
	if revision >= 0 {
		return config.Revision(revision), nil
	}
	current, err := client.Configuration(ctx)
	return current.Revision, err
}

// readDocument reads and parses an operators' file.
func readDocument(path string) (*config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, withExitCode(exitUsage, err)
	}
	return config.Parse(path, data)
}

// printFaults prints the faults that the source reported, with their positions
// in the file.
func printFaults(document *config.Document, faults []operator.Fault) {
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, document.Locate(f.Key, f.Path, f.Reason))
	}
}

// statusInterval is the pause between two requests for the fleet's status.
const statusInterval = 50 * time.Millisecond

// waitInForce waits until a revision is in force on every live daemon, and
// prints the progress to standard error. After the timeout it returns an error
// with the exit code for an unknown outcome.
func waitInForce(ctx context.Context, client *operator.Client, r config.Revision, timeout time.Duration) error {
	start := time.Now()
	printed := ""
	for time.Since(start) < timeout && ctx.Err() == nil {
		s, err := client.Status(ctx)
		if err == nil && s.Revision >= r {
			line, done := progress(s.Fleet, r)
			if line != printed {
				fmt.Fprintf(os.Stderr, "%6.2f s  %s\n", time.Since(start).Seconds(), line)
				printed = line
			}
			if done {
				return nil
			}
		}
		time.Sleep(statusInterval)
	}
	return withExitCode(exitUnknown, errs.New("revision %d is accepted, but not known to be in force everywhere after %v", r, timeout))
}

// progress describes how far revision r has been distributed. done means that it
// is in force on every known daemon.
func progress(f operator.FleetStatus, r config.Revision) (line string, done bool) {
	switch {
	case f.Known == 0:
		return "no daemon is known", true
	case f.Reporting < f.Known:
		return fmt.Sprintf("%d of %d daemons have reported", f.Reporting, f.Known), false
	case f.Low < r:
		return fmt.Sprintf("%d daemons, some still have revision %d: %s", f.Known, f.Low, strings.Join(f.Behind, ", ")), false
	default:
		return fmt.Sprintf("in force on all %d daemons", f.Known), true
	}
}

func newCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file, together with what is in force if a source is given",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runCheck(cmd, o, args[0])
		},
	}
}

// runCheck checks the objects of a file. If sources are given, it checks them
// together with the objects in force.
func runCheck(cmd *cobra.Command, o *options, path string) error {
	document, err := readDocument(path)
	if err != nil {
		return err
	}
	objects := map[config.Key]config.Object{}
	if len(o.sources) > 0 {
		if objects, err = objectsInForce(cmd.Context(), o); err != nil {
			return err
		}
	}
	for _, object := range document.Objects() {
		objects[object.Key] = object
	}
	for _, key := range document.Remove {
		delete(objects, key)
	}
	var builder expand.Builder
	expanded, err := builder.Build(0, objects)
	result := checkResult{File: path, Objects: len(document.Objects()), Sound: err == nil, Problems: []config.Problem{}}
	if err == nil {
		result.Routes = len(expanded.Routes())
	}
	if faults, ok := err.(expand.Faults); ok {
		for _, f := range faults {
			result.Problems = append(result.Problems, document.Locate(f.Key, f.Path, f.Reason))
		}
	}
	return result.print(cmd, o)
}

// checkResult is the result of the check command.
type checkResult struct {
	File     string           `json:"file"`
	Objects  int              `json:"objects"`
	Routes   int              `json:"routes"`
	Sound    bool             `json:"sound"`
	Problems []config.Problem `json:"problems"`
}

// print prints the result and returns the error that decides the exit code.
func (r checkResult) print(cmd *cobra.Command, o *options) error {
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), r); err != nil {
			return err
		}
	} else {
		for _, p := range r.Problems {
			fmt.Fprintln(os.Stderr, p)
		}
	}
	switch {
	case !r.Sound && o.json:
		return withExitCode(exitRejected, errAlreadyPrinted)
	case !r.Sound:
		return withExitCode(exitRejected, errs.New("%s: not sound", r.File))
	case !o.json:
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %d objects, %d routes, all sound\n", r.File, r.Objects, r.Routes)
	}
	return nil
}

// objectsInForce returns the objects of the newest configuration, by key.
func objectsInForce(ctx context.Context, o *options) (map[config.Key]config.Object, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	current, err := client.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	objects := map[config.Key]config.Object{}
	for _, object := range current.Objects {
		objects[object.Key] = object.Object
	}
	return objects, nil
}
