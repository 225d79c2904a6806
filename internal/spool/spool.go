// Package spool owns results that outlive their engine and their client: who
// may keep how much for how long, what is written and when it counts as kept,
// who may read it, and what gives way when room runs out. It must never do
// I/O, look at a clock, draw a random number or know a protocol.
//
// Events with their time go in, effects come out, in order. Pages that come
// from an engine are gathered into chunks, the pages that clients see; those
// are kept in memory up to a threshold and written beyond it. A result is offered
// only once it is whole; one that was promised to outlast a restart only once
// its seal was synced.
package spool

import (
	"crypto/subtle"

	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// ID names a result; it is no secret. Secret is the SHA-256 of what a client must show to read it.
type (
	ID     = segment.ID
	Secret = [32]byte
)

// Location is where a record lies on the disk.
type Location struct {
	Segment uint32
	Offset  int64
	Size    int32 // of the whole record
}

// EventKind is what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	Reserve         EventKind = iota + 1 // a query is about to be sent: ID, Secret, Tenant, Class, Shape, Lasting
	PageArrived                          // an engine's page came: ID, N, Total, Data
	AttemptFailed                        // the attempt has failed or is given up: what came of the result is void: ID
	RecordWritten                        // the disk has a record: ID, Record, N, Place; Err: it has not
	ResultSynced                         // the disk has synced a Seal, so all of the result outlasts a crash: ID; Err: unknown
	Attach                               // a reader wants a result: Reader, ID, Secret, Tenant, N
	NextChunk                            // a reader wants chunk N, and has read all before it: Reader, N
	ChunkLoaded                          // the disk has read chunk N for a reader: Reader, N, Data; Err: not, or other bytes
	Detach                               // a reader has gone: Reader
	Acknowledge                          // a client is done with a result, whole or not: Reader, ID, Secret, Tenant; a Give with N -1 or a Deny follows
	Release                              // a result is not wanted any more: ID
	TimerFired                           // the time asked for has come
	SetBudget                            // other budgets hold from now on: Budget
	ResultRecovered                      // the disk had a whole result at the start: ID, Secret, Tenant, Class, Created, Lease, Places
	DiskLost                             // the folder has gone: nothing can be written or read any more
	DiskRestored                         // it can again
	SegmentTailLost                      // what a segment holds from an offset on is unknown: Place
	ChunkMoved                           // chunk N of a result lies elsewhere now: ID, N, Place
)

// Event is something the spool is told. Only the fields named at its kind count.
type Event struct {
	Kind      EventKind
	ID        ID
	Secret    Secret
	Tenant    uint64
	Class     int
	Shape     uint64 // hash of the statement's shape; 0: not known
	Durable   bool   // a handle was asked for: it must outlast a restart
	Index     int
	PageCount int // pages that the engine has
	Data      []byte
	Record    segment.Kind
	Location  Location
	Locations []Location
	Reader    int
	Created   rules.Time
	LeaseEnd  rules.Time
	Budget    *Budget
	Failed    bool
	Corrupt   bool // with Read and Err: other bytes came back than were written, and always will
}

// EffectKind is what an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	Granted        EffectKind = iota + 1 // the query may be sent: ID
	Rejected                             // it may not, and nothing ran: ID, Why, After
	FetchPages                           // ask the engine for its pages N to To-1: ID
	ReleaseEngine                        // the engine is not needed any more: ID
	WriteRecord                          // append a record: ID, Record, N, Data
	Completed                            // the result may be offered: ID
	Failed                               // it can't be whole any more: ID, Why
	LoadChunk                            // read a record for a reader: Reader, ID, N, Place
	DeliverChunk                         // hand chunk N of To to a reader: Reader, N, To, Data, Last; N -1: it is done with it
	Deny                                 // a reader gets nothing, and does not hear why: Reader
	AbortRead                            // a reader's result has gone while it was read: Reader, Why
	DiscardRecords                       // forget a result's places, all of its records are dead: ID, Places
	SetTimer                             // tell Tick at At
)

// Reason says for what an Effect was chosen.
type Reason uint8

