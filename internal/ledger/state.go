package ledger

import (
	"fmt"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// maxStoredOutcomes is the number of outcomes kept for resent requests. It is
// more than the requests of a day at the size that the source is planned for.
const maxStoredOutcomes = 1 << 16

// storedOutcome is the outcome of an earlier request and the fingerprint of its
// command. Its fields are stored in snapshots under their Go names.
type storedOutcome struct {
	Fingerprint uint64
	Outcome     Outcome
}

// State is the replicated state machine. It is not safe for concurrent use.
// Create one with New or Restore.
type State struct {
	catalog      *catalog.Catalog
	table        *expand.Table // May be older than the catalog; see Table.
	builder      expand.Builder
	writers      map[config.Key]Writer    // The last change of each object, also of removed ones.
	outcomes     map[string]storedOutcome // Stored outcomes by request, at most maxStoredOutcomes.
	requestOrder []string                 // The requests in outcomes, oldest first.
	origin       []byte                   // See Origin.
	retirements  retirements
}

// New returns the state before the first command: revision 0 without objects.
func New() *State {
	s := &State{
		catalog:  &catalog.Catalog{},
		writers:  map[config.Key]Writer{},
		outcomes: map[string]storedOutcome{},
	}
	s.table, _ = s.builder.Build(0, nil)
	return s
}

// Catalog returns the objects in force. The caller must not change it; later
// commands do.
func (s *State) Catalog() *catalog.Catalog { return s.catalog }

// Table returns the expanded configuration in force. It is expanded on demand,
// so that a replica that applies many replacements at once, as after a restart,
// expands only the last one.
func (s *State) Table() *expand.Table {
	if s.table.Revision() != s.Revision() {
		table, err := s.builder.Build(s.Revision(), s.catalog.Objects())
		if err != nil {
			panic(err) // Unreachable: a change is accepted only if its result can be expanded.
		}
		s.table = table
	}
	return s.table
}

// Revision returns the newest accepted revision, or 0 if nothing was accepted
// yet.
func (s *State) Revision() config.Revision { return s.catalog.Revision() }

// Writer returns the last change of the object under key, also if that change
// removed it. It returns false if there was none.
func (s *State) Writer(key config.Key) (Writer, bool) {
	w, ok := s.writers[key]
	return w, ok
}

// Apply decides a command, changes the state if it is accepted, and returns its
// outcome. A resent command gets the stored outcome and changes nothing.
func (s *State) Apply(c Command) Outcome {
	if c.Retire != nil {
		return s.applyRetire(c)
	}
	if out, ok := s.PreviousOutcome(c); ok {
		return out
	}
	out := s.decide(c)
	s.storeOutcome(c.Request, storedOutcome{Fingerprint: c.fingerprint(), Outcome: out})
	return out
}

// PreviousOutcome returns the stored outcome of a command whose request was
// decided before, and false if there is none. A request that was used for a
// different command is rejected.
func (s *State) PreviousOutcome(c Command) (Outcome, bool) {
	a, ok := s.outcomes[c.Request]
	if !ok {
		return Outcome{}, false
	}
	if a.Fingerprint != c.fingerprint() {
		return s.reject(c, "request %q was already used for another change", c.Request), true
	}
	out := a.Outcome
	out.Resent = true
	return out, true
}

// Outcome returns the stored outcome of a request, whatever its command was, and false if
// the request was not decided or is no longer remembered.
func (s *State) Outcome(request string) (Outcome, bool) {
	stored, ok := s.outcomes[request]
	stored.Outcome.Resent = true
	return stored.Outcome, ok
}

// decide applies a command that was not decided before.
func (s *State) decide(c Command) Outcome {
	if c.Request == "" || c.Operator == "" {
		return s.reject(c, "a change needs a request id and an operator")
	}
	if c.Rules >= 1 {
		if err := c.Check(); err != nil {
			return s.reject(c, "%v", err)
		}
	}
	switch {
	case c.Change != nil:
		return s.applyChange(c)
	case c.Begin != nil:
		return s.applyBegin(c)
	case c.Step != nil:
		return s.applyStep(c)
	case c.Replace != nil:
		return s.applyReplace(c)
	case c.Pin != nil:
		return s.applyPin(c)
	default:
		return s.reject(c, ReasonNothing)
	}
}

// applyChange puts and removes single objects. It is rejected while a full
// configuration is in force.
func (s *State) applyChange(c Command) Outcome {
	if s.Version() > 0 {
		return s.reject(c, "the fleet is configured as a whole; single objects can't be changed")
	}
	if c.Change.Replaces > s.Revision() {
		return s.reject(c, "revision %d does not exist yet; the newest is %d", c.Change.Replaces, s.Revision())
	}
	if out, rejected := s.checkKeys(c); rejected {
		return out
	}
	for _, key := range changedKeys(c.Change) {
		if s.catalog.ModRevision(key) > c.Change.Replaces {
			return s.conflict(c, key)
		}
	}
	return s.commitIfValid(c, c.Change.Put, c.Change.Remove)
}

// changedKeys returns the keys of all objects that c puts or removes, with
// duplicates.
func changedKeys(c *Change) []config.Key {
	var keys []config.Key
	for _, o := range c.Put {
		keys = append(keys, o.Key)
	}
	return append(keys, c.Remove...)
}

// inChange reports whether a Change may name objects of kind k.
func inChange(k config.Kind) bool {
	switch k {
	case config.KindMove, config.KindFleet, config.KindTeam, config.KindEvacuation:
		return false
	default:
		return true
	}
}

// checkKeys rejects keys that an operator may not change by a Change: invalid
// keys, kinds that a Change may not name, duplicates, and removals of absent
// objects. It also checks each put object. It returns the outcome and true if
// the command is rejected.
func (s *State) checkKeys(c Command) (Outcome, bool) {
	seen := map[config.Key]bool{}
	for _, key := range changedKeys(c.Change) {
		if !key.Valid() || !inChange(key.Kind()) || seen[key] {
			return s.reject(c, "%q is no key that a change may name, or stands twice", key), true
		}
		seen[key] = true
	}
	for _, key := range c.Change.Remove {
		if _, ok := s.catalog.Get(key); !ok {
			return s.reject(c, "%s can't be removed: it does not exist", key), true
		}
	}
	for _, o := range c.Change.Put {
		if out, rejected := s.checkPut(c, o); rejected {
			return out, true
		}
	}
	return Outcome{}, false
}

// checkPut rejects an object whose body is not the canonical form of its key,
// and a service whose version changes other than by a move. It returns the
// outcome and true if the command is rejected.
func (s *State) checkPut(c Command, o config.Object) (Outcome, bool) {
	value, err := o.Value()
	if err != nil {
		return s.reject(c, "%v", err), true
	}
	canonical, err := config.MakeObject(value)
	if err != nil || canonical.Key != o.Key || string(canonical.Body) != string(o.Body) {
		return s.reject(c, "%s: the body is not in its canonical form", o.Key), true
	}
	service, ok := value.(config.Service)
	if !ok {
		return Outcome{}, false
	}
	if current, exists := s.Table().Service(service.Name); exists && current.Version != service.Version {
		return s.reject(c, "%s: the version changes from %q to %q only by a move", o.Key, current.Version, service.Version), true
	}
	return Outcome{}, false
}

// commitIfValid commits a change if the resulting configuration is valid, and
// rejects it with the validation errors otherwise.
func (s *State) commitIfValid(c Command, put []config.Object, remove []config.Key) Outcome {
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
		out := s.reject(c, "the configuration would not be sound")
		out.Faults, _ = err.(expand.Faults)
		return out
	}
	s.table = table
	return s.commitRevision(c, put, remove)
}

