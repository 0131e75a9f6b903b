package feed

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// minPackSize is the size of a delta's objects, in bytes, from which it is sent
	// compressed. Smaller ones fit into one or two packets.
	minPackSize = 2 << 10
	// maxUnpacked bounds what a compressed delta may unpack to, in bytes.
	maxUnpacked = 256 << 20
	// maxPacks is how many compressed deltas are kept for other children that
	// are at the same revision.
	maxPacks = 8
)

// packCache keeps the compressed deltas that were sent lately. After a herd of
// restarts, or a large change, all children ask for the same one; it is
// compressed once. The zero value is ready, and it is safe for concurrent use.
type packCache struct {
	mutex sync.Mutex
	kept  []packed
}

type packed struct {
	from   config.Revision
	to     config.Revision
	before catalog.Digest
	data   []byte
}

// pack returns a delta compressed, or nil if it is too small for that to help.
func (p *packCache) pack(d *catalog.Delta) ([]byte, error) {
	if sizeOf(d) < minPackSize {
		return nil, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, k := range p.kept {
		if k.from == d.From && k.to == d.To && k.before == d.Before {
			return k.data, nil
		}
	}
	data, err := packDelta(d)
	if err != nil {
		return nil, err
	}
	if len(p.kept) == maxPacks {
		p.kept = append(p.kept[:0], p.kept[1:]...)
	}
	p.kept = append(p.kept, packed{from: d.From, to: d.To, before: d.Before, data: data})
	return data, nil
}

func sizeOf(d *catalog.Delta) int {
	size := 0
	for i := range d.Entries {
		size += len(d.Entries[i].Object.Body)
	}
	return size
}

func packDelta(d *catalog.Delta) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, errs.New("feed: compress: %v", err)
	}
	if err = gob.NewEncoder(w).Encode(d); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errs.New("feed: compress: %v", err)
	}
	return b.Bytes(), nil
}

func unpackDelta(data []byte) (*catalog.Delta, error) {
	var d catalog.Delta
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpacked)
	if err := gob.NewDecoder(r).Decode(&d); err != nil {
		return nil, errs.Combine(ErrBadMessage, err)
	}
	return &d, nil
}

// compress replaces the delta of a reply by its compressed form where that
// helps.
func (h *Hub) compress(reply *PullReply) {
	if reply.Delta == nil {
		return
	}
	data, err := h.packs.pack(reply.Delta)
	if err != nil {
		h.config.Counters.Add("feed_pack_failed", 1) // The delta goes as it is.
		return
	}
	if data != nil {
		h.config.Counters.Add("feed_packed_bytes", int64(len(data)))
		reply.Packed, reply.Delta = data, nil
	}
}

// delta returns the delta of a reply, or nil if there is none. The error
// matches ErrBadMessage.
func (r *PullReply) delta() (*catalog.Delta, error) {
	if r.Packed == nil {
		return r.Delta, nil
	}
	return unpackDelta(r.Packed)
}
