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
	Segment  int64  // bytes from which a segment is followed by the next
	ReadOnly bool   // nothing is cut or removed; Commit and Compact are not to be called
	Salt     uint64 // random; used where the folder has no segment yet
}

// Damage is a stretch of a segment that could not be read.
type Damage struct {
	Segment uint32
	From    int64
	Size    int64
	ID      spool.ID // of the result that it is of, if Known
	Known   bool
}

// Found is a result that was whole and sealed when the folder was opened.
type Found struct {
	ID     spool.ID
	Meta   segment.Meta
	Places []spool.Place
}

// Recovery is what the folder held.
type Recovery struct {
	Found   []Found
	Lost    []spool.ID // sealed, but not whole: damaged
	Partial int        // never sealed: gone without a trace
	Damage  []Damage
	Torn    int64 // bytes cut behind the last whole record
}

// entry is where the records of a result lie.
type entry struct {
	meta   segment.Meta
	open   spool.Place
	pages  map[int]spool.Place
	sum    segment.Sum
	seal   spool.Place // Size 0: none
	broken bool
	copy   *entry // while a scan reads one that a compaction made: it counts once it is whole
}

type seg struct {
	number uint32
	file   File
	header segment.Header
	size   int64
	synced int64 // up to here it outlasts a crash
	live   int64 // bytes of records that are wanted
	full   bool  // takes nothing more
}

// Store is a folder of segments.
type Store struct {
	fs      FS
	opt     Options
	salt    uint64
	segs    []*seg // oldest first; the last one is written to
	entries map[spool.ID]*entry
	buf     []byte
	partial string // a segment that could not be made, and not be removed either; empty: none
	bad     []Done // what a failed sync made unknown, not yet told
}

func segName(n uint32) string { return fmt.Sprintf("%08d.seg", n) }

func segNumber(name string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), ok && err == nil && segName(uint32(n)) == name
}

const scanPiece = 256 << 10

// Open reads a folder. What was sealed is told if it is whole; a torn tail is cut, and damage costs the
// results that it lies in alone.
func Open(fs FS, opt Options) (*Store, *Recovery, error) {
	s := &Store{fs: fs, opt: opt, salt: max(opt.Salt, 1), entries: map[spool.ID]*entry{}}
	rec := &Recovery{}
	names, err := fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("disk: %w", err)
	}
	var numbers []uint32
	for _, name := range names {
		if n, ok := segNumber(name); ok {
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
	s.conclude(rec)
	return s, rec, nil
}

// scan reads one segment.
func (s *Store) scan(n uint32, last bool, rec *Recovery, dropped map[spool.ID]bool) error {
	f, err := s.fs.Open(segName(n), false)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	size, err := f.Size()
	if err != nil {
		return fmt.Errorf("disk: %s: %w", segName(n), err)
	}
	g := &seg{number: n, file: f, size: size}
	head := make([]byte, min(size, segment.HeaderSize))
	if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("disk: %s: %w", segName(n), err)
	}
	g.header, err = segment.ParseHeader(head)
	if errors.Is(err, segment.ErrVersion) {
		return fmt.Errorf("disk: %s: %w", segName(n), err)
	}
	if err != nil || g.header.Number != n {
		if last && size < segment.HeaderSize || size == 0 { // it was being made when the process ended
			rec.Torn += size
			f.Close()
			if s.opt.ReadOnly {
				return nil
			}
			return s.fs.Remove(segName(n))
		}
		rec.Damage = append(rec.Damage, Damage{Segment: n, Size: size})
		g.full = true
		s.segs = append(s.segs, g) // nothing of it is used; it goes in its turn
		return nil
	}
	s.salt = g.header.Salt
	sc := segment.NewScanner(g.header)
	piece := make([]byte, scanPiece)
	for at := int64(segment.HeaderSize); ; {
		for {
			item, ok := sc.Next()
			if !ok {
				break
			}
			s.take(g, item, rec, dropped)
		}
		if at >= size {
			break
		}
		k, err := f.ReadAt(piece[:min(int64(len(piece)), size-at)], at)
		if k == 0 && err != nil {
			return fmt.Errorf("disk: %s at %d: %w", segName(n), at, err)
		}
		sc.Feed(piece[:k])
		at += int64(k)
	}
	if tail := sc.Tail(); tail < size {
		if last {
			rec.Torn += size - tail
			if !s.opt.ReadOnly {
				err := f.Truncate(tail)
				if err == nil {
					err = f.Sync() // or the tail may be back after another crash, with segments behind it
				}
				if err != nil {
					return fmt.Errorf("disk: %s: %w", segName(n), err)
				}
			}
			g.size = tail
		} else {
			rec.Damage = append(rec.Damage, Damage{Segment: n, From: tail, Size: size - tail})
		}
	}
	if last && !s.opt.ReadOnly { // what was read may still lie in memory alone, and is offered from now on
		if err := f.Sync(); err != nil {
			return fmt.Errorf("disk: %s: %w", segName(n), err)
		}
	}
	g.synced = g.size
	s.segs = append(s.segs, g)
	return nil
}

