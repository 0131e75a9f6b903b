package daemon

import "github.com/endivewalk/endivewalk/internal/directory"

// resume sends calls to the local upstreams of the daemon's previous incarnation
// again, if r is the final record of that incarnation. Only the final record is
// certain to show which upstreams were leaving: a daemon that was killed, or whose
// final record was lost, may have received a leave request that it did not pass on.
func (d *Daemon) resume(r directory.Record) {
	if d.config.Upstream == "" || !r.Stopped {
		return
	}
	d.record.mutex.Lock()
	previous := r.Incarnation < d.record.record.Incarnation
	d.record.mutex.Unlock()
	if !previous {
		return
	}
	if resumed := d.inbound.Resume(d.config.Clock(), d.config.Upstream, r.Upstreams); resumed > 0 {
		d.config.Counters.Add("upstreams_resumed", int64(resumed))
		d.config.Logger.Log("msg", "resumed the upstreams of the previous incarnation", "upstreams", resumed,
			"incarnation", r.Incarnation, "sequence", r.Sequence)
	}
}
