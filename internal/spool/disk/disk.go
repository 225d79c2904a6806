// Package disk carries out what the spool asks of a disk: append-only segments
// of checksummed records, group commit, recovery, and removal of what is dead.
// It must never decide what is kept, hand out bytes that are not those that
// were written, or say that something is safe before the system has said so.
//
// A Store belongs to one goroutine, never the reducer's. Segments are removed
// oldest first only: a record that says that a result is dropped must not go
// while an older segment still holds that result.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Options bound a Store.
type Options struct {
	SegmentBytes int64  // bytes from which a segment is followed by the next
	ReadOnly     bool   // nothing is cut or removed; Commit and Compact are not to be called
	Salt         uint64 // random; used where the folder has no segment yet
}

// Damage is a stretch of a segment that could not be read.
type Damage struct {
	Segment uint32
	Offset  int64
	Size    int64
	ID      spool.ID // of the result that it is of, if Known
	Known   bool
}

// RecoveredResult is a result that was whole and sealed when the folder was opened.
type RecoveredResult struct {
	ID        spool.ID
	Meta      segment.Meta
	Locations []spool.Location
}

// Recovery is what the folder held.
type Recovery struct {
	Results    []RecoveredResult
	Lost       []spool.ID // sealed, but not whole: damaged
	Unfinished int        // never sealed: gone without a trace
	Damage     []Damage
	TornBytes  int64 // bytes cut behind the last whole record
}

// entry is where the records of a result lie.
type entry struct {
	meta        segment.Meta
	openRecord  spool.Location
	chunks      map[int]spool.Location
	summary     segment.Summary
	sealRecord  spool.Location // Size 0: none
	broken      bool
	replacement *entry // while a scan reads one that a compaction made: it counts once it is whole
}

type segmentFile struct {
	number      uint32
	file        File
	header      segment.Header
	size        int64
	syncedBytes int64 // up to here it outlasts a crash
	liveBytes   int64 // bytes of records that are wanted
	full        bool  // takes nothing more
}

// Store is a folder of segments.
type Store struct {
	fs           FS
	options      Options
	salt         uint64
	segments     []*segmentFile // oldest first; the last one is written to
	entries      map[spool.ID]*entry
	buf          []byte
	unfinished   string       // a segment that could not be made, and not be removed either; empty: none
	syncFailures []Completion // what a failed sync made unknown, not yet told
}

func segmentName(n uint32) string { return fmt.Sprintf("%08d.seg", n) }

func segmentNumber(name string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), ok && err == nil && segmentName(uint32(n)) == name
}

const scanBufferSize = 256 << 10

// Open reads a folder. What was sealed is told if it is whole; a torn tail is cut, and damage costs the
// results that it lies in alone.
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
	dropped := map[spool.ID]bool{}
	for i, n := range numbers {
		if err := s.scan(n, i == len(numbers)-1, rec, dropped); err != nil {
			return nil, nil, err
		}
	}
	s.finishRecovery(rec)
	return s, rec, nil
}

// scan reads one segment.
func (s *Store) scan(n uint32, last bool, rec *Recovery, dropped map[spool.ID]bool) error {
	f, err := s.fs.Open(segmentName(n), false)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	size, err := f.Size()
	if err != nil {
		return fmt.Errorf("disk: %s: %w", segmentName(n), err)
	}
	g := &segmentFile{number: n, file: f, size: size}
	head := make([]byte, min(size, segment.HeaderSize))
	if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("disk: %s: %w", segmentName(n), err)
	}
	g.header, err = segment.ParseHeader(head)
	if errors.Is(err, segment.ErrVersion) {
		return fmt.Errorf("disk: %s: %w", segmentName(n), err)
	}
	if err != nil || g.header.Number != n {
		if last && size < segment.HeaderSize || size == 0 { // it was being made when the process ended
			rec.TornBytes += size
			f.Close()
			if s.options.ReadOnly {
				return nil
			}
			return s.fs.Remove(segmentName(n))
		}
		rec.Damage = append(rec.Damage, Damage{Segment: n, Size: size})
		g.full = true
		s.segments = append(s.segments, g) // nothing of it is used; it goes in its turn
		return nil
	}
	s.salt = g.header.Salt
	sc := segment.NewScanner(g.header)
	piece := make([]byte, scanBufferSize)
	for at := int64(segment.HeaderSize); ; {
		for {
			item, ok := sc.Next()
			if !ok {
				break
			}
			s.applyItem(g, item, rec, dropped)
		}
		if at >= size {
			break
		}
		k, err := f.ReadAt(piece[:min(int64(len(piece)), size-at)], at)
		if k == 0 && err != nil {
			return fmt.Errorf("disk: %s at %d: %w", segmentName(n), at, err)
		}
		sc.Feed(piece[:k])
		at += int64(k)
	}
	if tail := sc.ValidEnd(); tail < size {
		if last {
			rec.TornBytes += size - tail
			if !s.options.ReadOnly {
				err := f.Truncate(tail)
				if err == nil {
					err = f.Sync() // or the tail may be back after another crash, with segments behind it
				}
				if err != nil {
					return fmt.Errorf("disk: %s: %w", segmentName(n), err)
				}
			}
			g.size = tail
		} else {
			rec.Damage = append(rec.Damage, Damage{Segment: n, Offset: tail, Size: size - tail})
		}
	}
	if last && !s.options.ReadOnly { // what was read may still lie in memory alone, and is offered from now on
		if err := f.Sync(); err != nil {
			return fmt.Errorf("disk: %s: %w", segmentName(n), err)
		}
	}
	g.syncedBytes = g.size
	s.segments = append(s.segments, g)
	return nil
}

