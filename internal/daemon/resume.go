package daemon

import "github.com/endivewalk/endivewalk/internal/directory"

// resume takes up the upstreams that an earlier life of the daemon had beside
// it, if the record is that life's last word: then it says whether they were
// leaving. A daemon that was killed, or whose last word got lost, may have heard
// that an upstream leaves and told nobody.
func (d *Daemon) resume(r directory.Record) {
	if d.config.Upstream == "" || !r.Stopped {
		return
	}
	d.record.mutex.Lock()
	earlier := r.Incarnation < d.record.record.Incarnation
	d.record.mutex.Unlock()
	if !earlier {
		return
	}
	if count := d.inbound.Resume(d.config.Clock(), d.config.Upstream, r.Upstreams); count > 0 {
		d.config.Counters.Add("upstreams_resumed", int64(count))
		d.config.Logger.Log("msg", "goes on with the upstreams of its earlier life", "upstreams", count,
			"incarnation", r.Incarnation, "sequence", r.Sequence)
	}
}
