package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file owns the events that go into a Store; effect.go owns what comes out. Messages are handed from goroutine to
// goroutine, so they are values that nobody changes.

// ID identifies a result. It is random, but not secret.
type ID = segment.ID

// Secret is the SHA-256 of the key that a client must show to read a result.
type Secret = [32]byte

// Location says where a record is stored on the disk.
type Location struct {
	Segment uint32
	Offset  int64
	Size    int32 // of the whole record; 0: the record is not stored
}

// Event is the input of a Store: one type for each kind. Those about a result or a reader that is gone change nothing.
type Event interface{ event() }

// Reserve asks for capacity for the result of a query that is about to be sent. Granted or Rejected answers it.
type Reserve struct {
	ID      ID
	Secret  Secret
	Tenant  uint64
	Class   int
	Shape   uint64 // hash of the statement's shape; 0: not known
	Durable bool   // a handle was asked for: the result must outlast a restart
}

// PageArrived brings a page of the engine. The Store keeps Data.
type PageArrived struct {
	ID        ID
	Index     int
	PageCount int // pages of the engine's result
	Data      []byte
}

// AttemptFailed reports that the attempt failed or was cancelled: its pages are void.
type AttemptFailed struct{ ID ID }

// RecordWritten answers a WriteRecord. A record that was written may still be lost in a crash.
type RecordWritten struct {
	ID       ID
	Record   segment.Kind
	Index    int
	Location Location // not set if Failed
	Failed   bool     // the record was not written
}

// ResultSynced follows the RecordWritten of a Seal: the disk has synced it, and the whole result outlasts a crash.
type ResultSynced struct {
	ID     ID
	Failed bool // whether the result would outlast a crash is unknown
}

// Attach reports that a reader asks for a result, from a chunk on. DeliverChunk or Deny answers it, once the result is
// complete.
type Attach struct {
	Reader int
	ID     ID
	Secret Secret
	Tenant uint64
	Index  int // of the first chunk
}

// NextChunk reports that a reader has read all chunks before Index, and asks for that one.
type NextChunk struct {
	Reader int
	Index  int
}

// ChunkLoaded answers a LoadChunk.
type ChunkLoaded struct {
	Reader  int
	Index   int
	Data    []byte // nil if Failed
	Failed  bool   // the disk did not read the chunk
	Corrupt bool   // with Failed: the stored bytes differ from those that were written, and always will
}

// Detach reports that a reader has gone.
type Detach struct{ Reader int }

// Acknowledge reports that a client needs a result no longer. Acknowledged or Deny answers it.
type Acknowledge struct {
	Reader int
	ID     ID
	Secret Secret
	Tenant uint64
}

// Release reports that a result is not wanted any more.
type Release struct{ ID ID }

// TimerFired reports that the time of the last SetTimer has come.
type TimerFired struct{}

// SetBudget brings the limits that hold from now on.
type SetBudget struct{ Budget Budget }

// ResultRecovered reports a complete result that the disk held at the start.
type ResultRecovered struct {
	ID        ID
	Secret    Secret
	Tenant    uint64
	Class     int
	Created   rules.Time
	LeaseEnd  rules.Time
	Locations []Location // of its chunks, in order
}

// DiskLost reports that nothing can be written to the disk or read from it any more.
type DiskLost struct{}

// DiskRestored reports that the disk can be used again.
type DiskRestored struct{}

// SegmentTailLost reports that the contents of a segment from an offset on are unknown.
type SegmentTailLost struct {
	Segment uint32
	Offset  int64
}

// ChunkMoved reports that a compaction moved a chunk.
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
