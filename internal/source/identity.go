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

const identityBytes = 6

func randomIdentity(string) string {
	b := make([]byte, identityBytes)
	rand.Read(b) // Never fails, by its documentation.
	return hex.EncodeToString(b)
}

// openFolder opens the data folder, or makes a new one. A damaged folder is
// set aside; its replica comes back empty under a new identity, as if its disk
// had been lost.
func openFolder(c Config, groupExists func() bool) (*disk.Store, string, quorum.InitialState, error) {
	store, id, start, err := disk.Open(c.Disk)
	switch {
	case err == nil:
		if len(start.Members) == 0 && id == memberID(c.Name, firstIdentity) {
			start.Members = firstMembers(c.Members)
		}
		return store, id, start, nil
	case errors.Is(err, disk.ErrDamaged) && len(c.Members) > 1:
		c.Logger.Log("msg", "data folder is damaged; set aside to join again", "err", err)
		c.Counters.Add("disk_damaged", 1)
		suffix := strconv.FormatInt(c.Clock().UnixNano(), 36)
		if err := disk.SetAside(c.Disk, suffix); err != nil {
			return nil, "", quorum.InitialState{}, err
		}
		return create(c, c.Identity(c.Name))
	case errors.Is(err, disk.ErrEmpty) && c.Init && (c.Voters == 0 || c.founds()):
		switch exists := groupExists(); {
		case exists && c.Voters > 0:
			return create(c, c.Identity(c.Name))
		case exists:
			return nil, "", quorum.InitialState{}, ErrExists
		}
		return create(c, firstIdentity)
	case errors.Is(err, disk.ErrEmpty) && (len(c.Members) > 1 || c.Voters > 0):
		return create(c, c.Identity(c.Name))
	default:
		return nil, "", quorum.InitialState{}, err
	}
}

// founds reports whether this replica is among the first members of an open
// group.
func (c Config) founds() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Name == c.Name })
}

func create(c Config, identity string) (*disk.Store, string, quorum.InitialState, error) {
	if err := disk.Create(c.Disk, memberID(c.Name, identity)); err != nil {
		return nil, "", quorum.InitialState{}, err
	}
	store, id, start, err := disk.Open(c.Disk)
	if err == nil && identity == firstIdentity {
		start.Members = firstMembers(c.Members)
	}
	return store, id, start, err
}

// existsTimeout bounds how long a first start waits for another replica's word
// on whether the group exists.
const existsTimeout = 500 * time.Millisecond
