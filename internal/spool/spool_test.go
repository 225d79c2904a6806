package spool

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"foxlane/internal/rapidtest"
	"foxlane/rules"
)

func TestMain(m *testing.M) {
	rapidtest.FixSeed()
	os.Exit(m.Run())
}

func budget() Budget {
	return Budget{DiskBytes: 40_000, MemoryBytes: 8_000, MaxResultBytes: 20_000, MaxTenantBytes: 30_000, MaxResults: 8, DiskThreshold: 1_500, ChunkBytes: 500,
		MaxUnwritten: 2_000, FetchWindow: 3, MaxPages: 200, LeaseTime: 10 * rules.Second}
}

func TestResultsAreReadAsTheyCame(t *testing.T) {
	for _, c := range []struct {
		name    string
		pages   int
		lasting bool
	}{{"in memory", 2, false}, {"over the threshold", 30, false}, {"lasting", 2, true}, {"lasting and large", 30, true}} {
		w := newTestStore(t, budget())
		k := w.reserve(1, c.pages, 300, c.lasting)
		w.deliverAllPages(k)
		if w.state[k] != "whole" {
			t.Fatalf("%s: %s", c.name, w.state[k])
		}
		w.attach(1, k, 1, 0)
		if got := w.readAll(1); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
			t.Errorf("%s: %d bytes came back", c.name, len(got))
		}
		if len(w.s.results) != 0 || w.s.diskBytes != 0 || w.s.memoryBytes != 0 || len(w.s.tenantBytes) != 0 {
			t.Errorf("%s: left behind %+v", c.name, w.s.Stats())
		}
	}
}

// Pages that arrive in any order, and twice, give the same result.
func TestPagesInAnyOrder(t *testing.T) {
	b := budget()
	b.FetchWindow = 30
	w := newTestStore(t, b)
	k := w.reserve(1, 20, 300, true)
	w.deliverPage(k, 0)
	for _, n := range rand.New(rand.NewPCG(1, 1)).Perm(19) {
		w.deliverPage(k, n+1)
		w.deliverPage(k, n+1)
		w.runDisk()
	}
	w.attach(1, k, 1, 0)
	if got := w.readAll(1); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
		t.Errorf("%s, %d bytes came back", w.state[k], len(got))
	}
}

func TestFullStoreRejectsBeforeExecution(t *testing.T) {
	w := newTestStore(t, budget())
	for n := range 2 { // each tenant's quota holds one of 20,000 and half of another
		k := w.reserve(n, 60, 300, true)
		w.deliverAllPages(k)
		if w.state[k] != "whole" {
			t.Fatal(w.state[k])
		}
	}
	k := w.reserve(3, 1, 300, true)
	if w.state[k] != "refused" || w.retryAfter[k] <= 0 || w.retryAfter[k] > 10*rules.Second {
		t.Errorf("%s for %v, after %d ms", w.state[k], w.reason[k], w.retryAfter[k]/rules.Millisecond)
	}
	w.now += 11 * rules.Second // the leases expire: from now on the results may be evicted
	if len(w.s.results) != 2 {
		t.Error("dropped although nobody needed the room")
	}
	k = w.reserve(4, 1, 300, true)
	if w.state[k] != "granted" || len(w.s.results) >= 3 {
		t.Errorf("%s for %v, %d results are kept", w.state[k], w.reason[k], len(w.s.results))
	}
}

// A reservation that is too small grows; if it can't, the result fails with a reason and is never offered.
func TestReservationGrowsOrEnds(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 60, 300, true)
	w.deliverAllPages(k)
	if w.state[k] != "whole" {
		t.Errorf("one that grows is %s (%v)", w.state[k], w.reason[k])
	}
	k = w.reserve(2, 100, 300, true) // over what a result may be
	w.attach(1, k, 2, 0)
	w.deliverAllPages(k)
	if w.state[k] != "failed" || w.reason[k] != ReasonTooLarge || len(w.aborted) != 1 {
		t.Errorf("too large: %s for %v, readers cut %v", w.state[k], w.reason[k], w.aborted)
	}
}

