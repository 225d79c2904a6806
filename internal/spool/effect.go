package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file owns the effects that come out of a Store, and the reasons that they give.

// Effect is something that the owner of a Store has to do: a FillEffect, a DiskEffect, DeliverChunk, Acknowledged, Deny,
// AbortRead or SetTimer.
type Effect interface{ effect() }

// FillEffect is an effect that concerns a result which is being filled: Granted, Rejected, FetchPages, ReleaseEngine,
// Completed or Failed.
type FillEffect interface {
	Effect
	ResultID() ID
}

// DiskEffect is an effect for the disk: WriteRecord, LoadChunk or DiscardRecords.
type DiskEffect interface {
	Effect
	diskEffect()
}

// Granted says that the query may be sent.
type Granted struct{ ID ID }

// Rejected says that the query may not be sent, and nothing ran.
type Rejected struct {
	ID         ID
	Reason     Reason
	RetryAfter rules.Time // after which it may be possible; 0: not known
}

// FetchPages asks the engine for its pages Index to End-1.
type FetchPages struct {
	ID         ID
	Index, End int
}

// ReleaseEngine says that the engine is not needed any more.
type ReleaseEngine struct{ ID ID }

// Completed says that the result may be offered.
type Completed struct{ ID ID }

// Failed says that the result can't be completed.
type Failed struct {
	ID     ID
	Reason Reason
}

// WriteRecord appends a record. RecordWritten answers it, until then Data must not change.
type WriteRecord struct {
	ID     ID
	Record segment.Kind
	Index  int // of the chunk; of a Seal: how many chunks there are
	Data   []byte
}

// LoadChunk reads a chunk for a reader. ChunkLoaded answers it.
type LoadChunk struct {
	Reader   int
	ID       ID
	Index    int
	Location Location
}

// DiscardRecords says that all records of a result are dead.
type DiscardRecords struct {
	ID        ID
	Locations []Location // of the chunks
}

// DeliverChunk hands chunk Index of End to a reader.
type DeliverChunk struct {
	Reader     int
	Index, End int
	Data       []byte
	Last       bool // no chunk follows
}

// Acknowledged says that a reader's Acknowledge is done.
type Acknowledged struct{ Reader int }

// Deny gives a reader nothing, and no reason.
type Deny struct{ Reader int }

// AbortRead says that a reader's result was lost while it was read.
type AbortRead struct {
	Reader int
	Reason Reason
}

// SetTimer asks for TimerFired at At, instead of at the time that was asked for before.
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

// ResultID names the result.
func (f Granted) ResultID() ID { return f.ID }

// ResultID names the result.
func (f Rejected) ResultID() ID { return f.ID }

// ResultID names the result.
func (f FetchPages) ResultID() ID { return f.ID }

// ResultID names the result.
func (f ReleaseEngine) ResultID() ID { return f.ID }

// ResultID names the result.
func (f Completed) ResultID() ID { return f.ID }

// ResultID names the result.
func (f Failed) ResultID() ID { return f.ID }

// Reason says why a result was rejected, failed or removed.
type Reason uint8

// Reasons.
const (
	ReasonNone          Reason = iota
	ReasonCapacity             // the disk or the memory that may be used is full
	ReasonQuota                // the tenant's quota is used up
	ReasonTooLarge             // the result is larger than one may be
	ReasonTooMany              // as many results as may be are stored
	ReasonDiskFailed           // a write, sync or read of the disk failed
	ReasonAttemptFailed        // the attempt that gave the pages failed
	ReasonLeaseExpired         // the lease had expired
)

// The names are part of log lines and of errors that clients see; docs/ops/spool.md lists them.
var reasonNames = [...]string{"nothing", "room", "quota", "size", "count", "disk", "broken", "time"}

// String returns the name that log lines and errors carry.
func (r Reason) String() string { return reasonNames[r] }
