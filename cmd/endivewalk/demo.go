package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/demo"
	"github.com/endivewalk/endivewalk/internal/event"
)

func newDemo(o *options) *cobra.Command {
	seed := uint64(1)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system within this process and show what it does, in under a minute",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDemo(cmd, o, seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", seed, "seed of the calls made")
	return cmd
}

// runDemo runs the demo and prints its progress and summary, or only the summary
// for --json. It returns an error if a check did not hold.
func runDemo(cmd *cobra.Command, o *options, seed uint64) error {
	progressOut := cmd.OutOrStdout()
	if o.json {
		progressOut = io.Discard
	}
	summary, err := demo.Run(cmd.Context(), progressOut, seed)
	if err != nil {
		return withExitCode(exitUnknown, err)
	}
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), summary); err != nil {
			return err
		}
	} else {
		printDemoEvents(cmd.OutOrStdout(), summary.Events)
		fmt.Fprintf(cmd.OutOrStdout(), "\n%d calls, %d answered, %d errors; convergence %.1f ms; newest revision %d\n",
			summary.Calls, summary.Responses, summary.Errors, summary.ConvergenceMS, summary.NewestRevision)
	}
	if !summary.Held() {
		return withExitCode(exitRejected, errs.New("demo: a check did not hold"))
	}
	return nil
}

// demoEventKinds are the kinds of events that are printed after the demo.
var demoEventKinds = map[string]bool{
	"leader": true, "change-accepted": true, "change-conflict": true, "move-accepted": true,
	"step-accepted": true, "brake": true, "daemon-started": true, "daemon-gone": true,
}

func printDemoEvents(w io.Writer, events []event.Event) {
	fmt.Fprintln(w, "\ntime line of all processes (in part):")
	table(w, func(row func(...any)) {
		for _, e := range events {
			if demoEventKinds[e.Kind] {
				row(e.Time.Format("15:04:05.000"), e.Zone, e.Process, e.Kind, e.Subject, e.Text)
			}
		}
	})
}
