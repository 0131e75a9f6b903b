//go:build !linux

package accept

import (
	"errors"

	"github.com/zeebo/errs"
)

func refuse(int) error {
	return errs.New("accept: can't refuse new connections here: %w", errors.ErrUnsupported)
}
