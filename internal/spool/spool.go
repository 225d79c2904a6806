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

// Place is where a record lies on the disk.
type Place struct {
	Segment uint32
	Offset  int64
	Size    int32 // of the whole record
}

// EventKind is what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	Reserve    EventKind = iota + 1 // a query is about to be sent: ID, Secret, Tenant, Class, Shape, Lasting
	Came                            // an engine's page came: ID, N, Total, Data
	Broke                           // the attempt has failed or is given up: what came of the result is void: ID
	Written                         // the disk has a record: ID, Record, N, Place; Err: it has not
	Synced                          // the disk has synced a Seal, so all of the result outlasts a crash: ID; Err: unknown
	Attach                          // a reader wants a result: Reader, ID, Secret, Tenant, N
	Next                            // a reader wants chunk N, and has read all before it: Reader, N
	Read                            // the disk has read chunk N for a reader: Reader, N, Data; Err: not, or other bytes
	Detach                          // a reader has gone: Reader
	Acked                           // a client is done with a result, whole or not: Reader, ID, Secret, Tenant; a Give with N -1 or a Deny follows
	Release                         // a result is not wanted any more: ID
	Tick                            // the time asked for has come
	Retune                          // other budgets hold from now on: Budget
	Recovered                       // the disk had a whole result at the start: ID, Secret, Tenant, Class, Created, Lease, Places
	DiskLost                        // the folder has gone: nothing can be written or read any more
	DiskBack                        // it can again
	SegmentBad                      // what a segment holds from an offset on is unknown: Place
	Moved                           // chunk N of a result lies elsewhere now: ID, N, Place
)

// Event is something the spool is told. Only the fields named at its kind count.
type Event struct {
	Kind    EventKind
	ID      ID
	Secret  Secret
	Tenant  uint64
	Class   int
	Shape   uint64 // hash of the statement's shape; 0: not known
	Lasting bool   // a handle was asked for: it must outlast a restart
	N       int
	Total   int // pages that the engine has
	Data    []byte
	Record  segment.Kind
	Place   Place
	Places  []Place
	Reader  int
	Created rules.Time
	Lease   rules.Time
	Budget  *Budget
	Err     bool
	Changed bool // with Read and Err: other bytes came back than were written, and always will
}

// EffectKind is what an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	Granted EffectKind = iota + 1 // the query may be sent: ID
	Refused                       // it may not, and nothing ran: ID, Why, After
	Fetch                         // ask the engine for its pages N to To-1: ID
	Free                          // the engine is not needed any more: ID
	Write                         // append a record: ID, Record, N, Data
	Whole                         // the result may be offered: ID
	Failed                        // it can't be whole any more: ID, Why
	Load                          // read a record for a reader: Reader, ID, N, Place
	Give                          // hand chunk N of To to a reader: Reader, N, To, Data, Last; N -1: it is done with it
	Deny                          // a reader gets nothing, and does not hear why: Reader
	Cut                           // a reader's result has gone while it was read: Reader, Why
	Gone                          // forget a result's places, all of its records are dead: ID, Places
	Wake                          // tell Tick at At
)

// Why says for what an Effect was chosen.
type Why uint8

// Reasons.
const (
	ForNothing Why = iota
	ForRoom        // the disk or the memory that may be used is full
	ForQuota       // its tenant's part is
	ForSize        // it is larger than a result may be
	ForCount       // as many results are kept as may be
	ForDisk        // the disk fails
	ForBroken      // its attempt broke
	ForTime        // its lease was over, and others needed the room
)

var whyNames = [...]string{"nothing", "room", "quota", "size", "count", "disk", "broken", "time"}

func (w Why) String() string { return whyNames[w] }

// Effect is something to do.
type Effect struct {
	Kind   EffectKind
	ID     ID
	N, To  int
	Data   []byte
	Record segment.Kind
	Place  Place
	Places []Place
	Reader int
	Last   bool
	Why    Why
	After  rules.Time
	At     rules.Time
}

type state uint8

const (
	filling state = iota + 1 // pages come
	sealing                  // all are here; the seal is on its way to the disk
	whole
)

// chunk is one page as clients see it.
type chunk struct {
	data  []byte // nil: on the disk only
	size  int32
	place Place // Size 0: not written
	asked bool  // its Write is out
}

