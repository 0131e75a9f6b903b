package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// Team is a team of a Config, whose calls carry one of its API keys. A Team that
// is distributed holds digests of the keys only, so that a daemon can recognize a
// key without knowing it.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys,omitempty"` // Digests of the team's API keys; see KeyDigest. A team without keys cannot make calls.
	// Priority takes precedence over that of the route. Nil means that the priority of
	// the route applies.
	Priority *int `json:"priority,omitempty"`
	// Rate is how many calls per second the team may make over the whole fleet, and
	// Burst how many it may make in addition at once. A Rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// KeyDigest returns the digest of an API key under which Team.Keys lists it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// check checks the team by itself.
func (t Team) check(place string) error {
	switch {
	case !ValidName(t.Name):
		return invalidConfig(place, "name %q is invalid", t.Name)
	case !(t.Rate >= 0) || math.IsInf(t.Rate, 1):
		return invalidConfig(place, "rate is negative or no number")
	case !(t.Burst >= 0) || math.IsInf(t.Burst, 1):
		return invalidConfig(place, "burst is negative or no number")
	case t.Priority != nil && *t.Priority < 0:
		return invalidConfig(place, "priority is negative")
	}
	for i, k := range t.Keys {
		if digest, err := hex.DecodeString(k); err != nil || len(digest) != sha256.Size {
			return invalidConfig(place, "keys[%d] is no digest of a key", i)
		}
	}
	return nil
}

// checkTeams checks each team, and that no two of them have a name or a key in
// common. A fault never quotes a key.
func checkTeams(teams []Team) error {
	names, owners := map[string]bool{}, map[string]string{}
	for i, t := range teams {
		place := fmt.Sprintf("teams[%d]", i)
		if err := t.check(place); err != nil {
			return err
		}
		if names[t.Name] {
			return invalidConfig(place, "name %q stands twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if owner, ok := owners[k]; ok && owner != t.Name {
				return invalidConfig(place, "teams %q and %q share a key", owner, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}

// Evacuation asks that no calls go to the upstreams of a data centre. The source
// writes it for an operator, apart from the Config.
type Evacuation struct {
	Zone string `json:"zone"`
}
