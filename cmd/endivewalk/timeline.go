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

// maxConcurrentFetches is the number of processes whose events are requested
// concurrently.
const maxConcurrentFetches = 32

type timelineFlags struct {
	since     time.Duration // Age of the oldest event.
	term      string        // See matchesTerm.
	maxEvents int           // Only so many events are shown, the newest.
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
	cmd.Flags().StringVar(&f.term, "of", "", "only events of this request, service, upstream, call key, process or revision")
	cmd.Flags().IntVar(&f.maxEvents, "last", 200, "at most so many, the newest")
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
	events, unreachable := fetchEvents(cmd.Context(), client, processes, time.Now().Add(-f.since))
	events = slices.DeleteFunc(events, func(e operator.Event) bool { return !matchesTerm(e, f.term) })
	slices.SortStableFunc(events, func(a, b operator.Event) int { return a.Time.Compare(b.Time) })
	events = events[max(0, len(events)-f.maxEvents):]
	for _, name := range unreachable {
		fmt.Fprintf(os.Stderr, "no events from %s: it does not answer\n", name)
	}
	if o.json {
		return printJSON(cmd.OutOrStdout(), events)
	}
	printEvents(cmd.OutOrStdout(), events)
	return nil
}

// fetchEvents returns the events of all processes since a time, unsorted, and
// the sorted names of those processes that could not be reached.
func fetchEvents(ctx context.Context, client *operator.Client, processes []operator.Process, since time.Time) ([]operator.Event, []string) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	all := []operator.Event{}
	var unreachable []string
	slots := make(chan struct{}, maxConcurrentFetches)
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
				unreachable = append(unreachable, p.Name)
			}
			all = append(all, found...)
		}()
	}
	group.Wait()
	slices.Sort(unreachable)
	return all, unreachable
}

// matchesTerm reports whether an event belongs to the request, process, subject
// or revision that term names. A subject also matches if it is term, a slash and
// anything after it. An empty term matches every event.
func matchesTerm(e operator.Event, term string) bool {
	return term == "" || e.Request == term || e.Process == term || e.Subject == term ||
		strings.HasPrefix(e.Subject, term+"/") || fmt.Sprint(e.Revision) == term
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
