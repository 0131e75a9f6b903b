package ledger

import (
	"github.com/endivewalk/endivewalk/pkg/config"
)

// applyBegin starts a move. The new version gets no traffic yet. A running move
// of the same service is a conflict.
func (s *State) applyBegin(c Command) Outcome {
	b := c.Begin
	service, ok := s.Table().Service(b.Service)
	if !ok {
		return s.reject(c, "there is no service %q", b.Service)
	}
	if service.Version == "" {
		return s.reject(c, "service %q has no version to move from yet", b.Service)
	}
	if !config.ValidName(b.To) || b.To == service.Version {
		return s.reject(c, "%q is no version to move to; the service has %q", b.To, service.Version)
	}
	if !b.By.After(c.At) {
		return s.reject(c, "the time to finish by, %s, has passed", b.By.UTC().Format("15:04:05"))
	}
	if m, ok := s.Table().Move(b.Service); ok && m.State == config.MoveRunning {
		return s.conflict(c, config.MakeKey(config.KindMove, b.Service))
	}
	m := config.Move{
		Service: b.Service, From: service.Version, To: b.To,
		Start: c.At, By: b.By, Since: c.At, State: config.MoveRunning,
		Operator: c.Operator, Request: c.Request,
	}
	return s.putMove(c, m)
}

// applyStep changes the share of a running move or ends it. A rollback is a
// step like any other: it makes a new revision and never restores an old one.
func (s *State) applyStep(c Command) Outcome {
	st := c.Step
	key := config.MakeKey(config.KindMove, st.Service)
	m, ok := s.Table().Move(st.Service)
	if !ok || m.State != config.MoveRunning {
		return s.reject(c, "no move of service %q is under way", st.Service)
	}
	if st.Replaces != 0 && st.Replaces != s.catalog.ModRevision(key) {
		return s.conflict(c, key)
	}
	if st.Share < 0 || st.Share > config.FullShare {
		return s.reject(c, "a share of %d thousandths is out of range", st.Share)
	}
	if st.Share != m.Share {
		m.Since = c.At
	}
	m.Share = st.Share
	m.State = st.State
	m.Reason = st.Reason
	m.Touched = st.Touched
	m.Failed = st.Failed
	if m.State == config.MoveRunning {
		return s.putMove(c, m)
	}
	m.Ended = c.At
	if m.State == config.MoveRolledBack {
		m.Share = 0
		return s.putMove(c, m)
	}
	m.Share = config.FullShare
	return s.completeMove(c, m)
}

// putMove commits the changed move m as the next revision.
func (s *State) putMove(c Command, m config.Move) Outcome {
	o, err := config.MakeObject(m)
	if err != nil {
		return s.reject(c, "%v", err)
	}
	return s.commitIfValid(c, []config.Object{o}, nil)
}

// completeMove ends move m and sets the service to its new version in the same
// revision.
func (s *State) completeMove(c Command, m config.Move) Outcome {
	service, _ := s.Table().Service(m.Service)
	service.Version = m.To
	serviceObject, err := config.MakeObject(service)
	if err != nil {
		return s.reject(c, "%v", err)
	}
	moveObject, err := config.MakeObject(m)
	if err != nil {
		return s.reject(c, "%v", err)
	}
	return s.commitIfValid(c, []config.Object{serviceObject, moveObject}, nil)
}

// VersionedMove is a move and the revision of its last change.
type VersionedMove struct {
	config.Move
	Revision config.Revision `json:"revision"`
}