// Reasons.
const (
	ReasonNone          Reason = iota
	ReasonCapacity             // the disk or the memory that may be used is full
	ReasonQuota                // its tenant's part is
	ReasonTooLarge             // it is larger than a result may be
	ReasonTooMany              // as many results are kept as may be
	ReasonDiskFailed           // the disk fails
	ReasonAttemptFailed        // its attempt broke
	ReasonLeaseExpired         // its lease was over, and others needed the room
)

var reasonNames = [...]string{"nothing", "room", "quota", "size", "count", "disk", "broken", "time"}

func (w Reason) String() string { return reasonNames[w] }

// Effect is something to do.
type Effect struct {
	Kind       EffectKind
	ID         ID
	Index, End int
	Data       []byte
	Record     segment.Kind
	Location   Location
	Locations  []Location
	Reader     int
	Last       bool
	Reason     Reason
	RetryAfter rules.Time
	At         rules.Time
}

type state uint8

const (
	filling state = iota + 1 // pages come
	sealing                  // all are here; the seal is on its way to the disk
	completed
)

// chunk is one page as clients see it.
type chunk struct {
	data     []byte // nil: on the disk only
	size     int32
	location Location // Size 0: not written
	writing  bool     // its Write is out
}

// result is one that is kept, or on its way.
type result struct {
	id          ID
	secret      Secret
	tenant      uint64
	class       int
	shape       uint64
	durable     bool
	state       state
	reserved    int64 // bytes set aside beyond what has come
	bytes       int64 // that came, in chunks and ahead of their turn
	created     rules.Time
	leaseEnd    rules.Time
	heapIndex   int // its place among the leases, -1: none
	readerCount int

	pageCount     int            // pages of the engine, 0: not known
	nextPage      int            // page that is appended next
	requested     int            // pages up to here were asked for
	outOfOrder    map[int][]byte // pages that came before their turn
	openChunk     []byte         // the chunk that is being filled
	chunks        []chunk
	onDisk        bool // over the threshold, or lasting: chunks are written
	openWritten   bool // its Open is written
	pendingWrites int  // Writes that are out
	done          int  // chunks that readers need not see again
}

// reader is a client that reads a result.
type reader struct {
	result  *result
	index   int  // the chunk that it wants
	waiting bool // it waits for that
	loading bool
}

// Store is the spool's whole state.
type Store struct {
	budget         Budget
	now            rules.Time
	effects        []Effect
	results        map[ID]*result
	readers        map[int]*reader
	tenantBytes    map[uint64]int64 // bytes that each has, reserved ones with them
	leases         leaseHeap
	diskBytes      int64 // bytes on the disk and set aside there
	memoryBytes    int64 // bytes in memory
	unwrittenBytes int64 // of these, those that are on their way to the disk
	diskLost       bool
	timerAt        rules.Time
	sizes          sizeEstimator
	stats          Stats
}

// Stats count since the start, but for those that say now.
type Stats struct {
	Reserved, Rejected, Completed, Failed, Delivered, Denied, Expired, Evicted int
	Results, Readers                                                           int   // now
	DiskBytes, MemoryBytes                                                     int64 // now, bytes
}

