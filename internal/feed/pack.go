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
	// minPackSize is the size of a delta's objects, in bytes, from which on it is
	// compressed. Smaller deltas fit into one or two packets.
	minPackSize = 2 << 10
	// maxUnpackedSize is how many bytes of a decompressed delta are read.
	maxUnpackedSize = 256 << 20
	// maxPacks is how many compressed deltas are cached for other children at the
	// same revision.
	maxPacks = 8
)

// packCache holds the most recently compressed deltas. After many restarts at
// once, or a large change, all children ask for the same delta, which is then
// compressed only once. The zero value is ready to use. It is safe for concurrent
// use.
type packCache struct {
	mutex   sync.Mutex
	entries []packedDelta
}

// packedDelta is a compressed delta with the fields that identify it.
type packedDelta struct {
	from   config.Revision
	to     config.Revision
	before catalog.Digest
	data   []byte
}

// pack returns the compressed delta, or nil if the delta is smaller than
// minPackSize. The caller must not modify the bytes, which the cache shares.
func (p *packCache) pack(d *catalog.Delta) ([]byte, error) {
	if bodySize(d) < minPackSize {
		return nil, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, e := range p.entries {
		if e.from == d.From && e.to == d.To && e.before == d.Before {
			return e.data, nil
		}
	}
	data, err := packDelta(d)
	if err != nil {
		return nil, err
	}
	if len(p.entries) == maxPacks {
		p.entries = append(p.entries[:0], p.entries[1:]...)
	}
	p.entries = append(p.entries, packedDelta{from: d.From, to: d.To, before: d.Before, data: data})
	return data, nil
}

// bodySize returns the total size of a delta's objects in bytes, uncompressed.
func bodySize(d *catalog.Delta) int {
	size := 0
	for i := range d.Entries {
		size += len(d.Entries[i].Object.Body)
	}
	return size
}

// packDelta encodes a delta with gob and compresses it with DEFLATE.
func packDelta(d *catalog.Delta) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, errs.New("feed: compress delta: %v", err)
	}
	if err = gob.NewEncoder(w).Encode(d); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errs.New("feed: compress delta: %v", err)
	}
	return b.Bytes(), nil
}

// unpackDelta is the inverse of packDelta. The error matches ErrBadMessage.
func unpackDelta(data []byte) (*catalog.Delta, error) {
	var d catalog.Delta
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedSize)
	if err := gob.NewDecoder(r).Decode(&d); err != nil {
		return nil, errs.Combine(ErrBadMessage, err)
	}
	return &d, nil
}

// compress replaces the delta of a reply by its compressed form, unless it is
// smaller than minPackSize.
func (h *Hub) compress(reply *PullReply) {
	if reply.Delta == nil {
		return
	}
	data, err := h.packs.pack(reply.Delta)
	if err != nil {
		h.config.Counters.Add("feed_pack_failed", 1) // The delta is sent uncompressed.
		return
	}
	if data != nil {
		h.config.Counters.Add("feed_packed_bytes", int64(len(data)))
		reply.Packed, reply.Delta = data, nil
	}
}

// delta returns the delta of a reply, decompressed, or nil if there is none. The
// error matches ErrBadMessage.
func (r *PullReply) delta() (*catalog.Delta, error) {
	if r.Packed == nil {
		return r.Delta, nil
	}
	return unpackDelta(r.Packed)
}
