package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"foxlane/internal/directives"
)

// This file encodes and decodes the log: the magic string, then records. A record is a type byte, the length of the
// data, a CRC-32C over type, length and data, and the data. Integers are little-endian.

const (
	magic          = "foxlane directives 1\n"
	headerSize     = 9 // type, length, checksum
	maxRecordBytes = 1 << 20
)

const (
	recordInitialized byte = iota + 1 // an operator initialized this voter's log
	recordHardState
	recordEntry    // replaces the entry at its index and all later ones
	recordSnapshot // replaces all preceding entries
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of Decode.
var (
	ErrCorrupt = errors.New("wal: the log is corrupt before its end")
	ErrNotLog  = errors.New("wal: not a voter's log")
)

// CorruptError reports where a log is corrupt. It matches ErrCorrupt.
type CorruptError struct {
	Offset int   // of the first invalid record
	Err    error // nil: the checksum or length is wrong
}

// Error implements error.
func (e *CorruptError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%v, at byte %d", ErrCorrupt, e.Offset)
	}
	return fmt.Sprintf("%v, at byte %d: %v", ErrCorrupt, e.Offset, e.Err)
}

// Unwrap returns ErrCorrupt and the cause.
func (e *CorruptError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrCorrupt}
	}
	return []error{ErrCorrupt, e.Err}
}

func encodeRecord(kind byte, data []byte) []byte {
	b := append(make([]byte, 0, headerSize+len(data)), kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, data...)
}

// newLog returns the content of an initialized voter's log with the given records.
func newLog(records []byte) []byte {
	return append(append([]byte(magic), encodeRecord(recordInitialized, nil)...), records...)
}

// encodeBatch encodes a batch as records, in the order in which Decode must apply them.
func encodeBatch(b directives.Batch) (records []byte, err error) {
	appendRecord := func(kind byte, m proto.Message) error {
		raw, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("wal: encode a record of type %d: %w", kind, err)
		}
		records = append(records, encodeRecord(kind, raw)...)
		return nil
	}
	if b.Snapshot != nil {
		if err := appendRecord(recordSnapshot, b.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range b.Entries {
		if err := appendRecord(recordEntry, e); err != nil {
			return nil, err
		}
	}
	if b.HardState != nil {
		if err := appendRecord(recordHardState, b.HardState); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// Decode decodes the content of a log and returns the offset at which its last complete record ends. An incomplete
// record at the end is ignored, because no message that depends on it was sent. If complete records follow an invalid
// one, the error is a CorruptError.
func Decode(raw []byte) (state directives.PersistedState, end int, err error) {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return state, 0, ErrNotLog
	}
	offset := len(magic)
	for offset < len(raw) {
		kind, data, size := readRecord(raw[offset:])
		if size == 0 {
			if recordFollows(raw[offset+1:]) {
				return state, offset, &CorruptError{Offset: offset}
			}
			return state, offset, nil
		}
		if err := decodeRecord(&state, kind, data); err != nil {
			return state, offset, &CorruptError{Offset: offset, Err: err}
		}
		offset += size
	}
	return state, offset, nil
}

// recordFollows reports whether a complete record with data begins at any byte.
func recordFollows(raw []byte) bool {
	for start := range raw {
		if kind, _, size := readRecord(raw[start:]); size > headerSize && kind >= recordInitialized && kind <= recordSnapshot {
			return true
		}
	}
	return false
}

// readRecord returns the record at the beginning of raw; size is 0 if it is not complete.
func readRecord(raw []byte) (kind byte, data []byte, size int) {
	if len(raw) < headerSize {
		return 0, nil, 0
	}
	n := int(binary.LittleEndian.Uint32(raw[1:]))
	if n > maxRecordBytes || len(raw) < headerSize+n {
		return 0, nil, 0
	}
	data = raw[headerSize : headerSize+n]
	if crc32.Update(crc32.Checksum(raw[:5], castagnoli), castagnoli, data) != binary.LittleEndian.Uint32(raw[5:]) {
		return 0, nil, 0
	}
	return raw[0], data, headerSize + n
}

// decodeRecord applies a record to the state. Records of unknown types are skipped.
func decodeRecord(state *directives.PersistedState, kind byte, data []byte) error {
	switch kind {
	case recordInitialized:
		state.Initialized = true
	case recordHardState:
		state.HardState = &pb.HardState{}
		return proto.Unmarshal(data, state.HardState)
	case recordEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		for len(state.Entries) > 0 && state.Entries[len(state.Entries)-1].GetIndex() >= e.GetIndex() {
			state.Entries = state.Entries[:len(state.Entries)-1]
		}
		state.Entries = append(state.Entries, e)
	case recordSnapshot:
		state.Snapshot, state.Entries = &pb.Snapshot{}, nil
		return proto.Unmarshal(data, state.Snapshot)
	}
	return nil
}
