package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/experiment"
)

func newExperiment(o *options) *cobra.Command {
	var c experiment.Config
	var only string
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Try the decision on moves over kinds of fault, seeds and policies",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			start := time.Now()
			if c.Cells = experiment.CellsNamed(only); len(c.Cells) == 0 {
				return withExitCode(exitUsage, errs.New("--only: no cell's name holds %q", only))
			}
			results := experiment.Run(c)
			if o.json {
				return printJSON(cmd.OutOrStdout(), results)
			}
			printExperiment(cmd.OutOrStdout(), results)
			fmt.Fprintf(cmd.OutOrStdout(), "\nseeds %d to %d, %.0f s\n", c.FirstSeed, c.FirstSeed+uint64(c.Seeds)-1, time.Since(start).Seconds())
			return nil
		},
	}
	cmd.Flags().IntVar(&c.Seeds, "seeds", 100, "runs of each cell and policy")
	cmd.Flags().Uint64Var(&c.FirstSeed, "first", 0, "the first seed")
	cmd.Flags().DurationVar(&c.Window, "window", 10*time.Minute, "time of each move")
	cmd.Flags().StringVar(&only, "only", "", "only cells whose names hold this text")
	return cmd
}

// printExperiment prints a table of the results and a bar for each of them.
func printExperiment(w io.Writer, results []experiment.Result) {
	table(w, func(row func(...any)) {
		row("CELL", "DECISION", "POLICY", "DONE", "TAKEN BACK", "RIGHT", "TOUCHED", "AT MOST", "SECONDS", "")
		for _, r := range results {
			short := ""
			if r.Decider == "judge" && r.MissesTarget() {
				short = "SHORT"
			}
			seconds := "-"
			if r.RolledBack > 0 {
				seconds = fmt.Sprintf("%.1f", r.RollBackSeconds)
			}
			row(r.Cell, r.Decider, r.Policy, r.Done, r.RolledBack, fmt.Sprintf("%.0f %%", 100*r.CorrectFraction()),
				fmt.Sprintf("%.3f %%", 100*r.Touched), fmt.Sprintf("%.3f %%", 100*r.TouchedMax), seconds, short)
		}
	})
	fmt.Fprintln(w, "\npart of the runs that ended as they should:")
	table(w, func(row func(...any)) {
		for _, r := range results {
			const width = 40
			filled := int(r.CorrectFraction() * width)
			row(r.Cell, r.Decider, r.Policy, strings.Repeat("#", filled)+strings.Repeat(".", width-filled))
		}
	})
}
