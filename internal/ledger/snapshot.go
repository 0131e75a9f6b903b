package ledger

import (
	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// saved is the encoded form of a State.
type saved struct {
	Whole    catalog.Delta
	Revision config.Revision
	Writers  map[config.Key]Writer
	Answers  map[string]answered
	Order    []string
	Origin   []byte
}

// Snapshot returns the whole state in bytes.
func (s *State) Snapshot() ([]byte, error) {
	data, err := codec.Marshal(saved{
		Whole: s.catalog.Delta(0, catalog.Digest{}), Revision: s.Revision(),
		Writers: s.writers, Answers: s.answers, Order: s.order, Origin: s.origin,
	})
	if err != nil {
		return nil, errs.New("ledger: snapshot: %v", err)
	}
	return data, nil
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	var v saved
	if err := codec.Unmarshal(data, &v); err != nil {
		return nil, errs.New("ledger: restore: %v", err)
	}
	s := New()
	if v.Revision > 0 {
		next, err := s.catalog.Apply(v.Whole)
		if err != nil {
			return nil, errs.New("ledger: restore: %v", err)
		}
		s.catalog = next
	}
	table, err := s.builder.Build(v.Revision, s.catalog.Objects())
	if err != nil {
		return nil, errs.New("ledger: restore: %v", err)
	}
	s.table = table
	s.order = v.Order
	s.origin = v.Origin
	for k, w := range v.Writers {
		s.writers[k] = w
	}
	for k, a := range v.Answers {
		s.answers[k] = a
	}
	return s, nil
}
