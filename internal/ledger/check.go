package ledger

import (
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// ErrInvalid is matched by the errors of Command.Check.
var ErrInvalid = errs.New("ledger: invalid command")

// Check checks what can be decided without the state that the command is applied
// to: each object that it puts, and the state of a step. The leader does not
// append a command that fails the check. The error matches ErrInvalid.
func (c Command) Check() error {
	var put []config.Object
	switch {
	case c.Change != nil:
		put = c.Change.Put
	case c.Replace != nil:
		put = c.Replace.Put
	case c.Step != nil:
		return c.Step.check()
	case c.Retire != nil:
		return c.Retire.check()
	}
	for _, o := range put {
		if err := o.Check(); err != nil {
			return errs.Combine(ErrInvalid, err)
		}
	}
	return nil
}

func (st *MoveStep) check() error {
	switch st.State {
	case config.MoveRunning, config.MoveDone, config.MoveRolledBack:
		return nil
	default:
		return errs.Combine(ErrInvalid, errs.New("a move has no state %q", st.State))
	}
}

// Refuse returns the outcome of a command that fails its Check and is not
// applied: the stored one if the request was decided before, or a refusal, which
// is not stored. It does not change the state.
func (s *State) Refuse(c Command, reason error) Outcome {
	if out, ok := s.PreviousOutcome(c); ok {
		return out
	}
	return s.reject(c, "%v", reason)
}

// checkReplacement returns the faults that a replacement would add to the
// configuration in force, which is valid. It expands only the objects that the
// replacement affects, so that a replica can apply many of them at once. put must
// hold the services with their pinned versions.
func (s *State) checkReplacement(version uint64, put []config.Object, remove []config.Key) error {
	affected := make(map[config.Key]config.Object, 2*len(put))
	for _, o := range put {
		if _, ok := affected[o.Key]; ok {
			return errs.New("%s stands twice", o.Key)
		}
		affected[o.Key] = o
	}
	removed := make(map[config.Key]bool, len(remove))
	removesService := false
	for _, k := range remove {
		if _, ok := affected[k]; ok {
			return errs.New("%s is put and removed", k)
		}
		removed[k] = true
		removesService = removesService || k.Kind() == config.KindService
	}
	if value, err := affected[config.FleetKey].Value(); err != nil || value.(config.Fleet).Version != version {
		return errs.New("%s does not have version %d", config.FleetKey, version)
	}
	addInForce := func(k config.Key) {
		e, ok := s.catalog.Get(k)
		if _, isPut := affected[k]; ok && !isPut && !removed[k] {
			affected[k] = e.Object
		}
	}
	if removesService {
		// Any route may refer to it.
		for k := range s.catalog.Objects() {
			addInForce(k)
		}
	}
	for _, o := range put {
		switch o.Key.Kind() {
		case config.KindService:
			addInForce(config.MakeKey(config.KindMove, o.Key.Name()))
		case config.KindTeam:
			// Any other team may hold one of its keys.
			for k := range s.catalog.Objects() {
				if k.Kind() == config.KindTeam {
					addInForce(k)
				}
			}
		case config.KindRoute:
			value, err := s.builder.Value(o)
			if err != nil {
				return err
			}
			for _, d := range value.(config.HostRoute).Split {
				addInForce(config.MakeKey(config.KindService, d.Service))
			}
		}
	}
	return s.builder.Check(affected)
}
