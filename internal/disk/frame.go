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

// The log is a sequence of frames, each written by one Save or Compact. The
// snapshot file holds a single frame. The layout of a frame is:
//
//	4 bytes  magic number
//	4 bytes  length of the payload, big endian
//	4 bytes  CRC-32C of the eight bytes before, big endian
//	4 bytes  CRC-32C of the payload, big endian
//	n bytes  payload, a CBOR record
//
// The header has its own checksum, so that a flipped bit in the length of the
// last frame is not mistaken for a frame that a crash truncated.
//
// All constants are in bytes.
const (
	lengthOffset          = 4
	headerChecksumOffset  = 8
	payloadChecksumOffset = 12
	headerSize            = 16
)

var (
	frameMagic      = []byte{0xE4, 'w', 'l', 'k'}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// record is the payload of a frame, in CBOR with integer keys. A frame of the
// log sets Hard, Entries or both; the frame of the snapshot file sets Snapshot.
type record struct {
	Hard     *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries  []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	Snapshot *quorum.Snapshot  `cbor:"3,keyasint,omitempty"`
}

// encodeFrame returns the frame that holds r.
func encodeFrame(r record) ([]byte, error) {
	payload, err := codec.Marshal(r)
	if err != nil {
		return nil, errs.New("disk: encode record: %v", err)
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	copy(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[headerChecksumOffset:], crc32.Checksum(frame[:headerChecksumOffset], castagnoliTable))
	binary.BigEndian.PutUint32(frame[payloadChecksumOffset:], crc32.Checksum(payload, castagnoliTable))
	return append(frame, payload...), nil
}

// decodeFrame decodes the frame at the start of data and returns its record and
// its length in bytes. It returns io.ErrUnexpectedEOF if data ends within the
// frame, and ErrDamaged if a checksum does not match or the payload cannot be
// decoded.
func decodeFrame(data []byte) (record, int, error) {
	var r record
	if len(data) < headerSize {
		return r, 0, io.ErrUnexpectedEOF
	}
	headerChecksum := binary.BigEndian.Uint32(data[headerChecksumOffset:])
	if !bytes.HasPrefix(data, frameMagic) || crc32.Checksum(data[:headerChecksumOffset], castagnoliTable) != headerChecksum {
		return r, 0, ErrDamaged
	}
	length := int(binary.BigEndian.Uint32(data[lengthOffset:]))
	if len(data) < headerSize+length {
		return r, 0, io.ErrUnexpectedEOF
	}
	payload := data[headerSize : headerSize+length]
	if crc32.Checksum(payload, castagnoliTable) != binary.BigEndian.Uint32(data[payloadChecksumOffset:]) {
		return r, 0, ErrDamaged
	}
	if err := codec.Unmarshal(payload, &r); err != nil {
		return r, 0, ErrDamaged
	}
	return r, headerSize + length, nil
}

// containsFrame reports whether a complete frame starts anywhere in data. A
// complete frame after an incomplete one means that the incomplete one was
// synced, so it is damage and not a write that a crash truncated.
func containsFrame(data []byte) bool {
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

// load reads the snapshot and the log, removes an incomplete frame at the end
// of the log, and opens the log for appending.
func (s *Store) load() (quorum.InitialState, error) {
	var state quorum.InitialState
	snapshot, err := s.readSnapshot()
	if err != nil {
		return state, err
	}
	state.Snapshot = snapshot
	data, err := os.ReadFile(s.path(logName))
	if os.IsNotExist(err) {
		return state, errs.Combine(ErrDamaged, err)
	}
	if err != nil {
		// The records may be intact: a failure to read must not make a voter forget them.
		return state, errs.New("disk: read log: %v", err)
	}
	validSize, err := replayLog(data, &state)
	if err != nil {
		return state, err
	}
	if err := s.reopenLog(int64(validSize)); err != nil {
		return state, err
	}
	if err := s.log.Truncate(int64(validSize)); err != nil {
		return state, errs.New("disk: truncate log: %v", err)
	}
	if err := s.config.Sync(s.log); err != nil {
		return state, errs.Combine(ErrSync, err)
	}
	return state, nil
}

// readSnapshot returns the stored snapshot, or nil if there is none. It returns
// ErrDamaged if the file is not exactly one snapshot frame.
func (s *Store) readSnapshot() (*quorum.Snapshot, error) {
	data, err := os.ReadFile(s.path(snapshotName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errs.New("disk: read snapshot: %v", err)
	}
	r, n, err := decodeFrame(data)
	if err != nil || n != len(data) || r.Snapshot == nil {
		return nil, errs.Combine(ErrDamaged, errs.New("disk: snapshot file does not hold one valid snapshot"))
	}
	return r.Snapshot, nil
}

// replayLog applies all frames in data to state and returns the length in bytes
// of the complete frames. An incomplete frame at the end is ignored. It returns
// ErrDamaged if a frame before the end cannot be decoded or entries are
// missing.
func replayLog(data []byte, state *quorum.InitialState) (int, error) {
	offset := 0
	for offset < len(data) {
		r, n, err := decodeFrame(data[offset:])
		if err == io.ErrUnexpectedEOF && !containsFrame(data[offset+1:]) {
			break
		}
		if err != nil {
			return 0, errs.Combine(ErrDamaged, errs.New("disk: invalid frame in log at byte %d", offset))
		}
		if err := replayRecord(r, state); err != nil {
			return 0, err
		}
		offset += n
	}
	return offset, dropCoveredEntries(state)
}

// replayRecord applies one record of the log to state. Its entries replace
// those from the first one's index on. It returns ErrDamaged if there is a gap
// between the entries.
func replayRecord(r record, state *quorum.InitialState) error {
	if r.Hard != nil {
		state.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if len(state.Entries) == 0 || e.Index < state.Entries[0].Index {
			state.Entries = []quorum.Entry{e}
			continue
		}
		keep := int(e.Index - state.Entries[0].Index)
		if keep > len(state.Entries) {
			return errs.Combine(ErrDamaged, errs.New("disk: entries up to %d are missing in log", e.Index-1))
		}
		state.Entries = append(state.Entries[:keep:keep], e)
	}
	return nil
}

// dropCoveredEntries removes the entries that the snapshot covers from state.
// If the log does not match the snapshot, a crash happened after an installed
// snapshot was written and before the log was replaced, and all entries are
// removed. It returns ErrDamaged if entries between the snapshot and the log
// are missing.
func dropCoveredEntries(state *quorum.InitialState) error {
	snapshotIndex := quorum.Index(0)
	if state.Snapshot != nil {
		snapshotIndex = state.Snapshot.Index
	}
	if len(state.Entries) == 0 {
		return nil
	}
	firstIndex := state.Entries[0].Index
	if firstIndex > snapshotIndex+1 {
		return errs.Combine(ErrDamaged, errs.New("disk: entries %d to %d are missing in log", snapshotIndex+1, firstIndex-1))
	}
	covered := int(snapshotIndex + 1 - firstIndex)
	if covered > len(state.Entries) {
		state.Entries = nil
		return nil
	}
	if covered > 0 && state.Entries[covered-1].Term != state.Snapshot.Term {
		state.Entries = nil
		return nil
	}
	state.Entries = state.Entries[covered:]
	return nil
}
