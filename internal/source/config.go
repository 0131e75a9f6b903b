// Package source runs one replica of the source: it takes part in the
// consensus on accepted changes, keeps them on disk, hands them to daemons,
// and decides the steps of moves.
package source

import (
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

// Errors that callers test with errors.Is.
var (
	// ErrNoLeader means that no leader could be found; the change was not
	// taken.
	ErrNoLeader = errs.New("source: no leader can be reached")
	// ErrUnknown means that the change may or may not have been accepted. The
	// same request sent again tells which.
	ErrUnknown = errs.New("source: the outcome is unknown; send the same request again")
	// ErrDiskFull means that changes are refused until there is room.
	ErrDiskFull = errs.New("source: the disk has no room for changes")
	// ErrBusy means that the replica has more to do than it can hold; the
	// change was not taken.
	ErrBusy = errs.New("source: too many changes at once")
	// ErrExists means that Init was asked for where the group already exists.
	ErrExists = errs.New("source: the group exists already; start without init and this replica joins it")
)

// Member is a replica of the source as the settings name it.
type Member struct {
	Name    string
	Address string
}

// Config describes a Node.
type Config struct {
	Name    string
	Zone    string
	Listen  string // The address for other processes.
	Address string // Where other replicas call this one; empty means Listen.
	// Members are the replicas of the group or, in an open group, those by which
	// it is found; at the first start they found it.
	Members []Member
	// Voters makes the group an open one, which any replica may join. It is how
	// many voters the group wants; further replicas are learners. 0 means that
	// the members are all there are, and all vote.
	Voters       int
	Disk         disk.Config
	Init         bool // Make a new group if the folder is empty.
	Timing       Timing
	MinFreeBytes uint64                              // Bytes that must be free to take changes.
	FreeBytes    func(folder string) (uint64, error) // nil means the file system's word.
	Clock        func() time.Time                    // nil means time.Now.
	Dial         peer.Dial                           // nil means TCP.
	Fatal        func(error)                         // Called when the process must end.
	Identity     func(name string) (id string)       // Names a new data folder; nil means random.
	Policy       move.Policy
	Logger       log.Logger
	Events       *event.Ring
	Counters     *count.Set
}

// Timing holds the spans of the consensus. Zero fields get defaults that suit
// data centres a few milliseconds apart.
type Timing struct {
	Heartbeat time.Duration // 50 ms
	Election  time.Duration // 400 ms
	Snapshot  int           // Entries between snapshots: 4096
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
	if c.Timing.Snapshot == 0 {
		c.Timing.Snapshot = 4096
	}
	if c.MinFreeBytes == 0 {
		c.MinFreeBytes = 16 << 20
	}
	if c.Clock == nil {
		c.Clock = time.Now
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

// firstIdentity marks the data folders of a group's first start.
const firstIdentity = "first"

func memberID(name, identity string) string { return name + "@" + identity }

// memberName returns the name in the settings of a member of the group.
func memberName(id string) string {
	name, _, _ := strings.Cut(id, "@")
	return name
}

func firstMembers(members []Member) []quorum.Member {
	var all []quorum.Member
	for _, m := range members {
		all = append(all, quorum.Member{ID: memberID(m.Name, firstIdentity), Voter: true, Address: m.Address})
	}
	return all
}
