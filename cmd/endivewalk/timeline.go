package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivewalk/endivewalk/pkg/operator"
)

// fetchesAtOnce bounds how many processes are asked for events at once.
const fetchesAtOnce = 32

type timelineFlags struct {
	since time.Duration
	of    string
	last  int
}

func newTimeline(o *options) *cobra.Command {
	var f timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in one order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runTimeline(cmd, o, f)
		},
	}
	cmd.Flags().DurationVar(&f.since, "since", time.Hour, "how far back")
	cmd.Flags().StringVar(&f.of, "of", "", "only events of this request, service, upstream, call key, process or revision")
	cmd.Flags().IntVar(&f.last, "last", 200, "at most so many, the newest")
	return cmd
}

func runTimeline(cmd *cobra.Command, o *options, f timelineFlags) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	processes, err := client.Processes(cmd.Context())
	if err != nil {
		return err
	}
	events, silent := fetchEvents(cmd.Context(), client, processes, time.Now().Add(-f.since))
	events = slices.DeleteFunc(events, func(e operator.Event) bool { return !concerns(e, f.of) })
	slices.SortStableFunc(events, func(a, b operator.Event) int { return a.Time.Compare(b.Time) })
	events = events[max(0, len(events)-f.last):]
	for _, name := range silent {
		fmt.Fprintf(os.Stderr, "no events from %s: it does not answer\n", name)
	}
	if o.json {
		return printJSON(cmd.OutOrStdout(), events)
	}
	printEvents(cmd.OutOrStdout(), events)
	return nil
}

// fetchEvents asks all processes, a bounded number at once, and returns the
// names of those that do not answer.
func fetchEvents(ctx context.Context, client *operator.Client, processes []operator.Process, since time.Time) ([]operator.Event, []string) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	all := []operator.Event{}
	var silent []string
	slots := make(chan struct{}, fetchesAtOnce)
	for _, p := range processes {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			found, err := client.Events(ctx, p, since)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				silent = append(silent, p.Name)
			}
			all = append(all, found...)
		}()
	}
	group.Wait()
	slices.Sort(silent)
	return all, silent
}

func concerns(e operator.Event, word string) bool {
	return word == "" || e.Request == word || e.Process == word || e.Subject == word ||
		strings.HasPrefix(e.Subject, word+"/") || fmt.Sprint(e.Revision) == word
}

func printEvents(w io.Writer, events []operator.Event) {
	table(w, func(row func(...any)) {
		for _, e := range events {
			revision := ""
			if e.Revision > 0 {
				revision = fmt.Sprintf("revision %d", e.Revision)
			}
			row(e.Time.Format("15:04:05.000"), e.Zone, e.Process, e.Kind, e.Subject, revision, e.Text)
		}
	})
}
