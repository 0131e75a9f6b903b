package directory

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// Source is a replica of the source, as listed for daemons.
type Source struct {
	Address string
	Zone    string // Its data centre; empty if unknown.
}

// PreferSources returns the addresses of the source replicas in the order in
// which the daemon on host should try them. Replicas of its own data centre come
// first, since traffic between data centres is expensive. Within both groups the
// order depends on the host, which spreads daemons over the replicas.
func PreferSources(sources []Source, host, zone string) []string {
	ordered := slices.Clone(sources)
	slices.SortFunc(ordered, func(a, b Source) int {
		switch local := a.Zone == zone; {
		case local != (b.Zone == zone) && local:
			return -1
		case local != (b.Zone == zone):
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

// HasSourceIn reports whether any of the replicas is known to be in the data
// centre zone.
func HasSourceIn(sources []Source, zone string) bool {
	return slices.ContainsFunc(sources, func(s Source) bool { return s.Zone == zone })
}

// DigestSources returns a hash of a list of replicas, which depends on their
// order. It is 0 only for an empty list.
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
