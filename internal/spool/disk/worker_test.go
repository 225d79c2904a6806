package disk

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"foxlane/internal/spool"
)

// slowFS is a folder in which each write takes delay.
type slowFS struct {
	*memoryFS
	delay time.Duration
}

// slowFile is a file of a slowFS.
type slowFile struct {
	File
	delay time.Duration
}

func (s slowFS) Open(name string, create bool) (File, error) {
	f, err := s.memoryFS.Open(name, create)
	return slowFile{f, s.delay}, err
}

func (f slowFile) WriteAt(p []byte, off int64) (int, error) {
	time.Sleep(f.delay)
	return f.File.WriteAt(p, off)
}

// eventCollector collects the events that a Worker delivers.
type eventCollector struct {
	mu      sync.Mutex
	events  []spool.Event
	arrived chan struct{}
}

func newEventCollector() *eventCollector { return &eventCollector{arrived: make(chan struct{}, 1000)} }

func (c *eventCollector) deliver(events []spool.Event) {
	c.mu.Lock()
	for _, e := range events {
		if loaded, ok := e.(spool.ChunkLoaded); ok {
			loaded.Data = bytes.Clone(loaded.Data)
			e = loaded
		}
		c.events = append(c.events, e)
		c.arrived <- struct{}{}
	}
	c.mu.Unlock()
}

// wait waits for n events and returns all that have arrived.
func (c *eventCollector) wait(t *testing.T, n int) []spool.Event {
	t.Helper()
	for range n {
		select {
		case <-c.arrived:
		case <-time.After(10 * time.Second):
			t.Fatal("the worker delivered no event within 10 s")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.events
	c.events = nil
	return out
}

// reportsFailure reports whether an event reports a failure.
func reportsFailure(e spool.Event) bool {
	switch e := e.(type) {
	case spool.RecordWritten:
		return e.Failed
	case spool.ResultSynced:
		return e.Failed
	case spool.ChunkLoaded:
		return e.Failed
	}
	return false
}

// Submit does not block on a slow disk. When the queue is full, it rejects effects at once.
func TestSlowDiskDoesNotBlockCallers(t *testing.T) {
	store, _ := open(t, slowFS{newMemoryFS(), 5 * time.Millisecond})
	collector := newEventCollector()
	worker := NewWorker(store, 8, 1<<20, collector.deliver, func(err error) { t.Error(err) })
	records := resultWrites(1, 20)
	accepted := 0
	start := time.Now()
	for _, write := range records {
		if worker.Submit(write) == nil {
			accepted++
		}
	}
	if elapsed := time.Since(start); elapsed > 50*time.Millisecond {
		t.Errorf("submitting took %v", elapsed)
	}
	if accepted == len(records) || accepted < 8 {
		t.Errorf("%d of %d effects were accepted, with a queue of 8", accepted, len(records))
	}
	collector.wait(t, accepted)
	if err := worker.Close(); err != nil {
		t.Error(err)
	}
}

func TestWorkerWritesReadsAndCompacts(t *testing.T) {
	fs := newMemoryFS()
	store, _ := open(t, fs)
	collector := newEventCollector()
	worker := NewWorker(store, 1000, 500, collector.deliver, func(err error) { t.Error(err) })
	locations := map[int][]spool.Location{}
	for number := range 10 {
		for _, write := range resultWrites(number, 5) {
			if err := worker.Submit(write); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range collector.wait(t, 8) { // Open, five Chunks, Seal and the sync
			if e, ok := e.(spool.RecordWritten); ok && e.Record == 2 {
				locations[number] = append(locations[number], e.Location)
			}
			if reportsFailure(e) {
				t.Fatalf("%+v", e)
			}
		}
	}
	if err := worker.Submit(spool.LoadChunk{Reader: 4, ID: id(3), Index: 2, Location: locations[3][2]}); err != nil {
		t.Fatal(err)
	}
	if e, ok := collector.wait(t, 1)[0].(spool.ChunkLoaded); !ok || e.Reader != 4 || !bytes.Equal(e.Data, chunkData(3, 2)) {
		t.Errorf("got %+v", e)
	}
	sizeBefore := fs.size()
	for _, number := range []int{0, 1, 2, 4, 5, 6, 7, 9} {
		_ = worker.Submit(dropWrite(number)[0])
		_ = worker.Submit(spool.DiscardRecords{ID: id(number)})
	}
	collector.wait(t, 8)
	if err := worker.Close(); err != nil { // executes all submitted effects
		t.Error(err)
	}
	reopened, recovery := open(t, fs)
	if len(recovery.Results) != 2 || fs.size() > sizeBefore/2 {
		t.Errorf("%d results found, want 2; %d bytes left of %d", len(recovery.Results), fs.size(), sizeBefore)
	}
	for _, result := range recovery.Results {
		if err := verifyResult(reopened, result, int(result.ID[0]), 5); err != nil {
			t.Error(err)
		}
	}
}
