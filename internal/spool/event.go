package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file defines the events that a Store handles; effect.go defines its effects. Events and effects are passed
// between goroutines, so they are values that must not be modified after they are sent.

// ID identifies a result. It is random but not secret.
type ID = segment.ID

// Secret is the SHA-256 hash of the key that a client must present to read a result.
type Secret = [32]byte

// Location is the place of a record on the disk.
type Location struct {
	Segment uint32
	Offset  int64
	Size    int32 // size of the whole record; 0: the record is not stored
}

// ReaderID identifies a reader. A later reader must not have the ID of an earlier one: a chunk that was requested for a
// reader may be loaded after that reader has left.
type ReaderID uint64

// Event is an input of a Store. An event about a result or a reader that no longer exists has no effect.
type Event interface{ event() }

// Reserve requests capacity for the result of a query that is about to be sent. Granted or Rejected answers it.
type Reserve struct {
	ID      ID
	Secret  Secret
	Tenant  uint64
	Class   int
	Shape   uint64 // hash of the statement's shape; 0: unknown
	Durable bool   // the client requested a handle, so the result must survive a restart
}

// PageArrived delivers a page of the engine's result. The Store retains Data.
type PageArrived struct {
	ID        ID
	Index     int
	PageCount int // total pages of the engine's result
	Data      []byte
}

// AttemptFailed reports that the attempt failed or was cancelled. The result can't be completed, and its pages are
// discarded.
type AttemptFailed struct{ ID ID }

// RecordWritten answers a WriteRecord. A written record may still be lost in a crash, until it is synced.
type RecordWritten struct {
	ID       ID
	Record   segment.Kind
	Index    int
	Location Location // unset if Failed
	Failed   bool     // the record was not written
}

// ResultSynced follows the RecordWritten of a Seal, after the sync. Unless Failed, the whole result survives a crash.
type ResultSynced struct {
	ID     ID
	Failed bool // it is unknown whether the result would survive a crash
}

// Attach reports that a reader requests a result, starting at chunk Index. DeliverChunk, Deny or AbortRead answers it.
// DeliverChunk is emitted only after the result is complete.
type Attach struct {
	Reader ReaderID
	ID     ID
	Secret Secret
	Tenant uint64
	Index  int // index of the first chunk to read
}

// NextChunk reports that a reader has read all chunks before Index and requests chunk Index.
type NextChunk struct {
	Reader ReaderID
	Index  int
}

// ChunkLoaded answers a LoadChunk.
type ChunkLoaded struct {
	Reader  ReaderID
	Index   int
	Data    []byte // nil if Failed
	Failed  bool   // the chunk could not be read
	Corrupt bool   // with Failed: the stored bytes differ from those that were written, so a retry can't succeed
}

// Detach reports that a reader has disconnected.
type Detach struct{ Reader ReaderID }

// Acknowledge reports that a client no longer needs a result. Acknowledged or Deny answers it.
type Acknowledge struct {
	Reader ReaderID
	ID     ID
	Secret Secret
	Tenant uint64
}

// Release removes a result that is no longer needed, in any state.
type Release struct{ ID ID }

// TimerFired reports that the time of the last SetTimer has been reached.
type TimerFired struct{}

// SetBudget replaces the limits of the Store.
type SetBudget struct{ Budget Budget }

// ResultRecovered reports a complete result that was found on the disk at the start.
type ResultRecovered struct {
	ID        ID
	Secret    Secret
	Tenant    uint64
	Class     int
	Created   rules.Time
	LeaseEnd  rules.Time
	Locations []Location // locations of its chunks, in order
}

// DiskLost reports that the disk can no longer be read or written.
type DiskLost struct{}

// DiskRestored reports that the disk can be read and written again.
type DiskRestored struct{}

// SegmentTailLost reports that the contents of a segment at and after Offset are unknown.
type SegmentTailLost struct {
	Segment uint32
	Offset  int64
}

// ChunkMoved reports the new location of a chunk that a compaction moved.
type ChunkMoved struct {
	ID       ID
	Index    int
	Location Location
}

func (Reserve) event()         {}
func (PageArrived) event()     {}
func (AttemptFailed) event()   {}
func (RecordWritten) event()   {}
func (ResultSynced) event()    {}
func (Attach) event()          {}
func (NextChunk) event()       {}
func (ChunkLoaded) event()     {}
func (Detach) event()          {}
func (Acknowledge) event()     {}
func (Release) event()         {}
func (TimerFired) event()      {}
func (SetBudget) event()       {}
func (ResultRecovered) event() {}
func (DiskLost) event()        {}
func (DiskRestored) event()    {}
func (SegmentTailLost) event() {}
func (ChunkMoved) event()      {}
