// Package source implements a replica of the source, the group of processes
// that accepts changes of the configuration. A replica agrees with the others
// on a log of commands by Raft (package quorum), stores the log on disk,
// distributes the accepted configuration to daemons and, as the leader, decides
// the steps of moves (gradual rollouts of a version).
package source

import (
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/bootclock"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/internal/quota"
)

// Errors that callers test with errors.Is.
var (
	// ErrNoLeader means that no leader could be reached. The change was not
	// accepted.
	ErrNoLeader = errs.New("source: no leader can be reached")
	// ErrUnknown means that the change may or may not have been accepted.
	// Resending the same request returns its outcome.
	ErrUnknown = errs.New("source: the outcome is unknown; send the same request again")
	// ErrDiskFull means that the leader rejects changes until its disk has
	// Config.MinFreeBytes free.
	ErrDiskFull = errs.New("source: the disk has no room for changes")
	// ErrBusy means that the input queue of the replica is full. The change was
	// not accepted.
	ErrBusy = errs.New("source: too many changes at once")
	// ErrExists means that Config.Init was set although the group already
	// exists.
	ErrExists = errs.New("source: the group exists already; start without init and this replica joins it")
)

// Member names a replica of the source and the address at which other replicas
// call it. It is not a quorum.Member, which is identified by a name and the
// identity of a data folder, and may be a voter.
type Member struct {
	Name    string
	Address string // Host and port.
}

// Config holds the settings of a Node.
type Config struct {
	Name    string // Unique within the group.
	Zone    string // Data centre of the replica.
	Listen  string // Address on which other processes call this one, host and port.
	Address string // Address that other replicas use for this one; empty means Listen.
	// Founders are the first members of the group. In an open group they are
	// also the seeds through which other replicas find it.
	Founders []Member
	// Voters is the wanted number of voters of an open group, which any replica
	// may join; additional replicas are learners. 0 means that the group is
	// closed: it consists of Founders, and all of them vote.
	Voters       int
	Disk         disk.Config
	Init         bool // Create a new group if the data folder is empty and no group exists.
	Timing       Timing
	MinFreeBytes uint64                              // Free disk space needed to accept changes; 0 means 16 MiB.
	FreeBytes    func(folder string) (uint64, error) // Returns the free space in bytes; nil means that of the file system.
	Clock        func() time.Time                    // nil means time.Now.
	BootClock    func() time.Duration                // Of package bootclock; nil means bootclock.Now.
	Dial         peer.Dial                           // nil means TCP.
	Fatal        func(error)                         // Called when the process must exit; nil means panic.
	Identity     func(name string) (id string)       // Returns the identity of a new data folder, a part of the member ID (see memberID); nil means random.
	Policy       move.Policy
	TeamLimits   quota.Config // How much of what is tolerated beyond the limits of teams is used.
	Logger       log.Logger   // nil means no logs.
	Events       *event.Ring  // nil means a ring that only the node uses.
	Counters     *count.Set   // nil means counters that only the node uses.
}

// Timing holds the intervals of the consensus. Zero fields get the defaults
// below, which suit data centres a few milliseconds apart.
type Timing struct {
	Heartbeat       time.Duration // Interval between heartbeats of the leader; default 50 ms.
	Election        time.Duration // Election timeout; default 400 ms.
	SnapshotEntries int           // Number of log entries between snapshots; default 4096.
}

func (c Config) withDefaults() Config {
	if c.Address == "" {
		c.Address = c.Listen
	}
	if c.Timing.Heartbeat == 0 {
		c.Timing.Heartbeat = 50 * time.Millisecond
	}
	if c.Timing.Election == 0 {
		c.Timing.Election = 400 * time.Millisecond
	}
	if c.Timing.SnapshotEntries == 0 {
		c.Timing.SnapshotEntries = 4096
	}
	if c.MinFreeBytes == 0 {
		c.MinFreeBytes = 16 << 20
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.BootClock == nil {
		c.BootClock = bootclock.Now
	}
	if c.FreeBytes == nil {
		c.FreeBytes = freeBytes
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Counters == nil {
		c.Counters = &count.Set{}
	}
	if c.Events == nil {
		c.Events = event.New(c.Name, c.Zone)
	}
	if c.Identity == nil {
		c.Identity = randomIdentity
	}
	if c.Fatal == nil {
		c.Fatal = func(err error) { panic(err) }
	}
	return c
}

// founderIdentity is the identity of data folders that were created together
// with the group. Folders created later get identities from Config.Identity.
const founderIdentity = "first"

// memberID returns the ID of a member in the consensus: its name and the
// identity of its data folder. A replica that lost its folder returns under
// another ID, because its term and vote are lost with the folder.
func memberID(name, identity string) string { return name + "@" + identity }

// memberName returns the name part of a member ID.
func memberName(id string) string {
	name, _, _ := strings.Cut(id, "@")
	return name
}

// founderMembers returns the member list of a new group, in which all members
// vote.
func founderMembers(members []Member) []quorum.Member {
	var all []quorum.Member
	for _, m := range members {
		all = append(all, quorum.Member{ID: memberID(m.Name, founderIdentity), Voter: true, Address: m.Address})
	}
	return all
}