// Pages are requested only as fast as the disk writes them, so that memory stays bounded.
func TestSlowDiskMakesTheEngineWait(t *testing.T) {
	b := budget()
	b.MaxResultBytes, b.MaxTenantBytes, b.DiskBytes = 1_000_000, 1_000_000, 1_000_000
	w := newTestStore(t, b)
	k := w.reserve(1, 200, 300, true)
	most := int64(0)
	for n := 0; n < 200; {
		for n < w.requested[k] && n < 200 {
			w.deliverPage(k, n)
			n++
			most = max(most, w.s.memoryBytes)
		}
		if len(w.diskQueue) == 0 && n < 200 {
			t.Fatalf("nothing to do at page %d", n)
		}
		if len(w.diskQueue) > 0 {
			w.runDiskEffect(0)
		}
	}
	w.runDisk()
	if w.state[k] != "whole" || most > b.MaxUnwritten+int64(b.ChunkBytes*4) {
		t.Errorf("%s, up to %d bytes in memory", w.state[k], most)
	}
}

func TestHandles(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 4, 300, true)
	w.deliverAllPages(k)
	deny := func(what string, e Attach) {
		w.denied = nil
		e.Reader = 9
		w.handle(e)
		if len(w.denied) != 1 || len(w.s.readers) != 0 {
			t.Errorf("%s: not denied", what)
		}
	}
	deny("unknown", Attach{ID: id(2), Secret: secret(1), Tenant: 2})
	deny("wrong secret", Attach{ID: k, Secret: secret(2), Tenant: 2})
	deny("foreign tenant", Attach{ID: k, Secret: secret(1), Tenant: 1})
	deny("tenant that differs above 32 bits", Attach{ID: k, Secret: secret(1), Tenant: 2 | 1<<40})
	deny("beyond the end", Attach{ID: k, Secret: secret(1), Tenant: 2, Index: 4})
	deny("before the start", Attach{ID: k, Secret: secret(1), Tenant: 2, Index: -1})
	w.attach(1, k, 1, 0)
	w.attach(2, k, 1, 1) // two at once, each from where it likes
	w.runDisk()
	if len(w.readers) != 2 || len(w.readers[1].got) == 0 || len(w.readers[2].got) == 0 {
		t.Error("two readers at once")
	}
	w.handle(Detach{Reader: 1})
	delete(w.readers, 1)
	w.now += 100 * rules.Second // expired
	w.handle(Detach{Reader: 2})
	delete(w.readers, 2)
	w.now += 100 * rules.Second
	w.handle(TimerFired{})
	deny("expired", Attach{ID: k, Secret: secret(1), Tenant: 2})
	if len(w.s.results) != 0 {
		t.Error("an expired result is kept")
	}
}

// A reader that attaches before the result is complete waits, and gets it from the chunk that it asked for.
func TestAttachBeforeCompletion(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 10, 300, true)
	w.deliverPage(k, 0)
	w.attach(1, k, 1, 0)
	w.attach(2, k, 1, 50) // beyond what will be
	w.runDisk()
	if len(w.readers[1].got) != 0 {
		t.Error("a partial result was offered")
	}
	w.deliverAllPages(k)
	if got := w.readAll(1); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
		t.Errorf("%d bytes came", len(got))
	}
	if w.readers[2] != nil || len(w.denied) != 1 {
		t.Error("a reader beyond the end waits for ever")
	}
}

// The lease of a result does not expire while a slow reader reads it.
func TestSlowReaderKeepsItsLease(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 10, 300, true)
	w.deliverAllPages(k)
	w.attach(1, k, 1, 0)
	for range 20 {
		w.now += 9 * rules.Second
		w.handle(TimerFired{})
	}
	if got := w.readAll(1); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
		t.Errorf("%d bytes came to a slow reader", len(got))
	}
}

