package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file owns the messages of a Store: events in, effects out. Both are one struct with a kind, not a type a
// message: a batch of them is handed from goroutine to goroutine by value, without an allocation for each.

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

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events, each with the fields that it uses.
const (
	Reserve         EventKind = iota + 1 // a query is about to be sent: ID, Secret, Tenant, Class, Shape, Durable
	PageArrived                          // a page of the engine arrived: ID, Index, PageCount, Data
	AttemptFailed                        // the attempt failed or was cancelled, its pages are void: ID
	RecordWritten                        // the disk wrote a record: ID, Record, Index, Location; Failed: it did not
	ResultSynced                         // the disk synced a Seal, the whole result outlasts a crash: ID; Failed: unknown
	Attach                               // a reader asks for a result: Reader, ID, Secret, Tenant, Index of the first chunk
	NextChunk                            // a reader has read all chunks before Index and asks for that one: Reader, Index
	ChunkLoaded                          // the disk read a chunk for a reader: Reader, Index, Data; Failed, Corrupt: it did not
	Detach                               // a reader has gone: Reader
	Acknowledge                          // a client needs a result no longer: Reader, ID, Secret, Tenant; answered by DeliverChunk with Index -1, or Deny
	Release                              // a result is not wanted any more: ID
	TimerFired                           // the time of the last SetTimer has come
	SetBudget                            // other limits hold from now on: Budget
	ResultRecovered                      // the disk held a complete result at the start: ID, Secret, Tenant, Class, Created, LeaseEnd, Locations
	DiskLost                             // nothing can be written to the disk or read from it any more
	DiskRestored                         // the disk can be used again
	SegmentTailLost                      // the contents of a segment from an offset on are unknown: Location
	ChunkMoved                           // a compaction moved a chunk: ID, Index, Location
)

// Event is the input of a Store. Only the fields named at its kind are used.
type Event struct {
	Kind      EventKind
	ID        ID
	Secret    Secret
	Tenant    uint64
	Class     int
	Shape     uint64 // hash of the statement's shape; 0: not known
	Durable   bool   // a handle was asked for: the result must outlast a restart
	Index     int    // of an engine's page or of a chunk
	PageCount int    // pages of the engine's result
	Data      []byte
	Record    segment.Kind
	Location  Location
	Locations []Location
	Reader    int
	Created   rules.Time
	LeaseEnd  rules.Time
	Budget    *Budget
	Failed    bool
	Corrupt   bool // with ChunkLoaded and Failed: the stored bytes differ from those that were written, and always will
}

// EffectKind is the type of an Effect.
type EffectKind uint8

// Kinds of effects, each with the fields that it sets.
const (
	Granted        EffectKind = iota + 1 // the query may be sent: ID
	Rejected                             // the query may not be sent, and nothing ran: ID, Reason, RetryAfter
	FetchPages                           // ask the engine for its pages Index to End-1: ID
	ReleaseEngine                        // the engine is not needed any more: ID
	WriteRecord                          // append a record: ID, Record, Index, Data
	Completed                            // the result may be offered: ID
	Failed                               // the result can't be completed: ID, Reason
	LoadChunk                            // read a record for a reader: Reader, ID, Index, Location
	DeliverChunk                         // hand chunk Index of End to a reader: Reader, Data, Last; Index -1: its Acknowledge is done
	Deny                                 // a reader gets nothing, and no reason: Reader
	AbortRead                            // a reader's result was lost while it was read: Reader, Reason
	DiscardRecords                       // all records of a result are dead: ID, Locations
	SetTimer                             // send TimerFired at At
)

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

// Effect is something that the owner of a Store has to do. Only the fields named at its kind are set.
type Effect struct {
	Kind       EffectKind
	ID         ID
	Index, End int
	Data       []byte
	Record     segment.Kind
	Location   Location
	Locations  []Location
	Reader     int
	Last       bool // with DeliverChunk: no chunk follows
	Reason     Reason
	RetryAfter rules.Time
	At         rules.Time
}
