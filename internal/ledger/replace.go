package ledger

import (
	"bytes"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Replace replaces the full configuration of version Base by one of version
// Version. Plan computes Put and Remove, the differences between the two.
type Replace struct {
	Base    uint64 // The version on which the replacement is based; 0 if there is none yet. Change.Replaces is a revision instead.
	Version uint64 // Must be higher than the version in force.
	Origin  []byte // The configuration text as the operator wrote it, returned by State.Origin.
	// Planned is the version with which Plan compared the new configuration, plus 1; 0 in
	// entries of older builds. Put and Remove are right only if it is Base.
	Planned uint64 `cbor:",omitempty"`
	Put     []config.Object
	Remove  []config.Key
}

// PinVersion sets the version of a service that has none yet. Later versions are
// set by moves.
type PinVersion struct {
	Service string
	Version string
}

// Version returns the version of the full configuration in force, or 0 if there
// is none.
func (s *State) Version() uint64 {
	e, ok := s.catalog.Get(config.FleetKey)
	if !ok {
		return 0
	}
	value, err := e.Object.Value()
	fleet, is := value.(config.Fleet)
	if err != nil || !is {
		return 0 // Unreachable: the object was validated before it was accepted.
	}
	return fleet.Version
}

// serviceByKey returns the service in force under key. It returns false if
// there is no such object or it is not a service.
func (s *State) serviceByKey(key config.Key) (config.Service, bool) {
	e, ok := s.catalog.Get(key)
	if !ok {
		return config.Service{}, false
	}
	value, err := e.Object.Value()
	service, is := value.(config.Service)
	return service, err == nil && is
}

// Origin returns the text of the full configuration in force as its operator
// wrote it, or nil if there is none. The caller must not change it.
func (s *State) Origin() []byte { return s.origin }

// Plan adds to r.Put and r.Remove what has to change so that the objects in
// force become objects. It does not change the state. The plan holds for each state
// with the same Version: other commands change neither routes nor which services exist.
func (s *State) Plan(r *Replace, objects []config.Object) {
	r.Planned = s.Version() + 1
	inNew := make(map[config.Key]bool, len(objects))
	for _, o := range objects {
		inNew[o.Key] = true
		if e, ok := s.catalog.Get(o.Key); !ok || !bytes.Equal(e.Object.Body, s.withPinnedVersion(o).Body) {
			r.Put = append(r.Put, o)
		}
	}
	for _, e := range s.catalog.Entries() {
		if inFullConfig(e.Object.Key.Kind()) && !inNew[e.Object.Key] {
			r.Remove = append(r.Remove, e.Object.Key)
		}
	}
}

// inFullConfig reports whether objects of kind k belong to a full
// configuration.
func inFullConfig(k config.Kind) bool {
	return k == config.KindRoute || k == config.KindService || k == config.KindFleet || k == config.KindTeam
}

// withPinnedVersion returns o with the version of the service in force if o is
// a service without one. A full configuration does not change the versions of
// services.
func (s *State) withPinnedVersion(o config.Object) config.Object {
	if o.Key.Kind() != config.KindService {
		return o
	}
	value, err := o.Value()
	service, ok := value.(config.Service)
	if err != nil || !ok {
		return o // The builder reports invalid objects.
	}
	current, exists := s.serviceByKey(o.Key)
	if !exists || service.Version != "" {
		return o
	}
	service.Version = current.Version
	if pinned, err := config.MakeObject(service); err == nil {
		return pinned
	}
	return o
}

// applyReplace replaces the full configuration, unless the resulting one cannot be
// expanded.
func (s *State) applyReplace(c Command) Outcome {
	r := c.Replace
	if r.Base != s.Version() {
		return s.conflict(c, config.FleetKey)
	}
	if r.Planned != 0 && r.Planned != r.Base+1 {
		return s.reject(c, "the change was planned against version %d, not %d", r.Planned-1, r.Base)
	}
	if r.Version <= s.Version() {
		return s.reject(c, "version %d is not above the present one, %d", r.Version, s.Version())
	}
	if r.Base == 0 && s.catalog.Len() > 0 {
		return s.reject(c, "the fleet is configured by single objects, and can't be configured as a whole too")
	}
	put := make([]config.Object, len(r.Put))
	for i, o := range r.Put {
		if !o.Key.Valid() || !inFullConfig(o.Key.Kind()) {
			return s.reject(c, "%q is no part of a whole configuration", o.Key)
		}
		put[i] = s.withPinnedVersion(o)
	}
	for _, k := range r.Remove {
		if !inFullConfig(k.Kind()) {
			return s.reject(c, "%q is no part of a whole configuration", k)
		}
	}
	remove := s.withMovesOfServices(r.Remove)
	if err := s.checkReplacement(r.Version, put, remove); err != nil {
		out := s.reject(c, "the configuration would be invalid: %v", err)
		out.Faults, _ = err.(expand.Faults)
		return out
	}
	s.origin = r.Origin
	return s.commitRevision(c, put, remove)
}

// withMovesOfServices returns remove and the keys of the moves of the services
// in it.
func (s *State) withMovesOfServices(remove []config.Key) []config.Key {
	all := remove
	for _, k := range remove {
		move := config.MakeKey(config.KindMove, k.Name())
		if _, ok := s.catalog.Get(move); ok && k.Kind() == config.KindService {
			all = append(all, move)
		}
	}
	return all
}

// applyPin sets the version of a service that has none.
func (s *State) applyPin(c Command) Outcome {
	service, ok := s.Table().Service(c.Pin.Service)
	if !ok || service.Version != "" {
		return s.reject(c, "service %q does not exist or has a version", c.Pin.Service)
	}
	if !config.ValidName(c.Pin.Version) {
		return s.reject(c, "%q is no valid version name", c.Pin.Version)
	}
	service.Version = c.Pin.Version
	o, err := config.MakeObject(service)
	if err != nil {
		return s.reject(c, "%v", err)
	}
	return s.commitIfValid(c, []config.Object{o}, nil)
}