func TestDiskFailures(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 10, 300, true)
	w.deliverPage(k, 0)
	w.deliverPage(k, 1)
	w.diskFails = true
	w.runDisk()
	if w.state[k] != "failed" || w.reason[k] != ReasonDiskFailed {
		t.Errorf("after a failed write: %s for %v", w.state[k], w.reason[k])
	}
	w.diskFails = false
	k = w.reserve(2, 10, 300, true)
	for n := range 10 {
		w.deliverPage(k, n)
		for len(w.diskQueue) > 0 && !isSeal(w.diskQueue[0]) {
			w.runDiskEffect(0)
		}
	}
	w.diskQueue = nil
	w.handle(ResultSynced{ID: k, Failed: true}) // what it holds is unknown
	if w.state[k] != "failed" {
		t.Errorf("after a failed sync: %s", w.state[k])
	}
	k = w.reserve(3, 10, 300, true)
	w.diskQueue = nil
	w.deliverAllPages(k)
	w.attach(1, k, 3, 0)
	w.diskCorrupts = true
	w.runDisk()
	if len(w.aborted) != 1 || len(w.s.results) != 0 {
		t.Errorf("after a failed read: cut %v, %d results", w.aborted, len(w.s.results))
	}
	w.diskCorrupts = false
	a, b := w.reserve(4, 10, 300, true), w.reserve(5, 2, 300, false)
	w.diskQueue = nil
	w.deliverAllPages(a)
	w.deliverAllPages(b)
	w.handle(DiskLost{})
	if len(w.s.results) != 1 || w.s.results[b] == nil {
		t.Error("what lies in memory alone is lost with the disk, or what lay there is kept")
	}
	if k := w.reserve(6, 1, 100, true); w.state[k] != "refused" || w.reason[k] != ReasonDiskFailed {
		t.Errorf("without a disk: %s for %v", w.state[k], w.reason[k])
	}
	w.handle(DiskRestored{})
	if k := w.reserve(7, 1, 100, true); w.state[k] != "granted" {
		t.Errorf("with the disk back: %s", w.state[k])
	}
}

func TestEstimatesFollowClassAndShape(t *testing.T) {
	z := newSizeEstimator(budget(), 3)
	if n := z.estimate(1, 5); n != 500 {
		t.Errorf("nothing known: %d", n)
	}
	for i := range 40 {
		z.observe(1, 5, 100)
		z.observe(1, 6, 10_000)
		z.observe(2, uint64(1000+i), 50)
	}
	if n := z.estimate(1, 5); n < 100 || n > 150 {
		t.Errorf("a shape of 100 bytes: %d", n)
	}
	if n := z.estimate(1, 6); n < 10_000 || n > 11_000 {
		t.Errorf("a shape of 10,000 bytes: %d", n)
	}
	if n := z.estimate(1, 99); n < 10_000 {
		t.Errorf("an unknown shape of a class of both: %d", n)
	}
	for i := range 100_000 {
		z.observe(3, uint64(i+1), 1)
	}
	if len(z.shapes) != shapeSlots {
		t.Error("grown")
	}
}

func TestRecoveredResults(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 10, 300, true)
	w.deliverAllPages(k)
	var places []Location
	for _, c := range w.s.results[k].chunks {
		places = append(places, c.location)
	}
	n := newTestStore(t, budget())
	n.disk, n.pages, n.state = w.disk, w.pages, map[ID]string{k: "whole"}
	n.now = w.now + 5*rules.Second
	n.handle(ResultRecovered{ID: k, Secret: secret(1), Tenant: 2, LeaseEnd: w.now + 10*rules.Second, Locations: places})
	n.handle(ResultRecovered{ID: id(2), Secret: secret(2), Tenant: 2, LeaseEnd: n.now - 11*rules.Second, Locations: places}) // long over
	n.attach(1, k, 1, 0)
	if got := n.readAll(1); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
		t.Errorf("%d bytes came after a restart", len(got))
	}
	if len(n.s.results) != 0 || n.s.diskBytes != 0 {
		t.Errorf("left: %+v", n.s.Stats())
	}
}

