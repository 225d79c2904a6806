package disk

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Damage is a damaged range of a segment.
type Damage struct {
	Segment uint32
	Offset  int64
	Size    int64
	ID      spool.ID // result that the range belongs to, if Known
	Known   bool
}

// RecoveredResult is a sealed and complete result that was found when the folder was opened.
type RecoveredResult struct {
	ID        spool.ID
	Meta      segment.Meta
	Locations []spool.Location // locations of the chunks, in order
}

// Recovery reports what Open found in the folder.
type Recovery struct {
	Results    []RecoveredResult
	Lost       []spool.ID // results that were sealed, but are damaged
	Unfinished int        // number of results without a seal, which are ignored
	Damage     []Damage
	TornBytes  int64 // bytes of incomplete writes after the last complete record
}

const scanBufferSize = 256 << 10

// Open opens the segments of a folder and returns the sealed and complete results in the Recovery. It truncates an
// incomplete write at the end of the last segment, unless ReadOnly. Damage elsewhere affects only the results that the
// damaged records belong to.
func Open(fs FS, options Options) (*Store, *Recovery, error) {
	s := &Store{fs: fs, options: options, salt: max(options.Salt, 1), entries: map[spool.ID]*entry{}}
	recovery := &Recovery{}
	names, err := fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("disk: %w", err)
	}
	var numbers []uint32
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for i, n := range numbers {
		if err := s.scanSegment(n, i == len(numbers)-1, recovery); err != nil {
			_ = s.Close() // the first error is the relevant one
			return nil, nil, err
		}
	}
	s.finishRecovery(recovery)
	return s, recovery, nil
}

// scanSegment adds the records of a segment to the index. Only the last segment may end within a record.
func (s *Store) scanSegment(number uint32, last bool, recovery *Recovery) error {
	seg, valid, err := s.openSegment(number)
	if err != nil {
		return err
	}
	if !valid {
		if last && seg.size < segment.HeaderSize || seg.size == 0 { // the process ended while creating the segment
			recovery.TornBytes += seg.size
			_ = seg.file.Close()
			if s.options.ReadOnly {
				return nil
			}
			return s.fs.Remove(segmentName(number))
		}
		recovery.Damage = append(recovery.Damage, Damage{Segment: number, Size: seg.size})
		seg.full = true
		s.segments = append(s.segments, seg) // none of its records is indexed, so Sweep removes it once it is the oldest
		return nil
	}
	s.salt = seg.header.Salt
	s.segments = append(s.segments, seg)
	end, err := s.indexRecords(seg, recovery)
	if err != nil {
		return err
	}
	if err := s.cutTail(seg, end, last, recovery); err != nil {
		return err
	}
	// The records may still be only in the page cache: they must be durable before their results are offered to readers.
	if last && !s.options.ReadOnly {
		if err := seg.file.Sync(); err != nil {
			return &SegmentError{Segment: number, Err: err}
		}
	}
	seg.syncedBytes = seg.size
	return nil
}

// openSegment opens a segment and reads its header. For an invalid header it returns valid false and no error; an
// unsupported version is an error.
func (s *Store) openSegment(number uint32) (seg *segmentFile, valid bool, err error) {
	f, err := s.fs.Open(segmentName(number), false)
	if err != nil {
		return nil, false, fmt.Errorf("disk: %w", err)
	}
	defer func() {
		if err != nil {
			_ = f.Close()
		}
	}()
	size, err := f.Size()
	if err != nil {
		return nil, false, &SegmentError{Segment: number, Err: err}
	}
	seg = &segmentFile{number: number, file: f, size: size}
	headerBytes := make([]byte, min(size, segment.HeaderSize))
	if _, err := f.ReadAt(headerBytes, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, false, &SegmentError{Segment: number, Err: err}
	}
	header, parseErr := segment.ParseHeader(headerBytes)
	if errors.Is(parseErr, segment.ErrVersion) {
		return nil, false, &SegmentError{Segment: number, Err: parseErr}
	}
	seg.header = header
	return seg, parseErr == nil && header.Number == number, nil
}

