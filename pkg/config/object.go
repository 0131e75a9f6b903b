package config

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
)

// Kind is the kind of a configuration object, the first part of its Key.
type Kind string

// The kinds of configuration objects.
const (
	KindUnit       Kind = "unit"
	KindTemplate   Kind = "template"
	KindParameters Kind = "parameters"
	KindContract   Kind = "contract"
	KindService    Kind = "service"
	KindMove       Kind = "move"
	KindRoute      Kind = "route" // Of a HostRoute.
	KindFleet      Kind = "fleet"
	KindTeam       Kind = "team"       // Of a Config.
	KindEvacuation Kind = "evacuation" // Of a data centre.
)

// Key identifies an object within a fleet. It consists of the kind and the
// name, as in "template/booking" or "parameters/clubs/booking".
type Key string

// MakeKey returns the key of the object with the given kind and name. It does
// not check them; see Key.Valid.
func MakeKey(k Kind, name string) Key { return Key(string(k) + "/" + name) }

// Kind returns the part of the key before the first slash. It need not be a
// known kind.
func (k Key) Kind() Kind {
	kind, _, _ := strings.Cut(string(k), "/")
	return Kind(kind)
}

// Name returns the part of the key after the first slash, or "" if there is
// none.
func (k Key) Name() string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// Valid reports whether the key has a known kind and a name of the form that
// the kind requires: two valid names for KindParameters, one for the others.
func (k Key) Valid() bool {
	wantParts := 1
	switch k.Kind() {
	case KindUnit, KindTemplate, KindContract, KindService, KindMove, KindRoute, KindFleet, KindTeam, KindEvacuation:
	case KindParameters:
		wantParts = 2
	default:
		return false
	}
	parts := strings.Split(k.Name(), "/")
	for _, p := range parts {
		if !ValidName(p) {
			return false
		}
	}
	return len(parts) == wantParts
}

// Object is a configuration object in canonical form: two objects are the same
// if and only if their keys and bodies are equal.
type Object struct {
	Key  Key             `json:"key"`
	Body json.RawMessage `json:"body"` // The JSON of the object's type.
}

// MakeObject returns the canonical form of a Unit, Template, Parameters,
// Contract, Service, Move, HostRoute, Fleet, Team or Evacuation. It returns an error for any
// other type. The key may be invalid; see Key.Valid.
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
	case Team:
		key = MakeKey(KindTeam, v.Name)
	case Evacuation:
		key = MakeKey(KindEvacuation, v.Zone)
	default:
		return Object{}, errs.New("config: %T is no configuration object", value)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return Object{}, errs.New("config: encode %s: %v", key, err)
	}
	return Object{Key: key, Body: body}, nil
}

// Value decodes the body into the type that the kind of the key stands for, and
// returns it by value, as in Service. It returns an error if the kind is
// unknown or the body cannot be decoded.
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
	case KindTeam:
		return decode[Team](o)
	case KindEvacuation:
		return decode[Evacuation](o)
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
