package ledger

import (
	"bytes"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Replace puts a whole configuration in the place of the one with version
// Base. Put and Remove lead from one to the other; Plan computes them.
type Replace struct {
	Base    uint64
	Version uint64
	Origin  []byte // The configuration as the operator wrote it, to be read back.
	Put     []config.Object
	Remove  []config.Key
}

// Pin sets the version of a service that has none.
type Pin struct {
	Service string
	Version string
}

// Version returns the version of the whole configuration in force, or 0.
func (s *State) Version() uint64 {
	e, ok := s.catalog.Get(config.FleetKey)
	if !ok {
		return 0
	}
	value, err := e.Object.Value()
	fleet, is := value.(config.Fleet)
	if err != nil || !is {
		return 0 // Checked when it was accepted.
	}
	return fleet.Version
}

// service returns a service in force.
func (s *State) service(key config.Key) (config.Service, bool) {
	e, ok := s.catalog.Get(key)
	if !ok {
		return config.Service{}, false
	}
	value, err := e.Object.Value()
	service, is := value.(config.Service)
	return service, err == nil && is
}

// Origin returns the whole configuration in force as its operator wrote it, or
// nil.
func (s *State) Origin() []byte { return s.origin }

// Plan fills in Put and Remove of a replacement by objects.
func (s *State) Plan(r *Replace, objects []config.Object) {
	wanted := make(map[config.Key]bool, len(objects))
	for _, o := range objects {
		wanted[o.Key] = true
		if e, ok := s.catalog.Get(o.Key); !ok || !bytes.Equal(e.Object.Body, s.pinned(o).Body) {
			r.Put = append(r.Put, o)
		}
	}
	for _, e := range s.catalog.Entries() {
		if replaced(e.Object.Key.Kind()) && !wanted[e.Object.Key] {
			r.Remove = append(r.Remove, e.Object.Key)
		}
	}
}

// replaced reports whether objects of a kind are part of a whole
// configuration.
func replaced(k config.Kind) bool {
	return k == config.KindRoute || k == config.KindService || k == config.KindFleet
}

// pinned returns a service object with the version in force, which a whole
// configuration does not change.
func (s *State) pinned(o config.Object) config.Object {
	if o.Key.Kind() != config.KindService {
		return o
	}
	value, err := o.Value()
	service, ok := value.(config.Service)
	if err != nil || !ok {
		return o // Faulty objects are found by the builder.
	}
	old, known := s.service(o.Key)
	if !known || service.Version != "" {
		return o
	}
	service.Version = old.Version
	if made, err := config.MakeObject(service); err == nil {
		return made
	}
	return o
}

// replace trusts that the whole configuration has passed its check before it
// was proposed.
func (s *State) replace(c Command) Outcome {
	r := c.Replace
	if r.Base != s.Version() {
		return s.conflict(c, config.FleetKey)
	}
	if r.Version <= s.Version() {
		return s.refuse(c, "version %d is not above the present one, %d", r.Version, s.Version())
	}
	if r.Base == 0 && s.catalog.Len() > 0 {
		return s.refuse(c, "the fleet is configured by single objects, and can't be configured as a whole too")
	}
	put := make([]config.Object, len(r.Put))
	for i, o := range r.Put {
		if !o.Key.Valid() || !replaced(o.Key.Kind()) {
			return s.refuse(c, "%q is no part of a whole configuration", o.Key)
		}
		put[i] = s.pinned(o)
	}
	for _, k := range r.Remove {
		if !replaced(k.Kind()) {
			return s.refuse(c, "%q is no part of a whole configuration", k)
		}
	}
	s.origin = r.Origin
	return s.put(c, put, s.withMoves(r.Remove))
}

// withMoves adds the moves of removed services.
func (s *State) withMoves(remove []config.Key) []config.Key {
	all := remove
	for _, k := range remove {
		move := config.MakeKey(config.KindMove, k.Name())
		if _, ok := s.catalog.Get(move); ok && k.Kind() == config.KindService {
			all = append(all, move)
		}
	}
	return all
}

func (s *State) pin(c Command) Outcome {
	service, ok := s.Table().Service(c.Pin.Service)
	if !ok || service.Version != "" {
		return s.refuse(c, "service %q does not exist or has a version", c.Pin.Service)
	}
	if !config.ValidName(c.Pin.Version) {
		return s.refuse(c, "%q is no valid version name", c.Pin.Version)
	}
	service.Version = c.Pin.Version
	o, err := config.MakeObject(service)
	if err != nil {
		return s.refuse(c, "%v", err)
	}
	return s.accept(c, []config.Object{o}, nil)
}
