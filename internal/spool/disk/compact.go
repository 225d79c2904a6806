package disk

import (
	"fmt"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Sweep removes the oldest segments that hold no live record.
func (s *Store) Sweep() (removed int, err error) {
	for len(s.segments) > 1 && s.segments[0].liveBytes <= 0 {
		g := s.segments[0]
		if err := s.fs.Remove(segmentName(g.number)); err != nil {
			return removed, fmt.Errorf("disk: %w", err)
		}
		_ = g.file.Close() // the file is removed
		s.segments = s.segments[1:]
		removed++
	}
	if removed > 0 {
		err = s.fs.Sync()
	}
	return removed, err
}

// WastedBytes is the size of all records that belong to no stored result.
func (s *Store) WastedBytes() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.size - g.liveBytes
	}
	return sum
}

// Compact copies the live results of the oldest segment to the end of the newest, so that the oldest can be removed.
// The events tell the result store where chunks are stored now. While a result of that segment is not sealed, or is
// broken, nothing is copied.
func (s *Store) Compact() (out []Completion, err error) {
	if len(s.segments) < 2 {
		return nil, nil
	}
	defer func() { out = s.takeSyncFailures(out) }()
	ids, ok := s.resultsIn(s.segments[0].number)
	if !ok {
		return nil, nil
	}
	for _, id := range ids {
		old := s.entries[id]
		fresh, err := s.copyResult(id, old)
		if err != nil {
			return out, err
		}
		s.addLive(old, -1)
		s.entries[id] = fresh
		s.addLive(fresh, 1)
		for n := range len(fresh.chunks) {
			out = append(out, Completion{Event: spool.ChunkMoved{ID: id, Index: n, Location: fresh.chunks[n]}})
		}
	}
	_, err = s.Sweep()
	return out, err
}

// resultsIn returns the results that have a record in a segment, sorted, or ok false if one of them can't be copied.
func (s *Store) resultsIn(number uint32) (ids []spool.ID, ok bool) {
	for id, e := range s.entries {
		if !e.anyRecord(func(l spool.Location) bool { return l.Segment == number }) {
			continue
		}
		if e.sealRecord.Size == 0 || e.broken {
			return nil, false
		}
		ids = append(ids, id)
	}
	sortIDs(ids)
	return ids, true
}

// copyResult appends a copy of all records of a result and syncs it.
func (s *Store) copyResult(id spool.ID, old *entry) (*entry, error) {
	write := func(kind segment.Kind, n int, data []byte) (spool.Location, error) {
		g, err := s.activeSegment()
		if err != nil {
			return spool.Location{}, err
		}
		return s.appendRecord(g, segment.Record{Kind: kind, ID: id, Chunk: uint32(n), Payload: data})
	}
	open, err := write(segment.Open, 0, segment.AppendMeta(nil, old.meta))
	if err != nil {
		return nil, err
	}
	fresh := newEntry(old.meta, open)
	fresh.summary = old.summary
	for n := range len(old.chunks) {
		data, err := s.Read(id, n, old.chunks[n])
		if err != nil {
			return nil, err
		}
		if fresh.chunks[n], err = write(segment.Chunk, n, data); err != nil {
			return nil, err
		}
	}
	if fresh.sealRecord, err = write(segment.Seal, len(old.chunks), segment.AppendSummary(nil, old.summary)); err != nil {
		return nil, err
	}
	return fresh, s.sync()
}
