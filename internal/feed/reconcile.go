package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/peer"
)

const compareTimeout = 2 * time.Second

// Reconcile makes the directories of this process and another one equal,
// whatever either had learned before. It returns the cursor behind which the
// other one lacks nothing but evidence.
//
// It is how a daemon meets a new parent and a source replica another one, and
// it mends what the ordinary flow of changes has missed.
func (h *Hub) Reconcile(now time.Time, from string, other *peer.Client) (Cursor, error) {
	h.mutex.Lock()
	at := h.cursor()
	args := CompareArgs{Host: h.config.Host, Buckets: h.directory.Buckets()}
	h.mutex.Unlock()
	var reply CompareReply
	if err := other.Call("Feed.Compare", args, &reply, compareTimeout); err != nil {
		return Cursor{}, err
	}
	h.mutex.Lock()
	mine := h.directory.Newer(reply.Differing, reply.Records)
	h.mutex.Unlock()
	h.MergeRecords(now, from, reply.Records...)
	if len(mine) > 0 {
		h.config.Counters.Add("directory_records_mended", int64(len(mine)))
		err := other.Call("Feed.Tell", TellArgs{Host: h.config.Host, Records: mine}, &TellReply{}, compareTimeout)
		if err != nil {
			return Cursor{}, err
		}
	}
	return Cursor{records: at.records}, nil
}