// Random operations, faults and clocks against plain maps: readers get the bytes of the engine, nothing incomplete is
// offered, all bounds hold, and no state is left at the end.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestStore(rt, budget())
		n, readers := 0, 0
		var ids []int
		pick := func(what string) (int, ID) {
			i := rapid.SampledFrom(ids).Draw(rt, what)
			return i, id(i)
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 13).Draw(rt, "op"); {
			case op <= 1 || len(ids) == 0:
				n++
				w.reserve(n, rapid.IntRange(1, 50).Draw(rt, "pages"), rapid.IntRange(1, 600).Draw(rt, "size"), rapid.Bool().Draw(rt, "lasting"))
				ids = append(ids, n)
			case op <= 5:
				_, k := pick("fills")
				for p := range w.pages[k] {
					w.deliverPage(k, p)
				}
			case op == 6:
				_, k := pick("breaks")
				w.handle(AttemptFailed{ID: k})
				if w.state[k] == "granted" {
					rt.Fatal("still on after it broke")
				}
			case op <= 8:
				i, k := pick("read")
				readers++
				w.attach(readers, k, i, rapid.IntRange(0, 3).Draw(rt, "from"))
			case op == 9:
				for reader := range readers + 1 {
					if r := w.readers[reader]; r != nil && !r.waiting && !r.last {
						r.next++
						r.waiting = true
						w.handle(NextChunk{Reader: reader, Index: r.next})
					}
				}
			case op == 10 && readers > 0:
				r := rapid.IntRange(1, readers).Draw(rt, "leaves")
				delete(w.readers, r)
				w.handle(Detach{Reader: r})
			case op == 11:
				w.diskFails = rapid.IntRange(0, 4).Draw(rt, "fails") == 0
			case op == 12:
				w.now += rules.Time(rapid.IntRange(0, 15).Draw(rt, "s")) * rules.Second
				w.handle(TimerFired{})
			default:
				for i := 0; i < 10 && len(w.diskQueue) > 0; i++ {
					w.runDiskEffect(0)
				}
			}
		}
		w.diskFails = false
		w.runDisk()
		for reader := range readers + 1 {
			r := w.readers[reader]
			if r == nil || w.state[r.id] != "whole" {
				continue
			}
			from := len(r.got)
			got := w.readAll(reader)
			truth := bytes.Join(w.pages[r.id], nil)
			if got == nil && from == 0 {
				continue // cut meanwhile
			}
			if !bytes.HasSuffix(truth, got) {
				rt.Fatalf("reader %d got other bytes than the engine gave", reader)
			}
		}
		for _, i := range ids {
			w.handle(AttemptFailed{ID: id(i)})
			w.handle(Release{ID: id(i)})
		}
		w.runDisk()
		if s := w.s; len(s.results) != 0 || len(s.readers) != 0 || s.diskBytes != 0 || s.memoryBytes != 0 || s.unwrittenBytes != 0 || len(s.tenantBytes) != 0 || len(s.leases) != 0 {
			rt.Fatal(fmt.Sprintf("left behind: %+v, %d waiting", s.Stats(), s.unwrittenBytes))
		}
	})
}

// A read that fails, or that the disk's queue did not accept, aborts that reader alone: the result can be read when the
// disk works again.
func TestTransientReadFailure(t *testing.T) {
	w := newTestStore(t, budget())
	k := w.reserve(1, 10, 300, true)
	w.deliverAllPages(k)
	w.attach(1, k, 1, 0)
	w.diskFails = true
	w.runDisk()
	if len(w.aborted) != 1 {
		t.Fatalf("cut %v", w.aborted)
	}
	w.diskFails = false
	w.attach(2, k, 1, 0)
	if got := w.readAll(2); !bytes.Equal(got, bytes.Join(w.pages[k], nil)) {
		t.Errorf("%d bytes came back once the disk worked again; denied %v", len(got), w.denied)
	}
}
