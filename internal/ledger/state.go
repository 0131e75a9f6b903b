package ledger

import (
	"fmt"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// requestLimit is how many answers are kept for resent requests; at the size
// planned for, it is more than a day's.
const requestLimit = 1 << 16

// answered is a remembered answer.
type answered struct {
	Fingerprint uint64
	Outcome     Outcome
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	catalog *catalog.Catalog
	table   *expand.Table // May be older than the catalog; see Table.
	builder expand.Builder
	writers map[config.Key]Writer
	answers map[string]answered
	order   []string // Requests in the order of their answers.
	origin  []byte   // The whole configuration in force, as its operator wrote it.
}

// New returns the state before the first command.
func New() *State {
	s := &State{
		catalog: &catalog.Catalog{},
		writers: map[config.Key]Writer{},
		answers: map[string]answered{},
	}
	s.table, _ = s.builder.Build(0, nil)
	return s
}

// Catalog returns the objects in force. Callers must not change it.
func (s *State) Catalog() *catalog.Catalog { return s.catalog }

// Table returns the expanded configuration in force. It is expanded when it is
// asked for, so that a replica that applies many replacements at once, as after
// a restart, expands only the last.
func (s *State) Table() *expand.Table {
	if s.table.Revision() != s.Revision() {
		table, err := s.builder.Build(s.Revision(), s.catalog.Objects())
		if err != nil {
			// Only changes that were sound when they were accepted are applied.
			panic(err)
		}
		s.table = table
	}
	return s.table
}

// Revision returns the newest accepted revision.
func (s *State) Revision() config.Revision { return s.catalog.Revision() }

// Writer returns who last changed an object.
func (s *State) Writer(key config.Key) (Writer, bool) {
	w, ok := s.writers[key]
	return w, ok
}

// Apply decides a command and returns its outcome.
func (s *State) Apply(c Command) Outcome {
	if out, ok := s.PreviousOutcome(c); ok {
		return out
	}
	out := s.decide(c)
	s.remember(c.Request, answered{Fingerprint: c.fingerprint(), Outcome: out})
	return out
}

// PreviousOutcome returns the answer to a command whose request has been decided before.
func (s *State) PreviousOutcome(c Command) (Outcome, bool) {
	a, ok := s.answers[c.Request]
	if !ok {
		return Outcome{}, false
	}
	if a.Fingerprint != c.fingerprint() {
		return s.refuse(c, "request %q was already used for another change", c.Request), true
	}
	out := a.Outcome
	out.Resent = true
	return out, true
}

func (s *State) decide(c Command) Outcome {
	if c.Request == "" || c.Operator == "" {
		return s.refuse(c, "a change needs a request id and an operator")
	}
	switch {
	case c.Change != nil:
		return s.change(c)
	case c.Begin != nil:
		return s.begin(c)
	case c.Step != nil:
		return s.step(c)
	case c.Replace != nil:
		return s.replace(c)
	case c.Pin != nil:
		return s.pin(c)
	default:
		return s.refuse(c, "the request asks for nothing")
	}
}

func (s *State) change(c Command) Outcome {
	if s.Version() > 0 {
		return s.refuse(c, "the fleet is configured as a whole; single objects can't be changed")
	}
	if c.Change.Replaces > s.Revision() {
		return s.refuse(c, "revision %d does not exist yet; the newest is %d", c.Change.Replaces, s.Revision())
	}
	if out, bad := s.checkKeys(c); bad {
		return out
	}
	for _, key := range touchedKeys(c.Change) {
		if s.catalog.ModRevision(key) > c.Change.Replaces {
			return s.conflict(c, key)
		}
	}
	return s.accept(c, c.Change.Put, c.Change.Remove)
}

func touchedKeys(c *Change) []config.Key {
	var keys []config.Key
	for _, o := range c.Put {
		keys = append(keys, o.Key)
	}
	return append(keys, c.Remove...)
}

// checkKeys refuses keys that an operator may not change in this way.
func (s *State) checkKeys(c Command) (Outcome, bool) {
	seen := map[config.Key]bool{}
	for _, key := range touchedKeys(c.Change) {
		if !key.Valid() || key.Kind() == config.KindMove || key == config.FleetKey || seen[key] {
			return s.refuse(c, "%q is no key that a change may name, or stands twice", key), true
		}
		seen[key] = true
	}
	for _, key := range c.Change.Remove {
		if _, ok := s.catalog.Get(key); !ok {
			return s.refuse(c, "%s can't be removed: it does not exist", key), true
		}
	}
	for _, o := range c.Change.Put {
		if out, bad := s.checkPut(c, o); bad {
			return out, true
		}
	}
	return Outcome{}, false
}

// checkPut refuses a body that is not the canonical form of its key, and a
// service whose version changes other than by a move.
func (s *State) checkPut(c Command, o config.Object) (Outcome, bool) {
	value, err := o.Value()
	if err != nil {
		return s.refuse(c, "%v", err), true
	}
	canonical, err := config.MakeObject(value)
	if err != nil || canonical.Key != o.Key || string(canonical.Body) != string(o.Body) {
		return s.refuse(c, "%s: the body is not in its canonical form", o.Key), true
	}
	service, ok := value.(config.Service)
	if !ok {
		return Outcome{}, false
	}
	if old, known := s.Table().Service(service.Name); known && old.Version != service.Version {
		return s.refuse(c, "%s: the version changes from %q to %q only by a move", o.Key, old.Version, service.Version), true
	}
	return Outcome{}, false
}

// accept puts a change in force if the whole configuration stays sound.
func (s *State) accept(c Command, put []config.Object, remove []config.Key) Outcome {
	objects := s.catalog.Objects()
	for _, o := range put {
		objects[o.Key] = o
	}
	for _, k := range remove {
		delete(objects, k)
	}
	next := s.Revision() + 1
	table, err := s.builder.Build(next, objects)
	if err != nil {
		out := s.refuse(c, "the configuration would not be sound")
		out.Faults, _ = err.(expand.Faults)
		return out
	}
	s.table = table
	return s.put(c, put, remove)
}

// put makes a sound change the next revision.
func (s *State) put(c Command, put []config.Object, remove []config.Key) Outcome {
	next := s.Revision() + 1
	s.catalog.Change(put, remove)
	for _, o := range put {
		s.note(c, o.Key, next)
	}
	for _, k := range remove {
		s.note(c, k, next)
	}
	return Outcome{Request: c.Request, Status: StatusAccepted, Revision: next, At: c.At}
}

func (s *State) note(c Command, key config.Key, at config.Revision) {
	s.writers[key] = Writer{Key: key, Revision: at, Request: c.Request, Operator: c.Operator, At: c.At}
}

func (s *State) refuse(c Command, format string, args ...any) Outcome {
	return Outcome{
		Request: c.Request, Status: StatusRefused, Revision: s.Revision(), At: c.At,
		Reason: fmt.Sprintf(format, args...),
	}
}

func (s *State) conflict(c Command, key config.Key) Outcome {
	w := s.writers[key]
	return Outcome{
		Request: c.Request, Status: StatusConflict, Revision: s.Revision(), At: c.At, Winner: &w,
		Reason: fmt.Sprintf("%s was changed at revision %d by %s (request %s)", key, w.Revision, w.Operator, w.Request),
	}
}

func (s *State) remember(request string, a answered) {
	if request == "" {
		return
	}
	s.answers[request] = a
	s.order = append(s.order, request)
	for len(s.order) > requestLimit {
		delete(s.answers, s.order[0])
		s.order = s.order[1:]
	}
}