// take takes in what a scan found.
func (s *Store) take(g *seg, item segment.Item, rec *Recovery, dropped map[spool.ID]bool) {
	r, place := item.Record, spool.Place{Segment: g.number, Offset: item.Offset, Size: int32(item.Size)}
	if item.Damaged {
		rec.Damage = append(rec.Damage, Damage{g.number, item.Offset, item.Size, r.ID, item.Known})
		if e := s.entries[r.ID].latest(); item.Known && e != nil && r.Kind != segment.Lease {
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
		fresh := &entry{meta: meta, open: place, pages: map[int]spool.Place{}}
		if e != nil && e.seal.Size > 0 { // a copy, which may have been left half way: the first one stays until it is whole
			fresh.meta.Lease = max(meta.Lease, e.meta.Lease)
			e.copy = fresh
		} else {
			s.entries[r.ID] = fresh
		}
	case segment.Page:
		if e = e.latest(); e != nil {
			e.pages[int(r.Page)] = place
		}
	case segment.Seal:
		sum, ok := segment.ParseSum(r.Payload)
		if last := e.latest(); ok && last != nil {
			last.sum, last.seal = sum, place
			if last != e && last.whole() {
				s.entries[r.ID] = last
			}
		}
	case segment.Lease:
		if t, ok := segment.ParseTime(r.Payload); ok && e != nil {
			e.meta.Lease = t
		}
	case segment.Drop:
		delete(s.entries, r.ID)
	}
}

// latest is the copy that is being read, if there is one.
func (e *entry) latest() *entry {
	if e != nil && e.copy != nil {
		return e.copy
	}
	return e
}

// whole answers whether all that a result's seal names is there.
func (e *entry) whole() bool {
	if e.seal.Size == 0 || e.broken || len(e.pages) != int(e.sum.Pages) {
		return false
	}
	bytes := uint64(0)
	for n, p := range e.pages {
		if n >= int(e.sum.Pages) {
			return false
		}
		bytes += uint64(p.Size - segment.Overhead)
	}
	return bytes == e.sum.Bytes
}

func (e *entry) places() []spool.Place {
	out := make([]spool.Place, len(e.pages))
	for n, p := range e.pages {
		out[n] = p
	}
	return out
}

// conclude tells what is whole and forgets the rest.
func (s *Store) conclude(rec *Recovery) {
	var ids []spool.ID
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
	for _, id := range ids {
		e := s.entries[id]
		switch {
		case e.whole():
			rec.Found = append(rec.Found, Found{id, e.meta, e.places()})
			s.count(e, 1)
			continue
		case e.seal.Size > 0:
			rec.Lost = append(rec.Lost, id)
		default:
			rec.Partial++
		}
		delete(s.entries, id)
	}
}

func (s *Store) seg(n uint32) *seg {
	for _, g := range s.segs {
		if g.number == n {
			return g
		}
	}
	return nil
}

// count adds a result's records to what is live of their segments, or takes them off.
func (s *Store) count(e *entry, sign int64) {
	add := func(p spool.Place) {
		if g := s.seg(p.Segment); g != nil {
			g.live += sign * int64(p.Size)
		}
	}
	add(e.open)
	for _, p := range e.pages {
		add(p)
	}
	add(e.seal)
}

// ---- writing

// Done answers one Write effect of the spool. A Seal is answered as Written and, where the disk has
// synced it, as Synced.
type Done struct {
	Event spool.Event
	Err   error
}

// Commit writes records and syncs if a result is sealed among them: one sync for all of them. What it
// returns is told to the spool in order. The Data of effects is used during the call only.
func (s *Store) Commit(writes []spool.Effect) (out []Done) {
	var seals []spool.ID
	fail := func(f *spool.Effect, err error) {
		out = append(out, Done{spool.Event{Kind: spool.Written, ID: f.ID, Record: f.Record, N: f.N, Err: true}, err})
	}
	for i := range writes {
		f := &writes[i]
		place, err := s.put(f)
		if err != nil {
			fail(f, err)
			if e := s.entries[f.ID]; e != nil {
				e.broken = true // its seal is not acknowledged, whatever follows
			}
			continue
		}
		out = append(out, Done{Event: spool.Event{Kind: spool.Written, ID: f.ID, Record: f.Record, N: f.N, Place: place}})
		if f.Record == segment.Seal {
			seals = append(seals, f.ID)
		}
	}
	if len(seals) > 0 {
		_ = s.sync() // what fails is in s.bad
	}
	out = append(out, s.bad...)
	for _, id := range seals {
		e := s.entries[id]
		lost := e == nil || e.broken
		out = append(out, Done{Event: spool.Event{Kind: spool.Synced, ID: id, Err: lost}})
	}
	s.bad = nil
	return out
}

// put appends one record.
func (s *Store) put(f *spool.Effect) (spool.Place, error) {
	g, err := s.active()
	if err != nil {
		return spool.Place{}, err
	}
	place, err := s.appendTo(g, segment.Record{Kind: f.Record, ID: f.ID, Page: uint32(f.N), Payload: f.Data})
	if err != nil {
		return place, err
	}
	s.note(f.Record, f.ID, f.N, f.Data, place)
	return place, nil
}

// appendTo writes one record behind the last. A write that fails leaves nothing behind that counts.
func (s *Store) appendTo(g *seg, r segment.Record) (spool.Place, error) {
	s.buf = segment.Append(s.buf[:0], g.header, g.size, r)
	if _, err := g.file.WriteAt(s.buf, g.size); err != nil {
		_ = g.file.Truncate(g.size) // the next record overwrites it in any case
		return spool.Place{}, fmt.Errorf("disk: %s: %w", segName(g.number), err)
	}
	place := spool.Place{Segment: g.number, Offset: g.size, Size: int32(len(s.buf))}
	g.size += int64(len(s.buf))
	return place, nil
}

// note follows what was written, for removal and compaction.
func (s *Store) note(kind segment.Kind, id spool.ID, n int, data []byte, place spool.Place) {
	e := s.entries[id]
	switch kind {
	case segment.Open:
		meta, _ := segment.ParseMeta(data)
		e = &entry{meta: meta, open: place, pages: map[int]spool.Place{}}
		s.entries[id] = e
	case segment.Page:
		if e != nil {
			e.pages[n] = place
		}
	case segment.Seal:
		if e != nil {
			e.sum, _ = segment.ParseSum(data)
			e.seal = place
		}
	case segment.Drop:
		if e != nil {
			s.count(e, -1)
			delete(s.entries, id)
		}
		return
	}
	if e != nil && kind != segment.Lease {
		s.seg(place.Segment).live += int64(place.Size)
	}
}

// active is the segment that is written to; a full one is synced and followed by the next.
func (s *Store) active() (*seg, error) {
	next := uint32(1)
	if n := len(s.segs); n > 0 {
		g := s.segs[n-1]
		if !g.full && g.size < s.opt.Segment {
			return g, nil
		}
		if g.synced < g.size {
			if err := s.sync(); err != nil {
				return nil, err
			}
		}
		next = g.number + 1
	}
	if err := s.removePartial(); err != nil {
		return nil, err
	}
	f, err := s.fs.Open(segName(next), true)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	g := &seg{number: next, file: f, header: segment.Header{Number: next, Salt: s.salt}}
	head := segment.AppendHeader(nil, g.header)
	if _, err = f.WriteAt(head, 0); err == nil {
		if err = f.Sync(); err == nil { // a later sync may fail, and later segments stand behind this one
			err = s.fs.Sync()
		}
	}
	if err != nil {
		f.Close()
		s.partial = segName(next)
		_ = s.removePartial() // else the next call does
		return nil, fmt.Errorf("disk: %s: %w", segName(next), err)
	}
	g.size, g.synced = int64(len(head)), int64(len(head))
	s.segs = append(s.segs, g)
	return g, nil
}

// removePartial removes a segment that could not be made: its name is wanted again.
func (s *Store) removePartial() error {
	if s.partial == "" {
		return nil
	}
	if err := s.fs.Remove(s.partial); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("disk: %s: %w", s.partial, err)
	}
	s.partial = ""
	return nil
}

