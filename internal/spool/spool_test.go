package spool

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"foxlane/internal/rapidtest"
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

func TestMain(m *testing.M) {
	rapidtest.FixSeed()
	os.Exit(m.Run())
}

func budget() Budget {
	return Budget{DiskBytes: 40_000, MemoryBytes: 8_000, MaxResultBytes: 20_000, MaxTenantBytes: 30_000, MaxResults: 8, DiskThreshold: 1_500, ChunkBytes: 500,
		MaxUnwritten: 2_000, FetchWindow: 3, MaxLoads: 4, MaxPages: 200, LeaseTime: 10 * rules.Second}
}

func TestResultsAreReadUnchanged(t *testing.T) {
	for _, c := range []struct {
		name    string
		pages   int
		durable bool
	}{{"in memory", 2, false}, {"over the threshold", 30, false}, {"durable", 2, true}, {"durable and large", 30, true}} {
		ts := newTestStore(t, budget())
		resultID := ts.reserve(1, c.pages, 300, c.durable)
		ts.deliverAllPages(resultID)
		if ts.states[resultID] != "completed" {
			t.Fatalf("%s: %s", c.name, ts.states[resultID])
		}
		ts.attach(1, resultID, 1, 0)
		if got := ts.readAll(1); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
			t.Errorf("%s: read %d bytes that differ from the pages", c.name, len(got))
		}
		if len(ts.store.results) != 0 || ts.store.diskBytes != 0 || ts.store.memoryBytes != 0 || len(ts.store.tenantBytes) != 0 {
			t.Errorf("%s: state left after the last read: %+v", c.name, ts.store.Stats())
		}
	}
}

// Pages that arrive out of order and more than once produce the same result.
func TestPagesInAnyOrder(t *testing.T) {
	b := budget()
	b.FetchWindow = 30
	ts := newTestStore(t, b)
	resultID := ts.reserve(1, 20, 300, true)
	ts.deliverPage(resultID, 0)
	for _, n := range rand.New(rand.NewPCG(1, 1)).Perm(19) {
		ts.deliverPage(resultID, n+1)
		ts.deliverPage(resultID, n+1)
		ts.runDisk()
	}
	ts.attach(1, resultID, 1, 0)
	if got := ts.readAll(1); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
		t.Errorf("state %s, read %d bytes that differ from the pages", ts.states[resultID], len(got))
	}
}

func TestFullStoreRejectsBeforeExecution(t *testing.T) {
	ts := newTestStore(t, budget())
	for n := range 2 { // each tenant's quota of 30,000 bytes holds one result of 20,000 and half of another
		resultID := ts.reserve(n, 60, 300, true)
		ts.deliverAllPages(resultID)
		if ts.states[resultID] != "completed" {
			t.Fatal(ts.states[resultID])
		}
	}
	resultID := ts.reserve(3, 1, 300, true)
	if ts.states[resultID] != "rejected" || ts.retryAfter[resultID] <= 0 || ts.retryAfter[resultID] > 10*rules.Second {
		t.Errorf("state %s, reason %v, retry after %d ms", ts.states[resultID], ts.reasons[resultID], ts.retryAfter[resultID]/rules.Millisecond)
	}
	ts.now += 11 * rules.Second // the leases have expired, so the results may be evicted
	if len(ts.store.results) != 2 {
		t.Error("a result was removed although no capacity was needed")
	}
	resultID = ts.reserve(4, 1, 300, true)
	if ts.states[resultID] != "granted" || len(ts.store.results) >= 3 {
		t.Errorf("state %s, reason %v, %d results stored", ts.states[resultID], ts.reasons[resultID], len(ts.store.results))
	}
}

// A reservation that is too small grows. If it can't grow, the result fails with a reason and is never delivered.
func TestReservationGrowsOrFails(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 60, 300, true)
	ts.deliverAllPages(resultID)
	if ts.states[resultID] != "completed" {
		t.Errorf("growing reservation: state %s, reason %v", ts.states[resultID], ts.reasons[resultID])
	}
	resultID = ts.reserve(2, 100, 300, true) // larger than MaxResultBytes
	ts.attach(1, resultID, 2, 0)
	ts.deliverAllPages(resultID)
	if ts.states[resultID] != "failed" || ts.reasons[resultID] != ReasonTooLarge || len(ts.aborted) != 1 {
		t.Errorf("too large: state %s, reason %v, aborted readers %v", ts.states[resultID], ts.reasons[resultID], ts.aborted)
	}
}

