// Package disk executes the disk effects of the result store: it owns the
// segments of a folder, append-only files of checksummed records, with group
// commit, recovery, and removal of records that are dead. It must never decide
// which results are kept, return bytes that differ from those that were
// written, or report something as durable before the system did.
//
// A Store belongs to one goroutine, never to the reducer's. Segments are
// removed oldest first only: the record that drops a result must not be removed
// while an older segment still holds records of that result.
//
// recovery.go reads a folder at the start, index.go says where the records of
// results are, write.go commits, compact.go frees segments, worker.go is the
// goroutine that owns a Store, fs.go the files of the system.
package disk

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Options configure a Store.
type Options struct {
	SegmentBytes int64  // size from which on the next segment is begun
	ReadOnly     bool   // nothing is truncated or removed; Commit and Compact must not be called
	Salt         uint64 // random; used if the folder has no segment yet
}

// segmentFile is an open segment.
type segmentFile struct {
	number      uint32
	file        File
	header      segment.Header
	size        int64
	syncedBytes int64 // a prefix that outlasts a crash
	liveBytes   int64 // of records that belong to stored results
	full        bool  // nothing may be appended
}

// Store is a folder of segments.
type Store struct {
	fs           FS
	options      Options
	salt         uint64
	segments     []*segmentFile // oldest first; records are appended to the last
	entries      map[spool.ID]*entry
	buf          []byte       // of the record that is being written
	unfinished   string       // name of a segment whose creation failed and that is not removed yet; empty: none
	syncFailures []Completion // events that report failed syncs, not returned yet
}

func segmentName(n uint32) string { return fmt.Sprintf("%08d.seg", n) }

func segmentNumber(name string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), ok && err == nil && segmentName(uint32(n)) == name
}

// SegmentError is an error of a segment's file.
type SegmentError struct {
	Segment uint32
	Offset  int64 // where it was read; 0: the error is not of one place
	Err     error
}

// Error names the segment and the place.
func (e *SegmentError) Error() string {
	if e.Offset > 0 {
		return fmt.Sprintf("disk: %s at %d: %v", segmentName(e.Segment), e.Offset, e.Err)
	}
	return fmt.Sprintf("disk: %s: %v", segmentName(e.Segment), e.Err)
}

// Unwrap returns the error of the file.
func (e *SegmentError) Unwrap() error { return e.Err }

// Errors of Read.
var (
	ErrCorrupt   = errors.New("disk: other bytes than were written")
	ErrNoSegment = errors.New("disk: no segment")
)

// Read reads one chunk of a result. It returns ErrCorrupt if the stored bytes are not those that were written there.
func (s *Store) Read(id spool.ID, n int, l spool.Location) ([]byte, error) {
	g := s.segment(l.Segment)
	if g == nil {
		return nil, fmt.Errorf("%w %d", ErrNoSegment, l.Segment)
	}
	buf := make([]byte, l.Size)
	if _, err := g.file.ReadAt(buf, l.Offset); err != nil {
		return nil, &SegmentError{g.number, l.Offset, err}
	}
	r, err := segment.Parse(buf, g.header, l.Offset)
	if err != nil || r.Kind != segment.Chunk || r.ID != id || int(r.Chunk) != n {
		return nil, fmt.Errorf("%w: %s at %d", ErrCorrupt, segmentName(g.number), l.Offset)
	}
	return r.Payload, nil
}

// segment returns the segment of a number, or nil.
func (s *Store) segment(n uint32) *segmentFile {
	for _, g := range s.segments {
		if g.number == n {
			return g
		}
	}
	return nil
}

// Bytes is the size of all segments.
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

func sortIDs(ids []spool.ID) {
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
}
