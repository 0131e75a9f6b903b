package daemon

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// ownRecord holds the newest version of the daemon's own directory record.
type ownRecord struct {
	mutex  sync.Mutex // Guards record.
	record directory.Record
}

// init sets the first version of the record.
func (o *ownRecord) init(r directory.Record) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.record = r
}

// renewRecord publishes a new version of the daemon's record, with its current local
// upstreams and state.
func (d *Daemon) renewRecord() {
	d.record.mutex.Lock()
	defer d.record.mutex.Unlock()
	r := &d.record.record
	if r.Host == "" {
		return // Start has not called init yet.
	}
	r.Sequence++
	r.Leaving, r.Stopped = d.leaving.Load(), d.stopped.Load()
	r.Upstreams = d.inbound.Upstreams()
	d.hub.MergeRecords(d.config.Clock(), "", *r)
}

// correctRecord publishes a newer record if the directory declares this daemon gone
// or prefers a record of a previous incarnation. The latter happens after the clock
// was set back.
func (d *Daemon) correctRecord() {
	published, ok := d.hub.Record(d.config.Host)
	if !ok {
		return
	}
	d.record.mutex.Lock()
	r := &d.record.record
	behind := published.Incarnation > r.Incarnation
	contradict := published.Gone || behind || published.Sequence > r.Sequence
	if behind {
		r.Incarnation = published.Incarnation + 1
		d.config.Counters.Add("incarnations_raised", 1)
	}
	if contradict && !behind {
		r.Sequence = max(r.Sequence, published.Sequence)
		d.config.Counters.Add("gone_contradicted", 1)
	}
	d.record.mutex.Unlock()
	if contradict {
		d.renewRecord()
	}
}