// Pages are requested only as fast as the disk writes them, so that memory stays bounded.
func TestSlowDiskDelaysPageRequests(t *testing.T) {
	b := budget()
	b.MaxResultBytes, b.MaxTenantBytes, b.DiskBytes = 1_000_000, 1_000_000, 1_000_000
	ts := newTestStore(t, b)
	resultID := ts.reserve(1, 200, 300, true)
	maxMemory := int64(0)
	for n := 0; n < 200; {
		for n < ts.requested[resultID] && n < 200 {
			ts.deliverPage(resultID, n)
			n++
			maxMemory = max(maxMemory, ts.store.memoryBytes)
		}
		if len(ts.diskQueue) == 0 && n < 200 {
			t.Fatalf("neither a page nor a write is pending at page %d", n)
		}
		if len(ts.diskQueue) > 0 {
			ts.runDiskEffect(0)
		}
	}
	ts.runDisk()
	if ts.states[resultID] != "completed" || maxMemory > b.MaxUnwritten+int64(b.ChunkBytes*4) {
		t.Errorf("state %s, up to %d bytes in memory", ts.states[resultID], maxMemory)
	}
}

func TestAttachAuthorization(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 4, 300, true)
	ts.deliverAllPages(resultID)
	expectDenied := func(what string, e Attach) {
		ts.denied = nil
		e.Reader = 9
		ts.handle(e)
		if len(ts.denied) != 1 || len(ts.store.readers) != 0 {
			t.Errorf("%s: not denied", what)
		}
	}
	expectDenied("unknown ID", Attach{ID: id(2), Secret: secret(1), Tenant: 2})
	expectDenied("wrong secret", Attach{ID: resultID, Secret: secret(2), Tenant: 2})
	expectDenied("other tenant", Attach{ID: resultID, Secret: secret(1), Tenant: 1})
	expectDenied("tenant that differs above bit 32", Attach{ID: resultID, Secret: secret(1), Tenant: 2 | 1<<40})
	expectDenied("beyond the end", Attach{ID: resultID, Secret: secret(1), Tenant: 2, Index: 4})
	expectDenied("before the start", Attach{ID: resultID, Secret: secret(1), Tenant: 2, Index: -1})
	ts.attach(1, resultID, 1, 0)
	ts.attach(2, resultID, 1, 1) // two readers at once, each with its own start
	ts.runDisk()
	if len(ts.readers) != 2 || len(ts.readers[1].received) == 0 || len(ts.readers[2].received) == 0 {
		t.Error("two readers at once did not both receive a chunk")
	}
	ts.handle(Detach{Reader: 1})
	delete(ts.readers, 1)
	ts.now += 100 * rules.Second // the lease has expired
	ts.handle(Detach{Reader: 2})
	delete(ts.readers, 2)
	ts.now += 100 * rules.Second
	ts.handle(TimerFired{})
	expectDenied("expired", Attach{ID: resultID, Secret: secret(1), Tenant: 2})
	if len(ts.store.results) != 0 {
		t.Error("an expired result was not removed")
	}
}

// A reader that attaches before the result is complete waits, and then reads from the chunk that it requested.
func TestAttachBeforeCompletion(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverPage(resultID, 0)
	ts.attach(1, resultID, 1, 0)
	ts.attach(2, resultID, 1, 50) // beyond the last chunk
	ts.runDisk()
	if len(ts.readers[1].received) != 0 {
		t.Error("a chunk of an incomplete result was delivered")
	}
	ts.deliverAllPages(resultID)
	if got := ts.readAll(1); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
		t.Errorf("read %d bytes that differ from the pages", len(got))
	}
	if ts.readers[2] != nil || len(ts.denied) != 1 {
		t.Error("a reader beyond the last chunk was not denied")
	}
}

// The lease of a result does not expire while a slow reader reads it.
func TestSlowReaderKeepsItsLease(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverAllPages(resultID)
	ts.attach(1, resultID, 1, 0)
	for range 20 {
		ts.now += 9 * rules.Second
		ts.handle(TimerFired{})
	}
	if got := ts.readAll(1); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
		t.Errorf("a slow reader read %d bytes that differ from the pages", len(got))
	}
}

