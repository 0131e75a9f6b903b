package expand

import (
	"bytes"
	"maps"
	"slices"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// decodedObject is an object in decoded form, with the body that it was decoded
// from.
type decodedObject struct {
	body  []byte
	value any
	route *Route // Set for a HostRoute only.
}

// Value returns the decoded value of an object, and keeps it for the next Build.
func (b *Builder) Value(o config.Object) (any, error) {
	bs := &buildState{}
	d, ok := b.decodeObject(o.Key, o, bs)
	if !ok {
		return nil, bs.faults
	}
	return d.value, nil
}

// prune drops objects from the cache that are not in objects.
func (b *Builder) prune(objects map[config.Key]config.Object) {
	if len(b.decoded) <= len(objects) {
		return
	}
	maps.DeleteFunc(b.decoded, func(k config.Key, _ decodedObject) bool {
		_, ok := objects[k]
		return !ok
	})
}

// decode decodes all objects and adds them to bs.
func (b *Builder) decode(objects map[config.Key]config.Object, bs *buildState) {
	var otherKeys []config.Key // Of all kinds but host routes. They are added in order: of two routes that collide, the later one gets the fault.
	for k, o := range objects {
		d, ok := b.decodeObject(k, o, bs)
		switch {
		case !ok:
		case d.route != nil:
			bs.addHostRoute(d.route)
		default:
			otherKeys = append(otherKeys, k)
		}
	}
	slices.Sort(otherKeys)
	for _, k := range otherKeys {
		bs.add(b.decoded[k].value)
	}
}

// decodeObject decodes an object, unless the cache holds it with the same body.
// If that fails, it records a fault and returns false.
func (b *Builder) decodeObject(k config.Key, o config.Object, bs *buildState) (decodedObject, bool) {
	d, ok := b.decoded[k]
	if ok && bytes.Equal(d.body, o.Body) {
		return d, true
	}
	value, err := o.Value()
	if err != nil {
		delete(b.decoded, k)
		bs.fault(k, "", "%v", err)
		return decodedObject{}, false
	}
	d = decodedObject{body: o.Body, value: value}
	if r, ok := value.(config.HostRoute); ok {
		d.route = newHostRoute(r)
	}
	if b.decoded == nil {
		b.decoded = map[config.Key]decodedObject{}
	}
	b.decoded[k] = d
	return d, true
}
