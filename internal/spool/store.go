// Package spool owns results that outlive their engine and their client: the
// reservation of capacity, quotas and leases, what is written to the disk, who
// may read a result, and which results are evicted. It must never do I/O, read
// a clock, draw a random number or know a protocol.
//
// It is a state machine: an event with its time goes in, effects come out, in
// order. Pages from an engine are gathered into chunks, the pages that clients
// see. Chunks stay in memory up to a threshold and are written to the disk
// beyond it. A result is offered only once it is complete; a durable one, which
// must outlast a restart, only once its seal was synced.
//
// event.go and effect.go have the messages, capacity.go reservations and
// eviction, write.go the way from the engine to the disk, read.go the readers,
// lease.go expiry.
package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

type state uint8

const (
	filling   state = iota + 1 // pages arrive
	sealing                    // all pages are here; the seal is being written
	completed                  // the result may be read
)

// chunk is one page as clients see it.
type chunk struct {
	data     []byte // nil: on the disk only
	size     int32
	location Location // Size 0: not written
	writing  bool     // its WriteRecord is not answered yet
}

// result is a stored result, complete or not.
type result struct {
	id          ID
	secret      Secret
	tenant      uint64
	class       int
	shape       uint64
	durable     bool
	state       state
	reserved    int64 // bytes reserved beyond those that have arrived
	bytes       int64 // that have arrived, in chunks and out of order
	created     rules.Time
	leaseEnd    rules.Time
	heapIndex   int // in the heap of leases; -1: not in it
	readerCount int

	pageCount   int            // pages of the engine, 0: not known
	nextPage    int            // page that is appended next
	requested   int            // pages before this one were requested
	outOfOrder  map[int][]byte // pages that arrived before an earlier one
	openChunk   []byte         // the chunk that is being filled
	chunks      []chunk
	onDisk      bool // over the threshold, or durable: chunks are written
	openWritten bool // the WriteRecord of its Open was emitted
}

// reader is a client that reads a result.
type reader struct {
	result  *result
	index   int  // of the chunk that it asked for
	waiting bool // for that chunk
	loading bool // a LoadChunk is not answered yet
}

// Store is the whole state of the result store. It is not safe for concurrent use.
type Store struct {
	budget         Budget
	now            rules.Time
	effects        []Effect
	results        map[ID]*result
	readers        map[int]*reader
	tenantBytes    map[uint64]int64 // stored and reserved, by tenant
	leases         leaseHeap
	diskBytes      int64 // stored and reserved, in all
	memoryBytes    int64 // held in memory
	unwrittenBytes int64 // of these, those that are being written
	diskLost       bool
	timerAt        rules.Time
	sizes          sizeEstimator
	stats          Stats
}

// Stats are counts since the start, and the present state.
type Stats struct {
	Reserved, Rejected, Completed, Failed, Delivered, Denied, Expired, Evicted int

	Results, Readers       int   // now
	DiskBytes, MemoryBytes int64 // now
}

// New returns an empty store. The seed decides which statement shapes share a slot of the size estimator.
func New(budget Budget, seed uint64) *Store {
	return &Store{budget: budget, results: map[ID]*result{}, readers: map[int]*reader{}, tenantBytes: map[uint64]int64{},
		sizes: newSizeEstimator(budget, seed)}
}

// resultIn returns a result if it is in a state, else nil.
func (s *Store) resultIn(st state, id ID) *result {
	if r := s.results[id]; r != nil && r.state == st {
		return r
	}
	return nil
}

// Handle takes one event and returns what to do. The effects are valid until the next call.
func (s *Store) Handle(now rules.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, now) // time never steps back here, whatever the clock does
	switch e := e.(type) {
	case Reserve:
		s.reserve(e)
	case PageArrived:
		if r := s.resultIn(filling, e.ID); r != nil {
			s.pageArrived(r, e)
		}
	case AttemptFailed:
		if r := s.resultIn(filling, e.ID); r != nil {
			s.fail(r, ReasonAttemptFailed)
		}
	case RecordWritten:
		s.recordWritten(e)
	case ResultSynced:
		if r := s.resultIn(sealing, e.ID); r != nil {
			s.resultSynced(r, e.Failed)
		}
	case Attach:
		s.attach(e)
	case NextChunk:
		s.nextChunk(e)
	case ChunkLoaded:
		s.chunkLoaded(e)
	case Detach:
		s.detach(e.Reader)
	case Acknowledge:
		s.acknowledge(e)
	case Release:
		if r := s.results[e.ID]; r != nil {
			s.remove(r, ReasonNone)
		}
	case SetBudget:
		s.budget = e.Budget
		s.evictToBudget()
	case ResultRecovered:
		s.resultRecovered(e)
	case DiskLost:
		s.diskLost = true
		s.failAffected(func(c *chunk) bool { return c.data == nil || c.writing })
	case DiskRestored:
		s.diskLost = false
	case SegmentTailLost:
		s.segmentTailLost(e)
	case ChunkMoved:
		s.chunkMoved(e)
	}
	s.expire()
	s.setTimer()
	return s.effects
}