func TestDiskFailures(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverPage(resultID, 0)
	ts.deliverPage(resultID, 1)
	ts.diskFails = true
	ts.runDisk()
	if ts.states[resultID] != "failed" || ts.reasons[resultID] != ReasonDiskFailed {
		t.Errorf("after a failed write: state %s, reason %v", ts.states[resultID], ts.reasons[resultID])
	}
	ts.diskFails = false
	resultID = ts.reserve(2, 10, 300, true)
	for n := range 10 {
		ts.deliverPage(resultID, n)
		for len(ts.diskQueue) > 0 && !isSeal(ts.diskQueue[0]) {
			ts.runDiskEffect(0)
		}
	}
	ts.diskQueue = nil
	ts.handle(ResultSynced{ID: resultID, Failed: true}) // the contents on the disk are unknown
	if ts.states[resultID] != "failed" {
		t.Errorf("after a failed sync: state %s", ts.states[resultID])
	}
	resultID = ts.reserve(3, 10, 300, true)
	ts.diskQueue = nil
	ts.deliverAllPages(resultID)
	ts.attach(1, resultID, 3, 0)
	ts.diskCorrupts = true
	ts.runDisk()
	if len(ts.aborted) != 1 || len(ts.store.results) != 0 {
		t.Errorf("after a corrupt read: aborted readers %v, %d results stored", ts.aborted, len(ts.store.results))
	}
	ts.diskCorrupts = false
	durableID, memoryID := ts.reserve(4, 10, 300, true), ts.reserve(5, 2, 300, false)
	ts.diskQueue = nil
	ts.deliverAllPages(durableID)
	ts.deliverAllPages(memoryID)
	ts.handle(DiskLost{})
	if len(ts.store.results) != 1 || ts.store.results[memoryID] == nil {
		t.Error("DiskLost must remove exactly the results that are stored on the disk")
	}
	if resultID := ts.reserve(6, 1, 100, true); ts.states[resultID] != "rejected" || ts.reasons[resultID] != ReasonDiskFailed {
		t.Errorf("without a disk: state %s, reason %v", ts.states[resultID], ts.reasons[resultID])
	}
	ts.handle(DiskRestored{})
	if resultID := ts.reserve(7, 1, 100, true); ts.states[resultID] != "granted" {
		t.Errorf("after the disk was restored: state %s", ts.states[resultID])
	}
}

func TestEstimatesFollowClassAndShape(t *testing.T) {
	estimator := newSizeEstimator(budget(), 3)
	if n := estimator.estimate(1, 5); n != 500 {
		t.Errorf("estimate without observations: %d", n)
	}
	for i := range 40 {
		estimator.observe(1, 5, 100)
		estimator.observe(1, 6, 10_000)
		estimator.observe(2, uint64(1000+i), 50)
	}
	if n := estimator.estimate(1, 5); n < 100 || n > 150 {
		t.Errorf("estimate for a shape of 100 bytes: %d", n)
	}
	if n := estimator.estimate(1, 6); n < 10_000 || n > 11_000 {
		t.Errorf("estimate for a shape of 10,000 bytes: %d", n)
	}
	if n := estimator.estimate(1, 99); n < 10_000 {
		t.Errorf("estimate for an unknown shape of the same class: %d", n)
	}
	for i := range 100_000 {
		estimator.observe(3, uint64(i+1), 1)
	}
	if len(estimator.shapes) != shapeSlots {
		t.Error("the table of shapes has grown")
	}
}

func TestRecoveredResults(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverAllPages(resultID)
	var locations []Location
	for _, c := range ts.store.results[resultID].chunks {
		locations = append(locations, c.location)
	}
	restarted := newTestStore(t, budget())
	restarted.disk, restarted.enginePages, restarted.states = ts.disk, ts.enginePages, map[ID]string{resultID: "completed"}
	restarted.now = ts.now + 5*rules.Second
	restarted.handle(ResultRecovered{ID: resultID, Secret: secret(1), Tenant: 2, LeaseEnd: ts.now + 10*rules.Second, Locations: locations})
	// The lease of this result expired more than one lease time ago, so it is not recovered.
	restarted.handle(ResultRecovered{ID: id(2), Secret: secret(2), Tenant: 2, LeaseEnd: restarted.now - 11*rules.Second, Locations: locations})
	restarted.attach(1, resultID, 1, 0)
	if got := restarted.readAll(1); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
		t.Errorf("read %d bytes after a restart that differ from the pages", len(got))
	}
	if len(restarted.store.results) != 0 || restarted.store.diskBytes != 0 {
		t.Errorf("state left after the last read: %+v", restarted.store.Stats())
	}
}