// sync makes all that was written last. Where that fails, what was written since the last time is unknown:
// it is cut off, and nothing more is written to that segment.
func (s *Store) sync() error {
	g := s.segs[len(s.segs)-1]
	err := g.file.Sync()
	if err == nil {
		g.synced = g.size
		return nil
	}
	bad := spool.Place{Segment: g.number, Offset: max(g.synced, segment.HeaderSize)}
	if g.file.Truncate(bad.Offset) == nil {
		g.size = bad.Offset
	}
	for _, e := range s.entries {
		lost := func(p spool.Place) bool { return p.Size > 0 && p.Segment == g.number && p.Offset >= bad.Offset }
		e.broken = e.broken || lost(e.open) || lost(e.seal)
		for _, p := range e.pages {
			e.broken = e.broken || lost(p)
		}
	}
	g.full, g.synced = true, g.size
	err = fmt.Errorf("disk: %s: %w", segName(g.number), err)
	s.bad = append(s.bad, Done{spool.Event{Kind: spool.SegmentBad, Place: bad}, err})
	return err
}

// ErrChanged is returned where the disk returns other bytes than were written.
var ErrChanged = errors.New("disk: other bytes than were written")

// Read reads one chunk back, checked.
func (s *Store) Read(id spool.ID, n int, p spool.Place) ([]byte, error) {
	g := s.seg(p.Segment)
	if g == nil {
		return nil, fmt.Errorf("disk: no segment %d", p.Segment)
	}
	buf := make([]byte, p.Size)
	if _, err := g.file.ReadAt(buf, p.Offset); err != nil {
		return nil, fmt.Errorf("disk: %s at %d: %w", segName(g.number), p.Offset, err)
	}
	r, err := segment.Parse(buf, g.header, p.Offset)
	if err != nil || r.Kind != segment.Page || r.ID != id || int(r.Page) != n {
		return nil, fmt.Errorf("%w: %s at %d", ErrChanged, segName(g.number), p.Offset)
	}
	return r.Payload, nil
}