// indexRecords applies all records of a segment to the index. It returns the offset at which the last complete record
// ends.
func (s *Store) indexRecords(seg *segmentFile, recovery *Recovery) (end int64, err error) {
	scanner := segment.NewScanner(seg.header)
	buf := make([]byte, scanBufferSize)
	for offset := int64(segment.HeaderSize); ; {
		for {
			item, ok := scanner.Next()
			if !ok {
				break
			}
			s.applyItem(seg, item, recovery)
		}
		if offset >= seg.size {
			return scanner.ValidEnd(), nil
		}
		n, err := seg.file.ReadAt(buf[:min(int64(len(buf)), seg.size-offset)], offset)
		if n == 0 && err != nil {
			return 0, &SegmentError{seg.number, offset, err}
		}
		scanner.Feed(buf[:n])
		offset += int64(n)
	}
}

// cutTail truncates the incomplete write that a crash left after the last complete record of the last segment. In an
// earlier segment, bytes after the last complete record are reported as damage.
func (s *Store) cutTail(seg *segmentFile, end int64, last bool, recovery *Recovery) error {
	if end >= seg.size {
		return nil
	}
	if !last {
		recovery.Damage = append(recovery.Damage, Damage{Segment: seg.number, Offset: end, Size: seg.size - end})
		return nil
	}
	recovery.TornBytes += seg.size - end
	if !s.options.ReadOnly {
		err := seg.file.Truncate(end)
		if err == nil {
			err = seg.file.Sync() // else another crash could restore the tail after later segments were written
		}
		if err != nil {
			return &SegmentError{Segment: seg.number, Err: err}
		}
	}
	seg.size = end
	return nil
}

// applyItem applies a scanned record or damaged range to the index.
func (s *Store) applyItem(seg *segmentFile, item segment.Item, recovery *Recovery) {
	record, location := item.Record, spool.Location{Segment: seg.number, Offset: item.Offset, Size: int32(item.Size)}
	e := s.entries[record.ID]
	if item.Damaged {
		recovery.Damage = append(recovery.Damage, Damage{seg.number, item.Offset, item.Size, record.ID, item.HeaderIntact})
		if current := e.current(); item.HeaderIntact && current != nil && record.Kind != segment.Lease {
			current.broken = true
		}
		return
	}
	switch record.Kind {
	case segment.Open:
		meta, ok := segment.ParseMeta(record.Payload)
		if !ok {
			return
		}
		candidate := newEntry(meta, location)
		if e != nil && e.sealRecord.Size > 0 { // a copy made by a compaction; the original is used until it is complete
			candidate.meta.LeaseEnd = max(meta.LeaseEnd, e.meta.LeaseEnd)
			e.replacement = candidate
		} else {
			s.entries[record.ID] = candidate
		}
	case segment.Chunk:
		if e = e.current(); e != nil {
			e.chunks[int(record.Chunk)] = location
		}
	case segment.Seal:
		summary, ok := segment.ParseSummary(record.Payload)
		if current := e.current(); ok && current != nil {
			current.summary, current.sealRecord = summary, location
			if current != e && current.complete() {
				s.entries[record.ID] = current
			}
		}
	case segment.Lease:
		if end, ok := segment.ParseLease(record.Payload); ok && e != nil {
			e.renew(end)
			e.current().renew(end)
		}
	case segment.Drop:
		delete(s.entries, record.ID)
	}
}

// finishRecovery adds the complete results to the Recovery and removes all others from the index.
func (s *Store) finishRecovery(recovery *Recovery) {
	var ids []spool.ID
	for id := range s.entries {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		e := s.entries[id]
		switch {
		case e.complete():
			recovery.Results = append(recovery.Results, RecoveredResult{id, e.meta, e.locations()})
			s.addLive(e, 1)
			continue
		case e.sealRecord.Size > 0:
			recovery.Lost = append(recovery.Lost, id)
		default:
			recovery.Unfinished++
		}
		delete(s.entries, id)
	}
}