// Random operations, disk faults and clock steps, checked against a model of plain maps: readers receive exactly the
// engine's bytes, no incomplete result is delivered, all limits hold, and no state is left at the end.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ts := newTestStore(rt, budget())
		n, readers := 0, ReaderID(0)
		var ids []int
		pick := func(what string) (int, ID) {
			number := rapid.SampledFrom(ids).Draw(rt, what)
			return number, id(number)
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 13).Draw(rt, "op"); {
			case op <= 1 || len(ids) == 0:
				n++
				ts.reserve(n, rapid.IntRange(1, 50).Draw(rt, "pages"), rapid.IntRange(1, 600).Draw(rt, "size"), rapid.Bool().Draw(rt, "durable"))
				ids = append(ids, n)
			case op <= 5:
				_, resultID := pick("filled")
				for p := range ts.enginePages[resultID] {
					ts.deliverPage(resultID, p)
				}
			case op == 6:
				_, resultID := pick("failed attempt")
				ts.handle(AttemptFailed{ID: resultID})
				if ts.states[resultID] == "granted" {
					rt.Fatal("a result is still being filled after its attempt failed")
				}
			case op <= 8:
				number, resultID := pick("read")
				readers++
				ts.attach(readers, resultID, number, rapid.IntRange(0, 3).Draw(rt, "from"))
			case op == 9:
				for reader := range readers + 1 {
					if r := ts.readers[reader]; r != nil && !r.waiting && !r.isLast {
						r.next++
						r.waiting = true
						ts.handle(NextChunk{Reader: reader, Index: r.next})
					}
				}
			case op == 10 && readers > 0:
				number := ReaderID(rapid.IntRange(1, int(readers)).Draw(rt, "detached"))
				delete(ts.readers, number)
				ts.handle(Detach{Reader: number})
			case op == 11:
				ts.diskFails = rapid.IntRange(0, 4).Draw(rt, "fails") == 0
			case op == 12:
				ts.now += rules.Time(rapid.IntRange(0, 15).Draw(rt, "s")) * rules.Second
				ts.handle(TimerFired{})
			default:
				for i := 0; i < 10 && len(ts.diskQueue) > 0; i++ {
					ts.runDiskEffect(0)
				}
			}
		}
		ts.diskFails = false
		ts.runDisk()
		for reader := range readers + 1 {
			r := ts.readers[reader]
			if r == nil || ts.states[r.id] != "completed" {
				continue
			}
			receivedBefore := len(r.received)
			got := ts.readAll(reader)
			want := bytes.Join(ts.enginePages[r.id], nil)
			if got == nil && receivedBefore == 0 {
				continue // the read was aborted in the meantime
			}
			if !bytes.HasSuffix(want, got) {
				rt.Fatalf("reader %d received bytes that differ from the engine's pages", reader)
			}
		}
		for _, number := range ids {
			ts.handle(AttemptFailed{ID: id(number)})
			ts.handle(Release{ID: id(number)})
		}
		ts.runDisk()
		if s := ts.store; len(s.results) != 0 || len(s.readers) != 0 || s.diskBytes != 0 || s.memoryBytes != 0 || s.unwrittenBytes != 0 || len(s.tenantBytes) != 0 || len(s.leases) != 0 {
			rt.Fatal(fmt.Sprintf("state left at the end: %+v, %d bytes unwritten", s.Stats(), s.unwrittenBytes))
		}
	})
}

