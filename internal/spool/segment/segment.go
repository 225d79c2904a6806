// Package segment owns the format of the result store's segments: a header and
// checksummed records, one after the other. It must never do I/O, nor decide
// what a record means or whether it is still needed; docs/spool.md has the
// format byte by byte.
//
// A record is bound to its offset: the checksums cover the folder's salt, the
// segment's number and the record's offset. Bytes that a disk returns from
// another place are therefore not taken for a record, nor are rows of a client
// that look like one.
//
// This file has the header and records, scanner.go reads a segment with damage,
// payload.go has what records carry.
package segment

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/xxh3"
)

// Kind is the type of a Record.
type Kind uint8

// Kinds of records.
const (
	Open    Kind = iota + 1 // a result begins; the payload is its Meta
	Chunk                   // one of its chunks; the payload is its rows
	Seal                    // all its chunks are written; the payload is its Summary
	Lease                   // its lease was renewed; the payload is when it ends
	Drop                    // it is not needed any more
	kindEnd = iota + 1
)

// ID identifies a result.
type ID [16]byte

// Record is one entry of a segment.
type Record struct {
	Kind    Kind
	ID      ID
	Chunk   uint32 // index of a Chunk
	Payload []byte
}

// Sizes of the format, in bytes.
const (
	HeaderSize        = 32 // of a segment
	recordHeaderSize  = 40
	recordTrailerSize = 8
	MaxPayload        = 1 << 20
	RecordOverhead    = recordHeaderSize + recordTrailerSize // of a record beyond its payload
	version           = 1
	recordMagic       = 0xf05c9a17
	segmentMagic      = "FOXSPOOL"
)

// RecordSize is the size of a record with a payload of this many bytes.
func RecordSize(payload int) int64 { return int64(RecordOverhead + payload) }

// Header is the start of a segment.
type Header struct {
	Number uint32
	Salt   uint64 // of the folder, random: a client that knew it could forge records in its rows
}

// AppendHeader appends a segment's header.
func AppendHeader(dst []byte, h Header) []byte {
	from := len(dst)
	dst = append(dst, segmentMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, version)
	dst = binary.LittleEndian.AppendUint32(dst, h.Number)
	dst = binary.LittleEndian.AppendUint64(dst, h.Salt)
	return binary.LittleEndian.AppendUint64(dst, xxh3.Hash(dst[from:]))
}

// Errors of a header.
var (
	ErrNotSegment = errors.New("segment: no segment of a spool")
	ErrVersion    = errors.New("segment: written by another version")
)

// ParseHeader reads a segment's header.
func ParseHeader(b []byte) (h Header, err error) {
	if len(b) < HeaderSize || string(b[:8]) != segmentMagic || xxh3.Hash(b[:24]) != binary.LittleEndian.Uint64(b[24:]) {
		return h, ErrNotSegment
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != version {
		return h, fmt.Errorf("%w: %d, this is %d", ErrVersion, v, version)
	}
	return Header{binary.LittleEndian.Uint32(b[12:]), binary.LittleEndian.Uint64(b[16:])}, nil
}

// checksumSeed binds a checksum to an offset of a segment of a folder.
func (h Header) checksumSeed(offset int64) uint64 {
	return h.Salt ^ uint64(h.Number)<<40 ^ uint64(offset)*0x9e3779b97f4a7c15
}

// Append appends a record that will be stored at an offset of a segment.
func Append(dst []byte, h Header, offset int64, r Record) []byte {
	from := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, recordMagic)
	dst = append(dst, byte(r.Kind), 0, 0, 0)
	dst = binary.LittleEndian.AppendUint32(dst, r.Chunk)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.Payload)))
	dst = append(dst, r.ID[:]...)
	sum := xxh3.HashSeed(dst[from:], h.checksumSeed(offset))
	dst = binary.LittleEndian.AppendUint64(dst, sum)
	dst = append(dst, r.Payload...)
	return binary.LittleEndian.AppendUint64(dst, xxh3.HashSeed(r.Payload, sum))
}

// parseRecordHeader reads the header of the record at an offset: the record without its payload, the payload's length
// and the header's checksum. It returns ok false if the bytes are not the header of a record there.
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

// Parse reads a record that was stored at an offset. b must hold exactly that record.
func Parse(b []byte, h Header, offset int64) (Record, error) {
	if len(b) < RecordOverhead {
		return Record{}, errDamaged
	}
	r, length, sum, ok := parseRecordHeader(b, h, offset)
	if !ok || len(b) != RecordOverhead+length {
		return Record{}, errDamaged
	}
	r.Payload = b[recordHeaderSize : recordHeaderSize+length]
	if xxh3.HashSeed(r.Payload, sum) != binary.LittleEndian.Uint64(b[recordHeaderSize+length:]) {
		return Record{}, errDamaged
	}
	return r, nil
}

var errDamaged = errors.New("segment: other bytes than were written")
