package directory

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Shape describes the distribution tree, over which configuration reaches the
// daemons of a data centre. The zero value means the defaults.
type Shape struct {
	Relays int // Daemons of each data centre that pull from the source; 0 means 2.
	Fanout int // Maximum number of children of each daemon; 0 means 8.
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

// Parents returns the records of the daemons that the daemon on host should
// pull from, in order of preference: its ancestors in the tree, nearest first,
// then the other relays. A daemon without parents is a relay and pulls from the
// source. live holds the daemons that are not gone.
//
// The daemons of a data centre are ordered by a hash of the host name. A
// daemon's parents always come before it in that order, whatever else its
// directory holds. Daemons whose directories differ therefore never form a
// cycle.
func (s Shape) Parents(live []Record, host, zone string) []Record {
	s = s.withDefaults()
	ranked := rankByHash(live, zone)
	position := slices.IndexFunc(ranked, func(r Record) bool { return r.Host == host })
	if position < s.Relays {
		return nil
	}
	var parents []Record
	for i := position; i >= s.Relays; {
		i = (i - s.Relays) / s.Fanout
		parents = append(parents, ranked[i])
	}
	for _, r := range ranked[:s.Relays] {
		if r.Host != parents[len(parents)-1].Host {
			parents = append(parents, r)
		}
	}
	return parents
}

// rankByHash returns the daemons of a data centre that are not leaving, ordered
// by a hash of their host names.
func rankByHash(live []Record, zone string) []Record {
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