// A read that fails, or that the full queue of the disk rejects, aborts only that reader. The result can be read once
// the disk works again.
func TestTransientReadFailure(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverAllPages(resultID)
	ts.attach(1, resultID, 1, 0)
	ts.diskFails = true
	ts.runDisk()
	if len(ts.aborted) != 1 {
		t.Fatalf("aborted readers %v", ts.aborted)
	}
	ts.diskFails = false
	ts.attach(2, resultID, 1, 0)
	if got := ts.readAll(2); !bytes.Equal(got, bytes.Join(ts.enginePages[resultID], nil)) {
		t.Errorf("read %d bytes after the disk worked again that differ from the pages; denied readers %v", len(got), ts.denied)
	}
}

// Guards against a process that passes its memory limit because many readers have a chunk loaded at once: a few chunks are loaded at
// a time, the other readers have their turn in order, and one that leaves makes room for the next.
func TestLoadsAreBoundedAndInOrder(t *testing.T) {
	b := budget()
	b.MaxLoads = 2
	ts := newTestStore(t, b)
	resultID := ts.reserve(1, 30, 300, true)
	ts.deliverAllPages(resultID)
	loading := func() (readers []ReaderID) {
		for _, effect := range ts.diskQueue {
			readers = append(readers, effect.(LoadChunk).Reader)
		}
		return readers
	}
	for reader := ReaderID(1); reader <= 6; reader++ {
		ts.attach(reader, resultID, 1, 0)
	}
	if got := loading(); !slices.Equal(got, []ReaderID{1, 2}) {
		t.Fatalf("chunks are loaded for %v", got)
	}
	ts.handle(Detach{Reader: 1}) // its chunk is still being loaded
	ts.handle(Detach{Reader: 3})
	if got := loading(); !slices.Equal(got, []ReaderID{1, 2}) {
		t.Errorf("after two readers left, chunks are loaded for %v", got)
	}
	ts.runDiskEffect(0)
	if got := loading(); !slices.Equal(got, []ReaderID{2, 4}) {
		t.Errorf("after the first load, chunks are loaded for %v", got)
	}
	ts.runDisk()
	for _, reader := range []ReaderID{2, 4, 5, 6} {
		if got := ts.readers[reader].received; len(got) == 0 {
			t.Errorf("reader %d has got nothing", reader)
		}
	}
}

// Guards against results that a kill loses although they were read just now: the disk's lease ends no earlier than the result's.
// It is written at a bounded rate, and again if the disk does not take it, which harms the result no further.
func TestRenewedLeaseReachesDisk(t *testing.T) {
	ts := newTestStore(t, budget())
	resultID := ts.reserve(1, 10, 300, true)
	ts.deliverAllPages(resultID)
	reader := ReaderID(0)
	read := func() {
		reader++
		ts.attach(reader, resultID, 1, 0)
		ts.runDisk()
		ts.handle(Detach{Reader: reader})
	}
	for range 20 { // a lease of 10 s, read every 6 s
		ts.now += 6 * rules.Second
		read()
	}
	if restartLater(ts, resultID, 9*rules.Second) == nil {
		t.Error("a result that was read 9 s ago is lost by a kill")
	}
	ts.now += 9 * rules.Second
	ts.diskFails = true
	read()
	if ts.states[resultID] != "completed" || ts.store.results[resultID] == nil {
		t.Fatal("a result is lost since its lease could not be written")
	}
	ts.diskFails = false
	ts.now += 100 * rules.Millisecond
	ts.handle(TimerFired{})
	ts.runDisk()
	if restartLater(ts, resultID, 9*rules.Second) == nil {
		t.Error("the lease was not written again after the disk had failed")
	}
	ts.handle(SegmentTailLost{Segment: 1, Offset: ts.diskEnd})
	ts.diskLeases[resultID] = 0
	ts.now += 100 * rules.Millisecond
	ts.handle(TimerFired{})
	if ts.diskLeases[resultID] == 0 {
		t.Error("the lease was not written again after the disk had lost its last records")
	}
}

// restartLater returns the result of a Store that is started with the disk's records a while later, after a kill.
func restartLater(ts *testStore, resultID ID, later rules.Time) *result {
	r := ts.store.results[resultID]
	var locations []Location
	for _, c := range r.chunks {
		locations = append(locations, c.location)
	}
	restarted := newTestStore(ts.t, ts.store.budget)
	restarted.now = ts.now + later
	restarted.handle(ResultRecovered{ID: resultID, Secret: r.secret, Tenant: r.tenant, LeaseEnd: ts.diskLeases[resultID], Locations: locations})
	if recovered := restarted.store.results[resultID]; recovered != nil && recovered.leaseEnd > restarted.now {
		return recovered
	}
	return nil
}

