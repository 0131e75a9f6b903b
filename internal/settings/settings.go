// Package settings reads the settings of a process, which are JSON with
// comments. Everything that is wrong is reported at once, with its line.
package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/jsonc"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Source holds the settings of a source replica.
type Source struct {
	Name     string    `json:"name" jsonc:"required"`
	Zone     string    `json:"zone" jsonc:"required"`
	Peer     string    `json:"peer" jsonc:"required"`
	Operator string    `json:"operator" jsonc:"required"`
	Folder   string    `json:"folder" jsonc:"required"`
	Sources  []Replica `json:"sources" jsonc:"required"`
	Tokens   []Token   `json:"tokens" jsonc:"required"`
	Timing   Timing    `json:"timing"`
	Reserve  int       `json:"reserve"` // Bytes that must stay free on the disk.
}

// Replica is one replica of the source, this one among them.
type Replica struct {
	Name     string `json:"name" jsonc:"required"`
	Zone     string `json:"zone" jsonc:"required"`
	Peer     string `json:"peer" jsonc:"required"`
	Operator string `json:"operator" jsonc:"required"`
}

// Token lets an operator in. Only its hash is kept.
type Token struct {
	Operator string `json:"operator" jsonc:"required"`
	SHA256   string `json:"sha256" jsonc:"required"`
}

// Timing holds the spans of the source's consensus.
type Timing struct {
	Heartbeat config.Duration `json:"heartbeat"`
	Election  config.Duration `json:"election"`
	Snapshot  int             `json:"snapshot"` // Changes between snapshots.
}

// Daemon holds the settings of a daemon.
type Daemon struct {
	Name      string          `json:"name" jsonc:"required"`
	Zone      string          `json:"zone" jsonc:"required"`
	Outbound  string          `json:"caller" jsonc:"required"`
	Inbound   string          `json:"gate" jsonc:"required"`
	Peer      string          `json:"peer" jsonc:"required"`
	Local     string          `json:"local" jsonc:"required"`
	Sources   []string        `json:"sources" jsonc:"required"` // Their peer addresses.
	Witnesses []string        `json:"keepers"`                  // Peer addresses of daemons that remember this one's floor.
	Claims    Claims          `json:"claims"`
	DrainTime config.Duration `json:"linger"`
	Tree      Tree            `json:"tree"`
}

// Claims names the daemons that keep the claims of keyed calls, which must be
// the same in the settings of all daemons.
type Claims struct {
	Replicas []string        `json:"keepers"` // Peer addresses, in the same order everywhere.
	Lifetime config.Duration `json:"lifetime"`
}

// Tree holds the shape of the tree by which configuration reaches daemons.
type Tree struct {
	Relays int `json:"relays"`
	Fanout int `json:"fanout"`
}

// ReadSource reads and checks the settings of a source replica.
func ReadSource(path string) (*Source, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.New("settings: %v", err)
	}
	return ParseSource(path, data)
}

// ParseSource checks settings that have been read already.
func ParseSource(name string, data []byte) (*Source, error) {
	var s Source
	f := jsonc.Decode(name, data, &s)
	if f.Err() == nil {
		s.check(f)
	}
	return &s, f.Err()
}

// ReadDaemon reads and checks the settings of a daemon.
func ReadDaemon(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.New("settings: %v", err)
	}
	return ParseDaemon(path, data)
}

// ParseDaemon checks settings that have been read already.
func ParseDaemon(name string, data []byte) (*Daemon, error) {
	var d Daemon
	f := jsonc.Decode(name, data, &d)
	if f.Err() == nil {
		d.check(f)
	}
	return &d, f.Err()
}

func (s *Source) check(f *jsonc.File) {
	checkName(f, "name", s.Name)
	checkName(f, "zone", s.Zone)
	checkDistinct(f, map[string]string{"peer": s.Peer, "operator": s.Operator}, []string{"peer", "operator"})
	if s.Folder == "" {
		f.Report("folder", "want the path of a folder")
	}
	s.checkReplicas(f)
	if len(s.Tokens) == 0 {
		f.Report("tokens", "want at least one, or no operator can get in")
	}
	for i, t := range s.Tokens {
		path := "tokens[" + strconv.Itoa(i) + "]"
		checkName(f, path+".operator", t.Operator)
		if sum, err := hex.DecodeString(t.SHA256); err != nil || len(sum) != 32 {
			f.Report(path+".sha256", "want 64 hexadecimal digits, as \"endivewalk token\" prints them")
		}
	}
	s.Timing.check(f)
	if s.Reserve < 0 {
		f.Report("reserve", "want a number of bytes")
	}
}