// applyItem takes in what a scan found.
func (s *Store) applyItem(g *segmentFile, item segment.Item, rec *Recovery, dropped map[spool.ID]bool) {
	r, place := item.Record, spool.Location{Segment: g.number, Offset: item.Offset, Size: int32(item.Size)}
	if item.Damaged {
		rec.Damage = append(rec.Damage, Damage{g.number, item.Offset, item.Size, r.ID, item.HeaderIntact})
		if e := s.entries[r.ID].newest(); item.HeaderIntact && e != nil && r.Kind != segment.Lease {
			e.broken = true
		}
		return
	}
	e := s.entries[r.ID]
	switch r.Kind {
	case segment.Open:
		meta, ok := segment.ParseMeta(r.Payload)
		if !ok {
			return
		}
		fresh := &entry{meta: meta, openRecord: place, chunks: map[int]spool.Location{}}
		if e != nil && e.sealRecord.Size > 0 { // a copy, which may have been left half way: the first one stays until it is whole
			fresh.meta.LeaseEnd = max(meta.LeaseEnd, e.meta.LeaseEnd)
			e.replacement = fresh
		} else {
			s.entries[r.ID] = fresh
		}
	case segment.Chunk:
		if e = e.newest(); e != nil {
			e.chunks[int(r.Chunk)] = place
		}
	case segment.Seal:
		sum, ok := segment.ParseSummary(r.Payload)
		if last := e.newest(); ok && last != nil {
			last.summary, last.sealRecord = sum, place
			if last != e && last.complete() {
				s.entries[r.ID] = last
			}
		}
	case segment.Lease:
		if t, ok := segment.ParseLease(r.Payload); ok && e != nil {
			e.meta.LeaseEnd = t
		}
	case segment.Drop:
		delete(s.entries, r.ID)
	}
}

// newest is the copy that is being read, if there is one.
func (e *entry) newest() *entry {
	if e != nil && e.replacement != nil {
		return e.replacement
	}
	return e
}

// complete answers whether all that a result's seal names is there.
func (e *entry) complete() bool {
	if e.sealRecord.Size == 0 || e.broken || len(e.chunks) != int(e.summary.Chunks) {
		return false
	}
	bytes := uint64(0)
	for n, p := range e.chunks {
		if n >= int(e.summary.Chunks) {
			return false
		}
		bytes += uint64(p.Size - segment.RecordOverhead)
	}
	return bytes == e.summary.Bytes
}

func (e *entry) locations() []spool.Location {
	out := make([]spool.Location, len(e.chunks))
	for n, p := range e.chunks {
		out[n] = p
	}
	return out
}

