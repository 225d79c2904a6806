package segment

import (
	"bytes"
	"errors"
	"testing"
)

var header = Header{Number: 7, Salt: 0x1234567890abcdef}

// sample returns a segment with records of all kinds, and the offset of each.
func sample() (raw []byte, starts []int) {
	raw = AppendHeader(nil, header)
	put := func(r Record) {
		starts = append(starts, len(raw))
		raw = Append(raw, header, int64(len(raw)), r)
	}
	for n := range 3 {
		id := ID{byte(n + 1)}
		put(Record{Kind: Open, ID: id, Payload: AppendMeta(nil, Meta{Tenant: uint64(n), Class: 2, Created: 5, LeaseEnd: 9})})
		for p := range 3 {
			put(Record{Kind: Chunk, ID: id, Chunk: uint32(p), Payload: bytes.Repeat([]byte{byte('a' + p)}, 20+30*p)})
		}
		put(Record{Kind: Seal, ID: id, Payload: AppendSummary(nil, Summary{3, 150})})
	}
	put(Record{Kind: Lease, ID: ID{1}, Payload: AppendLease(nil, 77)})
	put(Record{Kind: Drop, ID: ID{2}})
	return raw, starts
}

func scan(t testing.TB, raw []byte, piece int) (items []Item, tail int64) {
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
		n := min(piece, len(rest))
		s.Feed(rest[:n])
		rest = rest[n:]
	}
}

func TestRoundTripInPieces(t *testing.T) {
	raw, starts := sample()
	for _, piece := range []int{1, 7, 64, len(raw)} {
		items, tail := scan(t, raw, piece)
		if len(items) != len(starts) || tail != int64(len(raw)) {
			t.Fatalf("pieces of %d: %d of %d records, tail %d of %d", piece, len(items), len(starts), tail, len(raw))
		}
		for i, item := range items {
			if item.Damaged || item.Offset != int64(starts[i]) {
				t.Errorf("record %d: %+v", i, item)
			}
			if got, err := Parse(raw[item.Offset:item.Offset+item.Size], header, item.Offset); err != nil || !bytes.Equal(got.Payload, item.Record.Payload) {
				t.Errorf("record %d read alone: %v", i, err)
			}
		}
	}
	items, _ := scan(t, raw, 10)
	if m, ok := ParseMeta(items[0].Record.Payload); !ok || m.Class != 2 || m.LeaseEnd != 9 {
		t.Errorf("meta: %+v, %v", m, ok)
	}
	if s, ok := ParseSummary(items[4].Record.Payload); !ok || s != (Summary{3, 150}) {
		t.Errorf("sum: %+v, %v", s, ok)
	}
}

// Cut at any byte, all records before the cut are found, and the valid end is that of the last complete one.
func TestEveryCut(t *testing.T) {
	raw, starts := sample()
	ends := append(starts[1:len(starts):len(starts)], len(raw))
	for cut := HeaderSize; cut <= len(raw); cut++ {
		whole, tail := 0, HeaderSize
		for _, end := range ends {
			if end <= cut {
				whole, tail = whole+1, end
			}
		}
		items, got := scan(t, raw[:cut], 50)
		if len(items) != whole || got != int64(tail) {
			t.Fatalf("cut at %d: %d of %d records, tail %d, not %d", cut, len(items), whole, got, tail)
		}
	}
}

// A changed byte costs only the record that it is in, and is reported; in the last record it may look like an
// incomplete write.
func TestEveryDamage(t *testing.T) {
	raw, starts := sample()
	for at := HeaderSize; at < len(raw); at++ {
		bad := bytes.Clone(raw)
		bad[at] ^= 0x41
		hit := 0
		for i, s := range starts {
			if at >= s {
				hit = i
			}
		}
		items, tail := scan(t, bad, 33)
		whole, damaged := 0, 0
		for _, item := range items {
			if item.Damaged {
				damaged++
			} else {
				whole++
			}
		}
		torn := tail != int64(len(raw))
		if whole != len(starts)-1 || damaged != 1 && (hit != len(starts)-1 || !torn) {
			t.Fatalf("byte %d of record %d changed: %d whole, %d damaged, tail %d of %d", at, hit, whole, damaged, tail, len(raw))
		}
	}
}

// A record of another segment or offset is not accepted, nor are rows that look like a record.
func TestRecordsAreBoundToTheirOffset(t *testing.T) {
	r := Record{Kind: Chunk, ID: ID{1}, Payload: []byte("rows")}
	one := Append(nil, header, HeaderSize, r)
	for name, h := range map[string]Header{"another segment": {8, header.Salt}, "another folder": {7, 1}} {
		if _, err := Parse(one, h, HeaderSize); err == nil {
			t.Errorf("read as of %s", name)
		}
	}
	if _, err := Parse(one, header, HeaderSize+1); err == nil {
		t.Error("read at another offset")
	}
	forged := Append(nil, Header{7, 99}, 100, Record{Kind: Drop, ID: ID{1}}) // whoever writes rows does not know the salt
	raw := AppendHeader(nil, header)
	raw = Append(raw, header, int64(len(raw)), Record{Kind: Chunk, ID: ID{1}, Payload: bytes.Repeat(forged, 5)})
	raw[HeaderSize] ^= 1 // and the record that holds them is damaged
	items, _ := scan(t, raw, 1000)
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
		bad := bytes.Clone(raw)
		bad[i] ^= 1
		if _, err := ParseHeader(bad); err == nil {
			t.Errorf("byte %d changed, and it passed", i)
		}
		if _, err := ParseHeader(raw[:i]); !errors.Is(err, ErrNotSegment) {
			t.Errorf("%d bytes: %v", i, err)
		}
	}
}

func FuzzScanner(f *testing.F) {
	raw, _ := sample()
	f.Add(raw[HeaderSize:], 13)
	f.Add(raw[HeaderSize+50:], 1000)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if piece < 1 || piece > 1<<16 {
			return
		}
		s := NewScanner(header)
		end := int64(HeaderSize)
		for len(data) > 0 {
			n := min(piece, len(data))
			s.Feed(data[:n])
			data = data[n:]
			for {
				item, ok := s.Next()
				if !ok {
					break
				}
				if item.Offset < end || item.Size <= 0 {
					t.Fatalf("item at %d of %d bytes behind %d", item.Offset, item.Size, end)
				}
				end = item.Offset + item.Size
			}
		}
		if s.ValidEnd() < end {
			t.Fatal("a tail before the last record")
		}
	})
}
