package source

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/quorum"
)

const identityBytes = 6 // Length of a random identity.

// randomIdentity is the default of Config.Identity. It returns hexadecimal
// digits.
func randomIdentity(string) string {
	b := make([]byte, identityBytes)
	rand.Read(b) // Documented to never return an error.
	return hex.EncodeToString(b)
}

// openFolder opens the data folder, or creates it if it is empty. It returns the
// open store, the member ID of the replica and the state to start from.
//
// If a damaged folder belongs to a group of several members, its files are
// renamed and the replica starts empty under a new identity, as after the loss
// of the disk. A replica with an empty folder and Config.Init starts a new group
// under founderIdentity, unless groupExists returns true: then it joins an open
// group under a new identity, or fails with ErrExists if the group is closed.
// Without Config.Init a replica with an empty folder joins under a new identity;
// in a closed group of one member it fails with disk.ErrEmpty.
func openFolder(c Config, groupExists func() bool) (*disk.Store, string, quorum.InitialState, error) {
	store, id, start, err := disk.Open(c.Disk)
	switch {
	case err == nil:
		if len(start.Members) == 0 && id == memberID(c.Name, founderIdentity) {
			start.Members = founderMembers(c.Founders)
		}
		return store, id, start, nil
	case errors.Is(err, disk.ErrDamaged) && len(c.Founders) > 1:
		c.Logger.Log("msg", "data folder is damaged; renaming its files and joining the group under a new identity", "err", err)
		c.Counters.Add("disk_damaged", 1)
		suffix := strconv.FormatInt(c.Clock().UnixNano(), 36)
		if err := disk.SetAside(c.Disk, suffix); err != nil {
			return nil, "", quorum.InitialState{}, err
		}
		return createFolder(c, c.Identity(c.Name))
	case errors.Is(err, disk.ErrEmpty) && c.Init && (c.Voters == 0 || c.isFounder()):
		switch exists := groupExists(); {
		case exists && c.Voters > 0:
			return createFolder(c, c.Identity(c.Name))
		case exists:
			return nil, "", quorum.InitialState{}, ErrExists
		}
		return createFolder(c, founderIdentity)
	case errors.Is(err, disk.ErrEmpty) && (len(c.Founders) > 1 || c.Voters > 0):
		return createFolder(c, c.Identity(c.Name))
	default:
		return nil, "", quorum.InitialState{}, err
	}
}

// isFounder reports whether Founders contains this replica.
func (c Config) isFounder() bool {
	return slices.ContainsFunc(c.Founders, func(m Member) bool { return m.Name == c.Name })
}

// createFolder creates the data folder under an identity and opens it.
func createFolder(c Config, identity string) (*disk.Store, string, quorum.InitialState, error) {
	if err := disk.Create(c.Disk, memberID(c.Name, identity)); err != nil {
		return nil, "", quorum.InitialState{}, err
	}
	store, id, start, err := disk.Open(c.Disk)
	if err == nil && identity == founderIdentity {
		start.Members = founderMembers(c.Founders)
	}
	return store, id, start, err
}

// existsTimeout limits each call by which groupExists asks another replica
// whether the group exists.
const existsTimeout = 500 * time.Millisecond
