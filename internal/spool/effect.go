package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file defines the effects that a Store returns, and the reasons in them.

// Effect is an action that the owner of a Store has to execute: a FillEffect, a DiskEffect, DeliverChunk, Acknowledged,
// Deny, AbortRead or SetTimer.
type Effect interface{ effect() }

// FillEffect is an effect on a result that is being filled, or on its reservation: Granted, Rejected, FetchPages,
// ReleaseEngine, Completed or Failed.
type FillEffect interface {
	Effect
	ResultID() ID
}

// DiskEffect is an effect that the disk has to execute: WriteRecord, LoadChunk or DiscardRecords.
type DiskEffect interface {
	Effect
	diskEffect()
}

// Granted reports that capacity is reserved: the query may be sent.
type Granted struct{ ID ID }

// Rejected reports that no capacity is reserved: the query must not be sent, and has not run.
type Rejected struct {
	ID         ID
	Reason     Reason
	RetryAfter rules.Time // time until capacity may be available; 0: unknown
}

// FetchPages requests the pages Index to End-1 from the engine.
type FetchPages struct {
	ID         ID
	Index, End int
}

// ReleaseEngine reports that the engine is no longer needed.
type ReleaseEngine struct{ ID ID }

// Completed reports that the result can be read.
type Completed struct{ ID ID }

// Failed reports that the result can't be completed.
type Failed struct {
	ID     ID
	Reason Reason
}

// WriteRecord appends a record to the disk. RecordWritten answers it; until then Data must not change.
type WriteRecord struct {
	ID     ID
	Record segment.Kind
	Index  int // index of the chunk; for a Seal, the number of chunks
	Data   []byte
}

// LoadChunk reads a chunk from the disk for a reader. ChunkLoaded answers it.
type LoadChunk struct {
	Reader   ReaderID
	ID       ID
	Index    int
	Location Location
}

// DiscardRecords reports that no record of a result is needed any more, so that their space can be reclaimed.
type DiscardRecords struct {
	ID        ID
	Locations []Location // locations of the chunks
}

// DeliverChunk delivers chunk Index to a reader. End is the number of chunks of the result.
type DeliverChunk struct {
	Reader     ReaderID
	Index, End int
	Data       []byte
	Last       bool // this is the last chunk
}

// Acknowledged reports that the result named in a reader's Acknowledge has been removed.
type Acknowledged struct{ Reader ReaderID }

// Deny rejects a reader without a reason.
type Deny struct{ Reader ReaderID }

// AbortRead ends a read because the result was lost or removed, or a chunk could not be read.
type AbortRead struct {
	Reader ReaderID
	Reason Reason
}

// SetTimer requests a TimerFired event at At. It replaces the previous request.
type SetTimer struct{ At rules.Time }

func (Granted) effect()        {}
func (Rejected) effect()       {}
func (FetchPages) effect()     {}
func (ReleaseEngine) effect()  {}
func (Completed) effect()      {}
func (Failed) effect()         {}
func (WriteRecord) effect()    {}
func (LoadChunk) effect()      {}
func (DiscardRecords) effect() {}
func (DeliverChunk) effect()   {}
func (Acknowledged) effect()   {}
func (Deny) effect()           {}
func (AbortRead) effect()      {}
func (SetTimer) effect()       {}

func (WriteRecord) diskEffect()    {}
func (LoadChunk) diskEffect()      {}
func (DiscardRecords) diskEffect() {}

// ResultID returns the ID of the result.
func (f Granted) ResultID() ID { return f.ID }

// ResultID returns the ID of the result.
func (f Rejected) ResultID() ID { return f.ID }

// ResultID returns the ID of the result.
func (f FetchPages) ResultID() ID { return f.ID }

// ResultID returns the ID of the result.
func (f ReleaseEngine) ResultID() ID { return f.ID }

// ResultID returns the ID of the result.
func (f Completed) ResultID() ID { return f.ID }

// ResultID returns the ID of the result.
func (f Failed) ResultID() ID { return f.ID }

// Reason is why a result was rejected, failed or removed.
type Reason uint8

// Reasons for rejecting, failing or removing a result.
const (
	ReasonNone          Reason = iota
	ReasonCapacity             // the store has no free disk or memory capacity
	ReasonQuota                // the tenant's quota is exhausted
	ReasonTooLarge             // the result exceeds the maximum size or number of pages
	ReasonTooMany              // the maximum number of results is stored
	ReasonDiskFailed           // a disk write, sync or read failed
	ReasonAttemptFailed        // the attempt that produced the pages failed
	ReasonLeaseExpired         // the lease expired
)

// reasonNames appear in log lines and in errors that clients receive; docs/ops/spool.md lists them.
var reasonNames = [...]string{"nothing", "room", "quota", "size", "count", "disk", "broken", "time"}

// String returns the name that is used in log lines and errors.
func (r Reason) String() string { return reasonNames[r] }
