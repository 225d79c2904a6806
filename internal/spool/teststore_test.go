package spool

import (
	"bytes"
	"math/rand/v2"

	"pgregory.net/rapid"

	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// testStore is a Store with a simulated disk, engines and readers. handle checks each effect that the Store returns.
type testStore struct {
	t            rapid.TB
	store        *Store
	now          rules.Time
	disk         map[int64][]byte // records by offset
	diskEnd      int64
	diskQueue    []DiskEffect
	enginePages  map[ID][][]byte
	requested    map[ID]int // number of pages requested from the engine so far
	states       map[ID]string
	readers      map[ReaderID]*testReader
	timerAt      rules.Time
	diskFails    bool // reads and writes of the disk fail
	diskCorrupts bool // reads return bytes that differ from those written
	denied       []ReaderID
	aborted      []ReaderID
	reasons      map[ID]Reason
	retryAfter   map[ID]rules.Time
	discarded    []Location
	diskLeases   map[ID]rules.Time // ends of leases, as the disk has them once it has executed its queue
	recovered    bool              // results were recovered, so there may be more than the budget allows
	leaseBatchAt rules.Time        // time of the last Lease records
	leaseBatch   int               // their number
}

type testReader struct {
	id       ID
	next     int
	received []byte
	isLast   bool // the last chunk has been received
	waiting  bool // the requested chunk has not been delivered
}

func newTestStore(t rapid.TB, b Budget) *testStore {
	if err := b.Validate(); err != nil {
		t.Fatal(err)
	}
	return &testStore{t: t, store: New(b, 1), now: rules.Second, disk: map[int64][]byte{}, enginePages: map[ID][][]byte{}, requested: map[ID]int{},
		states: map[ID]string{}, readers: map[ReaderID]*testReader{}, reasons: map[ID]Reason{}, retryAfter: map[ID]rules.Time{}, diskLeases: map[ID]rules.Time{}}
}

func (ts *testStore) handle(e Event) {
	if e, ok := e.(ResultRecovered); ok {
		ts.diskLeases[e.ID], ts.recovered = e.LeaseEnd, true
	}
	for _, effect := range append([]Effect(nil), ts.store.Handle(ts.now, e)...) {
		switch effect := effect.(type) {
		case Granted:
			ts.states[effect.ID], ts.requested[effect.ID] = "granted", 1
			if ts.store.OverBudget() {
				ts.t.Fatalf("granted over the budget: %+v", ts.store.Stats())
			}
		case Rejected:
			if ts.states[effect.ID] != "" {
				ts.t.Fatalf("rejected in state %s", ts.states[effect.ID])
			}
			ts.states[effect.ID], ts.reasons[effect.ID], ts.retryAfter[effect.ID] = "rejected", effect.Reason, effect.RetryAfter
		case FetchPages:
			if effect.Index != ts.requested[effect.ID] {
				ts.t.Fatalf("pages requested from %d, want from %d", effect.Index, ts.requested[effect.ID])
			}
			ts.requested[effect.ID] = effect.End
		case ReleaseEngine:
			ts.states[effect.ID] = "released"
		case Completed:
			if ts.states[effect.ID] != "released" {
				ts.t.Fatalf("completed in state %s", ts.states[effect.ID])
			}
			ts.states[effect.ID] = "completed"
		case Failed:
			if ts.states[effect.ID] == "completed" {
				ts.t.Fatal("failed after it was completed")
			}
			ts.states[effect.ID], ts.reasons[effect.ID] = "failed", effect.Reason
		case WriteRecord:
			effect.Data = bytes.Clone(effect.Data)
			ts.noteLease(effect)
			ts.diskQueue = append(ts.diskQueue, effect)
		case LoadChunk:
			ts.diskQueue = append(ts.diskQueue, effect)
		case DeliverChunk:
			r := ts.readers[effect.Reader]
			if r == nil || effect.Index != r.next {
				ts.t.Fatalf("reader %d received unexpected chunk %d", effect.Reader, effect.Index)
			}
			if ts.states[r.id] != "completed" {
				ts.t.Fatalf("reader %d received a chunk of a result in state %s", effect.Reader, ts.states[r.id])
			}
			r.received = append(r.received, effect.Data...)
			r.isLast, r.waiting = effect.Last, false
		case Deny:
			ts.denied = append(ts.denied, effect.Reader)
			delete(ts.readers, effect.Reader)
		case AbortRead:
			ts.aborted = append(ts.aborted, effect.Reader)
			delete(ts.readers, effect.Reader)
		case DiscardRecords:
			ts.discarded = append(ts.discarded, effect.Locations...)
		case SetTimer:
			ts.timerAt = effect.At
		}
	}
	ts.checkInvariants()
}

func (ts *testStore) checkInvariants() {
	s, b := ts.store, ts.store.budget
	maxMemory := b.MemoryBytes + b.MaxUnwritten + int64((b.FetchWindow+1)*len(s.results)*1000)
	if s.memoryBytes > maxMemory || s.memoryBytes < 0 || s.diskBytes < 0 || s.unwrittenBytes < 0 {
		ts.t.Fatalf("%d bytes in memory, %d unwritten, %d on the disk", s.memoryBytes, s.unwrittenBytes, s.diskBytes)
	}
	if len(s.results) > b.MaxResults && !ts.recovered {
		ts.t.Fatalf("%d results stored", len(s.results))
	}
	var sum int64
	for _, n := range s.tenantBytes {
		if n <= 0 {
			ts.t.Fatalf("a tenant is charged %d bytes", n)
		}
		sum += n
	}
	if sum != s.diskBytes {
		ts.t.Fatalf("tenants are charged %d bytes, the store %d", sum, s.diskBytes)
	}
	ts.checkLoads()
	ts.checkLeases()
}

// noteLease notes the lease in a record, and checks that Lease records are written at a bounded rate.
func (ts *testStore) noteLease(write WriteRecord) {
	if meta, ok := segment.ParseMeta(write.Data); ok && write.Record == segment.Open {
		ts.diskLeases[write.ID] = rules.Time(meta.LeaseEnd)
	}
	if write.Record != segment.Lease {
		return
	}
	end, _ := segment.ParseLease(write.Data)
	ts.diskLeases[write.ID] = rules.Time(end)
	if ts.now != ts.leaseBatchAt {
		if ts.leaseBatchAt != 0 && ts.now-ts.leaseBatchAt < 100*rules.Millisecond {
			ts.t.Fatalf("leases are written %d ms after the last ones", (ts.now-ts.leaseBatchAt)/rules.Millisecond)
		}
		ts.leaseBatchAt, ts.leaseBatch = ts.now, 0
	}
	if ts.leaseBatch++; ts.leaseBatch > 100 {
		ts.t.Fatalf("%d leases are written at a time", ts.leaseBatch)
	}
}

// checkLeases checks that the disk's lease of a durable result ends no earlier than its lease, unless a write of it is queued.
func (ts *testStore) checkLeases() {
	for id, r := range ts.store.results {
		if r.state == completed && r.durable && r.openWritten && !r.leaseQueued && !ts.diskFails && ts.diskLeases[id] < r.leaseEnd {
			ts.t.Fatalf("the lease of %v ends at %d, on the disk at %d", id, r.leaseEnd, ts.diskLeases[id])
		}
	}
}

// checkLoads checks that loads are bounded, and that each reader that waits for a chunk on the disk has its turn or is queued.
func (ts *testStore) checkLoads() {
	s, pending := ts.store, 0
	for _, effect := range ts.diskQueue {
		if _, ok := effect.(LoadChunk); ok {
			pending++
		}
	}
	if s.loads != pending || pending > s.budget.MaxLoads || len(s.loadQueue) > 0 && pending < s.budget.MaxLoads || len(s.loadQueue) > len(s.readers) {
		ts.t.Fatalf("%d loads are pending, %d are counted, %d of %d readers are queued", pending, s.loads, len(s.loadQueue), len(s.readers))
	}
	for id, rd := range s.readers {
		if rd.waiting && rd.result.state == completed && !rd.loading && !rd.queued {
			ts.t.Fatalf("reader %d waits for a chunk that nobody loads", id)
		}
	}
}

// runDiskEffect executes the queued disk effect at index i.
func (ts *testStore) runDiskEffect(i int) {
	effect := ts.diskQueue[i]
	ts.diskQueue = append(ts.diskQueue[:i], ts.diskQueue[i+1:]...)
	switch effect := effect.(type) {
	case LoadChunk:
		data, ok := ts.disk[effect.Location.Offset]
		ts.handle(ChunkLoaded{Reader: effect.Reader, Index: effect.Index, Data: data, Failed: !ok || ts.diskFails || ts.diskCorrupts, Corrupt: !ok || ts.diskCorrupts})
	case WriteRecord:
		ts.writeRecord(effect)
	}
}

func (ts *testStore) writeRecord(write WriteRecord) {
	location := Location{Segment: 1, Offset: ts.diskEnd, Size: int32(segment.RecordSize(len(write.Data)))}
	if !ts.diskFails {
		ts.disk[ts.diskEnd] = write.Data
		ts.diskEnd += int64(location.Size)
	}
	ts.handle(RecordWritten{ID: write.ID, Record: write.Record, Index: write.Index, Location: location, Failed: ts.diskFails})
	if write.Record == segment.Seal && !ts.diskFails {
		ts.handle(ResultSynced{ID: write.ID})
	}
}

func isSeal(effect DiskEffect) bool {
	write, ok := effect.(WriteRecord)
	return ok && write.Record == segment.Seal
}

// runDisk executes disk effects until the queue is empty.
func (ts *testStore) runDisk() {
	for len(ts.diskQueue) > 0 {
		ts.runDiskEffect(0)
	}
}

func id(n int) ID { return ID{byte(n), byte(n >> 8), 1} }

func secret(n int) Secret { return Secret{byte(n), 7} }

// reserve reserves a result and generates the pages that its engine will return.
func (ts *testStore) reserve(number, pageCount, size int, durable bool) ID {
	resultID := id(number)
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	var pages [][]byte
	for range pageCount {
		page := make([]byte, size)
		for i := range page {
			page[i] = byte(rng.Uint32())
		}
		pages = append(pages, page)
	}
	ts.enginePages[resultID] = pages
	ts.handle(Reserve{ID: resultID, Secret: secret(number), Tenant: uint64(number%2 + 1), Class: 1, Durable: durable})
	return resultID
}

// deliverPage delivers a page if the result is being filled and the page was requested.
func (ts *testStore) deliverPage(resultID ID, index int) {
	if ts.states[resultID] == "granted" && index < ts.requested[resultID] {
		ts.handle(PageArrived{ID: resultID, Index: index, PageCount: len(ts.enginePages[resultID]), Data: ts.enginePages[resultID][index]})
	}
}

// deliverAllPages delivers all pages and runs all disk effects after each.
func (ts *testStore) deliverAllPages(resultID ID) {
	for index := range ts.enginePages[resultID] {
		ts.deliverPage(resultID, index)
		ts.runDisk()
	}
}

func (ts *testStore) attach(reader ReaderID, resultID ID, number int, from int) {
	ts.readers[reader] = &testReader{id: resultID, next: from, waiting: true}
	ts.handle(Attach{Reader: reader, ID: resultID, Secret: secret(number), Tenant: uint64(number%2 + 1), Index: from})
}

// readAll reads to the last chunk and returns all bytes, or nil if the read was denied or aborted.
func (ts *testStore) readAll(reader ReaderID) []byte {
	for {
		ts.runDisk()
		r := ts.readers[reader]
		if r == nil {
			return nil
		}
		if r.waiting {
			ts.t.Fatalf("reader %d waits for chunk %d of a result in state %s", reader, r.next, ts.states[r.id])
		}
		r.next++
		r.waiting = true
		last, got := r.isLast, r.received
		ts.handle(NextChunk{Reader: reader, Index: r.next})
		if last {
			delete(ts.readers, reader)
			return got
		}
	}
}
