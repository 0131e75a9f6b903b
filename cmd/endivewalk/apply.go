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
	version int64
	request string
	wait    bool
	timeout time.Duration
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
	cmd.Flags().Int64Var(&f.version, "version", -1, "the revision that the change replaces; without it, the newest one")
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
		change.Request = newRequest()
	}
	if change.Replaces, err = replaced(cmd.Context(), client, f.version); err != nil {
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

// replaced returns the revision that a change replaces.
func replaced(ctx context.Context, client *operator.Client, version int64) (config.Revision, error) {
	if version >= 0 {
		return config.Revision(version), nil
	}
	now, err := client.Configuration(ctx)
	return now.Revision, err
}

func readDocument(path string) (*config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, coded(exitUsage, err)
	}
	return config.Parse(path, data)
}

// printFaults gives the faults that the source found their places in the file.
func printFaults(document *config.Document, faults []operator.Fault) {
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, document.Locate(f.Key, f.Path, f.Reason))
	}
}

const waitPause = 50 * time.Millisecond

// waitInForce waits until a revision is in force on every live daemon, and
// shows how far it has come.
func waitInForce(ctx context.Context, client *operator.Client, r config.Revision, timeout time.Duration) error {
	start := time.Now()
	shown := ""
	for time.Since(start) < timeout && ctx.Err() == nil {
		s, err := client.Status(ctx)
		if err == nil && s.Revision >= r {
			line, done := progress(s.Fleet, r)
			if line != shown {
				fmt.Fprintf(os.Stderr, "%6.2f s  %s\n", time.Since(start).Seconds(), line)
				shown = line
			}
			if done {
				return nil
			}
		}
		time.Sleep(waitPause)
	}
	return coded(exitUnknown, errs.New("revision %d is accepted, but not known to be in force everywhere after %v", r, timeout))
}

func progress(f operator.Fleet, r config.Revision) (line string, done bool) {
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

func runCheck(cmd *cobra.Command, o *options, path string) error {
	document, err := readDocument(path)
	if err != nil {
		return err
	}
	objects := map[config.Key]config.Object{}
	if len(o.sources) > 0 {
		if objects, err = inForce(cmd.Context(), o); err != nil {
			return err
		}
	}
	for _, one := range document.Objects() {
		objects[one.Key] = one
	}
	for _, key := range document.Remove {
		delete(objects, key)
	}
	var builder expand.Builder
	built, err := builder.Build(0, objects)
	result := checkResult{File: path, Objects: len(document.Objects()), Sound: err == nil, Problems: []config.Problem{}}
	if err == nil {
		result.Routes = len(built.Routes())
	}
	if faults, ok := err.(expand.Faults); ok {
		for _, f := range faults {
			result.Problems = append(result.Problems, document.Locate(f.Key, f.Path, f.Reason))
		}
	}
	return result.print(cmd, o)
}

// checkResult is what check found.
type checkResult struct {
	File     string           `json:"file"`
	Objects  int              `json:"objects"`
	Routes   int              `json:"routes"`
	Sound    bool             `json:"sound"`
	Problems []config.Problem `json:"problems"`
}

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
		return coded(exitRefused, errSilent)
	case !r.Sound:
		return coded(exitRefused, errs.New("%s: not sound", r.File))
	case !o.json:
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %d objects, %d routes, all sound\n", r.File, r.Objects, r.Routes)
	}
	return nil
}

func inForce(ctx context.Context, o *options) (map[config.Key]config.Object, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	now, err := client.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	objects := map[config.Key]config.Object{}
	for _, one := range now.Objects {
		objects[one.Key] = one.Object
	}
	return objects, nil
}
