package disk

import (
	"errors"
	"fmt"
	"io/fs"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Completion answers one WriteRecord: an event for the result store, and the error behind a failure. A Seal is
// answered by RecordWritten and, after the sync, by ResultSynced.
type Completion struct {
	Event spool.Event
	Err   error
}

// Commit appends records, and syncs once if there is a seal among them. The events are for the result store, in order.
// The Data of the effects is used during the call only.
func (s *Store) Commit(writes []spool.WriteRecord) (out []Completion) {
	var seals []spool.ID
	for i := range writes {
		f := &writes[i]
		written := spool.RecordWritten{ID: f.ID, Record: f.Record, Index: f.Index}
		at, err := s.writeRecord(f)
		if err != nil {
			written.Failed = true
			out = append(out, Completion{written, err})
			if e := s.entries[f.ID]; e != nil {
				e.broken = true // its seal must not be reported as synced, whatever follows
			}
			continue
		}
		written.Location = at
		out = append(out, Completion{Event: written})
		if f.Record == segment.Seal {
			seals = append(seals, f.ID)
		}
	}
	if len(seals) > 0 {
		_ = s.sync() // a failure is in syncFailures, and marks the results that it concerns as broken
	}
	out = s.takeSyncFailures(out)
	for _, id := range seals {
		e := s.entries[id]
		out = append(out, Completion{Event: spool.ResultSynced{ID: id, Failed: e == nil || e.broken}})
	}
	return out
}

// takeSyncFailures appends the reports of failed syncs.
func (s *Store) takeSyncFailures(out []Completion) []Completion {
	out = append(out, s.syncFailures...)
	s.syncFailures = nil
	return out
}

// writeRecord appends the record of an effect.
func (s *Store) writeRecord(f *spool.WriteRecord) (spool.Location, error) {
	g, err := s.activeSegment()
	if err != nil {
		return spool.Location{}, err
	}
	at, err := s.appendRecord(g, segment.Record{Kind: f.Record, ID: f.ID, Chunk: uint32(f.Index), Payload: f.Data})
	if err != nil {
		return at, err
	}
	s.trackRecord(f, at)
	return at, nil
}

// appendRecord appends one record. If the write fails, the segment's size stays: the next record overwrites what it left.
func (s *Store) appendRecord(g *segmentFile, r segment.Record) (spool.Location, error) {
	s.buf = segment.Append(s.buf[:0], g.header, g.size, r)
	if _, err := g.file.WriteAt(s.buf, g.size); err != nil {
		_ = g.file.Truncate(g.size) // only to free space: the next record overwrites it in any case
		return spool.Location{}, &SegmentError{Segment: g.number, Err: err}
	}
	at := spool.Location{Segment: g.number, Offset: g.size, Size: int32(len(s.buf))}
	g.size += int64(len(s.buf))
	return at, nil
}

// activeSegment returns the segment to append to. A full one is synced before the next is created.
func (s *Store) activeSegment() (*segmentFile, error) {
	next := uint32(1)
	if n := len(s.segments); n > 0 {
		g := s.segments[n-1]
		if !g.full && g.size < s.options.SegmentBytes {
			return g, nil
		}
		if g.syncedBytes < g.size {
			if err := s.sync(); err != nil {
				return nil, err
			}
		}
		next = g.number + 1
	}
	if err := s.removeUnfinished(); err != nil {
		return nil, err
	}
	f, err := s.fs.Open(segmentName(next), true)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	g := &segmentFile{number: next, file: f, header: segment.Header{Number: next, Salt: s.salt}}
	head := segment.AppendHeader(nil, g.header)
	if _, err = f.WriteAt(head, 0); err == nil {
		if err = f.Sync(); err == nil { // the header must be safe before records, and before later segments
			err = s.fs.Sync()
		}
	}
	if err != nil {
		_ = f.Close() // it is removed
		s.unfinished = segmentName(next)
		_ = s.removeUnfinished() // else the next call does
		return nil, &SegmentError{Segment: next, Err: err}
	}
	g.size, g.syncedBytes = int64(len(head)), int64(len(head))
	s.segments = append(s.segments, g)
	return g, nil
}

// removeUnfinished removes a segment whose creation failed, since its name is needed again.
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

// sync makes all records durable. If it fails, the state of all bytes since the last sync is unknown, and a later sync
// may succeed without having written them: they are cut off, and nothing more is appended to that segment.
func (s *Store) sync() error {
	g := s.segments[len(s.segments)-1]
	err := g.file.Sync()
	if err == nil {
		g.syncedBytes = g.size
		return nil
	}
	lost := spool.SegmentTailLost{Segment: g.number, Offset: max(g.syncedBytes, segment.HeaderSize)}
	if g.file.Truncate(lost.Offset) == nil {
		g.size = lost.Offset
	}
	for _, e := range s.entries {
		e.broken = e.broken || e.anyRecord(func(l spool.Location) bool {
			return l.Size > 0 && l.Segment == lost.Segment && l.Offset >= lost.Offset
		})
	}
	g.full, g.syncedBytes = true, g.size
	err = &SegmentError{Segment: g.number, Err: err}
	s.syncFailures = append(s.syncFailures, Completion{lost, err})
	return err
}
