package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"

	"github.com/endivewalk/endivewalk/internal/codec"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/quorum"
)

// A frame is what one Save wrote:
//
//	4 bytes  magic
//	4 bytes  length of the payload, big endian
//	4 bytes  CRC-32C of the eight bytes before
//	4 bytes  CRC-32C of the payload
//	n bytes  payload, a CBOR record
//
// The header has a checksum of its own, so that a flipped bit in the length of
// the last frame is not taken for a write that a crash cut short.
const (
	lengthAt      = 4
	headerCheckAt = 8
	dataCheckAt   = 12
	headerSize    = 16
)

var (
	frameMagic = []byte{0xE4, 'w', 'l', 'k'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// record is the payload of a frame.
type record struct {
	Hard     *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries  []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	Snapshot *quorum.Snapshot  `cbor:"3,keyasint,omitempty"`
}

func encodeFrame(r record) ([]byte, error) {
	payload, err := codec.Marshal(r)
	if err != nil {
		return nil, errs.New("disk: encode: %v", err)
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	copy(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[lengthAt:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[headerCheckAt:], crc32.Checksum(frame[:headerCheckAt], castagnoli))
	binary.BigEndian.PutUint32(frame[dataCheckAt:], crc32.Checksum(payload, castagnoli))
	return append(frame, payload...), nil
}

// decodeFrame reads the frame at the start of data. It returns the frame's
// length, or io.ErrUnexpectedEOF if data ends within it, or ErrDamaged.
func decodeFrame(data []byte) (record, int, error) {
	var r record
	if len(data) < headerSize {
		return r, 0, io.ErrUnexpectedEOF
	}
	headerCheck := binary.BigEndian.Uint32(data[headerCheckAt:])
	if !bytes.HasPrefix(data, frameMagic) || crc32.Checksum(data[:headerCheckAt], castagnoli) != headerCheck {
		return r, 0, ErrDamaged
	}
	length := int(binary.BigEndian.Uint32(data[lengthAt:]))
	if len(data) < headerSize+length {
		return r, 0, io.ErrUnexpectedEOF
	}
	payload := data[headerSize : headerSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[dataCheckAt:]) {
		return r, 0, ErrDamaged
	}
	if err := codec.Unmarshal(payload, &r); err != nil {
		return r, 0, ErrDamaged
	}
	return r, headerSize + length, nil
}

// hasFrame reports whether a whole frame begins anywhere in data. A frame
// behind a cut means that the cut lies among synced records.
func hasFrame(data []byte) bool {
	for {
		i := bytes.Index(data, frameMagic)
		if i < 0 {
			return false
		}
		data = data[i:]
		if _, _, err := decodeFrame(data); err == nil {
			return true
		}
		data = data[1:]
	}
}

// read loads snapshot and log and opens the log for appending.
func (s *Store) read() (quorum.InitialState, error) {
	var start quorum.InitialState
	snapshot, err := s.readSnapshot()
	if err != nil {
		return start, err
	}
	start.Snapshot = snapshot
	data, err := os.ReadFile(s.path(logName))
	if err != nil {
		return start, errs.Combine(ErrDamaged, err)
	}
	size, err := readLog(data, &start)
	if err != nil {
		return start, err
	}
	if err := s.reopen(int64(size)); err != nil {
		return start, err
	}
	if err := s.log.Truncate(int64(size)); err != nil {
		return start, errs.New("disk: %v", err)
	}
	if err := s.config.Sync(s.log); err != nil {
		return start, errs.Combine(ErrSync, err)
	}
	return start, nil
}

func (s *Store) readSnapshot() (*quorum.Snapshot, error) {
	data, err := os.ReadFile(s.path(snapshotName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errs.New("disk: %v", err)
	}
	r, n, err := decodeFrame(data)
	if err != nil || n != len(data) || r.Snapshot == nil {
		return nil, errs.Combine(ErrDamaged, errs.New("disk: snapshot"))
	}
	return r.Snapshot, nil
}

// readLog replays all frames and returns how many bytes of data are whole.
func readLog(data []byte, start *quorum.InitialState) (int, error) {
	at := 0
	for at < len(data) {
		r, n, err := decodeFrame(data[at:])
		if err == io.ErrUnexpectedEOF && !hasFrame(data[at+1:]) {
			break
		}
		if err != nil {
			return 0, errs.Combine(ErrDamaged, errs.New("disk: log at byte %d", at))
		}
		if err := replay(r, start); err != nil {
			return 0, err
		}
		at += n
	}
	return at, trimToSnapshot(start)
}

func replay(r record, start *quorum.InitialState) error {
	if r.Hard != nil {
		start.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if len(start.Entries) == 0 || e.Index < start.Entries[0].Index {
			start.Entries = []quorum.Entry{e}
			continue
		}
		keep := int(e.Index - start.Entries[0].Index)
		if keep > len(start.Entries) {
			return errs.Combine(ErrDamaged, errs.New("disk: entry %d is missing", e.Index-1))
		}
		start.Entries = append(start.Entries[:keep:keep], e)
	}
	return nil
}

// trimToSnapshot drops the entries that the snapshot covers. Where the log
// disagrees with the snapshot, a crash came between the writing of an
// installed snapshot and the emptying of the log, and all of it goes.
func trimToSnapshot(start *quorum.InitialState) error {
	base := quorum.Index(0)
	if start.Snapshot != nil {
		base = start.Snapshot.Index
	}
	if len(start.Entries) == 0 {
		return nil
	}
	first := start.Entries[0].Index
	if first > base+1 {
		return errs.Combine(ErrDamaged, errs.New("disk: entries %d to %d are missing", base+1, first-1))
	}
	covered := int(base + 1 - first)
	if covered > len(start.Entries) {
		start.Entries = nil
		return nil
	}
	if covered > 0 && start.Entries[covered-1].Term != start.Snapshot.Term {
		start.Entries = nil
		return nil
	}
	start.Entries = start.Entries[covered:]
	return nil
}
