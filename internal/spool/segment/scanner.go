package segment

import (
	"bytes"
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"foxlane/internal/framebuf"
)

// Item is what a Scanner found: a record, or a part that is damaged.
type Item struct {
	Offset       int64
	Size         int64
	Record       Record // its payload is valid until the next call
	Damaged      bool
	HeaderIntact bool // if Damaged: Record has the kind, ID and index of the damaged record
}

// Scanner reads the records of a segment, fed in pieces of any size. After damage it goes on at the next record whose
// header checksum holds.
type Scanner struct {
	header      Header
	buf         framebuf.Buffer
	offset      int64 // of the buffer's first byte
	damageStart int64 // offset of the damaged part, if damaged
	damaged     bool
}

// NewScanner returns a scanner for the bytes that follow a header.
func NewScanner(h Header) *Scanner { return &Scanner{header: h, offset: HeaderSize} }

// Feed adds the next bytes. They are copied.
func (s *Scanner) Feed(p []byte) { s.buf.Add(p) }

func (s *Scanner) skip(n int) {
	s.buf.Skip(n)
	s.offset += int64(n)
}

var recordMagicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)

// Next returns the next item, or false if more bytes are needed. A damaged part is returned once a record that follows
// it is found, since only then its end is known.
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
			// Go on at the next possible record.
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

// ValidEnd is the offset at which the last complete record ends, once all bytes were fed. What follows it is an
// incomplete write.
func (s *Scanner) ValidEnd() int64 {
	if s.damaged {
		return s.damageStart
	}
	return s.offset
}