// Guards against a disk that renewed leases keep busy: 1,000 results that are read all the time.
func TestLeaseWritesOfManyResults(t *testing.T) {
	const results, leaseTime = 1000, 10 * 60 * rules.Second
	b := budget()
	b.MaxResults, b.DiskBytes, b.MaxTenantBytes, b.LeaseTime = results, 1<<20, 1<<20, leaseTime
	b.ChunkBytes, b.DiskThreshold = 10, 0
	ts := newTestStore(t, b)
	for n := range results {
		ts.deliverAllPages(ts.reserve(n, 1, 10, true))
	}
	records := 0
	reader, began := ReaderID(0), ts.now
	for ts.now < began+2*leaseTime {
		ts.now += 50 * rules.Second
		for n := range results {
			reader++
			ts.handle(Attach{Reader: reader, ID: id(n), Secret: secret(n), Tenant: uint64(n%2 + 1)})
			ts.handle(Detach{Reader: reader})
			for _, effect := range ts.diskQueue {
				if write, ok := effect.(WriteRecord); ok && write.Record == segment.Lease {
					records++
				}
			}
			ts.runDisk()
		}
		for range results / 100 {
			ts.now += 100 * rules.Millisecond
			ts.handle(TimerFired{})
		}
	}
	seconds := int((ts.now - began) / rules.Second)
	t.Logf("%d leases in %d s", records, seconds)
	if records > 10*seconds {
		t.Errorf("%d leases were written in %d s", records, seconds)
	}
}

// Guards against a restart that drops results whose lease runs, since the budget is smaller now: it keeps them and stores nothing
// new until the rest fits. Expired ones make room, whatever the order in which results are found.
func TestRecoveryUnderSmallerBudget(t *testing.T) {
	for name, reduce := range map[string]func(*Budget){
		"bytes":   func(b *Budget) { b.DiskBytes, b.MaxResultBytes, b.MaxTenantBytes = 6_000, 6_000, 6_000 },
		"results": func(b *Budget) { b.MaxResults = 2 },
	} {
		b := budget()
		reduce(&b)
		restarted := newTestStore(t, b)
		restarted.now = 100 * rules.Second
		for n, lease := range []rules.Time{-2, 5, -1, 6, 7, -3} { // seconds from now
			restarted.handle(ResultRecovered{ID: id(n), Secret: secret(n), Tenant: 1, LeaseEnd: restarted.now + lease*rules.Second,
				Locations: []Location{{Segment: 1, Offset: int64(n), Size: int32(segment.RecordSize(2_500))}}})
		}
		for n, want := range []bool{false, true, false, true, true, false} {
			if got := restarted.store.results[id(n)] != nil; got != want {
				t.Errorf("%s: result %d is stored: %v, want %v", name, n, got, want)
			}
		}
		if restarted.reserve(10, 1, 10, false); restarted.states[id(10)] != "rejected" || !restarted.store.OverBudget() {
			t.Errorf("%s: a query is %s over the budget", name, restarted.states[id(10)])
		}
		restarted.now += 6 * rules.Second // two leases have expired
		restarted.handle(TimerFired{})
		if restarted.reserve(11, 1, 10, false); restarted.states[id(11)] != "granted" || restarted.store.OverBudget() {
			t.Errorf("%s: a query is %s once leases have expired", name, restarted.states[id(11)])
		}
	}
}

// Guards against a result that fails, or takes the place of another, since it needs more than was reserved for it while as many
// results are stored as there may be: it is one of them.
func TestResultGrowsWhileStoreHasAllResults(t *testing.T) {
	b := budget()
	b.MaxResults = 2
	ts := newTestStore(t, b)
	other := ts.reserve(1, 1, 100, true)
	ts.deliverAllPages(other)
	ts.now += b.LeaseTime + rules.Second // its lease has expired
	growing := ts.reserve(2, 40, 300, true)
	ts.deliverAllPages(growing)
	if ts.states[growing] != "completed" || ts.store.results[other] == nil {
		t.Errorf("the result is %s (%v), the other is stored: %v", ts.states[growing], ts.reasons[growing], ts.store.results[other] != nil)
	}
}