// result is one that is kept, or on its way.
type result struct {
	id       ID
	secret   Secret
	tenant   uint64
	class    int
	shape    uint64
	lasting  bool
	state    state
	reserved int64 // bytes set aside beyond what has come
	bytes    int64 // that came, in chunks and ahead of their turn
	created  rules.Time
	lease    rules.Time
	leaseAt  int // its place among the leases, -1: none
	readers  int

	total   int            // pages of the engine, 0: not known
	next    int            // page that is appended next
	asked   int            // pages up to here were asked for
	early   map[int][]byte // pages that came before their turn
	open    []byte         // the chunk that is being filled
	chunks  []chunk
	toDisk  bool // over the threshold, or lasting: chunks are written
	begun   bool // its Open is written
	pending int  // Writes that are out
	done    int  // chunks that readers need not see again
}

// reader is a client that reads a result.
type reader struct {
	result  *result
	n       int  // the chunk that it wants
	wants   bool // it waits for that
	loading bool
}

// Spool is the spool's whole state.
type Spool struct {
	set      Budget
	now      rules.Time
	out      []Effect
	results  map[ID]*result
	readers  map[int]*reader
	tenants  map[uint64]int64 // bytes that each has, reserved ones with them
	leases   leases
	disk     int64 // bytes on the disk and set aside there
	memory   int64 // bytes in memory
	unstored int64 // of these, those that are on their way to the disk
	diskOff  bool
	woken    rules.Time
	learned  sizes
	stats    Stats
}

// Stats count since the start, but for those that say now.
type Stats struct {
	Reserved, Refused, Whole, Failed, Given, Denied, Expired, GaveWay int
	Results, Readers                                                  int   // now
	Disk, Memory                                                      int64 // now, bytes
}

// New returns a spool that holds nothing.
func New(set Budget, seed uint64) *Spool {
	return &Spool{set: set, results: map[ID]*result{}, readers: map[int]*reader{}, tenants: map[uint64]int64{},
		learned: newSizes(set, seed)}
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (s *Spool) Handle(now rules.Time, e Event) []Effect {
	s.out = s.out[:0]
	s.now = max(s.now, now) // a clock that steps back stands still here
	switch e.Kind {
	case Reserve:
		s.reserve(e)
	case Came:
		if r := s.results[e.ID]; r != nil && r.state == filling {
			s.came(r, e)
		}
	case Broke:
		if r := s.results[e.ID]; r != nil && r.state == filling {
			s.fail(r, ForBroken)
		}
	case Written:
		s.written(e)
	case Synced:
		if r := s.results[e.ID]; r != nil && r.state == sealing {
			s.synced(r, e.Err)
		}
	case Attach:
		s.attach(e)
	case Next:
		s.wantNext(e)
	case Read:
		s.read(e)
	case Detach:
		s.detach(e.Reader)
	case Acked:
		s.acked(e)
	case Release:
		if r := s.results[e.ID]; r != nil {
			s.drop(r, ForNothing)
		}
	case Retune:
		s.set = *e.Budget
		s.shrink()
	case Recovered:
		s.recovered(e)
	case DiskLost:
		s.diskOff = true
		s.dropFrom(func(c *chunk) bool { return c.data == nil || c.asked })
	case DiskBack:
		s.diskOff = false
	case SegmentBad:
		s.dropFrom(func(c *chunk) bool {
			return c.place.Size > 0 && c.place.Segment == e.Place.Segment && c.place.Offset >= e.Place.Offset
		})
	case Moved:
		if r := s.results[e.ID]; r != nil && e.N < len(r.chunks) && r.chunks[e.N].place.Size > 0 {
			r.chunks[e.N].place = e.Place
		}
	}
	s.expire()
	s.wake()
	return s.out
}

func (s *Spool) do(e Effect) { s.out = append(s.out, e) }

// Stats returns the counts.
func (s *Spool) Stats() Stats {
	st := s.stats
	st.Results, st.Readers, st.Disk, st.Memory = len(s.results), len(s.readers), s.disk, s.memory
	return st
}

// ---- reservations

// reserve sets room aside before a query is sent, so that a full spool is a refusal of something that never ran.
func (s *Spool) reserve(e Event) {
	need := min(s.learned.estimate(e.Class, e.Shape), s.set.Result)
	why, after := s.makeRoom(e.Tenant, need, e.Lasting)
	if why == ForNothing && e.Lasting && s.diskOff {
		why = ForDisk
	}
	if why == ForNothing && s.results[e.ID] != nil {
		why = ForCount // a number drawn twice
	}
	if why != ForNothing {
		s.stats.Refused++
		s.do(Effect{Kind: Refused, ID: e.ID, Why: why, After: after})
		return
	}
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, shape: e.Shape, lasting: e.Lasting, state: filling,
		created: s.now, lease: s.now + s.set.Lease, leaseAt: -1, asked: 1, toDisk: e.Lasting && s.set.Disk > 0}
	s.results[e.ID] = r
	s.setAside(r, need)
	s.stats.Reserved++
	s.do(Effect{Kind: Granted, ID: e.ID})
}

