// Package quorum is the consensus core of the source: a replicated log with
// pre-vote, check-quorum, confirmed reads, learners and voter changes one at
// a time.
//
// The core is a pure step function. It reads no clock, draws no random number
// and does no I/O: the present time comes in with each call, and messages,
// records to sync and committed entries come out through TakeOutput. A caller must
// sync the records of an Output before it sends that Output's messages.
//
// A Core is not safe for concurrent use; one goroutine owns it.
package quorum

import "time"

// Index is a position in the log; the first entry has index 1.
type Index uint64

// Term counts elections.
type Term uint64

// EntryKind tells what an entry carries.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNormal  EntryKind = iota // A command of the state machine.
	EntryEmpty                    // The first entry of a leader's term.
	EntryMembers                  // A new member list.
)

// Entry is one record of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica must sync before it answers a message.
type HardState struct {
	Term Term
	Vote string
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members []Member
	Data    []byte
}

// MessageKind names the messages between replicas.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
)

// Message is exchanged between replicas. Loss, repetition and reordering of
// messages do no harm.
type Message struct {
	Kind     MessageKind
	From     string
	To       string
	Term     Term
	LogIndex Index // The entry before Entries, or the last entry of a candidate.
	LogTerm  Term
	Entries  []Entry
	Commit   Index
	Reject   bool
	Hint     Index  // On a rejected append: the last index worth trying.
	Round    uint64 // Numbers the leader's rounds, for confirmed reads.
	Snapshot *Snapshot
}

// Output is what a caller must do after one or more steps: sync Hard, Install
// and Append, in this order, then send Messages, then apply Committed and
// answer Reads.
type Output struct {
	Hard      *HardState
	Install   *Snapshot
	Append    []Entry // The first index replaces that entry and all later ones.
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// ReadResult ends a read begun with Core.Read.
type ReadResult struct {
	ID    uint64
	Index Index // Reads see everything up to here.
	OK    bool  // False if the replica lost its leadership first.
}

// Config describes a replica. Heartbeat and Election must be positive and
// Election several times Heartbeat.
type Config struct {
	ID        string
	Heartbeat time.Duration // Time between the leader's rounds.
	Election  time.Duration // Shortest silence before an election; also the leader's lease.
	BatchSize int           // Most entries in one append; 0 means 256.
}

// Role is what a replica is at the moment.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "follower"
	}
}
