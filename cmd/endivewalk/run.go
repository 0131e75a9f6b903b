package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/httpapi"
	"github.com/endivewalk/endivewalk/internal/localhttp"
	"github.com/endivewalk/endivewalk/internal/operatorhttp"
	"github.com/endivewalk/endivewalk/internal/settings"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/internal/standin"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// leaveTimeout bounds how long a process that stops waits for running calls.
const leaveTimeout = 30 * time.Second

// newLogger returns a logger that writes to standard error in logfmt. It may be
// used concurrently.
func newLogger(process string) kitlog.Logger {
	logger := kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(os.Stderr))
	return kitlog.With(logger, "at", kitlog.DefaultTimestampUTC, "process", process)
}

func newSource() *cobra.Command {
	var path string
	initialise := false
	cmd := &cobra.Command{
		Use:   "source --settings FILE",
		Short: "Run a replica of the source",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSource(cmd.Context(), path, initialise)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	cmd.Flags().BoolVar(&initialise, "init", false, "make a new group if the data folder is empty; only for the first start of all replicas")
	cmd.MarkFlagRequired("settings")
	return cmd
}

// runSource runs a replica until ctx is done.
func runSource(ctx context.Context, path string, initialise bool) error {
	s, err := settings.ReadSource(path)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	logger := newLogger(s.Name)
	counters := &count.Set{}
	events := event.New(s.Name, s.Zone)
	node, err := source.Start(source.Config{
		Name: s.Name, Zone: s.Zone, Listen: s.Peer, Founders: consensusMembers(s), Init: initialise,
		Disk:         disk.Config{Folder: s.Folder},
		Timing:       source.Timing{Heartbeat: time.Duration(s.Timing.HeartbeatInterval), Election: time.Duration(s.Timing.ElectionTimeout), SnapshotEntries: s.Timing.SnapshotEntries},
		MinFreeBytes: uint64(s.MinFreeBytes), Logger: logger, Events: events, Counters: counters,
		Fatal: func(error) { os.Exit(exitUnknown) },
	})
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	defer node.Stop()
	handler, err := operatorhttp.New(operatorhttp.Config{
		Node: node, Tokens: tokenHashes(s), Sources: replicaProcesses(s), Clock: time.Now, Events: events, Counters: counters,
	})
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	listener, err := net.Listen("tcp", s.Operator)
	if err != nil {
		return withExitCode(exitUsage, errs.New("source: %v", err))
	}
	go server.Serve(listener)
	logger.Log("msg", "serves", "peer", s.Peer, "operator", s.Operator, "folder", s.Folder)
	<-ctx.Done()
	logger.Log("msg", "stops")
	return server.Close()
}

// consensusMembers returns the members of the consensus group: all replicas of
// the settings, this one included.
func consensusMembers(s *settings.Source) []source.Member {
	var all []source.Member
	for _, r := range s.Sources {
		all = append(all, source.Member{Name: r.Name, Address: r.Peer})
	}
	return all
}

// tokenHashes returns the operators by the hashes of their tokens.
func tokenHashes(s *settings.Source) httpapi.Tokens {
	all := httpapi.Tokens{}
	for _, t := range s.Tokens {
		all[t.SHA256] = t.Operator
	}
	return all
}

// replicaProcesses returns the replicas as processes of the system, with their
// operator addresses.
func replicaProcesses(s *settings.Source) []operator.Process {
	var all []operator.Process
	for _, r := range s.Sources {
		all = append(all, operator.Process{Name: r.Name, Role: "source", Zone: r.Zone, Address: r.Operator})
	}
	return all
}

func newDaemon() *cobra.Command {
	var path string
	var firstStart bool
	cmd := &cobra.Command{
		Use:   "daemon --settings FILE",
		Short: "Run the daemon beside an upstream",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDaemon(cmd.Context(), path, firstStart)
		},
	}
	cmd.Flags().BoolVar(&firstStart, "first-claims", false, "no keyed call was ever served with these keepers of claims")
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	cmd.MarkFlagRequired("settings")
	return cmd
}

// runDaemon runs a daemon until ctx is done, and then stops it gracefully.
// firstStart means that nothing was ever claimed from the claim replicas.
func runDaemon(ctx context.Context, path string, firstStart bool) error {
	s, err := settings.ReadDaemon(path)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	logger := newLogger(s.Name)
	d, err := daemon.Start(daemon.Config{
		Host: s.Name, Zone: s.Zone, Sources: s.Sources, Witnesses: s.Witnesses,
		Claims:          daemon.Claims{Replicas: s.Claims.Replicas, Lifetime: time.Duration(s.Claims.Lifetime), FirstStart: firstStart},
		DrainTime:       time.Duration(s.DrainTime),
		Listen:          daemon.Addresses{Outbound: s.Outbound, Inbound: s.Inbound, Peer: s.Peer, Local: s.Local},
		NewLocalHandler: localhttp.ForDaemon,
		Shape:           directory.Shape{Relays: s.Tree.Relays, Fanout: s.Tree.Fanout},
		Logger:          logger,
	})
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	logger.Log("msg", "serves", "caller", s.Outbound, "gate", s.Inbound, "peer", s.Peer, "local", s.Local)
	<-ctx.Done()
	logger.Log("msg", "leaves")
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.Leave(leaveCtx); err != nil {
		return withExitCode(exitUnknown, errs.New("daemon: calls were still running: %v", err))
	}
	logger.Log("msg", "has left")
	return nil
}

func newStandin() *cobra.Command {
	c := standin.Config{Clock: time.Now, Random: rand.Float64}
	cmd := &cobra.Command{
		Use:   "standin --service NAME --version NAME --address IP:PORT --daemon IP:PORT",
		Short: "Run a small upstream for trying the system out",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandin(cmd.Context(), c)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.ID, "id", "", "its name; without it, service and version")
	f.StringVar(&c.Service, "service", "", "service")
	f.StringVar(&c.Version, "version", "", "version")
	f.StringVar(&c.Address, "address", "", "where it serves")
	f.StringVar(&c.Daemon, "daemon", "", "local address of the daemon beside it")
	f.IntVar(&c.Slots, "slots", 9, "calls that run at once")
	f.IntVar(&c.Connections, "connections", 110, "connections that it accepts")
	f.DurationVar(&c.Work, "work", 2*time.Millisecond, "mean time of a call")
	f.DurationVar(&c.ColdFor, "cold-for", 0, "how long it is slow after its start")
	f.Float64Var(&c.ColdFactor, "cold-factor", 5, "how much slower it is then")
	f.DurationVar(&c.Lease, "lease", 2*time.Second, "lease of its announcements")
	f.DurationVar(&c.Lag, "lag", 0, "how old its health and load reports are")
	f.BoolVar(&c.Mislead, "mislead", false, "its reports always show an idle, healthy upstream")
	for _, name := range []string{"service", "version", "address"} {
		cmd.MarkFlagRequired(name)
	}
	return cmd
}

// runStandin runs a test upstream until ctx is done, and then stops it
// gracefully.
func runStandin(ctx context.Context, c standin.Config) error {
	s, err := standin.Start(c)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	logger := newLogger("standin")
	logger.Log("msg", "serves", "service", c.Service, "version", c.Version, "address", s.Address())
	<-ctx.Done()
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return s.Leave(leaveCtx)
}