func (s *Source) checkReplicas(f *jsonc.File) {
	if n := len(s.Sources); n != 1 && n != 3 && n != 5 {
		f.Report("sources", "want 1, 3 or 5 replicas, got %d", n)
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	self := false
	for i, r := range s.Sources {
		path := "sources[" + strconv.Itoa(i) + "]"
		checkName(f, path+".name", r.Name)
		checkName(f, path+".zone", r.Zone)
		if names[r.Name] {
			f.Report(path+".name", "%q stands twice", r.Name)
		}
		names[r.Name] = true
		checkAddress(f, path+".peer", r.Peer)
		checkAddress(f, path+".operator", r.Operator)
		for _, a := range []string{r.Peer, r.Operator} {
			if addresses[a] {
				f.Report(path, "address %s is used twice", a)
			}
			addresses[a] = true
		}
		self = self || r == Replica{Name: s.Name, Zone: s.Zone, Peer: s.Peer, Operator: s.Operator}
	}
	if !self {
		f.Report("sources", "none of them is this replica, %q, with its zone and addresses", s.Name)
	}
}

// minElectionBeats is how many heartbeats an election time-out must span.
const minElectionBeats = 4

func (t Timing) check(f *jsonc.File) {
	if t.Snapshot < 0 {
		f.Report("timing.snapshot", "want a number of changes")
	}
	if (t.Heartbeat == 0) != (t.Election == 0) {
		f.Report("timing", "heartbeat and election go together")
		return
	}
	if t.Election < minElectionBeats*t.Heartbeat {
		f.Report("timing.election", "want at least %d times the heartbeat of %v", minElectionBeats, t.Heartbeat)
	}
}

// maxDrainTime keeps a daemon's leave within the time that hosts wait for a
// process to end.
const maxDrainTime = config.Duration(time.Minute)

func (d *Daemon) check(f *jsonc.File) {
	checkName(f, "name", d.Name)
	checkName(f, "zone", d.Zone)
	checkDistinct(f,
		map[string]string{"caller": d.Outbound, "gate": d.Inbound, "peer": d.Peer, "local": d.Local},
		[]string{"caller", "gate", "peer", "local"})
	if len(d.Sources) == 0 {
		f.Report("sources", "want the peer address of at least one replica")
	}
	for i, a := range d.Sources {
		checkAddress(f, "sources["+strconv.Itoa(i)+"]", a)
	}
	checkPeers(f, "keepers", d.Witnesses, d.Peer)
	d.Claims.check(f)
	if d.DrainTime > maxDrainTime {
		f.Report("linger", "want at most %v", maxDrainTime)
	}
	if d.Tree.Relays < 0 || d.Tree.Fanout < 0 {
		f.Report("tree", "relays and fanout can't be negative")
	}
}

// checkPeers checks a list of daemons of which most must answer. An even
// number could lose no more of them than one less.
func checkPeers(f *jsonc.File, path string, keepers []string, not string) {
	if n := len(keepers); n != 0 && n != 3 && n != 5 {
		f.Report(path, "want none, 3 or 5 daemons, got %d", n)
	}
	seen := map[string]bool{not: true}
	for i, a := range keepers {
		at := path + "[" + strconv.Itoa(i) + "]"
		checkAddress(f, at, a)
		if seen[a] {
			f.Report(at, "%s stands twice, or is this daemon", a)
		}
		seen[a] = true
	}
}

func (c Claims) check(f *jsonc.File) {
	checkPeers(f, "claims.keepers", c.Replicas, "")
	if c.Lifetime != 0 && c.Lifetime < minLifetime {
		f.Report("claims.lifetime", "want at least %v", minLifetime)
	}
}

// minLifetime is far longer than any call takes.
const minLifetime = config.Duration(time.Minute)

func checkName(f *jsonc.File, path, name string) {
	if !config.ValidName(name) {
		f.Report(path, "%q is no valid name: want lower case letters, digits and inner hyphens", name)
	}
}

func checkAddress(f *jsonc.File, path, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		f.Report(path, "want an IP number and a port such as \"127.0.0.1:7100\", got %q", address)
	case a.Addr().IsUnspecified():
		f.Report(path, "others must be able to reach the address, so it can't be %s", a.Addr())
	case a.Port() == 0:
		f.Report(path, "want a port other than 0")
	}
}

// checkDistinct checks the addresses of one process, which must differ.
func checkDistinct(f *jsonc.File, addresses map[string]string, order []string) {
	seen := map[string]string{}
	for _, path := range order {
		a := addresses[path]
		checkAddress(f, path, a)
		if other, ok := seen[a]; ok {
			f.Report(path, "%s is the address of %q already", a, other)
		}
		seen[a] = path
	}
}
