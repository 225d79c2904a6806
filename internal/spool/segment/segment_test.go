package segment

import (
	"bytes"
	"errors"
	"testing"
)

var header = Header{Number: 7, Salt: 0x1234567890abcdef}

// sampleSegment returns a segment with records of all kinds, and the offset of each.
func sampleSegment() (raw []byte, offsets []int) {
	raw = AppendHeader(nil, header)
	put := func(r Record) {
		offsets = append(offsets, len(raw))
		raw = Append(raw, header, int64(len(raw)), r)
	}
	for i := range 3 {
		id := ID{byte(i + 1)}
		put(Record{Kind: Open, ID: id, Payload: AppendMeta(nil, Meta{Tenant: uint64(i), Class: 2, Created: 5, LeaseEnd: 9})})
		for chunk := range 3 {
			put(Record{Kind: Chunk, ID: id, Chunk: uint32(chunk), Payload: bytes.Repeat([]byte{byte('a' + chunk)}, 20+30*chunk)})
		}
		put(Record{Kind: Seal, ID: id, Payload: AppendSummary(nil, Summary{3, 150})})
	}
	put(Record{Kind: Lease, ID: ID{1}, Payload: AppendLease(nil, 77)})
	put(Record{Kind: Drop, ID: ID{2}})
	return raw, offsets
}

// scanAll feeds a segment to a Scanner in pieces and returns all items and the valid end.
func scanAll(t testing.TB, raw []byte, pieceSize int) (items []Item, validEnd int64) {
	h, err := ParseHeader(raw)
	if err != nil {
		t.Fatal(err)
	}
	s := NewScanner(h)
	for rest := raw[HeaderSize:]; ; {
		for {
			item, ok := s.Next()
			if !ok {
				break
			}
			item.Record.Payload = bytes.Clone(item.Record.Payload)
			items = append(items, item)
		}
		if len(rest) == 0 {
			return items, s.ValidEnd()
		}
		n := min(pieceSize, len(rest))
		s.Feed(rest[:n])
		rest = rest[n:]
	}
}

func TestRoundTripInPieces(t *testing.T) {
	raw, offsets := sampleSegment()
	for _, pieceSize := range []int{1, 7, 64, len(raw)} {
		items, validEnd := scanAll(t, raw, pieceSize)
		if len(items) != len(offsets) || validEnd != int64(len(raw)) {
			t.Fatalf("pieces of %d bytes: %d of %d records, valid end %d, want %d", pieceSize, len(items), len(offsets), validEnd, len(raw))
		}
		for i, item := range items {
			if item.Damaged || item.Offset != int64(offsets[i]) {
				t.Errorf("record %d: %+v", i, item)
			}
			if got, err := Parse(raw[item.Offset:item.Offset+item.Size], header, item.Offset); err != nil || !bytes.Equal(got.Payload, item.Record.Payload) {
				t.Errorf("record %d parsed alone: %v", i, err)
			}
		}
	}
	items, _ := scanAll(t, raw, 10)
	if m, ok := ParseMeta(items[0].Record.Payload); !ok || m.Class != 2 || m.LeaseEnd != 9 {
		t.Errorf("meta: %+v, %v", m, ok)
	}
	if s, ok := ParseSummary(items[4].Record.Payload); !ok || s != (Summary{3, 150}) {
		t.Errorf("summary: %+v, %v", s, ok)
	}
}

// In a segment truncated at any byte, all complete records are found, and the valid end is the end of the last one.
func TestTruncationAtEveryByte(t *testing.T) {
	raw, offsets := sampleSegment()
	ends := append(offsets[1:len(offsets):len(offsets)], len(raw))
	for cut := HeaderSize; cut <= len(raw); cut++ {
		complete, validEnd := 0, HeaderSize
		for _, end := range ends {
			if end <= cut {
				complete, validEnd = complete+1, end
			}
		}
		items, got := scanAll(t, raw[:cut], 50)
		if len(items) != complete || got != int64(validEnd) {
			t.Fatalf("truncated at %d: %d of %d records, valid end %d, want %d", cut, len(items), complete, got, validEnd)
		}
	}
}

