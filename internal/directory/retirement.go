package directory

import (
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// Retirement says that an upstream has drained or left: it gets no new calls until
// it starts again. Unlike a Record, it is kept by the source, so that the daemon's
// next incarnation finds it.
type Retirement struct {
	ID string
	// Start is when the upstream started, in milliseconds since 1970; 0 if it does not
	// say. Announcements of this start and of earlier ones are outdated.
	Start int64
	// Sequence is that of the upstream's last announcement. It matters only if Start is
	// 0: announcements with a higher one, or without any, are not outdated then.
	Sequence uint64
}

// Check returns ErrInvalid unless the retirement is valid.
func (r Retirement) Check() error {
	if !config.ValidName(r.ID) || r.Start < 0 {
		return errs.Combine(ErrInvalid, errs.New("retirement of %.80q, started at %d", r.ID, r.Start))
	}
	return nil
}

// Binds reports whether any announcement is outdated after the retirement.
func (r Retirement) Binds() bool { return r.Start > 0 || r.Sequence > 0 }
