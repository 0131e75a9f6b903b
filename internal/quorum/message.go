// Package quorum implements the Raft consensus of the source replicas: a
// replicated log with pre-vote, check-quorum, linearizable reads, learners and
// membership changes of one voter at a time.
//
// Core is a deterministic step function. It reads no clock, draws no random
// numbers and does no I/O. The current time is a parameter of each call.
// Messages to send, records to sync and committed entries are returned by
// TakeOutput. The caller must sync the records of an Output before it sends
// that Output's messages.
//
// A Core is not safe for concurrent use; one goroutine owns it.
package quorum

import "time"

// Index is a position in the log; the first entry has index 1.
type Index uint64

// Term is the number of an election period. Each term has at most one leader.
type Term uint64

// EntryKind is the type of an entry's content. Its values are stored in the
// log.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNormal  EntryKind = iota // A command of the replicated state machine.
	EntryEmpty                    // An entry without data, the first one of a leader's term.
	EntryMembers                  // A new member list in JSON.
)

// Entry is one record of the log. Its fields are stored and sent under their Go
// names.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that a replica must sync before it replies to a
// message. The zero value is that of a new replica.
type HardState struct {
	Term Term
	Vote string // The ID of the candidate that got this replica's vote in Term, or "".
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   Index
	Term    Term     // The term of the entry at Index.
	Members []Member // The member list in force at Index.
	Data    []byte   // The state of the replicated state machine after Index.
}

// MessageKind is the type of a message between replicas. Its values are sent
// between replicas.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend      // Also serves as the heartbeat.
	MessageAppendReply // Replies to MessageAppend and MessageSnapshot.
	MessageSnapshot
)

// Message is sent from one replica to another. Messages may be lost, duplicated
// or reordered without harm. Its fields are sent under their Go names.
type Message struct {
	Kind MessageKind
	From string // The sender's ID.
	To   string // The receiver's ID.
	Term Term
	// LogIndex is the index before Entries on an append and the candidate's
	// last index on a vote request. On an append reply it is the last matching
	// index or, if rejected, the LogIndex of the append.
	LogIndex Index
	LogTerm  Term // The term of the entry at LogIndex.
	Entries  []Entry
	Commit   Index  // The leader's commit index.
	Reject   bool   // On a reply: the request was not accepted.
	Hint     Index  // On a rejected append: the last index that may match the leader's log.
	Round    uint64 // The leader's round, which the reply returns. It confirms pending reads.
	Snapshot *Snapshot
}

// Output is what a caller must do after one or more steps: sync Hard,
// InstallSnapshot and Append, then send Messages, then apply Committed and
// complete Reads. Append follows InstallSnapshot.
type Output struct {
	Hard            *HardState // nil if unchanged.
	InstallSnapshot *Snapshot  // A snapshot that replaces the log and the applied state, or nil.
	Append          []Entry    // The first entry replaces the one at its index and all later ones.
	Messages        []Message
	Committed       []Entry // Entries to apply, in the order of their indexes.
	Reads           []ReadResult
}

// ReadResult is the result of a read started with Core.Read.
type ReadResult struct {
	ID    uint64 // The ID given to Core.Read.
	Index Index  // The read may be served once everything up to Index is applied.
	OK    bool   // False if this replica did not lead, lost leadership, or had committed nothing in its term yet.
}

// Config configures a replica. Heartbeat and Election must be positive, and
// Election must be several times Heartbeat.
type Config struct {
	ID        string        // Unique in the group; see Member.
	Heartbeat time.Duration // The interval between the leader's rounds.
	Election  time.Duration // The minimum election timeout; also the time without a quorum after which a leader steps down.
	BatchSize int           // The maximum number of entries in one append; 0 means 256.
}

// Role is the part that a replica currently has in its term. The zero value is
// RoleFollower.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

// String returns the role in lower case, and "follower" for an unknown value.
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
