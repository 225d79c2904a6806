package spool

import (
	"bytes"
	"math/rand/v2"

	"pgregory.net/rapid"

	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// testStore is a store with a simulated disk, engines and readers. handle checks each effect.
type testStore struct {
	t            rapid.TB
	s            *Store
	now          rules.Time
	disk         map[int64][]byte // records by offset
	end          int64
	diskQueue    []DiskEffect
	pages        map[ID][][]byte
	requested    map[ID]int // pages that the engine may be asked for, up to here
	state        map[ID]string
	readers      map[int]*testReader
	timerAt      rules.Time
	diskFails    bool // the disk does
	diskCorrupts bool // it returns other bytes than were written
	denied       []int
	aborted      []int
	reason       map[ID]Reason
	retryAfter   map[ID]rules.Time
	discarded    []Location
}

type testReader struct {
	id      ID
	next    int
	got     []byte
	last    bool
	waiting bool // a chunk that it asked for has not come yet
}

func newTestStore(t rapid.TB, b Budget) *testStore {
	if err := b.Validate(); err != nil {
		t.Fatal(err)
	}
	return &testStore{t: t, s: New(b, 1), now: rules.Second, disk: map[int64][]byte{}, pages: map[ID][][]byte{}, requested: map[ID]int{},
		state: map[ID]string{}, readers: map[int]*testReader{}, reason: map[ID]Reason{}, retryAfter: map[ID]rules.Time{}}
}

func (w *testStore) handle(e Event) {
	for _, f := range append([]Effect(nil), w.s.Handle(w.now, e)...) {
		switch f := f.(type) {
		case Granted:
			w.state[f.ID], w.requested[f.ID] = "granted", 1
		case Rejected:
			if w.state[f.ID] != "" {
				w.t.Fatalf("refused after it was %s", w.state[f.ID])
			}
			w.state[f.ID], w.reason[f.ID], w.retryAfter[f.ID] = "refused", f.Reason, f.RetryAfter
		case FetchPages:
			if f.Index != w.requested[f.ID] {
				w.t.Fatalf("asked for pages from %d, up to %d were asked for", f.Index, w.requested[f.ID])
			}
			w.requested[f.ID] = f.End
		case ReleaseEngine:
			w.state[f.ID] = "free"
		case Completed:
			if w.state[f.ID] != "free" {
				w.t.Fatalf("whole while %s", w.state[f.ID])
			}
			w.state[f.ID] = "whole"
		case Failed:
			if w.state[f.ID] == "whole" {
				w.t.Fatal("failed after it was whole")
			}
			w.state[f.ID], w.reason[f.ID] = "failed", f.Reason
		case WriteRecord:
			f.Data = bytes.Clone(f.Data)
			w.diskQueue = append(w.diskQueue, f)
		case LoadChunk:
			w.diskQueue = append(w.diskQueue, f)
		case DeliverChunk:
			r := w.readers[f.Reader]
			if r == nil || f.Index != r.next {
				w.t.Fatalf("reader %d got chunk %d", f.Reader, f.Index)
			}
			if w.state[r.id] != "whole" {
				w.t.Fatalf("reader %d got a chunk of a result that is %s", f.Reader, w.state[r.id])
			}
			r.got = append(r.got, f.Data...)
			r.last, r.waiting = f.Last, false
		case Deny:
			w.denied = append(w.denied, f.Reader)
			delete(w.readers, f.Reader)
		case AbortRead:
			w.aborted = append(w.aborted, f.Reader)
			delete(w.readers, f.Reader)
		case DiscardRecords:
			w.discarded = append(w.discarded, f.Locations...)
		case SetTimer:
			w.timerAt = f.At
		}
	}
	w.checkInvariants()
}

func (w *testStore) checkInvariants() {
	s, b := w.s, w.s.budget
	most := b.MemoryBytes + b.MaxUnwritten + int64((b.FetchWindow+1)*len(s.results)*1000)
	if s.memoryBytes > most || s.memoryBytes < 0 || s.diskBytes < 0 || s.unwrittenBytes < 0 {
		w.t.Fatalf("%d bytes in memory, %d waiting, %d on the disk", s.memoryBytes, s.unwrittenBytes, s.diskBytes)
	}
	if len(s.results) > b.MaxResults {
		w.t.Fatalf("%d results", len(s.results))
	}
	var sum int64
	for _, n := range s.tenantBytes {
		if n <= 0 {
			w.t.Fatalf("a tenant has %d bytes", n)
		}
		sum += n
	}
	if sum != s.diskBytes {
		w.t.Fatalf("tenants have %d bytes, %d are kept", sum, s.diskBytes)
	}
}

// runDiskEffect executes one queued effect of the disk.
func (w *testStore) runDiskEffect(i int) {
	effect := w.diskQueue[i]
	w.diskQueue = append(w.diskQueue[:i], w.diskQueue[i+1:]...)
	switch f := effect.(type) {
	case LoadChunk:
		data, ok := w.disk[f.Location.Offset]
		w.handle(ChunkLoaded{Reader: f.Reader, Index: f.Index, Data: data, Failed: !ok || w.diskFails || w.diskCorrupts, Corrupt: !ok || w.diskCorrupts})
	case WriteRecord:
		w.writeRecord(f)
	}
}

func (w *testStore) writeRecord(f WriteRecord) {
	place := Location{Segment: 1, Offset: w.end, Size: int32(segment.RecordSize(len(f.Data)))}
	if !w.diskFails {
		w.disk[w.end] = f.Data
		w.end += int64(place.Size)
	}
	w.handle(RecordWritten{ID: f.ID, Record: f.Record, Index: f.Index, Location: place, Failed: w.diskFails})
	if f.Record == segment.Seal && !w.diskFails {
		w.handle(ResultSynced{ID: f.ID})
	}
}

func isSeal(effect DiskEffect) bool {
	f, ok := effect.(WriteRecord)
	return ok && f.Record == segment.Seal
}

func (w *testStore) runDisk() {
	for len(w.diskQueue) > 0 {
		w.runDiskEffect(0)
	}
}

func id(n int) ID { return ID{byte(n), byte(n >> 8), 1} }

func secret(n int) Secret { return Secret{byte(n), 7} }

// reserve reserves a result and fixes the pages that its engine has.
func (w *testStore) reserve(n, pages, size int, lasting bool) ID {
	k := id(n)
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	var truth [][]byte
	for range pages {
		p := make([]byte, size)
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		truth = append(truth, p)
	}
	w.pages[k] = truth
	w.handle(Reserve{ID: k, Secret: secret(n), Tenant: uint64(n%2 + 1), Class: 1, Durable: lasting})
	return k
}

func (w *testStore) deliverPage(k ID, n int) {
	if w.state[k] == "granted" && n < w.requested[k] {
		w.handle(PageArrived{ID: k, Index: n, PageCount: len(w.pages[k]), Data: w.pages[k][n]})
	}
}

// deliverAllPages delivers all pages, with the disk idle after each.
func (w *testStore) deliverAllPages(k ID) {
	for n := range w.pages[k] {
		w.deliverPage(k, n)
		w.runDisk()
	}
}

func (w *testStore) attach(reader int, k ID, n int, from int) {
	w.readers[reader] = &testReader{id: k, next: from, waiting: true}
	w.handle(Attach{Reader: reader, ID: k, Secret: secret(n), Tenant: uint64(n%2 + 1), Index: from})
}

// readAll reads to the end and returns the bytes.
func (w *testStore) readAll(reader int) []byte {
	for {
		w.runDisk()
		r := w.readers[reader]
		if r == nil {
			return nil
		}
		if r.waiting {
			w.t.Fatalf("reader %d waits for chunk %d of a result that is %s", reader, r.next, w.state[r.id])
		}
		r.next++
		r.waiting = true
		last, got := r.last, r.got
		w.handle(NextChunk{Reader: reader, Index: r.next})
		if last {
			delete(w.readers, reader)
			return got
		}
	}
}
