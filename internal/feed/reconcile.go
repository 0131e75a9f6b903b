package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/peer"
)

const compareTimeout = 2 * time.Second

// Reconcile makes the directories of this process and another one equal, whatever
// either held before. The records it receives are stored as coming from the
// process from. It returns a cursor: the other process has all records up to it,
// but possibly none of the call statistics.
//
// A daemon calls it for a new parent and a source replica for another one. It
// also repairs records that the ordinary exchange of changes has missed. It
// makes up to two calls, each of which takes compareTimeout at most.
func (h *Hub) Reconcile(now time.Time, from string, other *peer.Client) (Cursor, error) {
	h.mutex.Lock()
	cursor := h.cursor()
	args := CompareArgs{Host: h.config.Host, Buckets: h.directory.Buckets()}
	h.mutex.Unlock()
	var reply CompareReply
	if err := other.Call("Feed.Compare", args, &reply, compareTimeout); err != nil {
		return Cursor{}, err
	}
	h.mutex.Lock()
	missing := h.directory.Newer(reply.Differing, reply.Records)
	h.mutex.Unlock()
	h.MergeRecords(now, from, reply.Records...)
	if len(missing) > 0 {
		h.config.Counters.Add("directory_records_mended", int64(len(missing)))
		err := other.Call("Feed.Tell", TellArgs{Host: h.config.Host, Records: missing}, &TellReply{}, compareTimeout)
		if err != nil {
			return Cursor{}, err
		}
	}
	return Cursor{records: cursor.records}, nil
}
