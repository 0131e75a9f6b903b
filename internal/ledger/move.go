package ledger

import (
	"github.com/endivewalk/endivewalk/pkg/config"
)

// begin starts a move with no traffic on the new version yet.
func (s *State) begin(c Command) Outcome {
	b := c.Begin
	service, ok := s.Table().Service(b.Service)
	if !ok {
		return s.refuse(c, "there is no service %q", b.Service)
	}
	if service.Version == "" {
		return s.refuse(c, "service %q has no version to move from yet", b.Service)
	}
	if !config.ValidName(b.To) || b.To == service.Version {
		return s.refuse(c, "%q is no version to move to; the service has %q", b.To, service.Version)
	}
	if !b.By.After(c.At) {
		return s.refuse(c, "the time to finish by, %s, has passed", b.By.UTC().Format("15:04:05"))
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

// step changes the share of a running move or ends it. Taking back is a step
// like any other: a new revision, never a return to an old one.
func (s *State) step(c Command) Outcome {
	st := c.Step
	key := config.MakeKey(config.KindMove, st.Service)
	m, ok := s.Table().Move(st.Service)
	if !ok || m.State != config.MoveRunning {
		return s.refuse(c, "no move of service %q is under way", st.Service)
	}
	if st.Replaces != 0 && st.Replaces != s.catalog.ModRevision(key) {
		return s.conflict(c, key)
	}
	if st.Share < 0 || st.Share > config.FullShare {
		return s.refuse(c, "a share of %d thousandths is out of range", st.Share)
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
	return s.finishMove(c, m)
}

func (s *State) putMove(c Command, m config.Move) Outcome {
	o, err := config.MakeObject(m)
	if err != nil {
		return s.refuse(c, "%v", err)
	}
	return s.accept(c, []config.Object{o}, nil)
}

// finishMove ends a move and gives the service its new version at once.
func (s *State) finishMove(c Command, m config.Move) Outcome {
	service, _ := s.Table().Service(m.Service)
	service.Version = m.To
	moved, err := config.MakeObject(service)
	if err != nil {
		return s.refuse(c, "%v", err)
	}
	ended, err := config.MakeObject(m)
	if err != nil {
		return s.refuse(c, "%v", err)
	}
	return s.accept(c, []config.Object{moved, ended}, nil)
}

// VersionedMove is a move and the revision of its last step.
type VersionedMove struct {
	config.Move
	Revision config.Revision `json:"revision"`
}