func (s *Store) emit(e Effect) { s.effects = append(s.effects, e) }

// Stats returns the counts.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Results, st.Readers, st.DiskBytes, st.MemoryBytes = len(s.results), len(s.readers), s.diskBytes, s.memoryBytes
	return st
}

// ---- the end of a result

// fail ends a result that can't be completed, or that was complete and is lost.
func (s *Store) fail(r *result, reason Reason) {
	s.stats.Failed++
	if r.state != completed {
		s.emit(Failed{ID: r.id, Reason: reason})
	}
	s.remove(r, reason)
}

// failAffected fails all results that have a chunk which can't be read any more.
func (s *Store) failAffected(lost func(*chunk) bool) {
	var affected []*result
	for _, r := range s.results {
		for i := range r.chunks {
			if lost(&r.chunks[i]) {
				affected = append(affected, r)
				break
			}
		}
	}
	sortByID(affected)
	for _, r := range affected {
		s.fail(r, ReasonDiskFailed)
	}
}

// segmentTailLost fails the results with a chunk in the part of a segment that is lost.
func (s *Store) segmentTailLost(e SegmentTailLost) {
	s.failAffected(func(c *chunk) bool {
		return c.location.Size > 0 && c.location.Segment == e.Segment && c.location.Offset >= e.Offset
	})
}

// chunkMoved follows a compaction.
func (s *Store) chunkMoved(e ChunkMoved) {
	if r := s.results[e.ID]; r != nil && e.Index < len(r.chunks) && r.chunks[e.Index].location.Size > 0 {
		r.chunks[e.Index].location = e.Location
	}
}

// remove removes a result and all that is accounted for it. Its readers are aborted.
func (s *Store) remove(r *result, reason Reason) {
	delete(s.results, r.id)
	s.leases.remove(r)
	var locations []Location
	for i := range r.chunks {
		c := &r.chunks[i]
		if c.data != nil {
			s.memoryBytes -= int64(c.size)
		}
		if c.writing {
			s.unwrittenBytes -= int64(c.size)
		}
		if c.location.Size > 0 {
			locations = append(locations, c.location)
		}
	}
	unchunked := int64(len(r.openChunk))
	for _, data := range r.outOfOrder {
		unchunked += int64(len(data))
	}
	s.memoryBytes -= unchunked
	s.diskBytes -= r.bytes + r.reserved
	s.chargeTenant(r.tenant, -(r.bytes + r.reserved))
	if r.openWritten {
		s.emit(WriteRecord{ID: r.id, Record: segment.Drop})
		s.emit(DiscardRecords{ID: r.id, Locations: locations})
	}
	for _, n := range s.readersOf(r, func(*reader) bool { return true }) {
		delete(s.readers, n)
		s.emit(AbortRead{Reader: n, Reason: reason})
	}
}

// ---- the start

// resultRecovered takes in a result that the disk held complete and sealed.
func (s *Store) resultRecovered(e ResultRecovered) {
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, durable: true, state: completed, created: e.Created,
		leaseEnd: e.LeaseEnd, heapIndex: -1, onDisk: true, openWritten: true}
	for _, l := range e.Locations {
		size := l.Size - segment.RecordOverhead
		r.chunks = append(r.chunks, chunk{size: size, location: l})
		r.bytes += int64(size)
	}
	if s.results[e.ID] != nil || len(s.results) >= s.budget.MaxResults || s.diskBytes+r.bytes > s.budget.DiskBytes ||
		e.LeaseEnd+s.budget.LeaseTime <= s.now {
		s.emit(WriteRecord{ID: e.ID, Record: segment.Drop})
		s.emit(DiscardRecords{ID: e.ID, Locations: e.Locations})
		return
	}
	r.leaseEnd = min(r.leaseEnd, s.now+s.budget.LeaseTime) // a clock that was ahead before the restart lengthens no lease
	s.results[e.ID] = r
	s.diskBytes += r.bytes
	s.tenantBytes[r.tenant] += r.bytes
	s.leases.push(r)
}
