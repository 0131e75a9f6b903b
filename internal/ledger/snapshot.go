package ledger

import (
	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// savedState is the encoded form of a State. Its fields are stored under their
// Go names.
type savedState struct {
	Whole    catalog.Delta   // All objects, as a full delta.
	Revision config.Revision // Zero before the first accepted change; Whole is then not applied.
	Writers  map[config.Key]Writer
	Answers  map[string]storedOutcome // Stored outcomes by request.
	Order    []string                 // Requests in the order in which they were decided.
	Origin   []byte                   // See State.Origin.
	Retired  []Retire                 `cbor:",omitempty"` // Oldest first; older builds ignore it.
}

// Snapshot returns the full state as canonical CBOR, for Restore.
func (s *State) Snapshot() ([]byte, error) {
	data, err := codec.Marshal(savedState{
		Whole: s.catalog.Delta(0, catalog.Digest{}), Revision: s.Revision(),
		Writers: s.writers, Answers: s.outcomes, Order: s.requestOrder, Origin: s.origin,
		Retired: s.retirements.all(),
	})
	if err != nil {
		return nil, errs.New("ledger: encode snapshot: %v", err)
	}
	return data, nil
}

// Restore returns the state encoded in a snapshot. It returns an error if data
// cannot be decoded, its digest does not match or its configuration is invalid.
func Restore(data []byte) (*State, error) {
	var v savedState
	if err := codec.Unmarshal(data, &v); err != nil {
		return nil, errs.New("ledger: decode snapshot: %v", err)
	}
	s := New()
	if v.Revision > 0 {
		next, err := s.catalog.Apply(v.Whole)
		if err != nil {
			return nil, errs.New("ledger: restore objects of snapshot: %v", err)
		}
		s.catalog = next
	}
	table, err := s.builder.Build(v.Revision, s.catalog.Objects())
	if err != nil {
		return nil, errs.New("ledger: expand configuration of snapshot: %v", err)
	}
	s.table = table
	s.requestOrder = v.Order
	s.origin = v.Origin
	for _, r := range v.Retired {
		s.retirements.add(r)
	}
	for k, w := range v.Writers {
		s.writers[k] = w
	}
	for k, a := range v.Answers {
		s.outcomes[k] = a
	}
	return s, nil
}
