package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

func newGet(o *options) *cobra.Command {
	expanded := false
	cmd := &cobra.Command{
		Use:   "get [KEY...]",
		Short: "Show the objects in force, or those whose keys begin so",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runGet(cmd, o, args, expanded)
		},
	}
	cmd.Flags().BoolVar(&expanded, "expanded", false, "show the routes that the templates expand to")
	return cmd
}

func runGet(cmd *cobra.Command, o *options, prefixes []string, expanded bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	current, err := client.Configuration(cmd.Context())
	if err != nil {
		return err
	}
	if expanded {
		return printRoutes(cmd.OutOrStdout(), current)
	}
	found := operator.Configuration{Revision: current.Revision, Objects: []operator.Object{}}
	for _, object := range current.Objects {
		if matches(object.Key, prefixes) {
			found.Objects = append(found.Objects, object)
		}
	}
	if o.json {
		return printJSON(cmd.OutOrStdout(), found)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "revision %d\n", found.Revision)
	table(cmd.OutOrStdout(), func(row func(...any)) {
		row("KEY", "REVISION", "BY", "REQUEST", "BODY")
		for _, object := range found.Objects {
			row(object.Key, object.Revision, object.Operator, object.Request, string(object.Body))
		}
	})
	if len(prefixes) > 0 && len(found.Objects) == 0 {
		return withExitCode(exitRejected, errs.New("no object has such a key"))
	}
	return nil
}

// matches reports whether a key has one of the prefixes, or there are none.
func matches(key config.Key, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(string(key), p) {
			return true
		}
	}
	return len(prefixes) == 0
}

// printRoutes prints the routes to which the templates of a configuration expand.
func printRoutes(w io.Writer, current operator.Configuration) error {
	objects := map[config.Key]config.Object{}
	for _, object := range current.Objects {
		objects[object.Key] = object.Object
	}
	var builder expand.Builder
	expanded, err := builder.Build(current.Revision, objects)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "revision %d\n", current.Revision)
	table(w, func(row func(...any)) {
		row("TEAM", "METHOD", "PATH", "SERVICE", "TIMEOUT", "REPEAT", "ROUTE")
		for _, r := range expanded.Routes() {
			repeat := config.RepeatNever
			if r.Retryable() {
				repeat = config.RepeatSafe
			}
			row(r.Team(), r.Method(), r.Path(), r.Service(), r.Timeout(), repeat, r.Name())
		}
	})
	return nil
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show how the source and the fleet are",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			s, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), s)
			}
			printStatus(cmd.OutOrStdout(), s)
			return nil
		},
	}
}

func printStatus(w io.Writer, s operator.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "none is known"
	}
	fmt.Fprintf(w, "source    revision %d, leader %s, term %d, heard of %d ms ago (asked %s, a %s)\n",
		s.Revision, leader, s.Term, s.AgeMillis, s.Replica, s.Role)
	state := "in force on every daemon"
	if !s.Fleet.InForce {
		state = fmt.Sprintf("lowest revision %d, behind: %s", s.Fleet.Low, strings.Join(s.Fleet.Behind, ", "))
	}
	fmt.Fprintf(w, "fleet     %d daemons known, %d reporting; %s\n\n", s.Fleet.Known, s.Fleet.Reporting, state)
	table(w, func(row func(...any)) {
		row("REPLICA", "VOTES", "SYNCED")
		for _, r := range s.Replicas {
			row(r.Name, r.Voter, r.Synced)
		}
	})
	fmt.Fprintln(w)
	table(w, func(row func(...any)) {
		row("SERVICE", "VERSION", "UPSTREAM", "STATE", "HOST", "DATA CENTRE")
		for _, u := range s.Upstreams {
			row(u.Service, u.Version, u.ID, u.State, u.Host, u.Zone)
		}
	})
}

func newMove(o *options) *cobra.Command {
	var to, by, request string
	rollBack := false
	cmd := &cobra.Command{
		Use:   "move SERVICE --to VERSION --by TIME",
		Short: "Move a service's traffic to another version by a time, or take a move back",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if request == "" {
				request = newRequestID()
			}
			if rollBack {
				return runRollBack(cmd, o, args[0], request)
			}
			return runMove(cmd, o, operator.BeginMove{Request: request, Service: args[0], To: to}, by)
		},
	}
	cmd.Flags().StringVar(&to, "to", "", "the version to move to")
	cmd.Flags().StringVar(&by, "by", "", "when to be done: a time as in RFC 3339, or a span from now such as 10m")
	cmd.Flags().StringVar(&request, "request", "", "request id; sent again, it gets the first answer")
	cmd.Flags().BoolVar(&rollBack, "back", false, "take the running move back")
	return cmd
}

// runMove begins a move with the deadline by, which is a time or a duration from
// now.
func runMove(cmd *cobra.Command, o *options, m operator.BeginMove, by string) error {
	if m.To == "" || by == "" {
		return withExitCode(exitUsage, errs.New("a move needs --to and --by, or --back"))
	}
	var err error
	if m.By, err = parseTime(by, time.Now()); err != nil {
		return withExitCode(exitUsage, err)
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	out, err := client.Begin(cmd.Context(), m)
	if err != nil {
		return errs.New("%w (request %s)", err, m.Request)
	}
	return report(cmd, o, out)
}

// runRollBack rolls back the running move of a service.
func runRollBack(cmd *cobra.Command, o *options, service, request string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	out, err := client.RollBack(cmd.Context(), operator.RollBackMove{Request: request, Service: service})
	if err != nil {
		return errs.New("%w (request %s)", err, request)
	}
	return report(cmd, o, out)
}

// parseTime parses a time in RFC 3339 or a duration from now, and returns the
// time in UTC.
func parseTime(text string, now time.Time) (time.Time, error) {
	if delay, err := time.ParseDuration(text); err == nil {
		return now.Add(delay).UTC(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, errs.New("want a time such as 2026-12-04T18:00:00Z or a span such as 10m, got %q", text)
	}
	return t.UTC(), nil
}

func newMoves(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "moves",
		Short: "Show the newest move of each service: running, done or taken back, and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			moves, err := client.Moves(cmd.Context())
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), moves)
			}
			printMoves(cmd.OutOrStdout(), moves)
			return nil
		},
	}
}

func printMoves(w io.Writer, moves []operator.Move) {
	table(w, func(row func(...any)) {
		row("SERVICE", "FROM", "TO", "STATE", "SHARE", "BY", "ENDED", "CALLS", "FAILED", "WHY")
		for _, m := range moves {
			ended := "-"
			if !m.Ended.IsZero() {
				ended = m.Ended.Format(time.RFC3339)
			}
			row(m.Service, m.From, m.To, m.State, fmt.Sprintf("%.1f %%", float64(m.Share)/10),
				m.By.Format(time.RFC3339), ended, m.Touched, m.Failed, m.Reason)
		}
	})
}
