// Package segment owns the file format of the result store's segments: a header
// followed by checksummed records. It must never do I/O, interpret the records
// of a result, or decide whether a record is still needed. docs/spool.md
// specifies the format byte by byte.
//
// A record is bound to its place: its checksums depend on the folder's salt, the
// segment's number and the record's offset. Therefore neither bytes that a disk
// returns from another place nor client rows that imitate a record are accepted
// as a record.
//
// This file encodes and decodes headers and records, scanner.go reads segments
// that may be damaged, payload.go encodes and decodes the payloads.
package segment

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/xxh3"
)

// Kind is the type of a Record.
type Kind uint8

// Kinds of the records of a result.
const (
	Open    Kind = iota + 1 // first record of a result; the payload is its Meta
	Chunk                   // one chunk of the result; the payload is the chunk's rows
	Seal                    // written after all chunks; the payload is the result's Summary
	Lease                   // the lease was renewed; the payload is the end of the lease
	Drop                    // the result is no longer needed; there is no payload
	kindEnd = iota + 1
)

// ID identifies a result.
type ID [16]byte

// Record is one entry of a segment.
type Record struct {
	Kind    Kind
	ID      ID
	Chunk   uint32 // of a Chunk: its index; of a Seal: the number of chunks
	Payload []byte
}

// Sizes of the format, in bytes.
const (
	HeaderSize        = 32 // header of a segment
	recordHeaderSize  = 40
	recordTrailerSize = 8
	MaxPayload        = 1 << 20
	RecordOverhead    = recordHeaderSize + recordTrailerSize // size of a record without its payload
	version           = 1
	recordMagic       = 0xf05c9a17
	segmentMagic      = "FOXSPOOL"
)

// RecordSize returns the size in bytes of a record with a payload of this many bytes.
func RecordSize(payload int) int64 { return int64(RecordOverhead + payload) }

// Header is the header of a segment.
type Header struct {
	Number uint32
	Salt   uint64 // random value of the folder; a client that knew it could forge records in its rows
}

// AppendHeader appends an encoded segment header to dst.
func AppendHeader(dst []byte, h Header) []byte {
	start := len(dst)
	dst = append(dst, segmentMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, version)
	dst = binary.LittleEndian.AppendUint32(dst, h.Number)
	dst = binary.LittleEndian.AppendUint64(dst, h.Salt)
	return binary.LittleEndian.AppendUint64(dst, xxh3.Hash(dst[start:]))
}

// Errors that ParseHeader returns.
var (
	ErrNotSegment = errors.New("segment: not a segment of a spool")
	ErrVersion    = errors.New("segment: unsupported format version")
)

// ParseHeader decodes a segment header. It returns ErrNotSegment if b is not an intact header, and ErrVersion if the
// format has another version.
func ParseHeader(b []byte) (h Header, err error) {
	if len(b) < HeaderSize || string(b[:8]) != segmentMagic || xxh3.Hash(b[:24]) != binary.LittleEndian.Uint64(b[24:]) {
		return h, ErrNotSegment
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != version {
		return h, fmt.Errorf("%w: %d, supported is %d", ErrVersion, v, version)
	}
	return Header{binary.LittleEndian.Uint32(b[12:]), binary.LittleEndian.Uint64(b[16:])}, nil
}

// checksumSeed returns the seed that binds a checksum to a folder, a segment and an offset.
func (h Header) checksumSeed(offset int64) uint64 {
	return h.Salt ^ uint64(h.Number)<<40 ^ uint64(offset)*0x9e3779b97f4a7c15
}

// Append appends an encoded record to dst. The record must be stored at this offset of the segment.
func Append(dst []byte, h Header, offset int64, r Record) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, recordMagic)
	dst = append(dst, byte(r.Kind), 0, 0, 0)
	dst = binary.LittleEndian.AppendUint32(dst, r.Chunk)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.Payload)))
	dst = append(dst, r.ID[:]...)
	sum := xxh3.HashSeed(dst[start:], h.checksumSeed(offset))
	dst = binary.LittleEndian.AppendUint64(dst, sum)
	dst = append(dst, r.Payload...)
	return binary.LittleEndian.AppendUint64(dst, xxh3.HashSeed(r.Payload, sum))
}

// parseRecordHeader decodes the header of the record at an offset. It returns the record without its payload, the
// payload's length and the header's checksum. ok is false if b does not start with an intact record header for this
// offset. b must hold at least recordHeaderSize bytes.
func parseRecordHeader(b []byte, h Header, offset int64) (r Record, length int, sum uint64, ok bool) {
	if binary.LittleEndian.Uint32(b) != recordMagic {
		return r, 0, 0, false
	}
	sum = binary.LittleEndian.Uint64(b[32:])
	length = int(binary.LittleEndian.Uint32(b[12:]))
	if xxh3.HashSeed(b[:32], h.checksumSeed(offset)) != sum || b[4] == 0 || b[4] >= byte(kindEnd) || length > MaxPayload {
		return r, 0, 0, false
	}
	r.Kind, r.Chunk = Kind(b[4]), binary.LittleEndian.Uint32(b[8:])
	copy(r.ID[:], b[16:32])
	return r, length, sum, true
}

// Parse decodes and verifies a record that was stored at an offset. b must hold exactly that record.
func Parse(b []byte, h Header, offset int64) (Record, error) {
	if len(b) < RecordOverhead {
		return Record{}, errCorrupt
	}
	r, length, sum, ok := parseRecordHeader(b, h, offset)
	if !ok || len(b) != RecordOverhead+length {
		return Record{}, errCorrupt
	}
	r.Payload = b[recordHeaderSize : recordHeaderSize+length]
	if xxh3.HashSeed(r.Payload, sum) != binary.LittleEndian.Uint64(b[recordHeaderSize+length:]) {
		return Record{}, errCorrupt
	}
	return r, nil
}

var errCorrupt = errors.New("segment: record is corrupt")