// commitRevision puts a valid change in force as the next revision.
func (s *State) commitRevision(c Command, put []config.Object, remove []config.Key) Outcome {
	next := s.Revision() + 1
	s.catalog.Change(put, remove)
	for _, o := range put {
		s.recordWriter(c, o.Key, next)
	}
	for _, k := range remove {
		s.recordWriter(c, k, next)
	}
	return Outcome{Request: c.Request, Status: StatusAccepted, Revision: next, At: c.At}
}

// recordWriter records c as the last change of key, at revision at.
func (s *State) recordWriter(c Command, key config.Key, at config.Revision) {
	s.writers[key] = Writer{Key: key, Revision: at, Request: c.Request, Operator: c.Operator, At: c.At}
}

// reject returns the outcome of an invalid command. The formatted reason is
// stored and shown to operators.
func (s *State) reject(c Command, format string, args ...any) Outcome {
	return Outcome{
		Request: c.Request, Status: StatusRefused, Revision: s.Revision(), At: c.At,
		Reason: fmt.Sprintf(format, args...),
	}
}

// conflict returns the outcome of a command that is based on an outdated
// revision of key.
func (s *State) conflict(c Command, key config.Key) Outcome {
	w := s.writers[key]
	return Outcome{
		Request: c.Request, Status: StatusConflict, Revision: s.Revision(), At: c.At, Winner: &w,
		Reason: fmt.Sprintf("%s was changed at revision %d by %s (request %s)", key, w.Revision, w.Operator, w.Request),
	}
}

// storeOutcome stores the outcome of a request for resent commands and removes
// the oldest ones beyond maxStoredOutcomes. A command without a request is not
// stored.
func (s *State) storeOutcome(request string, a storedOutcome) {
	if request == "" {
		return
	}
	s.outcomes[request] = a
	s.requestOrder = append(s.requestOrder, request)
	for len(s.requestOrder) > maxStoredOutcomes {
		delete(s.outcomes, s.requestOrder[0])
		s.requestOrder = s.requestOrder[1:]
	}
}
