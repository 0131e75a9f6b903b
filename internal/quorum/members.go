package quorum

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Member is one replica of the group. ID is unique to one data folder: a
// replica that lost its folder comes back under a new ID, because it has
// forgotten what it promised.
type Member struct {
	ID    string
	Voter bool // A learner receives the log but neither votes nor counts.
	// Address is where other replicas call this one, if that is not known by
	// other means.
	Address string `json:",omitempty"`
}

// Errors of a change of members.
var (
	ErrNotLeader     = errs.New("quorum: not the leader")
	ErrChangePending = errs.New("quorum: another change of members is under way")
	ErrNotCaughtUp   = errs.New("quorum: the learner has not synced everything committed")
)

// memberChange remembers where the member list in force came from, so that a
// truncated change can be undone.
type memberChange struct {
	index   Index
	members []Member
}

// Members returns the member list in force.
func (c *Core) Members() []Member {
	return slices.Clone(c.members())
}

func (c *Core) members() []Member {
	return c.changes[len(c.changes)-1].members
}

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

func hasVoter(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && m.Voter })
}

// MembersChange numbers the member lists that were in force in this run of the
// replica.
func (c *Core) MembersChange() uint64 { return c.memberChanges }

// Active returns when a member last answered. Only a leader knows it.
func (c *Core) Active(id string) time.Time {
	if p := c.progress[id]; p != nil {
		return p.active
	}
	return time.Time{}
}

func (c *Core) quorum() int {
	return len(c.voters())/2 + 1
}

// ProposeMembers replaces the member list. It must differ from the list in
// force by at most one voter. A learner becomes a voter only when it has
// synced everything committed.
func (c *Core) ProposeMembers(next []Member) (Index, error) {
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if c.changes[len(c.changes)-1].index > c.commit || !c.committedInTerm() {
		return 0, ErrChangePending
	}
	if err := c.checkMembers(next); err != nil {
		return 0, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, errs.New("quorum: encode members: %v", err)
	}
	return c.appendOwn(EntryMembers, data), nil
}

func (c *Core) checkMembers(next []Member) error {
	changed := 0
	for _, m := range next {
		if !m.Voter || c.isVoter(m.ID) {
			continue
		}
		changed++
		p := c.progress[m.ID]
		if p == nil || p.match < c.commit {
			return ErrNotCaughtUp
		}
	}
	for _, id := range c.voters() {
		if !hasVoter(next, id) {
			changed++
		}
	}
	if changed > 1 {
		return errs.New("quorum: a change may add or remove one voter, this one touches %d", changed)
	}
	return nil
}

// noteMembers puts the member list of an appended entry in force.
func (c *Core) noteMembers(e Entry) {
	var members []Member
	if json.Unmarshal(e.Data, &members) != nil {
		return
	}
	c.changes = append(c.changes, memberChange{index: e.Index, members: members})
	c.trackMembers()
}

// undoMembers takes back member lists whose entries were truncated.
func (c *Core) undoMembers(from Index) {
	for len(c.changes) > 1 && c.changes[len(c.changes)-1].index >= from {
		c.changes = c.changes[:len(c.changes)-1]
	}
	c.trackMembers()
}

// trackMembers keeps one progress record for each other member.
func (c *Core) trackMembers() {
	c.memberChanges++
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
