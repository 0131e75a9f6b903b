package expand

import (
	"sort"
	"strconv"
	"strings"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Team is a team of a keyed configuration. It is immutable and safe for concurrent
// use.
type Team struct{ team config.Team }

// Name returns the name of the team.
func (t *Team) Name() string { return t.team.Name }

// Priority returns the priority of a call of the team, given that of its route. 0 is
// the most urgent.
func (t *Team) Priority(ofRoute int) int {
	if t.team.Priority != nil {
		return *t.team.Priority
	}
	return ofRoute
}

// Rate returns how many calls per second the team may make over the whole fleet, or 0
// if it has no limit.
func (t *Team) Rate() float64 { return t.team.Rate }

// Burst returns how many calls the team may make at once beyond its rate, over the
// whole fleet.
func (t *Team) Burst() float64 { return t.team.Burst }

// Keyed reports whether calls need the API key of a team, unless their route is
// anonymous.
func (t *Table) Keyed() bool { return t.fleet.Keyed }

// Requires returns the features that a daemon must have to carry out the configuration;
// see config.Config.Requires.
func (t *Table) Requires() []config.Feature {
	limited := false
	for _, team := range t.teams {
		limited = limited || team.Rate() > 0
	}
	return config.RequiredFeatures(t.fleet.Keyed, limited)
}

// TeamOfKey returns the team that holds an API key, and false if there is none.
func (t *Table) TeamOfKey(key string) (*Team, bool) {
	return t.TeamOfDigest(config.KeyDigest(key))
}

// TeamOfDigest returns the team that holds the API key with a digest, as of
// config.KeyDigest, and false if there is none.
func (t *Table) TeamOfDigest(digest string) (*Team, bool) {
	team, ok := t.teamsByKey[digest]
	return team, ok
}

// Team returns the team with the given name, and false if there is none.
func (t *Table) Team(name string) (*Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

// Teams returns the names of all teams of a keyed configuration, sorted.
func (t *Table) Teams() []string {
	names := make([]string, 0, len(t.teams))
	for n := range t.teams {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Evacuated reports whether no calls may go to the upstreams of a data centre.
func (t *Table) Evacuated(zone string) bool { return t.evacuations[zone] }

// Evacuations returns the data centres that are evacuated, sorted.
func (t *Table) Evacuations() []string {
	zones := make([]string, 0, len(t.evacuations))
	for z := range t.evacuations {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	return zones
}

// addTeam adds a team. A key that another team holds is a fault, which does not quote
// the key.
func (bs *buildState) addTeam(v config.Team) {
	team := &Team{team: v}
	bs.table.teams[v.Name] = team
	for _, k := range v.Keys {
		if other, ok := bs.table.teamsByKey[k]; ok && other.Name() != v.Name {
			bs.fault(config.MakeKey(config.KindTeam, v.Name), "keys", "team %q holds one of the keys too", other.Name())
			continue
		}
		bs.table.teamsByKey[k] = team
	}
}

// digestParts returns what Digest includes of the team.
func (t *Team) digestParts() []string {
	priority := ""
	if t.team.Priority != nil {
		priority = strconv.Itoa(*t.team.Priority)
	}
	return []string{
		t.team.Name, strings.Join(t.team.Keys, " "), priority,
		strconv.FormatFloat(t.team.Rate, 'g', -1, 64), strconv.FormatFloat(t.team.Burst, 'g', -1, 64),
	}
}
