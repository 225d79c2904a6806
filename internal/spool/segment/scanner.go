package segment

import (
	"bytes"
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"foxlane/internal/framebuf"
)

// Item is a record or a damaged range that a Scanner found.
type Item struct {
	Offset       int64
	Size         int64
	Record       Record // its payload is valid until the next call of Next or Feed
	Damaged      bool
	HeaderIntact bool // if Damaged: Record holds the kind, ID and chunk index of the damaged record
}

// Scanner reads the records of a segment, which is fed in pieces of any size. After a damaged range it continues at the
// next record with an intact header.
type Scanner struct {
	header      Header
	buf         framebuf.Buffer
	offset      int64 // offset of the buffer's first byte in the segment
	damageStart int64 // offset of the current damaged range, if damaged
	damaged     bool
}

// NewScanner returns a Scanner for the bytes that follow the header of a segment.
func NewScanner(h Header) *Scanner { return &Scanner{header: h, offset: HeaderSize} }

// Feed adds the next bytes of the segment. It copies them.
func (s *Scanner) Feed(p []byte) { s.buf.Add(p) }

// skip removes n bytes from the buffer.
func (s *Scanner) skip(n int) {
	s.buf.Skip(n)
	s.offset += int64(n)
}

var recordMagicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)

// Next returns the next item, or false if more bytes are needed. A damaged range is returned only when an intact record
// header is found after it, since its end is not known before.
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
			// Skip to the next occurrence of the magic number, where a record may start.
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

// ValidEnd returns the offset at which the last complete record ends, after all bytes were fed. The bytes after it are
// an incomplete write.
func (s *Scanner) ValidEnd() int64 {
	if s.damaged {
		return s.damageStart
	}
	return s.offset
}
