//go:build !linux

package accept

import (
	"errors"

	"github.com/zeebo/errs"
)

// refuse returns an error that matches errors.ErrUnsupported.
func refuse(int) error {
	return errs.New("accept: refusing new connections is not implemented on this system: %w", errors.ErrUnsupported)
}
