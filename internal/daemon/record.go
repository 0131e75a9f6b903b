package daemon

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// ownRecord makes the daemon's own directory record.
type ownRecord struct {
	mutex  sync.Mutex
	record directory.Record
}

func (k *ownRecord) init(r directory.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.record = r
}

// renewRecord says anew what there is beside this daemon.
func (d *Daemon) renewRecord() {
	d.record.mutex.Lock()
	defer d.record.mutex.Unlock()
	r := &d.record.record
	if r.Host == "" {
		return // Not started yet.
	}
	r.Sequence++
	r.Leaving, r.Stopped = d.leaving.Load(), d.stopped.Load()
	r.Upstreams = d.inbound.Upstreams()
	d.hub.MergeRecords(d.config.Clock(), "", *r)
}

// correctRecord contradicts a directory that declares this daemon gone, or
// that holds a record of an earlier life as newer, as after a clock was set
// back.
func (d *Daemon) correctRecord() {
	said, ok := d.hub.Record(d.config.Host)
	if !ok {
		return
	}
	d.record.mutex.Lock()
	r := &d.record.record
	behind := said.Incarnation > r.Incarnation
	wrong := said.Gone || behind || said.Sequence > r.Sequence
	if behind {
		r.Incarnation = said.Incarnation + 1
		d.config.Counters.Add("incarnations_raised", 1)
	}
	if wrong && !behind {
		r.Sequence = max(r.Sequence, said.Sequence)
		d.config.Counters.Add("gone_contradicted", 1)
	}
	d.record.mutex.Unlock()
	if wrong {
		d.renewRecord()
	}
}
