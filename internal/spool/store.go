// Package spool owns the state of the result store, which keeps results after
// their engine has been released and their client has disconnected: capacity
// reservations, quotas, leases, writes to the disk, read authorization and
// eviction. It must never do I/O, read a clock, draw a random number or depend
// on a protocol.
//
// Store is a deterministic state machine: it takes an event and its time, and
// returns an ordered list of effects. It packs the pages of an engine into
// chunks, which are the pages that clients read. A result that exceeds a
// threshold is written to the disk, a smaller one stays in memory. Readers get a
// result only after it is complete; a durable result, which must survive a
// restart, only after its seal has been synced.
//
// event.go and effect.go define the inputs and outputs, capacity.go handles
// reservations and eviction, write.go the path from the engine to the disk,
// read.go the readers, lease.go expiry, sizes.go the estimates of result sizes.
package spool

import (
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// state is the lifecycle state of a result.
type state uint8

const (
	filling   state = iota + 1 // pages are arriving
	sealing                    // all pages have arrived; the seal is being written
	completed                  // readers may read the result
)

// chunk is one page of a result as clients read it.
type chunk struct {
	data     []byte // nil: stored on the disk only
	size     int32
	location Location // Size 0: not yet written
	writing  bool     // its WriteRecord is still pending
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
	reserved    int64 // bytes reserved but not yet used by arrived pages
	bytes       int64 // bytes that have arrived, including pages received out of order
	created     rules.Time
	leaseEnd    rules.Time
	leaseStored rules.Time // the end of the lease that the disk has, or soon has; 0: none
	leaseQueued bool       // listed in Store.leaseWrites
	heapIndex   int32      // position in Store.leases; noHeapIndex: not in the heap
	readerCount int

	pageCount   int            // total pages of the engine's result; 0: unknown
	nextPage    int            // index of the next page to append
	requested   int            // all pages below this index have been requested
	outOfOrder  map[int][]byte // pages that arrived ahead of a missing one, by index
	openChunk   []byte         // the chunk being filled
	chunks      []chunk
	onDisk      bool // chunks are written to the disk: durable, over DiskThreshold, or memory was full
	openWritten bool // the WriteRecord of its Open record was emitted
}

// reader is a client that is reading a result.
type reader struct {
	result  *result
	index   int  // index of the requested chunk
	waiting bool // the requested chunk has not been delivered
	loading bool // a LoadChunk is pending
	queued  bool // listed in Store.loadQueue
}

// Store holds the state of all results and readers. It is not safe for concurrent use.
type Store struct {
	budget         Budget
	now            rules.Time
	effects        []Effect
	results        map[ID]*result
	readers        map[ReaderID]*reader // by reader ID
	tenantBytes    map[uint64]int64     // stored and reserved bytes by tenant
	leases         leaseHeap
	leaseWrites    []*result  // results whose renewed lease is to be written
	leaseWriteAt   rules.Time // time from which on leases may be written again
	diskBytes      int64      // stored and reserved bytes of all tenants
	memoryBytes    int64      // bytes held in memory
	unwrittenBytes int64      // the part of memoryBytes whose write is pending
	loads          int        // LoadChunk effects that are not answered
	loadQueue      []ReaderID // readers that wait for their turn to load a chunk
	diskLost       bool
	timerAt        rules.Time
	sizes          sizeEstimator
	stats          Stats
}

// Stats holds counters since the start and current gauges.
type Stats struct {
	Reserved, Rejected, Completed, Failed, Delivered, Denied, Expired, Evicted int

	Results, Readers       int   // current number
	DiskBytes, MemoryBytes int64 // current size; DiskBytes includes reservations
}

// New returns an empty Store. The seed selects the hash function that maps statement shapes to slots of the size
// estimator.
func New(budget Budget, seed uint64) *Store {
	return &Store{budget: budget, results: map[ID]*result{}, readers: map[ReaderID]*reader{}, tenantBytes: map[uint64]int64{},
		sizes: newSizeEstimator(budget, seed)}
}

// resultInState returns the result with this ID if it is in state st, or nil.
func (s *Store) resultInState(st state, id ID) *result {
	if r := s.results[id]; r != nil && r.state == st {
		return r
	}
	return nil
}

// Handle applies one event and returns the resulting effects in order. The returned slice is valid until the next call.
func (s *Store) Handle(now rules.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, now) // the store's time never decreases, even if the clock steps back
	switch e := e.(type) {
	case Reserve:
		s.reserve(e)
	case PageArrived:
		if r := s.resultInState(filling, e.ID); r != nil {
			s.handlePageArrived(r, e)
		}
	case AttemptFailed:
		if r := s.resultInState(filling, e.ID); r != nil {
			s.failResult(r, ReasonAttemptFailed)
		}
	case RecordWritten:
		s.handleRecordWritten(e)
	case ResultSynced:
		if r := s.resultInState(sealing, e.ID); r != nil {
			s.handleResultSynced(r, e.Failed)
		}
	case Attach:
		s.attach(e)
	case NextChunk:
		s.nextChunk(e)
	case ChunkLoaded:
		s.handleChunkLoaded(e)
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
		s.handleResultRecovered(e)
	case DiskLost:
		s.diskLost = true
		s.failResultsWith(func(c *chunk) bool { return c.data == nil || c.writing })
	case DiskRestored:
		s.diskLost = false
	case SegmentTailLost:
		s.handleSegmentTailLost(e)
	case ChunkMoved:
		s.handleChunkMoved(e)
	}
	s.expire()
	s.writeLeases()
	s.setTimer()
	return s.effects
}

