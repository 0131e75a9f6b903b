package directory

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// Source is a replica of the source, as daemons know it.
type Source struct {
	Address string
	Zone    string // Empty if not known.
}

// PreferSources orders the source replicas for a daemon: those of its own data
// centre first, since bytes between data centres are dear. Among these and
// among the others each daemon has an order of its own, which spreads them.
func PreferSources(sources []Source, host, zone string) []string {
	ordered := slices.Clone(sources)
	slices.SortFunc(ordered, func(a, b Source) int {
		switch near := a.Zone == zone; {
		case near != (b.Zone == zone) && near:
			return -1
		case near != (b.Zone == zone):
			return 1
		}
		ha, hb := xxh3.HashString(zone+"/"+host+"/"+a.Address), xxh3.HashString(zone+"/"+host+"/"+b.Address)
		if ha < hb {
			return -1
		}
		return 1
	})
	addresses := make([]string, len(ordered))
	for i, s := range ordered {
		addresses[i] = s.Address
	}
	return addresses
}

// HasSourceIn reports whether a replica is known to be in a data centre.
func HasSourceIn(sources []Source, zone string) bool {
	return slices.ContainsFunc(sources, func(s Source) bool { return s.Zone == zone })
}

// DigestSources identifies a list of replicas; it is 0 only for an empty one.
func DigestSources(sources []Source) Digest {
	if len(sources) == 0 {
		return 0
	}
	h := xxh3.New()
	var size [4]byte
	for _, s := range sources {
		for _, text := range []string{s.Address, s.Zone} {
			binary.BigEndian.PutUint32(size[:], uint32(len(text)))
			h.Write(size[:])
			h.WriteString(text)
		}
	}
	return Digest(h.Sum64() | 1)
}
