package disk

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Damage is a part of a segment that could not be read.
type Damage struct {
	Segment uint32
	Offset  int64
	Size    int64
	ID      spool.ID // of the result that the part belongs to, if Known
	Known   bool
}

// RecoveredResult is a result that was complete and sealed when the folder was opened.
type RecoveredResult struct {
	ID        spool.ID
	Meta      segment.Meta
	Locations []spool.Location
}

// Recovery is what was found in the folder.
type Recovery struct {
	Results    []RecoveredResult
	Lost       []spool.ID // sealed, but damaged
	Unfinished int        // results that were never sealed, and are dropped
	Damage     []Damage
	TornBytes  int64 // cut behind the last complete record
}

const scanBufferSize = 256 << 10

// Open opens the segments of a folder. Results that are sealed and complete are returned. An incomplete write at the
// end is cut; damage elsewhere costs only the results that it lies in.
func Open(fs FS, opt Options) (*Store, *Recovery, error) {
	s := &Store{fs: fs, options: opt, salt: max(opt.Salt, 1), entries: map[spool.ID]*entry{}}
	rec := &Recovery{}
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
		if err := s.scanSegment(n, i == len(numbers)-1, rec); err != nil {
			_ = s.Close() // the error that matters is the first one
			return nil, nil, err
		}
	}
	s.finishRecovery(rec)
	return s, rec, nil
}

// scanSegment reads one segment into the index. Only the last one may end within a record.
func (s *Store) scanSegment(n uint32, last bool, rec *Recovery) error {
	g, valid, err := s.openSegment(n)
	if err != nil {
		return err
	}
	if !valid {
		if last && g.size < segment.HeaderSize || g.size == 0 { // the process ended while it created the segment
			rec.TornBytes += g.size
			_ = g.file.Close()
			if s.options.ReadOnly {
				return nil
			}
			return s.fs.Remove(segmentName(n))
		}
		rec.Damage = append(rec.Damage, Damage{Segment: n, Size: g.size})
		g.full = true
		s.segments = append(s.segments, g) // it holds no record, and is removed once it is the oldest
		return nil
	}
	s.salt = g.header.Salt
	s.segments = append(s.segments, g)
	end, err := s.scanRecords(g, rec)
	if err != nil {
		return err
	}
	if err := s.cutTail(g, end, last, rec); err != nil {
		return err
	}
	if last && !s.options.ReadOnly { // what was read may still be in the system's memory alone, and is offered from now on
		if err := g.file.Sync(); err != nil {
			return &SegmentError{Segment: n, Err: err}
		}
	}
	g.syncedBytes = g.size
	return nil
}

// openSegment opens a segment and reads its header. A header that is not one is no error, a version that is not
// known is.
func (s *Store) openSegment(n uint32) (g *segmentFile, valid bool, err error) {
	f, err := s.fs.Open(segmentName(n), false)
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
		return nil, false, &SegmentError{Segment: n, Err: err}
	}
	g = &segmentFile{number: n, file: f, size: size}
	head := make([]byte, min(size, segment.HeaderSize))
	if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, false, &SegmentError{Segment: n, Err: err}
	}
	header, parseErr := segment.ParseHeader(head)
	if errors.Is(parseErr, segment.ErrVersion) {
		return nil, false, &SegmentError{Segment: n, Err: parseErr}
	}
	g.header = header
	return g, parseErr == nil && header.Number == n, nil
}

// scanRecords applies all records of a segment to the index. It returns where the last complete one ends.
func (s *Store) scanRecords(g *segmentFile, rec *Recovery) (end int64, err error) {
	scanner := segment.NewScanner(g.header)
	buf := make([]byte, scanBufferSize)
	for at := int64(segment.HeaderSize); ; {
		for {
			item, ok := scanner.Next()
			if !ok {
				break
			}
			s.applyItem(g, item, rec)
		}
		if at >= g.size {
			return scanner.ValidEnd(), nil
		}
		n, err := g.file.ReadAt(buf[:min(int64(len(buf)), g.size-at)], at)
		if n == 0 && err != nil {
			return 0, &SegmentError{g.number, at, err}
		}
		scanner.Feed(buf[:n])
		at += int64(n)
	}
}

// cutTail removes what a crash left of a write behind the last complete record. In a segment that others follow such
// bytes are damage.
func (s *Store) cutTail(g *segmentFile, end int64, last bool, rec *Recovery) error {
	if end >= g.size {
		return nil
	}
	if !last {
		rec.Damage = append(rec.Damage, Damage{Segment: g.number, Offset: end, Size: g.size - end})
		return nil
	}
	rec.TornBytes += g.size - end
	if !s.options.ReadOnly {
		err := g.file.Truncate(end)
		if err == nil {
			err = g.file.Sync() // else the tail may be back after another crash, with segments behind it
		}
		if err != nil {
			return &SegmentError{Segment: g.number, Err: err}
		}
	}
	g.size = end
	return nil
}

// applyItem applies what a scan found to the index.
func (s *Store) applyItem(g *segmentFile, item segment.Item, rec *Recovery) {
	r, at := item.Record, spool.Location{Segment: g.number, Offset: item.Offset, Size: int32(item.Size)}
	e := s.entries[r.ID]
	if item.Damaged {
		rec.Damage = append(rec.Damage, Damage{g.number, item.Offset, item.Size, r.ID, item.HeaderIntact})
		if newest := e.newest(); item.HeaderIntact && newest != nil && r.Kind != segment.Lease {
			newest.broken = true
		}
		return
	}
	switch r.Kind {
	case segment.Open:
		meta, ok := segment.ParseMeta(r.Payload)
		if !ok {
			return
		}
		fresh := newEntry(meta, at)
		if e != nil && e.sealRecord.Size > 0 { // a copy that may be incomplete: the first one counts until it is complete
			fresh.meta.LeaseEnd = max(meta.LeaseEnd, e.meta.LeaseEnd)
			e.replacement = fresh
		} else {
			s.entries[r.ID] = fresh
		}
	case segment.Chunk:
		if e = e.newest(); e != nil {
			e.chunks[int(r.Chunk)] = at
		}
	case segment.Seal:
		summary, ok := segment.ParseSummary(r.Payload)
		if newest := e.newest(); ok && newest != nil {
			newest.summary, newest.sealRecord = summary, at
			if newest != e && newest.complete() {
				s.entries[r.ID] = newest
			}
		}
	case segment.Lease:
		if end, ok := segment.ParseLease(r.Payload); ok && e != nil {
			e.meta.LeaseEnd = end
		}
	case segment.Drop:
		delete(s.entries, r.ID)
	}
}

// finishRecovery returns the complete results and forgets all others.
func (s *Store) finishRecovery(rec *Recovery) {
	var ids []spool.ID
	for id := range s.entries {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		e := s.entries[id]
		switch {
		case e.complete():
			rec.Results = append(rec.Results, RecoveredResult{id, e.meta, e.locations()})
			s.addLive(e, 1)
			continue
		case e.sealRecord.Size > 0:
			rec.Lost = append(rec.Lost, id)
		default:
			rec.Unfinished++
		}
		delete(s.entries, id)
	}
}