// New returns a spool that holds nothing.
func New(set Budget, seed uint64) *Store {
	return &Store{budget: set, results: map[ID]*result{}, readers: map[int]*reader{}, tenantBytes: map[uint64]int64{},
		sizes: newSizeEstimator(set, seed)}
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (s *Store) Handle(now rules.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, now) // a clock that steps back stands still here
	switch e.Kind {
	case Reserve:
		s.reserve(e)
	case PageArrived:
		if r := s.results[e.ID]; r != nil && r.state == filling {
			s.pageArrived(r, e)
		}
	case AttemptFailed:
		if r := s.results[e.ID]; r != nil && r.state == filling {
			s.fail(r, ReasonAttemptFailed)
		}
	case RecordWritten:
		s.recordWritten(e)
	case ResultSynced:
		if r := s.results[e.ID]; r != nil && r.state == sealing {
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
			s.drop(r, ReasonNone)
		}
	case SetBudget:
		s.budget = *e.Budget
		s.evictToBudget()
	case ResultRecovered:
		s.resultRecovered(e)
	case DiskLost:
		s.diskLost = true
		s.failAffected(func(c *chunk) bool { return c.data == nil || c.writing })
	case DiskRestored:
		s.diskLost = false
	case SegmentTailLost:
		s.failAffected(func(c *chunk) bool {
			return c.location.Size > 0 && c.location.Segment == e.Location.Segment && c.location.Offset >= e.Location.Offset
		})
	case ChunkMoved:
		if r := s.results[e.ID]; r != nil && e.Index < len(r.chunks) && r.chunks[e.Index].location.Size > 0 {
			r.chunks[e.Index].location = e.Location
		}
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

// ---- reservations

// reserve sets room aside before a query is sent, so that a full spool is a refusal of something that never ran.
func (s *Store) reserve(e Event) {
	need := min(s.sizes.estimate(e.Class, e.Shape), s.budget.MaxResultBytes)
	why, after := s.makeRoom(e.Tenant, need, e.Durable)
	if why == ReasonNone && e.Durable && s.diskLost {
		why = ReasonDiskFailed
	}
	if why == ReasonNone && s.results[e.ID] != nil {
		why = ReasonTooMany // a number drawn twice
	}
	if why != ReasonNone {
		s.stats.Rejected++
		s.emit(Effect{Kind: Rejected, ID: e.ID, Reason: why, RetryAfter: after})
		return
	}
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, shape: e.Shape, durable: e.Durable, state: filling,
		created: s.now, leaseEnd: s.now + s.budget.LeaseTime, heapIndex: -1, requested: 1, onDisk: e.Durable && s.budget.DiskBytes > 0}
	s.results[e.ID] = r
	s.addReservation(r, need)
	s.stats.Reserved++
	s.emit(Effect{Kind: Granted, ID: e.ID})
}

// makeRoom answers whether so much more may be kept, and if not until when it may be again. Results
// whose lease is over give way, the tenant's own where its quota is what is short.
func (s *Store) makeRoom(tenant uint64, need int64, lasting bool) (Reason, rules.Time) {
	if need > s.budget.MaxResultBytes {
		return ReasonTooLarge, 0
	}
	if len(s.results) >= s.budget.MaxResults && !s.evict(func(*result) bool { return true }) {
		return ReasonTooMany, s.nextEviction(func(*result) bool { return true })
	}
	mine := func(r *result) bool { return r.tenant == tenant }
	for s.tenantBytes[tenant]+need > s.budget.MaxTenantBytes {
		if !s.evict(mine) {
			return ReasonQuota, s.nextEviction(mine)
		}
	}
	any := func(*result) bool { return true }
	for s.diskBytes+need > s.capacity() {
		if !s.evict(any) {
			return ReasonCapacity, s.nextEviction(any)
		}
	}
	return ReasonNone, 0
}

// capacity is what may be kept in all: on the disk, or without one in memory.
func (s *Store) capacity() int64 {
	if s.diskLost || s.budget.DiskBytes == 0 {
		return s.budget.MemoryBytes
	}
	return s.budget.DiskBytes
}

// evict drops the result whose lease has been over for longest, if there is one. Who is being read stays.
func (s *Store) evict(of func(*result) bool) bool {
	var v *result
	for _, r := range s.leases {
		if r.leaseEnd <= s.now && r.readerCount == 0 && of(r) && (v == nil || r.leaseEnd < v.leaseEnd) {
			v = r
		}
	}
	if v == nil {
		return false
	}
	s.stats.Evicted++
	s.drop(v, ReasonLeaseExpired)
	return true
}

// nextEviction is how long it takes until a result may give way.
func (s *Store) nextEviction(of func(*result) bool) rules.Time {
	after := rules.Time(0)
	for _, r := range s.leases {
		if left := max(r.leaseEnd-s.now, rules.Millisecond); of(r) && (after == 0 || left < after) {
			after = left
		}
	}
	return after
}

func (s *Store) addReservation(r *result, n int64) {
	r.reserved += n
	s.tenantBytes[r.tenant] += n
	s.diskBytes += n
}

// useReservation takes bytes that came out of what was set aside, or answers why there is no room for them.
func (s *Store) useReservation(r *result, n int64) Reason {
	if r.bytes+n > s.budget.MaxResultBytes {
		return ReasonTooLarge
	}
	if short := n - r.reserved; short > 0 {
		grow := max(short, min(r.bytes/2, s.budget.MaxResultBytes-r.bytes-r.reserved)) // half as much again, if there is room
		if why, _ := s.makeRoom(r.tenant, grow, r.durable); why != ReasonNone {
			if grow = short; grow > 0 {
				if why, _ := s.makeRoom(r.tenant, grow, r.durable); why != ReasonNone {
					return why
				}
			}
		}
		s.addReservation(r, grow)
	}
	r.reserved -= n
	r.bytes += n
	return ReasonNone
}

// ---- pages that come

func (s *Store) pageArrived(r *result, e Event) {
	if r.pageCount == 0 {
		if e.PageCount < 1 || e.PageCount > s.budget.MaxPages {
			s.fail(r, ReasonTooLarge)
			return
		}
		r.pageCount = e.PageCount
	}
	if e.PageCount != r.pageCount || e.Index < 0 || e.Index >= r.pageCount {
		s.fail(r, ReasonAttemptFailed)
		return
	}
	if e.Index < r.nextPage || r.outOfOrder[e.Index] != nil {
		return // a second copy
	}
	if why := s.useReservation(r, int64(len(e.Data))); why != ReasonNone {
		s.fail(r, why)
		return
	}
	s.memoryBytes += int64(len(e.Data))
	if e.Index > r.nextPage {
		if r.outOfOrder == nil {
			r.outOfOrder = map[int][]byte{}
		}
		r.outOfOrder[e.Index] = e.Data
	} else {
		s.appendPage(r, e.Data)
		for r.outOfOrder[r.nextPage] != nil {
			data := r.outOfOrder[r.nextPage]
			delete(r.outOfOrder, r.nextPage)
			s.appendPage(r, data)
		}
	}
	if r.nextPage == r.pageCount {
		s.allPagesArrived(r)
		return
	}
	s.fetchPages(r)
}

// fetchPages asks for further pages, while what waits to be written is within bounds: where the disk is slow
// the engine waits, and memory stays flat.
func (s *Store) fetchPages(r *result) {
	if r.pageCount == 0 || r.requested >= r.pageCount || r.onDisk && s.unwrittenBytes > s.budget.MaxUnwritten {
		return
	}
	if to := min(r.nextPage+s.budget.FetchWindow, r.pageCount); to > r.requested {
		s.emit(Effect{Kind: FetchPages, ID: r.id, Index: r.requested, End: to})
		r.requested = to
	}
}

// appendPage puts a page behind those that came before it.
func (s *Store) appendPage(r *result, data []byte) {
	r.nextPage++
	if len(r.openChunk) > 0 && len(r.openChunk)+len(data) > s.budget.ChunkBytes {
		s.closeChunk(r)
	}
	r.openChunk = append(r.openChunk, data...)
}

func (s *Store) closeChunk(r *result) {
	r.chunks = append(r.chunks, chunk{data: r.openChunk, size: int32(len(r.openChunk))})
	r.openChunk = nil
	if !r.onDisk && !s.diskLost && s.budget.DiskBytes > 0 && (r.bytes > s.budget.DiskThreshold || s.memoryBytes > s.budget.MemoryBytes) {
		r.onDisk = true
	}
	if r.onDisk {
		s.writeChunks(r)
	}
	s.serveWaiting(r)
}

// writeChunks writes the chunks that are not yet written.
func (s *Store) writeChunks(r *result) {
	if !r.openWritten {
		r.openWritten = true
		meta := segment.Meta{Tenant: r.tenant, Secret: r.secret, Class: uint32(r.class), Created: int64(r.created), LeaseEnd: int64(r.leaseEnd)}
		s.writeRecord(r, segment.Open, 0, segment.AppendMeta(nil, meta))
	}
	for i := range r.chunks {
		if c := &r.chunks[i]; !c.writing && c.data != nil && c.location.Size == 0 {
			c.writing = true
			s.unwrittenBytes += int64(c.size)
			s.writeRecord(r, segment.Chunk, i, c.data)
		}
	}
}

func (s *Store) writeRecord(r *result, kind segment.Kind, n int, data []byte) {
	r.pendingWrites++
	s.emit(Effect{Kind: WriteRecord, ID: r.id, Record: kind, Index: n, Data: data})
}

// allPagesArrived: the engine has given all. It is free from now on, however slowly the result is read.
func (s *Store) allPagesArrived(r *result) {
	if len(r.openChunk) > 0 || len(r.chunks) == 0 {
		s.closeChunk(r)
	}
	s.emit(Effect{Kind: ReleaseEngine, ID: r.id})
	s.sizes.observe(r.class, r.shape, r.bytes)
	s.returnReservation(r, r.reserved)
	if !r.onDisk {
		s.complete(r)
		return
	}
	r.state = sealing
	s.writeRecord(r, segment.Seal, len(r.chunks), segment.AppendSummary(nil, segment.Summary{Chunks: uint32(len(r.chunks)), Bytes: uint64(r.bytes)}))
	if !r.durable { // it is whole already: the disk only spares memory
		s.complete(r)
	}
}

func (s *Store) returnReservation(r *result, n int64) {
	r.reserved -= n
	s.diskBytes -= n
	s.chargeTenant(r.tenant, -n)
}

func (s *Store) chargeTenant(tenant uint64, n int64) {
	if s.tenantBytes[tenant] += n; s.tenantBytes[tenant] == 0 {
		delete(s.tenantBytes, tenant)
	}
}

func (s *Store) complete(r *result) {
	r.state = completed
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.push(r)
	s.stats.Completed++
	s.emit(Effect{Kind: Completed, ID: r.id})
	s.serveWaiting(r)
}

// ---- what the disk says

func (s *Store) recordWritten(e Event) {
	r := s.results[e.ID]
	if r == nil {
		return
	}
	r.pendingWrites--
	if e.Failed {
		s.fail(r, ReasonDiskFailed)
		return
	}
	if e.Record != segment.Chunk || e.Index >= len(r.chunks) {
		return
	}
	c := &r.chunks[e.Index]
	c.location, c.writing = e.Location, false
	s.unwrittenBytes -= int64(c.size)
	s.memoryBytes -= int64(c.size)
	c.data = nil
	if r.state == filling {
		s.fetchPages(r)
	}
	for _, o := range s.stalledResults() {
		s.fetchPages(o)
	}
}

// stalledResults are results that wait for room to be written, in the order of their numbers: the order must
// not follow from how a map lies in memory.
func (s *Store) stalledResults() (out []*result) {
	if s.unwrittenBytes > s.budget.MaxUnwritten {
		return nil
	}
	for _, r := range s.results {
		if r.state == filling && r.onDisk && r.pageCount > 0 && r.requested < r.pageCount && r.requested <= r.nextPage {
			out = append(out, r)
		}
	}
	sortByID(out)
	return out
}

func (s *Store) resultSynced(r *result, failed bool) {
	if failed {
		s.fail(r, ReasonDiskFailed)
		return
	}
	s.complete(r)
}

// failAffected gives up all results of which a chunk is such that it can't be read any more.
func (s *Store) failAffected(lost func(*chunk) bool) {
	var bad []*result
	for _, r := range s.results {
		for i := range r.chunks {
			if lost(&r.chunks[i]) {
				bad = append(bad, r)
				break
			}
		}
	}
	sortByID(bad)
	for _, r := range bad {
		s.fail(r, ReasonDiskFailed)
	}
}

// ---- the end of a result

// fail ends a result that is not whole, or not any more.
func (s *Store) fail(r *result, why Reason) {
	s.stats.Failed++
	if r.state != completed {
		s.emit(Effect{Kind: Failed, ID: r.id, Reason: why})
	}
	s.drop(r, why)
}

// drop forgets a result. Who reads it is told, unless all was read.
func (s *Store) drop(r *result, why Reason) {
	delete(s.results, r.id)
	s.leases.remove(r)
	var places []Location
	for i := range r.chunks {
		c := &r.chunks[i]
		if c.data != nil {
			s.memoryBytes -= int64(c.size)
		}
		if c.writing {
			s.unwrittenBytes -= int64(c.size)
		}
		if c.location.Size > 0 {
			places = append(places, c.location)
		}
	}
	loose := int64(len(r.openChunk))
	for _, data := range r.outOfOrder {
		loose += int64(len(data))
	}
	s.memoryBytes -= loose
	s.diskBytes -= r.bytes + r.reserved
	s.chargeTenant(r.tenant, -(r.bytes + r.reserved))
	if r.openWritten {
		s.emit(Effect{Kind: WriteRecord, ID: r.id, Record: segment.Drop})
		s.emit(Effect{Kind: DiscardRecords, ID: r.id, Locations: places})
	}
	var cut []int
	for n, d := range s.readers {
		if d.result == r {
			cut = append(cut, n)
		}
	}
	sortReaders(cut)
	for _, n := range cut {
		delete(s.readers, n)
		s.emit(Effect{Kind: AbortRead, Reader: n, Reason: why})
	}
}

// evictToBudget: the budget is smaller than what is kept. Leases that are over give way; what is promised stays
// until its lease is over, and nothing new is taken meanwhile.
func (s *Store) evictToBudget() {
	for s.diskBytes > s.capacity() && s.evict(func(*result) bool { return true }) {
	}
}

// ---- readers

// authorized compares in a time that does not depend on where the two differ.
func authorized(r *result, secret Secret, tenant uint64) bool {
	same := subtle.ConstantTimeCompare(r.secret[:], secret[:])
	return same&subtle.ConstantTimeEq(int32(r.tenant), int32(tenant))&subtle.ConstantTimeEq(int32(r.tenant>>32), int32(tenant>>32)) == 1
}

var unknownResult result

// attach lets a client read. What is unknown, foreign, expired or void is denied alike.
func (s *Store) attach(e Event) {
	r := s.results[e.ID]
	known := r != nil
	if !known {
		r = &unknownResult
	}
	if ok := authorized(r, e.Secret, e.Tenant); !ok || !known || e.Index < 0 || s.readers[e.Reader] != nil ||
		r.state == completed && e.Index >= len(r.chunks) {
		s.stats.Denied++
		s.emit(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	s.readers[e.Reader] = &reader{result: r, index: e.Index, waiting: true}
	r.readerCount++
	s.renewLease(r)
	s.serveReader(e.Reader)
}

// acknowledge lets a client be done with a result. Who reads it still is cut.
func (s *Store) acknowledge(e Event) {
	r := s.results[e.ID]
	known := r != nil
	if !known {
		r = &unknownResult
	}
	if ok := authorized(r, e.Secret, e.Tenant); !ok || !known {
		s.stats.Denied++
		s.emit(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	s.drop(r, ReasonNone)
	s.emit(Effect{Kind: DeliverChunk, Reader: e.Reader, Index: -1, Last: true})
}

// nextChunk: a reader has read all before chunk N. Reading renews the lease; the last chunk read frees.
func (s *Store) nextChunk(e Event) {
	d := s.readers[e.Reader]
	if d == nil {
		return
	}
	r := d.result
	s.renewLease(r)
	if r.state == completed && e.Index >= len(r.chunks) {
		s.detach(e.Reader)
		if r.readerCount == 0 {
			s.drop(r, ReasonNone)
		}
		return
	}
	if e.Index < 0 {
		s.detach(e.Reader)
		s.emit(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	d.index, d.waiting = e.Index, true
	s.serveReader(e.Reader)
}

func (s *Store) renewLease(r *result) {
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.fix(r)
}

// serveReader hands a reader what it waits for, if that is to be had.
func (s *Store) serveReader(n int) {
	d := s.readers[n]
	r := d.result
	if !d.waiting || d.loading || r.state != completed {
		return // it waits until the result is whole: what is partial is not offered
	}
	if d.index >= len(r.chunks) { // beyond the end, asked for before that was known
		s.detach(n)
		s.stats.Denied++
		s.emit(Effect{Kind: Deny, Reader: n})
		return
	}
	c := &r.chunks[d.index]
	if c.data == nil {
		d.loading = true
		s.emit(Effect{Kind: LoadChunk, Reader: n, ID: r.id, Index: d.index, Location: c.location})
		return
	}
	s.deliver(n, d, c.data)
}

func (s *Store) deliver(n int, d *reader, data []byte) {
	d.waiting = false
	s.stats.Delivered++
	s.emit(Effect{Kind: DeliverChunk, Reader: n, Index: d.index, End: len(d.result.chunks), Data: data, Last: d.index == len(d.result.chunks)-1})
}

// serveWaiting hands on what readers of a result wait for.
func (s *Store) serveWaiting(r *result) {
	if r.readerCount == 0 {
		return
	}
	var waiting []int
	for n, d := range s.readers {
		if d.result == r && d.waiting {
			waiting = append(waiting, n)
		}
	}
	sortReaders(waiting)
	for _, n := range waiting {
		s.serveReader(n)
	}
}

func (s *Store) chunkLoaded(e Event) {
	d := s.readers[e.Reader]
	if d == nil || !d.loading {
		return
	}
	d.loading = false
	switch {
	case e.Corrupt: // the result is not what was written: nobody gets it
		s.fail(d.result, ReasonDiskFailed)
	case e.Failed: // what is promised is kept for another time
		s.detach(e.Reader)
		s.emit(Effect{Kind: AbortRead, Reader: e.Reader, Reason: ReasonDiskFailed})
	case e.Index != d.index: // it asked for another meanwhile
		s.serveReader(e.Reader)
	default:
		s.deliver(e.Reader, d, e.Data)
	}
}

func (s *Store) detach(n int) {
	if d := s.readers[n]; d != nil {
		d.result.readerCount--
		delete(s.readers, n)
	}
}

// ---- time

// expire drops results whose lease was over for as long again: nobody comes for them.
func (s *Store) expire() {
	for len(s.leases) > 0 {
		r := s.leases[0]
		if r.readerCount > 0 && r.leaseEnd+s.budget.LeaseTime <= s.now {
			s.renewLease(r) // its reader takes long for one chunk
			continue
		}
		if r.leaseEnd+s.budget.LeaseTime > s.now {
			return
		}
		s.stats.Expired++
		s.drop(r, ReasonLeaseExpired)
	}
}

func (s *Store) setTimer() {
	if len(s.leases) == 0 {
		s.timerAt = 0
		return
	}
	if at := s.leases[0].leaseEnd + s.budget.LeaseTime; at != s.timerAt {
		s.timerAt = at
		s.emit(Effect{Kind: SetTimer, At: at})
	}
}

// ---- the start

// resultRecovered takes in a result that the disk had whole and sealed.
func (s *Store) resultRecovered(e Event) {
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, durable: true, state: completed, created: e.Created,
		leaseEnd: e.LeaseEnd, heapIndex: -1, onDisk: true, openWritten: true}
	for _, p := range e.Locations {
		size := p.Size - segment.RecordOverhead
		r.chunks = append(r.chunks, chunk{size: size, location: p})
		r.bytes += int64(size)
	}
	if s.results[e.ID] != nil || len(s.results) >= s.budget.MaxResults || s.diskBytes+r.bytes > s.budget.DiskBytes || e.LeaseEnd+s.budget.LeaseTime <= s.now {
		s.emit(Effect{Kind: WriteRecord, ID: e.ID, Record: segment.Drop})
		s.emit(Effect{Kind: DiscardRecords, ID: e.ID, Locations: e.Locations})
		return
	}
	r.leaseEnd = min(r.leaseEnd, s.now+s.budget.LeaseTime) // a clock that was ahead before the restart keeps nothing for longer
	s.results[e.ID] = r
	s.diskBytes += r.bytes
	s.tenantBytes[r.tenant] += r.bytes
	s.leases.push(r)
}
