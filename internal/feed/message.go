// Package feed distributes configuration and the directory from the source to
// every daemon, and returns acknowledgements, directory records and call
// statistics to the source.
//
// The source replicas and all daemons form a tree. A process that pulls from
// another one is its child; a daemon's parent is a source replica or another
// daemon. Parents serve pulls with Service, daemons pull with Client, and each
// process keeps its state in a Hub. The RPC service is named Feed.
package feed

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// PullArgs asks a parent for everything that is newer than the child's state.
// The parent replies at once if there is something, and otherwise after Wait, or
// when its last contact with the source's leader becomes stale.
type PullArgs struct {
	Host     string
	Have     config.Revision // The revision in force; 0 asks for the full state.
	Digest   catalog.Digest  // Of the catalog in force.
	Instance uint64          // The parent's instance that Index belongs to; 0 at first contact.
	Index    uint64          // The newest of the parent's directory changes that the child has.
	Records  directory.Digest
	Sources  directory.Digest // Of the source replicas that the child knows.
	Wait     time.Duration    // Not negative; the parent bounds it, and a relay may add relayDelay.
	// Zone is the child's data centre if it knows no source replica there, and
	// empty otherwise.
	Zone string
	// Features are those that the child carries out. Older builds send none, and parents of
	// older builds ignore them.
	Features []config.Feature
	// FreshnessAge is the age of the child's freshness (State.FreshAt), or huge if the child
	// has none. It is 0 if the child's configuration has no API keys, and from an older
	// build. A parent with a newer one may reply early for that; one of an older build
	// does not.
	FreshnessAge time.Duration
}

// PullReply holds what is newer than the child's state.
type PullReply struct {
	Delta    *catalog.Delta
	Packed   []byte // The compressed delta, in place of Delta.
	Records  []directory.Record
	Instance uint64           // Of the parent.
	Index    uint64           // The parent's newest directory change.
	Digest   directory.Digest // Of the parent's directory.
	Age      time.Duration    // Time since the last contact with the source's leader.
	Busy     time.Duration    // If positive, the child must wait this long before it asks for the full state again.
	// Sources lists the source replicas if the parent's list differs from the
	// child's.
	Sources []directory.Source
	// Elsewhere means that the child should pull from a source replica of its own
	// data centre, which is among Sources. Configuration and records are left out.
	Elsewhere bool
	// Withheld lists the features of the parent's configuration that the child has not
	// declared. The parent then sends no configuration, and Age and Busy as of a parent
	// without contact to the source, so that children of older builds, which ignore this
	// field, look for another parent and do not take their configuration for the newest.
	Withheld []config.Feature
	// FreshRevision is the parent's revision in force if that has API keys and a known
	// freshness time. It is 0 otherwise, as from an older build: then the reply
	// establishes no freshness.
	FreshRevision config.Revision
	// Fresh is the freshness time of FreshRevision at the parent, less the time at which
	// the pull arrived there. It is negative unless the parent became fresher while the
	// pull waited. An older child ignores it and accepts no API keys by itself.
	Fresh time.Duration
}

// NoticeArgs asks the second parent for its revision. It replies as soon as it
// has a newer one than Have, or after Wait.
type NoticeArgs struct {
	Host string
	Have config.Revision
	Wait time.Duration
	// Features are those of PullArgs.Features.
	Features []config.Feature
}

// NoticeReply holds the second parent's revision in force, or NoticeArgs.Have if the
// caller would not get it.
type NoticeReply struct{ Revision config.Revision }

// ReportArgs reports the state of a child and the daemons below it to its parent.
type ReportArgs struct {
	Host    string
	Leaving bool // The child now pulls from another parent.
	Ack     Ack
	Records []directory.Record
	Reports []callstats.Report
	Zone    string // The sender's data centre, if a source replica reports to another.
}

// ReportReply replies to a report. A call without error means that the report was merged.
// Parents of older builds leave all fields zero.
type ReportReply struct {
	Instance uint64 // Of the parent. Another one has lost the call statistics.
	Partial  bool   // The parent merges partial reports of call statistics.
}

// Ack summarizes which revisions a daemon and the daemons below it have in force.
// The zero value stands for no daemons.
type Ack struct {
	Daemons int             // Number of daemons.
	Low     config.Revision // The lowest revision among them.
	Behind  []string        // Hosts of some of the daemons at Low, at most maxLaggards.
	// Features are those that all of these daemons carry out. A report of an older build
	// has none, so that the daemons below it count as having none.
	Features []config.Feature
}

// maxLaggards is how many of the daemons at the lowest revision an Ack names.
const maxLaggards = 8

// Covers reports whether a tells as much as b, apart from the names of hosts.
func (a Ack) Covers(b Ack) bool {
	return a.Low == b.Low && a.Daemons == b.Daemons && slices.Equal(a.Features, b.Features)
}

// add returns the Ack for the daemons of a and b together.
func (a Ack) add(b Ack) Ack {
	switch {
	case b.Daemons == 0:
		return a
	case a.Daemons == 0:
		return b
	}
	sum := Ack{Daemons: a.Daemons + b.Daemons, Low: min(a.Low, b.Low), Features: config.CommonFeatures(a.Features, b.Features)}
	if a.Low == sum.Low {
		sum.Behind = append(sum.Behind, a.Behind...)
	}
	if b.Low == sum.Low {
		sum.Behind = append(sum.Behind, b.Behind...)
	}
	sum.Behind = sum.Behind[:min(len(sum.Behind), maxLaggards)]
	return sum
}

// LatestArgs asks a source replica for the newest accepted revision. Wait is how long the
// replica may wait until it knows a leader; an older build fails at once without one.
// Patient means that the leader may confirm the revision with its next regular heartbeat;
// one of an older build sends additional ones. Only source replicas ask each other so.
type LatestArgs struct {
	Host    string
	Wait    time.Duration
	Patient bool
}

// LatestReply holds a revision that a quorum of the source has confirmed: it
// includes every change that was accepted before the call. Retired holds the newest
// retirements of the caller's upstreams, all of those before the call included; a
// source of an older build knows none.
type LatestReply struct {
	Revision config.Revision
	Retired  []directory.Retirement
}

// RetireArgs asks a source replica to record the retirement of an upstream beside the
// daemon on Host.
type RetireArgs struct {
	Host       string
	Retirement directory.Retirement
}

// RetireReply is empty. A call without error means that the retirement is recorded.
type RetireReply struct{}

// CompareArgs starts the comparison of two processes' directories. Buckets holds
// the caller's bucket digests, directory.BucketCount in number.
type CompareArgs struct {
	Host    string
	Buckets []directory.Digest
}

// CompareReply holds the indexes of the buckets that differ, and the called
// process's records in them.
type CompareReply struct {
	Differing []int
	Records   []directory.Record
}

// TellArgs sends directory records that the called process lacks.
type TellArgs struct {
	Host    string
	Records []directory.Record
}

// TellReply is empty. A call without error means that the records were merged.
type TellReply struct{}

// Errors of the feed. Callers in the same process test them with errors.Is;
// net/rpc passes on their text only.
var (
	ErrNotSource   = errs.New("feed: only a source replica can tell the newest revision")
	ErrUnconfirmed = errs.New("feed: the source could not confirm its newest revision")
	ErrBadMessage  = errs.New("feed: malformed message")
	ErrNotRecorded = errs.New("feed: the source has not recorded the retirement")
)
