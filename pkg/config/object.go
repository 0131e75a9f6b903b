package config

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
)

// Kind names a kind of object.
type Kind string

// The kinds of object.
const (
	KindUnit       Kind = "unit"
	KindTemplate   Kind = "template"
	KindParameters Kind = "parameters"
	KindContract   Kind = "contract"
	KindService    Kind = "service"
	KindMove       Kind = "move"
	KindRoute      Kind = "route" // A HostRoute.
	KindFleet      Kind = "fleet"
)

// Key names an object within a fleet, as in "template/booking" or
// "parameters/clubs/booking".
type Key string

// MakeKey returns the key of the object of that kind and name.
func MakeKey(k Kind, name string) Key { return Key(string(k) + "/" + name) }

// Kind returns the first part of the key.
func (k Key) Kind() Kind {
	kind, _, _ := strings.Cut(string(k), "/")
	return Kind(kind)
}

// Name returns all but the first part of the key.
func (k Key) Name() string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// Valid reports whether the key has a known kind and well-formed names.
func (k Key) Valid() bool {
	want := 1
	switch k.Kind() {
	case KindUnit, KindTemplate, KindContract, KindService, KindMove, KindRoute, KindFleet:
	case KindParameters:
		want = 2
	default:
		return false
	}
	parts := strings.Split(k.Name(), "/")
	for _, p := range parts {
		if !ValidName(p) {
			return false
		}
	}
	return len(parts) == want
}

// Object is one configuration object in its canonical form. Two objects are
// equal exactly if key and body are.
type Object struct {
	Key  Key             `json:"key"`
	Body json.RawMessage `json:"body"`
}

// MakeObject returns the canonical form of a Unit, Template, Parameters,
// Contract, Service, Move, HostRoute or Fleet.
func MakeObject(value any) (Object, error) {
	var key Key
	switch v := value.(type) {
	case Unit:
		key = MakeKey(KindUnit, v.Name)
	case Template:
		key = MakeKey(KindTemplate, v.Name)
	case Parameters:
		key = MakeKey(KindParameters, v.Team+"/"+v.Template)
	case Contract:
		key = MakeKey(KindContract, v.Team)
	case Service:
		key = MakeKey(KindService, v.Name)
	case Move:
		key = MakeKey(KindMove, v.Service)
	case HostRoute:
		key = v.Key()
	case Fleet:
		key = FleetKey
	default:
		return Object{}, errs.New("config: %T is no configuration object", value)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return Object{}, errs.New("config: encode %s: %v", key, err)
	}
	return Object{Key: key, Body: body}, nil
}

// Value decodes an object's body into its type.
func (o Object) Value() (any, error) {
	switch o.Key.Kind() {
	case KindUnit:
		return decode[Unit](o)
	case KindTemplate:
		return decode[Template](o)
	case KindParameters:
		return decode[Parameters](o)
	case KindContract:
		return decode[Contract](o)
	case KindService:
		return decode[Service](o)
	case KindMove:
		return decode[Move](o)
	case KindRoute:
		return decode[HostRoute](o)
	case KindFleet:
		return decode[Fleet](o)
	default:
		return nil, errs.New("config: %q has an unknown kind", o.Key)
	}
}

func decode[T any](o Object) (any, error) {
	var v T
	if err := json.Unmarshal(o.Body, &v); err != nil {
		return nil, errs.New("config: decode %s: %v", o.Key, err)
	}
	return v, nil
}
