package quorum

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Member is one replica of the group. An ID belongs to one data folder. A
// replica that lost its folder joins under a new ID, because it no longer knows
// which votes it granted and which entries it acknowledged.
type Member struct {
	ID    string
	Voter bool // False for a learner, which receives the log but does not vote and does not count towards a quorum.
	// Address is where other replicas connect to this one. It may be empty if
	// they know it from elsewhere.
	Address string `json:",omitempty"`
}

// Errors of Propose and ProposeMembers, to be tested with errors.Is.
var (
	ErrNotLeader     = errs.New("quorum: not the leader")
	ErrChangePending = errs.New("quorum: the previous member change or the first entry of the term is not committed yet")
	ErrNotCaughtUp   = errs.New("quorum: the new voter has not synced all committed entries")
)

// memberList is a member list and the index of the entry that set it, so that
// it can be reverted when the entry is truncated. The index is 0 for the
// initial list.
type memberList struct {
	index   Index
	members []Member
}

// Members returns a copy of the member list in force. A list takes effect when
// its entry is appended, not when it is committed.
func (c *Core) Members() []Member {
	return slices.Clone(c.members())
}

// members returns the member list in force. The caller must not change it.
func (c *Core) members() []Member {
	return c.memberLists[len(c.memberLists)-1].members
}

// voters returns the IDs of the voters in force, in the order of the member
// list.
func (c *Core) voters() []string {
	var ids []string
	for _, m := range c.members() {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Core) isVoter(id string) bool {
	return hasVoter(c.members(), id)
}

// isMember reports whether the member list in force has a voter or learner with
// the given ID.
func (c *Core) isMember(id string) bool {
	return slices.ContainsFunc(c.members(), func(m Member) bool { return m.ID == id })
}

func hasVoter(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && m.Voter })
}

// MembersVersion returns a number that rises whenever the member list may have
// changed. It is at least 1 and starts anew in each run of the replica.
func (c *Core) MembersVersion() uint64 { return c.membersVersion }

// LastReply returns when the last reply of the member with the given ID arrived.
// It returns the zero time if this replica does not lead or knows no such
// member.
func (c *Core) LastReply(id string) time.Time {
	if p := c.progress[id]; p != nil {
		return p.lastReply
	}
	return time.Time{}
}

// quorumSize returns the number of voters that make a majority.
func (c *Core) quorumSize() int {
	return len(c.voters())/2 + 1
}

// ProposeMembers appends an entry that replaces the member list, and returns
// its index. The new list may differ from the one in force by at most one
// voter. It returns ErrNotLeader if this replica does not lead,
// ErrChangePending if the previous change is not committed or nothing is
// committed in the current term yet, and ErrNotCaughtUp if the new voter has
// not synced all committed entries.
func (c *Core) ProposeMembers(next []Member) (Index, error) {
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if c.memberLists[len(c.memberLists)-1].index > c.commit || !c.hasCommittedInTerm() {
		return 0, ErrChangePending
	}
	if err := c.checkMembersChange(next); err != nil {
		return 0, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, errs.New("quorum: encode member list: %v", err)
	}
	return c.appendEntry(EntryMembers, data), nil
}

// checkMembersChange returns an error if next differs from the list in force by
// more than one voter, or if a new voter has not synced all committed entries.
func (c *Core) checkMembersChange(next []Member) error {
	changedVoters := 0
	for _, m := range next {
		if !m.Voter || c.isVoter(m.ID) {
			continue
		}
		changedVoters++
		p := c.progress[m.ID]
		if p == nil || p.match < c.commit {
			return ErrNotCaughtUp
		}
	}
	for _, id := range c.voters() {
		if !hasVoter(next, id) {
			changedVoters++
		}
	}
	if changedVoters > 1 {
		return errs.New("quorum: a member change may add or remove one voter, this one changes %d", changedVoters)
	}
	return nil
}

// activateMembers puts the member list of an appended entry in force. An entry
// that cannot be decoded is ignored. The result depends on the entry alone, so
// replicas of the same build ignore the same entries.
func (c *Core) activateMembers(e Entry) {
	var members []Member
	if json.Unmarshal(e.Data, &members) != nil {
		return
	}
	c.memberLists = append(c.memberLists, memberList{index: e.Index, members: members})
	c.updateProgress()
}

// revertMembers removes the member lists of truncated entries, which are those
// at index from and later.
func (c *Core) revertMembers(from Index) {
	for len(c.memberLists) > 1 && c.memberLists[len(c.memberLists)-1].index >= from {
		c.memberLists = c.memberLists[:len(c.memberLists)-1]
	}
	c.updateProgress()
}

// updateProgress counts a change of the member list. On a leader it also adds
// and removes progress records, so that there is one for each member.
func (c *Core) updateProgress() {
	c.membersVersion++
	if c.role != RoleLeader {
		return
	}
	known := map[string]bool{}
	for _, m := range c.members() {
		known[m.ID] = true
		if c.progress[m.ID] == nil {
			c.progress[m.ID] = &progress{next: c.log.last() + 1}
		}
	}
	for id := range c.progress {
		if !known[id] {
			delete(c.progress, id)
		}
	}
}