// A changed byte invalidates only the record that contains it, and is reported as damage. In the last record it may
// look like an incomplete write instead.
func TestCorruptionOfEveryByte(t *testing.T) {
	raw, offsets := sampleSegment()
	for pos := HeaderSize; pos < len(raw); pos++ {
		corrupted := bytes.Clone(raw)
		corrupted[pos] ^= 0x41
		corruptedRecord := 0
		for i, offset := range offsets {
			if pos >= offset {
				corruptedRecord = i
			}
		}
		items, validEnd := scanAll(t, corrupted, 33)
		intact, damaged := 0, 0
		for _, item := range items {
			if item.Damaged {
				damaged++
			} else {
				intact++
			}
		}
		torn := validEnd != int64(len(raw))
		if intact != len(offsets)-1 || damaged != 1 && (corruptedRecord != len(offsets)-1 || !torn) {
			t.Fatalf("byte %d of record %d changed: %d intact, %d damaged, valid end %d of %d", pos, corruptedRecord, intact, damaged, validEnd, len(raw))
		}
	}
}

// A record from another folder, segment or offset is rejected, and rows that imitate a record are not read as one.
func TestRecordsAreBoundToTheirOffset(t *testing.T) {
	r := Record{Kind: Chunk, ID: ID{1}, Payload: []byte("rows")}
	encoded := Append(nil, header, HeaderSize, r)
	for name, h := range map[string]Header{"another segment": {8, header.Salt}, "another folder": {7, 1}} {
		if _, err := Parse(encoded, h, HeaderSize); err == nil {
			t.Errorf("a record was accepted in %s", name)
		}
	}
	if _, err := Parse(encoded, header, HeaderSize+1); err == nil {
		t.Error("a record was accepted at another offset")
	}
	// A client that forges rows does not have the salt.
	forged := Append(nil, Header{7, 99}, 100, Record{Kind: Drop, ID: ID{1}})
	raw := AppendHeader(nil, header)
	raw = Append(raw, header, int64(len(raw)), Record{Kind: Chunk, ID: ID{1}, Payload: bytes.Repeat(forged, 5)})
	raw[HeaderSize] ^= 1 // the record that contains the forged ones is damaged
	items, _ := scanAll(t, raw, 1000)
	for _, item := range items {
		if !item.Damaged {
			t.Errorf("rows were read as a record: %+v", item)
		}
	}
}

func TestHeaders(t *testing.T) {
	raw := AppendHeader(nil, header)
	if h, err := ParseHeader(raw); err != nil || h != header {
		t.Errorf("%+v, %v", h, err)
	}
	for i := range raw {
		corrupted := bytes.Clone(raw)
		corrupted[i] ^= 1
		if _, err := ParseHeader(corrupted); err == nil {
			t.Errorf("a header with byte %d changed was accepted", i)
		}
		if _, err := ParseHeader(raw[:i]); !errors.Is(err, ErrNotSegment) {
			t.Errorf("header of %d bytes: %v", i, err)
		}
	}
}

func FuzzScanner(f *testing.F) {
	raw, _ := sampleSegment()
	f.Add(raw[HeaderSize:], 13)
	f.Add(raw[HeaderSize+50:], 1000)
	f.Fuzz(func(t *testing.T, data []byte, pieceSize int) {
		if pieceSize < 1 || pieceSize > 1<<16 {
			return
		}
		s := NewScanner(header)
		end := int64(HeaderSize)
		for len(data) > 0 {
			n := min(pieceSize, len(data))
			s.Feed(data[:n])
			data = data[n:]
			for {
				item, ok := s.Next()
				if !ok {
					break
				}
				if item.Offset < end || item.Size <= 0 {
					t.Fatalf("item at %d of %d bytes, but the previous one ends at %d", item.Offset, item.Size, end)
				}
				end = item.Offset + item.Size
			}
		}
		if s.ValidEnd() < end {
			t.Fatal("the valid end is before the end of the last record")
		}
	})
}