// finishRecovery tells what is whole and forgets the rest.
func (s *Store) finishRecovery(rec *Recovery) {
	var ids []spool.ID
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
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

func (s *Store) segment(n uint32) *segmentFile {
	for _, g := range s.segments {
		if g.number == n {
			return g
		}
	}
	return nil
}

// addLive adds a result's records to what is live of their segments, or takes them off.
func (s *Store) addLive(e *entry, sign int64) {
	add := func(p spool.Location) {
		if g := s.segment(p.Segment); g != nil {
			g.liveBytes += sign * int64(p.Size)
		}
	}
	add(e.openRecord)
	for _, p := range e.chunks {
		add(p)
	}
	add(e.sealRecord)
}

// ---- writing

// Completion answers one Write effect of the spool. A Seal is answered as Written and, where the disk has
// synced it, as Synced.
type Completion struct {
	Event spool.Event
	Err   error
}

// Commit writes records and syncs if a result is sealed among them: one sync for all of them. What it
// returns is told to the spool in order. The Data of effects is used during the call only.
func (s *Store) Commit(writes []spool.Effect) (out []Completion) {
	var seals []spool.ID
	fail := func(f *spool.Effect, err error) {
		out = append(out, Completion{spool.Event{Kind: spool.RecordWritten, ID: f.ID, Record: f.Record, Index: f.Index, Failed: true}, err})
	}
	for i := range writes {
		f := &writes[i]
		place, err := s.writeRecord(f)
		if err != nil {
			fail(f, err)
			if e := s.entries[f.ID]; e != nil {
				e.broken = true // its seal is not acknowledged, whatever follows
			}
			continue
		}
		out = append(out, Completion{Event: spool.Event{Kind: spool.RecordWritten, ID: f.ID, Record: f.Record, Index: f.Index, Location: place}})
		if f.Record == segment.Seal {
			seals = append(seals, f.ID)
		}
	}
	if len(seals) > 0 {
		_ = s.sync() // what fails is in s.bad
	}
	out = append(out, s.syncFailures...)
	for _, id := range seals {
		e := s.entries[id]
		lost := e == nil || e.broken
		out = append(out, Completion{Event: spool.Event{Kind: spool.ResultSynced, ID: id, Failed: lost}})
	}
	s.syncFailures = nil
	return out
}

// writeRecord appends one record.
func (s *Store) writeRecord(f *spool.Effect) (spool.Location, error) {
	g, err := s.activeSegment()
	if err != nil {
		return spool.Location{}, err
	}
	place, err := s.appendRecord(g, segment.Record{Kind: f.Record, ID: f.ID, Chunk: uint32(f.Index), Payload: f.Data})
	if err != nil {
		return place, err
	}
	s.trackRecord(f.Record, f.ID, f.Index, f.Data, place)
	return place, nil
}

// appendRecord writes one record behind the last. A write that fails leaves nothing behind that counts.
func (s *Store) appendRecord(g *segmentFile, r segment.Record) (spool.Location, error) {
	s.buf = segment.Append(s.buf[:0], g.header, g.size, r)
	if _, err := g.file.WriteAt(s.buf, g.size); err != nil {
		_ = g.file.Truncate(g.size) // the next record overwrites it in any case
		return spool.Location{}, fmt.Errorf("disk: %s: %w", segmentName(g.number), err)
	}
	place := spool.Location{Segment: g.number, Offset: g.size, Size: int32(len(s.buf))}
	g.size += int64(len(s.buf))
	return place, nil
}

// trackRecord follows what was written, for removal and compaction.
func (s *Store) trackRecord(kind segment.Kind, id spool.ID, n int, data []byte, place spool.Location) {
	e := s.entries[id]
	switch kind {
	case segment.Open:
		meta, _ := segment.ParseMeta(data)
		e = &entry{meta: meta, openRecord: place, chunks: map[int]spool.Location{}}
		s.entries[id] = e
	case segment.Chunk:
		if e != nil {
			e.chunks[n] = place
		}
	case segment.Seal:
		if e != nil {
			e.summary, _ = segment.ParseSummary(data)
			e.sealRecord = place
		}
	case segment.Drop:
		if e != nil {
			s.addLive(e, -1)
			delete(s.entries, id)
		}
		return
	}
	if e != nil && kind != segment.Lease {
		s.segment(place.Segment).liveBytes += int64(place.Size)
	}
}

// activeSegment is the segment that is written to; a full one is synced and followed by the next.
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
		if err = f.Sync(); err == nil { // a later sync may fail, and later segments stand behind this one
			err = s.fs.Sync()
		}
	}
	if err != nil {
		f.Close()
		s.unfinished = segmentName(next)
		_ = s.removeUnfinished() // else the next call does
		return nil, fmt.Errorf("disk: %s: %w", segmentName(next), err)
	}
	g.size, g.syncedBytes = int64(len(head)), int64(len(head))
	s.segments = append(s.segments, g)
	return g, nil
}

// removeUnfinished removes a segment that could not be made: its name is wanted again.
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

// sync makes all that was written last. Where that fails, what was written since the last time is unknown:
// it is cut off, and nothing more is written to that segment.
func (s *Store) sync() error {
	g := s.segments[len(s.segments)-1]
	err := g.file.Sync()
	if err == nil {
		g.syncedBytes = g.size
		return nil
	}
	bad := spool.Location{Segment: g.number, Offset: max(g.syncedBytes, segment.HeaderSize)}
	if g.file.Truncate(bad.Offset) == nil {
		g.size = bad.Offset
	}
	for _, e := range s.entries {
		lost := func(p spool.Location) bool { return p.Size > 0 && p.Segment == g.number && p.Offset >= bad.Offset }
		e.broken = e.broken || lost(e.openRecord) || lost(e.sealRecord)
		for _, p := range e.chunks {
			e.broken = e.broken || lost(p)
		}
	}
	g.full, g.syncedBytes = true, g.size
	err = fmt.Errorf("disk: %s: %w", segmentName(g.number), err)
	s.syncFailures = append(s.syncFailures, Completion{spool.Event{Kind: spool.SegmentTailLost, Location: bad}, err})
	return err
}

