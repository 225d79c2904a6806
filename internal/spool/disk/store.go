// Package disk executes the disk effects of the result store. It owns the
// segments of a folder, which are append-only files of checksummed records, and
// implements group commit, recovery and compaction. It must never decide which
// results are kept, return bytes that differ from those that were written, or
// report a record as durable before it has been synced.
//
// A Store must be used by a single goroutine, and never by the reducer's, since
// its calls block. Segments are removed strictly oldest first: the Drop record
// of a result must stay while an older segment holds records of that result,
// or recovery would restore the result.
//
// recovery.go reads a folder at the start, index.go tracks the locations of
// records, write.go commits records, compact.go frees segments, worker.go runs
// the goroutine that owns a Store, fs.go accesses the file system.
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

// Options holds the settings of a Store.
type Options struct {
	SegmentBytes int64  // size in bytes at which a new segment is started
	ReadOnly     bool   // Open changes nothing; Commit, Sweep and Compact must not be called
	Salt         uint64 // random; used if the folder has no valid segment
}

// segmentFile is an open segment.
type segmentFile struct {
	number      uint32
	file        File
	header      segment.Header
	size        int64
	syncedBytes int64 // length of the prefix that survives a crash
	liveBytes   int64 // bytes of records that belong to stored results
	full        bool  // no record may be appended
}

// Store reads and writes the segments of a folder. It is not safe for concurrent use.
type Store struct {
	fs           FS
	options      Options
	salt         uint64
	segments     []*segmentFile // oldest first; records are appended to the last
	entries      map[spool.ID]*entry
	buf          []byte       // encoding of the record that is being written
	unfinished   string       // name of a segment file to remove because its creation failed; empty: none
	syncFailures []Completion // failed syncs that have not been returned to the caller
}

func segmentName(number uint32) string { return fmt.Sprintf("%08d.seg", number) }

// segmentNumber parses the file name of a segment.
func segmentNumber(name string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), ok && err == nil && segmentName(uint32(n)) == name
}

// SegmentError is an error in the file of a segment.
type SegmentError struct {
	Segment uint32
	Offset  int64 // offset of the failed read; 0: unknown or not a read
	Err     error
}

// Error returns a message with the segment's file name, and the offset if there is one.
func (e *SegmentError) Error() string {
	if e.Offset > 0 {
		return fmt.Sprintf("disk: %s at %d: %v", segmentName(e.Segment), e.Offset, e.Err)
	}
	return fmt.Sprintf("disk: %s: %v", segmentName(e.Segment), e.Err)
}

// Unwrap returns the underlying error.
func (e *SegmentError) Unwrap() error { return e.Err }

// Errors that Read returns.
var (
	ErrCorrupt   = errors.New("disk: chunk is corrupt")
	ErrNoSegment = errors.New("disk: unknown segment")
)

// Read reads chunk index of a result. It returns ErrCorrupt if the location does not hold the intact record of this
// chunk, and ErrNoSegment if the segment does not exist.
func (s *Store) Read(id spool.ID, index int, location spool.Location) ([]byte, error) {
	seg := s.segmentByNumber(location.Segment)
	if seg == nil {
		return nil, fmt.Errorf("%w %d", ErrNoSegment, location.Segment)
	}
	buf := make([]byte, location.Size)
	if _, err := seg.file.ReadAt(buf, location.Offset); err != nil {
		return nil, &SegmentError{seg.number, location.Offset, err}
	}
	r, err := segment.Parse(buf, seg.header, location.Offset)
	if err != nil || r.Kind != segment.Chunk || r.ID != id || int(r.Chunk) != index {
		return nil, fmt.Errorf("%w: %s at %d", ErrCorrupt, segmentName(seg.number), location.Offset)
	}
	return r.Payload, nil
}

// segmentByNumber returns the segment with this number, or nil.
func (s *Store) segmentByNumber(number uint32) *segmentFile {
	for _, seg := range s.segments {
		if seg.number == number {
			return seg
		}
	}
	return nil
}

// Bytes returns the total size of all segments.
func (s *Store) Bytes() (sum int64) {
	for _, seg := range s.segments {
		sum += seg.size
	}
	return sum
}

// Close closes the files of all segments. It does not sync them.
func (s *Store) Close() error {
	var errs []error
	for _, seg := range s.segments {
		errs = append(errs, seg.file.Close())
	}
	return errors.Join(errs...)
}

func sortIDs(ids []spool.ID) {
	slices.SortFunc(ids, func(a, b spool.ID) int { return slices.Compare(a[:], b[:]) })
}
