// Package feed carries configuration and the directory from the source to
// every daemon, and acknowledgements and evidence back.
//
// The source's replicas and all daemons speak it alike: whoever pulls from a
// process is its child, and a daemon's parent is a source replica or another
// daemon.
package feed

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// PullArgs asks a parent for everything newer than the child has. The parent
// answers at once if there is something, and otherwise after Wait.
type PullArgs struct {
	Host     string
	Have     config.Revision
	Digest   catalog.Digest
	Instance uint64 // The parent's instance that Index was learned from.
	Index    uint64 // Directory changes known of the parent.
	Records  directory.Digest
	Sources  directory.Digest // Of the source's replicas that the child knows.
	Wait     time.Duration
	// Zone is the child's data centre, if it knows no replica of the source
	// there.
	Zone string
}

// PullReply is what a parent has to tell.
type PullReply struct {
	Delta    *catalog.Delta
	Packed   []byte // The delta in its compressed form, in the place of Delta.
	Records  []directory.Record
	Instance uint64
	Index    uint64
	Digest   directory.Digest // Of the parent's directory.
	Age      time.Duration    // How long ago the source's leader was last heard of.
	Busy     time.Duration    // If positive: ask for a whole state again after this.
	// Sources are the source's replicas, if the parent knows others than the
	// child.
	Sources []directory.Source
	// Elsewhere means that the child should ask a replica of its own data
	// centre, which is among Sources, and that nothing else is told.
	Elsewhere bool
}

// NoticeArgs asks a second parent to tell as soon as it has a newer revision
// than Have, or after Wait that it has none.
type NoticeArgs struct {
	Host string
	Have config.Revision
	Wait time.Duration
}

// NoticeReply names the second parent's revision.
type NoticeReply struct{ Revision config.Revision }

// ReportArgs tells a parent about a child and the daemons below it.
type ReportArgs struct {
	Host    string
	Leaving bool // The child pulls from another parent from now on.
	Ack     Ack
	Records []directory.Record
	Reports []callstats.Report
	Zone    string // Of a replica of the source that reports to another.
}

// ReportReply carries nothing; a call without error was taken in.
type ReportReply struct{}

// Ack sums up which revisions a daemon and those below it have in force.
type Ack struct {
	Daemons int
	Low     config.Revision // The lowest among them.
	Behind  []string        // Some of those that have only Low.
}

// maxLaggards is how many laggards an Ack names.
const maxLaggards = 8

// add returns the sum of two acks.
func (a Ack) add(b Ack) Ack {
	switch {
	case b.Daemons == 0:
		return a
	case a.Daemons == 0:
		return b
	}
	sum := Ack{Daemons: a.Daemons + b.Daemons, Low: min(a.Low, b.Low)}
	if a.Low == sum.Low {
		sum.Behind = append(sum.Behind, a.Behind...)
	}
	if b.Low == sum.Low {
		sum.Behind = append(sum.Behind, b.Behind...)
	}
	sum.Behind = sum.Behind[:min(len(sum.Behind), maxLaggards)]
	return sum
}

// LatestArgs asks a source replica for the newest accepted revision.
type LatestArgs struct{ Host string }

// LatestReply is confirmed by a quorum of the source: every change accepted
// before the call is included.
type LatestReply struct{ Revision config.Revision }

// CompareArgs starts an exchange of directory records between two processes
// that may differ.
type CompareArgs struct {
	Host    string
	Buckets []directory.Digest
}

// CompareReply tells which groups of records differ and holds those of the
// process that was asked.
type CompareReply struct {
	Differing []int
	Records   []directory.Record
}

// TellArgs hands over directory records that the other process lacks.
type TellArgs struct {
	Host    string
	Records []directory.Record
}

// TellReply carries nothing; a call without error was taken in.
type TellReply struct{}

// Errors of the feed that callers test with errors.Is.
var (
	ErrNotSource   = errs.New("feed: only a source replica can tell the newest revision")
	ErrUnconfirmed = errs.New("feed: the source could not confirm its newest revision")
	ErrBadMessage  = errs.New("feed: malformed message")
)
