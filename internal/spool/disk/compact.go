package disk

import (
	"fmt"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Sweep removes segments without live records, from the oldest up to the first segment that has one. It never removes
// the last segment. It returns the number of removed segments.
func (s *Store) Sweep() (removed int, err error) {
	for len(s.segments) > 1 && s.segments[0].liveBytes <= 0 {
		seg := s.segments[0]
		if err := s.fs.Remove(segmentName(seg.number)); err != nil {
			return removed, fmt.Errorf("disk: %w", err)
		}
		_ = seg.file.Close() // the file is already removed
		s.segments = s.segments[1:]
		removed++
	}
	if removed > 0 {
		err = s.fs.Sync()
	}
	return removed, err
}

// WastedBytes returns the number of bytes in segments that belong to no stored result.
func (s *Store) WastedBytes() int64 {
	var sum int64
	for _, seg := range s.segments {
		sum += seg.size - seg.liveBytes
	}
	return sum
}

// Compact copies the live results of the oldest segment to the end of the newest, and removes the oldest. It returns
// ChunkMoved events with the new locations. It copies nothing while a result in that segment is unsealed or broken.
func (s *Store) Compact() (completions []Completion, err error) {
	if len(s.segments) < 2 {
		return nil, nil
	}
	defer func() { completions = s.drainSyncFailures(completions) }()
	ids, ok := s.resultsIn(s.segments[0].number)
	if !ok {
		return nil, nil
	}
	for _, id := range ids {
		original := s.entries[id]
		replacement, err := s.copyResult(id, original)
		if err != nil {
			return completions, err
		}
		s.addLive(original, -1)
		s.entries[id] = replacement
		s.addLive(replacement, 1)
		for n := range len(replacement.chunks) {
			completions = append(completions, Completion{Event: spool.ChunkMoved{ID: id, Index: n, Location: replacement.chunks[n]}})
		}
	}
	_, err = s.Sweep()
	return completions, err
}

// resultsIn returns the sorted IDs of the results that have a record in a segment, or ok false if one of them can't be
// copied.
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

// copyResult appends a copy of the Open, Chunk and Seal records of a result and syncs it.
func (s *Store) copyResult(id spool.ID, original *entry) (*entry, error) {
	write := func(kind segment.Kind, index int, data []byte) (spool.Location, error) {
		seg, err := s.activeSegment()
		if err != nil {
			return spool.Location{}, err
		}
		return s.appendRecord(seg, segment.Record{Kind: kind, ID: id, Chunk: uint32(index), Payload: data})
	}
	openLocation, err := write(segment.Open, 0, segment.AppendMeta(nil, original.meta))
	if err != nil {
		return nil, err
	}
	replacement := newEntry(original.meta, openLocation)
	replacement.summary = original.summary
	for n := range len(original.chunks) {
		data, err := s.Read(id, n, original.chunks[n])
		if err != nil {
			return nil, err
		}
		if replacement.chunks[n], err = write(segment.Chunk, n, data); err != nil {
			return nil, err
		}
	}
	if replacement.sealRecord, err = write(segment.Seal, len(original.chunks), segment.AppendSummary(nil, original.summary)); err != nil {
		return nil, err
	}
	return replacement, s.sync()
}
