package disk

import (
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// entry says where the records of a result are stored.
type entry struct {
	meta        segment.Meta
	openRecord  spool.Location
	chunks      map[int]spool.Location
	summary     segment.Summary
	sealRecord  spool.Location // Size 0: there is none
	broken      bool           // a record of it is lost
	replacement *entry         // during recovery: a copy that a compaction began; it takes over once it is complete
}

func newEntry(meta segment.Meta, open spool.Location) *entry {
	return &entry{meta: meta, openRecord: open, chunks: map[int]spool.Location{}}
}

// newest returns the copy that records read now belong to. The entry may be nil.
func (e *entry) newest() *entry {
	if e != nil && e.replacement != nil {
		return e.replacement
	}
	return e
}

// complete says whether all that a result's seal names is stored.
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

// locations returns those of the chunks, in order. The entry must be complete.
func (e *entry) locations() []spool.Location {
	out := make([]spool.Location, len(e.chunks))
	for n, l := range e.chunks {
		out[n] = l
	}
	return out
}

// anyRecord says whether a record of the result matches.
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

// addLive adds the sizes of a result's records to the live bytes of their segments, or subtracts them with sign -1.
func (s *Store) addLive(e *entry, sign int64) {
	add := func(l spool.Location) {
		if g := s.segment(l.Segment); g != nil {
			g.liveBytes += sign * int64(l.Size)
		}
	}
	add(e.openRecord)
	for _, l := range e.chunks {
		add(l)
	}
	add(e.sealRecord)
}

// trackRecord updates the index after a record was written.
func (s *Store) trackRecord(f *spool.WriteRecord, at spool.Location) {
	e := s.entries[f.ID]
	switch f.Record {
	case segment.Open:
		meta, _ := segment.ParseMeta(f.Data)
		e = newEntry(meta, at)
		s.entries[f.ID] = e
	case segment.Chunk:
		if e != nil {
			e.chunks[f.Index] = at
		}
	case segment.Seal:
		if e != nil {
			e.summary, _ = segment.ParseSummary(f.Data)
			e.sealRecord = at
		}
	case segment.Drop:
		if e != nil {
			s.addLive(e, -1)
			delete(s.entries, f.ID)
		}
		return
	}
	if e != nil && f.Record != segment.Lease {
		s.segment(at.Segment).liveBytes += int64(at.Size)
	}
}