// ErrCorrupt is returned where the disk returns other bytes than were written.
var ErrCorrupt = errors.New("disk: other bytes than were written")

// Read reads one chunk back, checked.
func (s *Store) Read(id spool.ID, n int, p spool.Location) ([]byte, error) {
	g := s.segment(p.Segment)
	if g == nil {
		return nil, fmt.Errorf("disk: no segment %d", p.Segment)
	}
	buf := make([]byte, p.Size)
	if _, err := g.file.ReadAt(buf, p.Offset); err != nil {
		return nil, fmt.Errorf("disk: %s at %d: %w", segmentName(g.number), p.Offset, err)
	}
	r, err := segment.Parse(buf, g.header, p.Offset)
	if err != nil || r.Kind != segment.Chunk || r.ID != id || int(r.Chunk) != n {
		return nil, fmt.Errorf("%w: %s at %d", ErrCorrupt, segmentName(g.number), p.Offset)
	}
	return r.Payload, nil
}

// ---- removal

// Sweep removes the oldest segments of which nothing is wanted any more.
func (s *Store) Sweep() (removed int, err error) {
	for len(s.segments) > 1 && s.segments[0].liveBytes <= 0 {
		g := s.segments[0]
		if err := s.fs.Remove(segmentName(g.number)); err != nil {
			return removed, fmt.Errorf("disk: %w", err)
		}
		g.file.Close()
		s.segments = s.segments[1:]
		removed++
	}
	if removed > 0 {
		err = s.fs.Sync()
	}
	return removed, err
}

// WastedBytes is how many bytes the segments take over those that are wanted.
func (s *Store) WastedBytes() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.size - g.liveBytes
	}
	return sum
}

// Compact copies what is wanted of the oldest segment behind the last one, so that the oldest may go. What
// it returns is told to the spool: where chunks lie now. Only whole results are copied; while one of the
// segment is being written, nothing is.
func (s *Store) Compact() (out []Completion, err error) {
	if len(s.segments) < 2 {
		return nil, nil
	}
	defer func() { // what a failed sync made unknown, here or where a segment was full
		out = append(out, s.syncFailures...)
		s.syncFailures = nil
	}()
	oldest := s.segments[0].number
	var ids []spool.ID
	for id, e := range s.entries {
		in := e.openRecord.Segment == oldest || e.sealRecord.Segment == oldest
		for _, p := range e.chunks {
			in = in || p.Segment == oldest
		}
		if !in {
			continue
		}
		if e.sealRecord.Size == 0 || e.broken {
			return nil, nil
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
	for _, id := range ids {
		e := s.entries[id]
		fresh := &entry{meta: e.meta, chunks: map[int]spool.Location{}, summary: e.summary}
		copyTo := func(kind segment.Kind, n int, data []byte) (spool.Location, error) {
			g, err := s.activeSegment()
			if err != nil {
				return spool.Location{}, err
			}
			return s.appendRecord(g, segment.Record{Kind: kind, ID: id, Chunk: uint32(n), Payload: data})
		}
		if fresh.openRecord, err = copyTo(segment.Open, 0, segment.AppendMeta(nil, e.meta)); err != nil {
			return out, err
		}
		for n := range len(e.chunks) {
			data, err := s.Read(id, n, e.chunks[n])
			if err != nil {
				return out, err
			}
			if fresh.chunks[n], err = copyTo(segment.Chunk, n, data); err != nil {
				return out, err
			}
		}
		if fresh.sealRecord, err = copyTo(segment.Seal, len(e.chunks), segment.AppendSummary(nil, e.summary)); err != nil {
			return out, err
		}
		if err := s.sync(); err != nil {
			return out, err
		}
		s.addLive(e, -1)
		s.entries[id] = fresh
		s.addLive(fresh, 1)
		for n := range len(fresh.chunks) {
			out = append(out, Completion{Event: spool.Event{Kind: spool.ChunkMoved, ID: id, Index: n, Location: fresh.chunks[n]}})
		}
	}
	_, err = s.Sweep()
	return out, err
}

// Bytes is what the segments take.
func (s *Store) Bytes() (sum int64) {
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}

// Close closes all files.
func (s *Store) Close() error {
	var errs []error
	for _, g := range s.segments {
		errs = append(errs, g.file.Close())
	}
	return errors.Join(errs...)
}