// makeRoom answers whether so much more may be kept, and if not until when it may be again. Results
// whose lease is over give way, the tenant's own where its quota is what is short.
func (s *Spool) makeRoom(tenant uint64, need int64, lasting bool) (Why, rules.Time) {
	if need > s.set.Result {
		return ForSize, 0
	}
	if len(s.results) >= s.set.Results && !s.giveWay(func(*result) bool { return true }) {
		return ForCount, s.nextLease(func(*result) bool { return true })
	}
	mine := func(r *result) bool { return r.tenant == tenant }
	for s.tenants[tenant]+need > s.set.Tenant {
		if !s.giveWay(mine) {
			return ForQuota, s.nextLease(mine)
		}
	}
	any := func(*result) bool { return true }
	for s.disk+need > s.room() {
		if !s.giveWay(any) {
			return ForRoom, s.nextLease(any)
		}
	}
	return ForNothing, 0
}

// room is what may be kept in all: on the disk, or without one in memory.
func (s *Spool) room() int64 {
	if s.diskOff || s.set.Disk == 0 {
		return s.set.Memory
	}
	return s.set.Disk
}

// giveWay drops the result whose lease has been over for longest, if there is one. Who is being read stays.
func (s *Spool) giveWay(of func(*result) bool) bool {
	var v *result
	for _, r := range s.leases {
		if r.lease <= s.now && r.readers == 0 && of(r) && (v == nil || r.lease < v.lease) {
			v = r
		}
	}
	if v == nil {
		return false
	}
	s.stats.GaveWay++
	s.drop(v, ForTime)
	return true
}

// nextLease is how long it takes until a result may give way.
func (s *Spool) nextLease(of func(*result) bool) rules.Time {
	after := rules.Time(0)
	for _, r := range s.leases {
		if left := max(r.lease-s.now, rules.Millisecond); of(r) && (after == 0 || left < after) {
			after = left
		}
	}
	return after
}

func (s *Spool) setAside(r *result, n int64) {
	r.reserved += n
	s.tenants[r.tenant] += n
	s.disk += n
}

// use takes bytes that came out of what was set aside, or answers why there is no room for them.
func (s *Spool) use(r *result, n int64) Why {
	if r.bytes+n > s.set.Result {
		return ForSize
	}
	if short := n - r.reserved; short > 0 {
		grow := max(short, min(r.bytes/2, s.set.Result-r.bytes-r.reserved)) // half as much again, if there is room
		if why, _ := s.makeRoom(r.tenant, grow, r.lasting); why != ForNothing {
			if grow = short; grow > 0 {
				if why, _ := s.makeRoom(r.tenant, grow, r.lasting); why != ForNothing {
					return why
				}
			}
		}
		s.setAside(r, grow)
	}
	r.reserved -= n
	r.bytes += n
	return ForNothing
}

// ---- pages that come

func (s *Spool) came(r *result, e Event) {
	if r.total == 0 {
		if e.Total < 1 || e.Total > s.set.Pages {
			s.fail(r, ForSize)
			return
		}
		r.total = e.Total
	}
	if e.Total != r.total || e.N < 0 || e.N >= r.total {
		s.fail(r, ForBroken)
		return
	}
	if e.N < r.next || r.early[e.N] != nil {
		return // a second copy
	}
	if why := s.use(r, int64(len(e.Data))); why != ForNothing {
		s.fail(r, why)
		return
	}
	s.memory += int64(len(e.Data))
	if e.N > r.next {
		if r.early == nil {
			r.early = map[int][]byte{}
		}
		r.early[e.N] = e.Data
	} else {
		s.append(r, e.Data)
		for r.early[r.next] != nil {
			data := r.early[r.next]
			delete(r.early, r.next)
			s.append(r, data)
		}
	}
	if r.next == r.total {
		s.finished(r)
		return
	}
	s.fetch(r)
}

