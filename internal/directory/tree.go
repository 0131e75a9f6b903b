package directory

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Shape is the form of the tree by which configuration reaches the daemons.
type Shape struct {
	Relays int // Daemons of a data centre that pull from the source; 0 means 2.
	Fanout int // Children of every other daemon; 0 means 8.
}

const (
	defaultRelays = 2
	defaultFanout = 8
)

func (s Shape) withDefaults() Shape {
	if s.Relays == 0 {
		s.Relays = defaultRelays
	}
	if s.Fanout == 0 {
		s.Fanout = defaultFanout
	}
	return s
}

// Parents returns the hosts that a daemon should pull from, best first; a
// daemon with none is a relay and pulls from the source.
//
// The daemons of a data centre are ranked by a hash. A daemon's parents always
// rank before it, whatever else its directory holds, so that daemons that
// differ about who is there never form a circle.
func (s Shape) Parents(live []Record, host, zone string) []Record {
	s = s.withDefaults()
	ranked := rank(live, zone)
	position := slices.IndexFunc(ranked, func(r Record) bool { return r.Host == host })
	if position < s.Relays {
		return nil
	}
	var parents []Record
	for at := position; at >= s.Relays; {
		at = (at - s.Relays) / s.Fanout
		parents = append(parents, ranked[at])
	}
	for _, r := range ranked[:s.Relays] {
		if r.Host != parents[len(parents)-1].Host {
			parents = append(parents, r)
		}
	}
	return parents
}

// rank returns the daemons of a data centre that stay, in the tree's order.
func rank(live []Record, zone string) []Record {
	var ranked []Record
	for _, r := range live {
		if r.Zone == zone && !r.Leaving {
			ranked = append(ranked, r)
		}
	}
	slices.SortFunc(ranked, func(a, b Record) int {
		ha, hb := xxh3.HashString(zone+"/"+a.Host), xxh3.HashString(zone+"/"+b.Host)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		default:
			return 0
		}
	})
	return ranked
}
