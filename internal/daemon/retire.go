package daemon

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
)

const (
	// retireTimeout limits how long an upstream waits for the answer to its leave. It
	// gives up after a second.
	retireTimeout = 850 * time.Millisecond
	// maxAnnouncementDelay bounds how late an announcement is expected to arrive. Those
	// that arrive later than that after the daemon's start were sent after it.
	maxAnnouncementDelay = 6 * time.Second
)

// ErrNotRecorded means that an upstream gets no new calls, but that the source has not
// recorded that: the daemon's next incarnation may not know it.
var ErrNotRecorded = feed.ErrNotRecorded

// Retire stops new calls to an upstream that drains or leaves, and has the source
// record that. A nil error is an acknowledgement that also binds the daemon's next
// incarnation. start is when the upstream started, in milliseconds since 1970, or 0 if
// it does not say. The error is ErrNotRecorded or upstream.ErrStopping, or matches
// upstream.ErrInvalid.
func (d *Daemon) Retire(id string, start int64) error {
	begin := d.config.Clock()
	retirement, recorded, err := d.inbound.Retire(begin, id, start)
	if err != nil || recorded {
		return err
	}
	err = d.feedClient.Retire(retirement, begin.Add(retireTimeout))
	d.config.Logger.Log("msg", "recorded that an upstream gets no new calls", "upstream", id, "start", retirement.Start,
		"took", d.config.Clock().Sub(begin), "err", err)
	if err != nil {
		d.config.Counters.Add("retirements_not_recorded", 1)
		return err
	}
	d.inbound.MarkRecorded(retirement)
	return nil
}

// setRetirements tells the inbound proxy which local upstreams have retired.
func (d *Daemon) setRetirements(retired []directory.Retirement) {
	d.inbound.SetRetirements(d.config.Clock(), retired)
}

// releaseAnnouncements accepts announcements although the source cannot be asked for
// retirements, once an announcement that arrives cannot be a late one any more.
func (d *Daemon) releaseAnnouncements(now time.Time) {
	if now.Sub(d.startedAt) <= maxAnnouncementDelay {
		return
	}
	if ended := d.inbound.ReleaseAnnouncements(now); ended > 0 {
		d.config.Logger.Log("msg", "the source could not be asked which upstreams have left; they must announce themselves again", "upstreams", ended)
	}
}