// fetch asks for further pages, while what waits to be written is within bounds: where the disk is slow
// the engine waits, and memory stays flat.
func (s *Spool) fetch(r *result) {
	if r.total == 0 || r.asked >= r.total || r.toDisk && s.unstored > s.set.Behind {
		return
	}
	if to := min(r.next+s.set.Window, r.total); to > r.asked {
		s.do(Effect{Kind: Fetch, ID: r.id, N: r.asked, To: to})
		r.asked = to
	}
}

// append puts a page behind those that came before it.
func (s *Spool) append(r *result, data []byte) {
	r.next++
	if len(r.open) > 0 && len(r.open)+len(data) > s.set.Chunk {
		s.closeChunk(r)
	}
	r.open = append(r.open, data...)
}

func (s *Spool) closeChunk(r *result) {
	r.chunks = append(r.chunks, chunk{data: r.open, size: int32(len(r.open))})
	r.open = nil
	if !r.toDisk && !s.diskOff && s.set.Disk > 0 && (r.bytes > s.set.Threshold || s.memory > s.set.Memory) {
		r.toDisk = true
	}
	if r.toDisk {
		s.store(r)
	}
	s.feed(r)
}

// store writes the chunks that are not yet written.
func (s *Spool) store(r *result) {
	if !r.begun {
		r.begun = true
		meta := segment.Meta{Tenant: r.tenant, Secret: r.secret, Class: uint32(r.class), Created: int64(r.created), Lease: int64(r.lease)}
		s.write(r, segment.Open, 0, segment.AppendMeta(nil, meta))
	}
	for i := range r.chunks {
		if c := &r.chunks[i]; !c.asked && c.data != nil && c.place.Size == 0 {
			c.asked = true
			s.unstored += int64(c.size)
			s.write(r, segment.Page, i, c.data)
		}
	}
}

func (s *Spool) write(r *result, kind segment.Kind, n int, data []byte) {
	r.pending++
	s.do(Effect{Kind: Write, ID: r.id, Record: kind, N: n, Data: data})
}

// finished: the engine has given all. It is free from now on, however slowly the result is read.
func (s *Spool) finished(r *result) {
	if len(r.open) > 0 || len(r.chunks) == 0 {
		s.closeChunk(r)
	}
	s.do(Effect{Kind: Free, ID: r.id})
	s.learned.add(r.class, r.shape, r.bytes)
	s.giveBack(r, r.reserved)
	if !r.toDisk {
		s.becomeWhole(r)
		return
	}
	r.state = sealing
	s.write(r, segment.Seal, len(r.chunks), segment.AppendSum(nil, segment.Sum{Pages: uint32(len(r.chunks)), Bytes: uint64(r.bytes)}))
	if !r.lasting { // it is whole already: the disk only spares memory
		s.becomeWhole(r)
	}
}

func (s *Spool) giveBack(r *result, n int64) {
	r.reserved -= n
	s.disk -= n
	s.account(r.tenant, -n)
}

func (s *Spool) account(tenant uint64, n int64) {
	if s.tenants[tenant] += n; s.tenants[tenant] == 0 {
		delete(s.tenants, tenant)
	}
}

func (s *Spool) becomeWhole(r *result) {
	r.state = whole
	r.lease = s.now + s.set.Lease
	s.leases.push(r)
	s.stats.Whole++
	s.do(Effect{Kind: Whole, ID: r.id})
	s.feed(r)
}

// ---- what the disk says

func (s *Spool) written(e Event) {
	r := s.results[e.ID]
	if r == nil {
		return
	}
	r.pending--
	if e.Err {
		s.fail(r, ForDisk)
		return
	}
	if e.Record != segment.Page || e.N >= len(r.chunks) {
		return
	}
	c := &r.chunks[e.N]
	c.place, c.asked = e.Place, false
	s.unstored -= int64(c.size)
	s.memory -= int64(c.size)
	c.data = nil
	if r.state == filling {
		s.fetch(r)
	}
	for _, o := range s.leastFetched() {
		s.fetch(o)
	}
}

