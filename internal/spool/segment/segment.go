// Package segment owns the format of the spool's segments: records with
// checksums, appended one behind the other. It must never do I/O, nor decide
// what a record means or whether one is still wanted; docs/spool.md has the
// format byte by byte.
//
// A record is bound to its place: its checksums take in the folder's salt, the
// segment's number and its own offset. What a disk returns from elsewhere, and
// what a client's rows may hold that looks like a record, is none.
package segment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/xxh3"

	"foxlane/internal/framebuf"
)

// Kind is what a Record is.
type Kind uint8

// Kinds of records.
const (
	Open    Kind = iota + 1 // a result begins; the payload is its Meta
	Chunk                   // one of its pages; the payload is the page
	Seal                    // all its pages are written; the payload is its Sum
	Lease                   // it is kept until a later time; the payload is that time
	Drop                    // it is not wanted any more
	kindEnd = iota + 1
)

// ID names a result within a folder.
type ID [16]byte

// Record is what a segment holds.
type Record struct {
	Kind    Kind
	ID      ID
	Chunk   uint32 // number of a Page
	Payload []byte
}

// Sizes of the format, in bytes.
const (
	HeaderSize        = 32 // of a segment
	recordHeaderSize  = 40
	recordTrailerSize = 8
	MaxPayload        = 1 << 20
	RecordOverhead    = recordHeaderSize + recordTrailerSize // of a record over its payload
	version           = 1
	recordMagic       = 0xf05c9a17
	segmentMagic      = "FOXSPOOL"
)

// RecordSize is what a record with so much payload takes.
func RecordSize(payload int) int64 { return int64(RecordOverhead + payload) }

// Header opens a segment.
type Header struct {
	Number uint32
	Salt   uint64 // of the folder, random
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

// checksumSeed binds a checksum to a place.
func (h Header) checksumSeed(offset int64) uint64 {
	return h.Salt ^ uint64(h.Number)<<40 ^ uint64(offset)*0x9e3779b97f4a7c15
}

// Append appends a record that stands at an offset of a segment.
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

// parseRecordHeader reads a record's head at an offset. It is false if there is none.
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

// Parse reads the whole record that is said to stand at an offset: what was read back from a disk.
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

// Item is what a Scanner found: a record, or a stretch that is damaged.
type Item struct {
	Offset       int64
	Size         int64
	Record       Record // its payload is valid until the next call
	Damaged      bool
	HeaderIntact bool // of a damaged one: its head is whole, so Record tells whose it was
}

// Scanner reads a segment behind its header in pieces of any size.
type Scanner struct {
	header      Header
	buf         framebuf.Buffer
	offset      int64 // of the buffer's first byte
	damageStart int64 // where a damaged stretch began
	damaged     bool
}

// NewScanner returns a scanner for what follows a header.
func NewScanner(h Header) *Scanner { return &Scanner{header: h, offset: HeaderSize} }

// Feed adds bytes that follow the last ones.
func (s *Scanner) Feed(p []byte) { s.buf.Add(p) }

func (s *Scanner) skip(n int) {
	s.buf.Skip(n)
	s.offset += int64(n)
}

var recordMagicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)

// Next returns what comes next, or false if more bytes are needed. A damaged stretch is told once the
// record behind it is found.
func (s *Scanner) Next() (Item, bool) {
	for {
		b := s.buf.Bytes()
		if len(b) < recordHeaderSize {
			return Item{}, false
		}
		r, length, sum, ok := parseRecordHeader(b, s.header, s.offset)
		if !ok {
			if !s.damaged {
				s.damageStart, s.damaged = s.offset, true
			}
			// On to what may be the next record's mark.
			if i := bytes.Index(b[1:], recordMagicBytes); i >= 0 {
				s.skip(1 + i)
			} else {
				s.skip(len(b) - len(recordMagicBytes) + 1)
			}
			continue
		}
		if s.damaged {
			s.damaged = false
			return Item{Offset: s.damageStart, Size: s.offset - s.damageStart, Damaged: true}, true
		}
		if len(b) < RecordOverhead+length {
			return Item{}, false
		}
		item := Item{Offset: s.offset, Size: int64(RecordOverhead + length), Record: r}
		payload := b[recordHeaderSize : recordHeaderSize+length]
		if xxh3.HashSeed(payload, sum) == binary.LittleEndian.Uint64(b[recordHeaderSize+length:]) {
			item.Record.Payload = payload
		} else {
			item.Damaged, item.HeaderIntact = true, true
		}
		s.skip(RecordOverhead + length)
		return item, true
	}
}

// ValidEnd is where the last whole record ends, once all bytes were fed: what follows is a torn write.
func (s *Scanner) ValidEnd() int64 {
	if s.damaged {
		return s.damageStart
	}
	return s.offset
}

// Meta is what is known of a result when it begins.
type Meta struct {
	Tenant   uint64   // hash of its principal, as it is the same after a restart
	Secret   [32]byte // SHA-256 of the handle's secret part
	Class    uint32
	Created  int64 // Unix microseconds
	LeaseEnd int64 // kept until then
}

const metaSize = 8 + 32 + 4 + 8 + 8

// AppendMeta appends the payload of an Open.
func AppendMeta(dst []byte, m Meta) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, m.Tenant)
	dst = append(dst, m.Secret[:]...)
	dst = binary.LittleEndian.AppendUint32(dst, m.Class)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(m.Created))
	return binary.LittleEndian.AppendUint64(dst, uint64(m.LeaseEnd))
}

// ParseMeta reads the payload of an Open.
func ParseMeta(b []byte) (m Meta, ok bool) {
	if len(b) != metaSize {
		return m, false
	}
	m.Tenant = binary.LittleEndian.Uint64(b)
	copy(m.Secret[:], b[8:40])
	m.Class = binary.LittleEndian.Uint32(b[40:])
	m.Created = int64(binary.LittleEndian.Uint64(b[44:]))
	m.LeaseEnd = int64(binary.LittleEndian.Uint64(b[52:]))
	return m, true
}

// Summary is what a whole result holds.
type Summary struct {
	Chunks uint32
	Bytes  uint64 // of all pages
}

const summarySize = 4 + 8

// AppendSummary appends the payload of a Seal.
func AppendSummary(dst []byte, s Summary) []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(dst, s.Chunks), s.Bytes)
}

// ParseSummary reads the payload of a Seal.
func ParseSummary(b []byte) (s Summary, ok bool) {
	if len(b) != summarySize {
		return s, false
	}
	return Summary{binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint64(b[4:])}, true
}

// AppendLease appends the payload of a Lease, Unix microseconds.
func AppendLease(dst []byte, t int64) []byte { return binary.LittleEndian.AppendUint64(dst, uint64(t)) }

// ParseLease reads the payload of a Lease.
func ParseLease(b []byte) (t int64, ok bool) {
	if len(b) != 8 {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(b)), true
}