// ---- removal

// Sweep removes the oldest segments of which nothing is wanted any more.
func (s *Store) Sweep() (removed int, err error) {
	for len(s.segs) > 1 && s.segs[0].live <= 0 {
		g := s.segs[0]
		if err := s.fs.Remove(segName(g.number)); err != nil {
			return removed, fmt.Errorf("disk: %w", err)
		}
		g.file.Close()
		s.segs = s.segs[1:]
		removed++
	}
	if removed > 0 {
		err = s.fs.Sync()
	}
	return removed, err
}

// Waste is how many bytes the segments take over those that are wanted.
func (s *Store) Waste() int64 {
	var sum int64
	for _, g := range s.segs {
		sum += g.size - g.live
	}
	return sum
}

// Compact copies what is wanted of the oldest segment behind the last one, so that the oldest may go. What
// it returns is told to the spool: where chunks lie now. Only whole results are copied; while one of the
// segment is being written, nothing is.
func (s *Store) Compact() (out []Done, err error) {
	if len(s.segs) < 2 {
		return nil, nil
	}
	defer func() { // what a failed sync made unknown, here or where a segment was full
		out = append(out, s.bad...)
		s.bad = nil
	}()
	oldest := s.segs[0].number
	var ids []spool.ID
	for id, e := range s.entries {
		in := e.open.Segment == oldest || e.seal.Segment == oldest
		for _, p := range e.pages {
			in = in || p.Segment == oldest
		}
		if !in {
			continue
		}
		if e.seal.Size == 0 || e.broken {
			return nil, nil
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
	for _, id := range ids {
		e := s.entries[id]
		fresh := &entry{meta: e.meta, pages: map[int]spool.Place{}, sum: e.sum}
		copyTo := func(kind segment.Kind, n int, data []byte) (spool.Place, error) {
			g, err := s.active()
			if err != nil {
				return spool.Place{}, err
			}
			return s.appendTo(g, segment.Record{Kind: kind, ID: id, Page: uint32(n), Payload: data})
		}
		if fresh.open, err = copyTo(segment.Open, 0, segment.AppendMeta(nil, e.meta)); err != nil {
			return out, err
		}
		for n := range len(e.pages) {
			data, err := s.Read(id, n, e.pages[n])
			if err != nil {
				return out, err
			}
			if fresh.pages[n], err = copyTo(segment.Page, n, data); err != nil {
				return out, err
			}
		}
		if fresh.seal, err = copyTo(segment.Seal, len(e.pages), segment.AppendSum(nil, e.sum)); err != nil {
			return out, err
		}
		if err := s.sync(); err != nil {
			return out, err
		}
		s.count(e, -1)
		s.entries[id] = fresh
		s.count(fresh, 1)
		for n := range len(fresh.pages) {
			out = append(out, Done{Event: spool.Event{Kind: spool.Moved, ID: id, N: n, Place: fresh.pages[n]}})
		}
	}
	_, err = s.Sweep()
	return out, err
}

// Bytes is what the segments take.
func (s *Store) Bytes() (sum int64) {
	for _, g := range s.segs {
		sum += g.size
	}
	return sum
}

// Close closes all files.
func (s *Store) Close() error {
	var errs []error
	for _, g := range s.segs {
		errs = append(errs, g.file.Close())
	}
	return errors.Join(errs...)
}