func (s *Store) emit(e Effect) { s.effects = append(s.effects, e) }

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Results, st.Readers, st.DiskBytes, st.MemoryBytes = len(s.results), len(s.readers), s.diskBytes, s.memoryBytes
	return st
}

// ---- failure and removal of results

// failResult removes a result that can't be completed, or that was complete and is lost.
func (s *Store) failResult(r *result, reason Reason) {
	s.stats.Failed++
	if r.state != completed {
		s.emit(Failed{ID: r.id, Reason: reason})
	}
	s.remove(r, reason)
}

// failResultsWith fails all results that have a chunk for which lost is true. They are sorted by ID so that the order
// of effects is deterministic.
func (s *Store) failResultsWith(lost func(*chunk) bool) {
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
		s.failResult(r, ReasonDiskFailed)
	}
}

// handleSegmentTailLost fails the results that have a chunk in the lost part of a segment.
func (s *Store) handleSegmentTailLost(e SegmentTailLost) {
	s.failResultsWith(func(c *chunk) bool {
		return c.location.Size > 0 && c.location.Segment == e.Segment && c.location.Offset >= e.Offset
	})
	s.storeLeasesAgain()
}

// handleChunkMoved updates the location of a chunk that a compaction moved.
func (s *Store) handleChunkMoved(e ChunkMoved) {
	if r := s.results[e.ID]; r != nil && e.Index < len(r.chunks) && r.chunks[e.Index].location.Size > 0 {
		r.chunks[e.Index].location = e.Location
	}
}

// remove deletes a result, releases all capacity that it uses, and aborts its readers.
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
	for _, id := range s.readersOf(r, func(*reader) bool { return true }) {
		s.removeReader(id)
		s.emit(AbortRead{Reader: id, Reason: reason})
	}
}

// ---- recovery

// handleResultRecovered adds a complete, sealed result that was found on the disk at the start, unless its lease has long
// expired. As in a running store whose budget was reduced, it is kept while its lease runs.
func (s *Store) handleResultRecovered(e ResultRecovered) {
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, durable: true, state: completed, created: e.Created,
		leaseEnd: e.LeaseEnd, leaseStored: e.LeaseEnd, heapIndex: noHeapIndex, onDisk: true, openWritten: true}
	for _, l := range e.Locations {
		size := l.Size - segment.RecordOverhead
		r.chunks = append(r.chunks, chunk{size: size, location: l})
		r.bytes += int64(size)
	}
	if s.results[e.ID] != nil || e.LeaseEnd+s.budget.LeaseTime <= s.now {
		s.emit(WriteRecord{ID: e.ID, Record: segment.Drop})
		s.emit(DiscardRecords{ID: e.ID, Locations: e.Locations})
		return
	}
	r.leaseEnd = min(r.leaseEnd, s.now+s.budget.LeaseTime) // the clock may have been ahead before the restart
	s.results[e.ID] = r
	s.diskBytes += r.bytes
	s.tenantBytes[r.tenant] += r.bytes
	s.leases.push(r)
	s.evictToBudget()
}
