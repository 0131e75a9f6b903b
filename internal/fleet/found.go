package fleet

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/source"
)

// allocateReplicas returns the names and peer addresses of the source
// replicas, and their addresses for operators.
func (f *Fleet) allocateReplicas() ([]source.Member, []string, error) {
	var members []source.Member
	var operators []string
	for i := range f.config.Replicas {
		addresses, err := FreeAddresses(f.ip, 2)
		if err != nil {
			return nil, nil, err
		}
		members = append(members, source.Member{Name: "source-" + strconv.Itoa(i+1), Address: addresses[0]})
		operators = append(operators, addresses[1])
	}
	return members, operators, nil
}

// maxFoundings is how often foundGroup starts the replicas at most.
const maxFoundings = 10

// foundGroup starts the source replicas. A replica that starts after the others have
// elected a leader fails with source.ErrExists. If all data folders are new, foundGroup
// then removes them and begins again. After an error no replica is running.
func (f *Fleet) foundGroup() error {
	isNew := !slices.ContainsFunc(f.replicas, func(r *Replica) bool {
		_, err := os.Stat(r.Config.Disk.Folder)
		return !errors.Is(err, fs.ErrNotExist)
	})
	for n := 1; ; n++ {
		err := f.startReplicas()
		if err == nil {
			return nil
		}
		f.Stop()
		if !isNew || n == maxFoundings || !errors.Is(err, source.ErrExists) {
			return err
		}
		for _, r := range f.replicas {
			if err := os.RemoveAll(r.Config.Disk.Folder); err != nil {
				return errs.New("fleet: remove a data folder: %v", err)
			}
		}
	}
}

// startReplicas starts the source replicas until one fails to start.
func (f *Fleet) startReplicas() error {
	for i := range f.replicas {
		if err := f.StartReplica(i); err != nil {
			return err
		}
	}
	return nil
}
