// Package settings reads and validates the settings files of source replicas
// and daemons, which are JSON with comments. All problems of a file are
// reported at once, each with its line.
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

// Source holds the settings of a source replica. Addresses are an IP address
// and a port. Optional settings that are zero get the defaults of package
// source.
type Source struct {
	Name         string    `json:"name" jsonc:"required"`
	Zone         string    `json:"zone" jsonc:"required"`     // The data centre.
	Peer         string    `json:"peer" jsonc:"required"`     // Address for other processes of the system.
	Operator     string    `json:"operator" jsonc:"required"` // Address for operators' clients.
	Folder       string    `json:"folder" jsonc:"required"`   // Path of the data folder.
	Sources      []Replica `json:"sources" jsonc:"required"`  // All replicas, including this one.
	Tokens       []Token   `json:"tokens" jsonc:"required"`
	Timing       Timing    `json:"timing"`
	MinFreeBytes int       `json:"reserve"` // Bytes that must stay free on the disk.
}

// Replica identifies one replica of the source. Each replica's settings list
// all replicas.
type Replica struct {
	Name     string `json:"name" jsonc:"required"`
	Zone     string `json:"zone" jsonc:"required"`
	Peer     string `json:"peer" jsonc:"required"`
	Operator string `json:"operator" jsonc:"required"`
}

// Token authorizes an operator. Settings hold only the hash of the token.
type Token struct {
	Operator string `json:"operator" jsonc:"required"` // Name of the operator.
	SHA256   string `json:"sha256" jsonc:"required"`   // Hash of the token, in hexadecimal digits.
}

// Timing holds the parameters of the replicas' consensus. Heartbeat and
// Election are set together or not at all.
type Timing struct {
	HeartbeatInterval config.Duration `json:"heartbeat"` // Interval between the leader's heartbeats.
	ElectionTimeout   config.Duration `json:"election"`  // Election timeout; at least minElectionHeartbeats intervals.
	SnapshotEntries   int             `json:"snapshot"`  // Log entries between snapshots.
}

// Daemon holds the settings of a daemon. Addresses are an IP address and a
// port. Optional settings that are zero get the defaults of package daemon.
type Daemon struct {
	Name      string          `json:"name" jsonc:"required"`
	Zone      string          `json:"zone" jsonc:"required"`    // The data centre.
	Outbound  string          `json:"caller" jsonc:"required"`  // Address of the outbound proxy, for callers.
	Inbound   string          `json:"gate" jsonc:"required"`    // Address of the inbound proxy, for other daemons' calls.
	Peer      string          `json:"peer" jsonc:"required"`    // Address for other processes of the system.
	Local     string          `json:"local" jsonc:"required"`   // Address for the local upstreams' announcements.
	Sources   []string        `json:"sources" jsonc:"required"` // Peer addresses of source replicas.
	Witnesses []string        `json:"keepers"`                  // Peer addresses of daemons that remember this one's minimum revision.
	Claims    Claims          `json:"claims"`
	DrainTime config.Duration `json:"linger"` // How long a leaving daemon still accepts calls.
	Tree      Tree            `json:"tree"`
}

// Claims names the claim replicas: the daemons that store the claims of calls
// with an idempotency key. It must be the same in the settings of all daemons.
type Claims struct {
	Replicas []string        `json:"keepers"`  // Peer addresses, in the same order everywhere.
	Lifetime config.Duration `json:"lifetime"` // How long a key is remembered.
}

// Tree holds the shape of the tree that distributes configuration to daemons.
type Tree struct {
	Relays int `json:"relays"` // Daemons of a data centre that pull from the source.
	Fanout int `json:"fanout"` // Children of every other daemon.
}

// ReadSource reads the settings file of a source replica, parses and checks it.
// Errors are those of ParseSource, or say that the file could not be read.
func ReadSource(path string) (*Source, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.New("settings: %v", err)
	}
	return ParseSource(path, data)
}