// leastFetched are results that wait for room to be written, in the order of their numbers: the order must
// not follow from how a map lies in memory.
func (s *Spool) leastFetched() (out []*result) {
	if s.unstored > s.set.Behind {
		return nil
	}
	for _, r := range s.results {
		if r.state == filling && r.toDisk && r.total > 0 && r.asked < r.total && r.asked <= r.next {
			out = append(out, r)
		}
	}
	sortByID(out)
	return out
}

func (s *Spool) synced(r *result, failed bool) {
	if failed {
		s.fail(r, ForDisk)
		return
	}
	s.becomeWhole(r)
}

// dropFrom gives up all results of which a chunk is such that it can't be read any more.
func (s *Spool) dropFrom(lost func(*chunk) bool) {
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
		s.fail(r, ForDisk)
	}
}

// ---- the end of a result

// fail ends a result that is not whole, or not any more.
func (s *Spool) fail(r *result, why Why) {
	s.stats.Failed++
	if r.state != whole {
		s.do(Effect{Kind: Failed, ID: r.id, Why: why})
	}
	s.drop(r, why)
}

// drop forgets a result. Who reads it is told, unless all was read.
func (s *Spool) drop(r *result, why Why) {
	delete(s.results, r.id)
	s.leases.drop(r)
	var places []Place
	for i := range r.chunks {
		c := &r.chunks[i]
		if c.data != nil {
			s.memory -= int64(c.size)
		}
		if c.asked {
			s.unstored -= int64(c.size)
		}
		if c.place.Size > 0 {
			places = append(places, c.place)
		}
	}
	loose := int64(len(r.open))
	for _, data := range r.early {
		loose += int64(len(data))
	}
	s.memory -= loose
	s.disk -= r.bytes + r.reserved
	s.account(r.tenant, -(r.bytes + r.reserved))
	if r.begun {
		s.do(Effect{Kind: Write, ID: r.id, Record: segment.Drop})
		s.do(Effect{Kind: Gone, ID: r.id, Places: places})
	}
	var cut []int
	for n, d := range s.readers {
		if d.result == r {
			cut = append(cut, n)
		}
	}
	sortInts(cut)
	for _, n := range cut {
		delete(s.readers, n)
		s.do(Effect{Kind: Cut, Reader: n, Why: why})
	}
}

// shrink: the budget is smaller than what is kept. Leases that are over give way; what is promised stays
// until its lease is over, and nothing new is taken meanwhile.
func (s *Spool) shrink() {
	for s.disk > s.room() && s.giveWay(func(*result) bool { return true }) {
	}
}

// ---- readers

// allowed compares in a time that does not depend on where the two differ.
func allowed(r *result, secret Secret, tenant uint64) bool {
	same := subtle.ConstantTimeCompare(r.secret[:], secret[:])
	return same&subtle.ConstantTimeEq(int32(r.tenant), int32(tenant))&subtle.ConstantTimeEq(int32(r.tenant>>32), int32(tenant>>32)) == 1
}

var nobody result

