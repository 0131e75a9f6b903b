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

func runDemo(cmd *cobra.Command, o *options, seed uint64) error {
	told := cmd.OutOrStdout()
	if o.json {
		told = io.Discard
	}
	summary, err := demo.Run(cmd.Context(), told, seed)
	if err != nil {
		return coded(exitUnknown, err)
	}
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), summary); err != nil {
			return err
		}
	} else {
		printDemoEvents(cmd.OutOrStdout(), summary.Events)
		fmt.Fprintf(cmd.OutOrStdout(), "\n%d calls, %d answered, %d errors; convergence %.1f ms; newest revision %d\n",
			summary.Calls, summary.Answers, summary.Errors, summary.ConvergenceMS, summary.Revisions)
	}
	if !summary.Held() {
		return coded(exitRefused, errs.New("demo: a check did not hold"))
	}
	return nil
}

// demoKinds are the events that tell the story of the demo.
var demoKinds = map[string]bool{
	"leader": true, "change-accepted": true, "change-conflict": true, "move-accepted": true,
	"step-accepted": true, "brake": true, "daemon-started": true, "daemon-gone": true,
}

func printDemoEvents(w io.Writer, events []event.Event) {
	fmt.Fprintln(w, "\ntime line of all processes (in part):")
	table(w, func(row func(...any)) {
		for _, e := range events {
			if demoKinds[e.Kind] {
				row(e.Time.Format("15:04:05.000"), e.Zone, e.Process, e.Kind, e.Subject, e.Text)
			}
		}
	})
}
