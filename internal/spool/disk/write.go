package disk

import (
	"errors"
	"fmt"
	"io/fs"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Completion is an event for the result store that reports the outcome of an operation, with the error if it failed.
// Each WriteRecord yields a RecordWritten; a Seal that was written also yields a ResultSynced after the sync.
type Completion struct {
	Event spool.Event
	Err   error
}

// Commit appends records, and syncs once if they include a Seal. It returns the events for the result store in order.
// It does not retain the Data of the effects.
func (s *Store) Commit(writes []spool.WriteRecord) (completions []Completion) {
	var seals []spool.ID
	for i := range writes {
		write := &writes[i]
		written := spool.RecordWritten{ID: write.ID, Record: write.Record, Index: write.Index}
		location, err := s.writeRecord(write)
		if err != nil {
			written.Failed = true
			completions = append(completions, Completion{written, err})
			if e := s.entries[write.ID]; e != nil && write.Record != segment.Lease {
				e.broken = true // its Seal must not be reported as synced
			}
			continue
		}
		written.Location = location
		completions = append(completions, Completion{Event: written})
		if write.Record == segment.Seal {
			seals = append(seals, write.ID)
		}
	}
	if len(seals) > 0 {
		_ = s.sync() // a failure is recorded in syncFailures and marks the affected results as broken
	}
	completions = s.drainSyncFailures(completions)
	for _, id := range seals {
		e := s.entries[id]
		completions = append(completions, Completion{Event: spool.ResultSynced{ID: id, Failed: e == nil || e.broken}})
	}
	return completions
}

// drainSyncFailures appends the pending reports of failed syncs and clears them.
func (s *Store) drainSyncFailures(completions []Completion) []Completion {
	completions = append(completions, s.syncFailures...)
	s.syncFailures = nil
	return completions
}

// writeRecord appends the record of an effect to the active segment and updates the index.
func (s *Store) writeRecord(write *spool.WriteRecord) (spool.Location, error) {
	seg, err := s.activeSegment()
	if err != nil {
		return spool.Location{}, err
	}
	location, err := s.appendRecord(seg, segment.Record{Kind: write.Record, ID: write.ID, Chunk: uint32(write.Index), Payload: write.Data})
	if err != nil {
		return location, err
	}
	s.trackRecord(write, location)
	return location, nil
}

// appendRecord appends one record. If the write fails, the segment's size does not change, so the next record
// overwrites the partial write.
func (s *Store) appendRecord(seg *segmentFile, r segment.Record) (spool.Location, error) {
	s.buf = segment.Append(s.buf[:0], seg.header, seg.size, r)
	if _, err := seg.file.WriteAt(s.buf, seg.size); err != nil {
		_ = seg.file.Truncate(seg.size) // only frees space; a failure is harmless, since the next record overwrites the rest
		return spool.Location{}, &SegmentError{Segment: seg.number, Err: err}
	}
	location := spool.Location{Segment: seg.number, Offset: seg.size, Size: int32(len(s.buf))}
	seg.size += int64(len(s.buf))
	return location, nil
}

// activeSegment returns the segment to append to. If the last one is full, it is synced and a new one is created.
func (s *Store) activeSegment() (*segmentFile, error) {
	next := uint32(1)
	if n := len(s.segments); n > 0 {
		seg := s.segments[n-1]
		if !seg.full && seg.size < s.options.SegmentBytes {
			return seg, nil
		}
		if seg.syncedBytes < seg.size {
			if err := s.sync(); err != nil {
				return nil, err
			}
		}
		next = seg.number + 1
	}
	if err := s.removeUnfinished(); err != nil {
		return nil, err
	}
	f, err := s.fs.Open(segmentName(next), true)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	seg := &segmentFile{number: next, file: f, header: segment.Header{Number: next, Salt: s.salt}}
	header := segment.AppendHeader(nil, seg.header)
	if _, err = f.WriteAt(header, 0); err == nil {
		if err = f.Sync(); err == nil { // the header must be durable before any record and any later segment
			err = s.fs.Sync()
		}
	}
	if err != nil {
		_ = f.Close() // the file is removed below
		s.unfinished = segmentName(next)
		_ = s.removeUnfinished() // if this fails, the next call retries it
		return nil, &SegmentError{Segment: next, Err: err}
	}
	seg.size, seg.syncedBytes = int64(len(header)), int64(len(header))
	s.segments = append(s.segments, seg)
	return seg, nil
}

// removeUnfinished removes a segment file whose creation failed, since the next segment needs its name.
func (s *Store) removeUnfinished() error {
	if s.unfinished == "" {
		return nil
	}
	if err := s.fs.Remove(s.unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("disk: %s: %w", s.unfinished, err)
	}
	s.unfinished = ""
	return nil
}

// sync makes all records durable. After a failure the state of all bytes since the last sync is unknown, and a later
// sync may succeed without having written them. Therefore sync truncates these bytes, marks the affected results as
// broken, and closes the segment for appends.
func (s *Store) sync() error {
	seg := s.segments[len(s.segments)-1]
	err := seg.file.Sync()
	if err == nil {
		seg.syncedBytes = seg.size
		return nil
	}
	lost := spool.SegmentTailLost{Segment: seg.number, Offset: max(seg.syncedBytes, segment.HeaderSize)}
	if seg.file.Truncate(lost.Offset) == nil {
		seg.size = lost.Offset
	}
	for _, e := range s.entries {
		e.broken = e.broken || e.anyRecord(func(l spool.Location) bool {
			return l.Size > 0 && l.Segment == lost.Segment && l.Offset >= lost.Offset
		})
	}
	seg.full, seg.syncedBytes = true, seg.size
	err = &SegmentError{Segment: seg.number, Err: err}
	s.syncFailures = append(s.syncFailures, Completion{lost, err})
	return err
}