// ParseSource parses and checks the settings of a source replica in data. name
// is the file name that the error shows. The error lists all problems and
// matches jsonc.ErrInvalid.
func ParseSource(name string, data []byte) (*Source, error) {
	var s Source
	f := jsonc.Decode(name, data, &s)
	if f.Err() == nil {
		s.check(f)
	}
	return &s, f.Err()
}

// ReadDaemon reads the settings file of a daemon, parses and checks it. Errors
// are those of ParseDaemon, or say that the file could not be read.
func ReadDaemon(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.New("settings: %v", err)
	}
	return ParseDaemon(path, data)
}

// ParseDaemon parses and checks the settings of a daemon in data. name is the
// file name that the error shows. The error lists all problems and matches
// jsonc.ErrInvalid.
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
	if s.MinFreeBytes < 0 {
		f.Report("reserve", "want a number of bytes")
	}
}

func (s *Source) checkReplicas(f *jsonc.File) {
	if n := len(s.Sources); n != 1 && n != 3 && n != 5 {
		f.Report("sources", "want 1, 3 or 5 replicas, got %d", n)
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	selfListed := false
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
		selfListed = selfListed || r == Replica{Name: s.Name, Zone: s.Zone, Peer: s.Peer, Operator: s.Operator}
	}
	if !selfListed {
		f.Report("sources", "none of them is this replica, %q, with its zone and addresses", s.Name)
	}
}

// minElectionHeartbeats is the smallest number of heartbeat intervals that an
// election timeout may span.
const minElectionHeartbeats = 4

func (t Timing) check(f *jsonc.File) {
	if t.SnapshotEntries < 0 {
		f.Report("timing.snapshot", "want a number of changes")
	}
	if (t.HeartbeatInterval == 0) != (t.ElectionTimeout == 0) {
		f.Report("timing", "heartbeat and election go together")
		return
	}
	if t.ElectionTimeout < minElectionHeartbeats*t.HeartbeatInterval {
		f.Report("timing.election", "want at least %d times the heartbeat of %v", minElectionHeartbeats, t.HeartbeatInterval)
	}
}

// maxDrainTime keeps the graceful shutdown of a daemon within the time that
// hosts wait for a process to exit.
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

// checkPeers checks a list of daemons' addresses that may not contain excluded.
// A majority of the daemons must respond. The number must be odd unless it is
// 0: an even number tolerates no more failures than one daemon fewer.
func checkPeers(f *jsonc.File, path string, addresses []string, excluded string) {
	if n := len(addresses); n != 0 && n != 3 && n != 5 {
		f.Report(path, "want none, 3 or 5 daemons, got %d", n)
	}
	seen := map[string]bool{excluded: true}
	for i, a := range addresses {
		elementPath := path + "[" + strconv.Itoa(i) + "]"
		checkAddress(f, elementPath, a)
		if seen[a] {
			f.Report(elementPath, "%s stands twice, or is this daemon", a)
		}
		seen[a] = true
	}
}

func (c Claims) check(f *jsonc.File) {
	checkPeers(f, "claims.keepers", c.Replicas, "")
	if c.Lifetime != 0 && c.Lifetime < minClaimLifetime {
		f.Report("claims.lifetime", "want at least %v", minClaimLifetime)
	}
}

// minClaimLifetime is far longer than any call takes.
const minClaimLifetime = config.Duration(time.Minute)

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

// checkDistinct checks the addresses of one process, which must differ. The
// addresses are given by settings path and checked in the order of paths.
func checkDistinct(f *jsonc.File, addresses map[string]string, paths []string) {
	seen := map[string]string{}
	for _, path := range paths {
		a := addresses[path]
		checkAddress(f, path, a)
		if owner, ok := seen[a]; ok {
			f.Report(path, "%s is the address of %q already", a, owner)
		}
		seen[a] = path
	}
}
