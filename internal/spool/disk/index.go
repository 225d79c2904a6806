package disk

import (
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// entry holds the locations of the records of a result.
type entry struct {
	meta        segment.Meta
	openRecord  spool.Location
	chunks      map[int]spool.Location
	summary     segment.Summary
	sealRecord  spool.Location // Size 0: not sealed
	broken      bool           // a record of the result is lost
	replacement *entry         // during recovery: a copy made by a compaction; used once it is complete
}

func newEntry(meta segment.Meta, openRecord spool.Location) *entry {
	return &entry{meta: meta, openRecord: openRecord, chunks: map[int]spool.Location{}}
}

// current returns the copy that the next scanned record of the result belongs to. The entry may be nil.
func (e *entry) current() *entry {
	if e != nil && e.replacement != nil {
		return e.replacement
	}
	return e
}

// renew notes a renewed lease. The longer one counts, whichever was written later.
func (e *entry) renew(leaseEnd int64) { e.meta.LeaseEnd = max(e.meta.LeaseEnd, leaseEnd) }

// complete reports whether the result is sealed and all chunks that its Seal counts are stored.
func (e *entry) complete() bool {
	if e.sealRecord.Size == 0 || e.broken || len(e.chunks) != int(e.summary.Chunks) {
		return false
	}
	bytes := uint64(0)
	for n, l := range e.chunks {
		if n >= int(e.summary.Chunks) {
			return false
		}
		bytes += uint64(l.Size - segment.RecordOverhead)
	}
	return bytes == e.summary.Bytes
}

// locations returns the locations of the chunks, in order. The entry must be complete.
func (e *entry) locations() []spool.Location {
	out := make([]spool.Location, len(e.chunks))
	for n, l := range e.chunks {
		out[n] = l
	}
	return out
}

// anyRecord reports whether any record of the result matches.
func (e *entry) anyRecord(matches func(spool.Location) bool) bool {
	if matches(e.openRecord) || matches(e.sealRecord) {
		return true
	}
	for _, l := range e.chunks {
		if matches(l) {
			return true
		}
	}
	return false
}

// locate returns the present location of a chunk, or the given one if the result is not in the index.
func (s *Store) locate(id spool.ID, index int, location spool.Location) spool.Location {
	if e := s.entries[id]; e != nil && e.chunks[index].Size > 0 {
		return e.chunks[index]
	}
	return location
}

// addLive adds the sizes of a result's records to the live bytes of their segments. With sign -1 it subtracts them.
func (s *Store) addLive(e *entry, sign int64) {
	add := func(l spool.Location) {
		if seg := s.segmentByNumber(l.Segment); seg != nil {
			seg.liveBytes += sign * int64(l.Size)
		}
	}
	add(e.openRecord)
	for _, l := range e.chunks {
		add(l)
	}
	add(e.sealRecord)
}

// trackRecord updates the index and the live bytes after a record was written.
func (s *Store) trackRecord(write *spool.WriteRecord, location spool.Location) {
	e := s.entries[write.ID]
	switch write.Record {
	case segment.Open:
		meta, _ := segment.ParseMeta(write.Data)
		e = newEntry(meta, location)
		s.entries[write.ID] = e
	case segment.Chunk:
		if e != nil {
			e.chunks[write.Index] = location
		}
	case segment.Seal:
		if e != nil {
			e.summary, _ = segment.ParseSummary(write.Data)
			e.sealRecord = location
		}
	case segment.Lease:
		if end, ok := segment.ParseLease(write.Data); ok && e != nil {
			e.renew(end)
		}
	case segment.Drop:
		if e != nil {
			s.addLive(e, -1)
			delete(s.entries, write.ID)
		}
		return
	}
	if e != nil && write.Record != segment.Lease {
		s.segmentByNumber(location.Segment).liveBytes += int64(location.Size)
	}
}