// attach lets a client read. What is unknown, foreign, expired or void is denied alike.
func (s *Spool) attach(e Event) {
	r := s.results[e.ID]
	known := r != nil
	if !known {
		r = &nobody
	}
	if ok := allowed(r, e.Secret, e.Tenant); !ok || !known || e.N < 0 || s.readers[e.Reader] != nil ||
		r.state == whole && e.N >= len(r.chunks) {
		s.stats.Denied++
		s.do(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	s.readers[e.Reader] = &reader{result: r, n: e.N, wants: true}
	r.readers++
	s.renew(r)
	s.give(e.Reader)
}

// acked lets a client be done with a result. Who reads it still is cut.
func (s *Spool) acked(e Event) {
	r := s.results[e.ID]
	known := r != nil
	if !known {
		r = &nobody
	}
	if ok := allowed(r, e.Secret, e.Tenant); !ok || !known {
		s.stats.Denied++
		s.do(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	s.drop(r, ForNothing)
	s.do(Effect{Kind: Give, Reader: e.Reader, N: -1, Last: true})
}

// wantNext: a reader has read all before chunk N. Reading renews the lease; the last chunk read frees.
func (s *Spool) wantNext(e Event) {
	d := s.readers[e.Reader]
	if d == nil {
		return
	}
	r := d.result
	s.renew(r)
	if r.state == whole && e.N >= len(r.chunks) {
		s.detach(e.Reader)
		if r.readers == 0 {
			s.drop(r, ForNothing)
		}
		return
	}
	if e.N < 0 {
		s.detach(e.Reader)
		s.do(Effect{Kind: Deny, Reader: e.Reader})
		return
	}
	d.n, d.wants = e.N, true
	s.give(e.Reader)
}

func (s *Spool) renew(r *result) {
	r.lease = s.now + s.set.Lease
	s.leases.fix(r)
}

// give hands a reader what it waits for, if that is to be had.
func (s *Spool) give(n int) {
	d := s.readers[n]
	r := d.result
	if !d.wants || d.loading || r.state != whole {
		return // it waits until the result is whole: what is partial is not offered
	}
	if d.n >= len(r.chunks) { // beyond the end, asked for before that was known
		s.detach(n)
		s.stats.Denied++
		s.do(Effect{Kind: Deny, Reader: n})
		return
	}
	c := &r.chunks[d.n]
	if c.data == nil {
		d.loading = true
		s.do(Effect{Kind: Load, Reader: n, ID: r.id, N: d.n, Place: c.place})
		return
	}
	s.hand(n, d, c.data)
}

func (s *Spool) hand(n int, d *reader, data []byte) {
	d.wants = false
	s.stats.Given++
	s.do(Effect{Kind: Give, Reader: n, N: d.n, To: len(d.result.chunks), Data: data, Last: d.n == len(d.result.chunks)-1})
}

// feed hands on what readers of a result wait for.
func (s *Spool) feed(r *result) {
	if r.readers == 0 {
		return
	}
	var waiting []int
	for n, d := range s.readers {
		if d.result == r && d.wants {
			waiting = append(waiting, n)
		}
	}
	sortInts(waiting)
	for _, n := range waiting {
		s.give(n)
	}
}

func (s *Spool) read(e Event) {
	d := s.readers[e.Reader]
	if d == nil || !d.loading {
		return
	}
	d.loading = false
	switch {
	case e.Changed: // the result is not what was written: nobody gets it
		s.fail(d.result, ForDisk)
	case e.Err: // what is promised is kept for another time
		s.detach(e.Reader)
		s.do(Effect{Kind: Cut, Reader: e.Reader, Why: ForDisk})
	case e.N != d.n: // it asked for another meanwhile
		s.give(e.Reader)
	default:
		s.hand(e.Reader, d, e.Data)
	}
}

func (s *Spool) detach(n int) {
	if d := s.readers[n]; d != nil {
		d.result.readers--
		delete(s.readers, n)
	}
}

// ---- time

// expire drops results whose lease was over for as long again: nobody comes for them.
func (s *Spool) expire() {
	for len(s.leases) > 0 {
		r := s.leases[0]
		if r.readers > 0 && r.lease+s.set.Lease <= s.now {
			s.renew(r) // its reader takes long for one chunk
			continue
		}
		if r.lease+s.set.Lease > s.now {
			return
		}
		s.stats.Expired++
		s.drop(r, ForTime)
	}
}

func (s *Spool) wake() {
	if len(s.leases) == 0 {
		s.woken = 0
		return
	}
	if at := s.leases[0].lease + s.set.Lease; at != s.woken {
		s.woken = at
		s.do(Effect{Kind: Wake, At: at})
	}
}

// ---- the start

// recovered takes in a result that the disk had whole and sealed.
func (s *Spool) recovered(e Event) {
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, lasting: true, state: whole, created: e.Created,
		lease: e.Lease, leaseAt: -1, toDisk: true, begun: true}
	for _, p := range e.Places {
		size := p.Size - segment.Overhead
		r.chunks = append(r.chunks, chunk{size: size, place: p})
		r.bytes += int64(size)
	}
	if s.results[e.ID] != nil || len(s.results) >= s.set.Results || s.disk+r.bytes > s.set.Disk || e.Lease+s.set.Lease <= s.now {
		s.do(Effect{Kind: Write, ID: e.ID, Record: segment.Drop})
		s.do(Effect{Kind: Gone, ID: e.ID, Places: e.Places})
		return
	}
	r.lease = min(r.lease, s.now+s.set.Lease) // a clock that was ahead before the restart keeps nothing for longer
	s.results[e.ID] = r
	s.disk += r.bytes
	s.tenants[r.tenant] += r.bytes
	s.leases.push(r)
}
