package disk

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"foxlane/internal/spool"
)

// slowFS is a folder with slow writes.
type slowFS struct {
	*memoryFS
	delay time.Duration
}

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

// inbox collects the events of a worker.
type inbox struct {
	mu     sync.Mutex
	events []spool.Event
	came   chan struct{}
}

func newInbox() *inbox { return &inbox{came: make(chan struct{}, 1000)} }

func (i *inbox) deliver(events []spool.Event) {
	i.mu.Lock()
	for _, e := range events {
		if loaded, ok := e.(spool.ChunkLoaded); ok {
			loaded.Data = bytes.Clone(loaded.Data)
			e = loaded
		}
		i.events = append(i.events, e)
		i.came <- struct{}{}
	}
	i.mu.Unlock()
}

func (i *inbox) wait(t *testing.T, n int) []spool.Event {
	t.Helper()
	for range n {
		select {
		case <-i.came:
		case <-time.After(10 * time.Second):
			t.Fatal("the runner does not answer")
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	out := i.events
	i.events = nil
	return out
}

// failed tells whether an event reports a failure.
func failed(e spool.Event) bool {
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

// A slow disk does not block Submit, and effects beyond the queue are rejected at once.
func TestSlowDiskDoesNotBlockCallers(t *testing.T) {
	s, _ := open(t, slowFS{newMemoryFS(), 5 * time.Millisecond})
	in := newInbox()
	r := NewWorker(s, 8, 1<<20, in.deliver, func(err error) { t.Error(err) })
	all := writes(1, 20)
	taken := 0
	start := time.Now()
	for _, f := range all {
		if r.Submit(f) == nil {
			taken++
		}
	}
	if took := time.Since(start); took > 50*time.Millisecond {
		t.Errorf("handing over took %v", took)
	}
	if taken == len(all) || taken < 8 {
		t.Errorf("%d of %d were taken, 8 may wait", taken, len(all))
	}
	in.wait(t, taken)
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

func TestWorkerWritesReadsAndCompacts(t *testing.T) {
	fs := newMemoryFS()
	s, _ := open(t, fs)
	in := newInbox()
	r := NewWorker(s, 1000, 500, in.deliver, func(err error) { t.Error(err) })
	places := map[int][]spool.Location{}
	for k := range 10 {
		for _, f := range writes(k, 5) {
			if err := r.Submit(f); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range in.wait(t, 8) { // open, five chunks, seal, sync
			if e, ok := e.(spool.RecordWritten); ok && e.Record == 2 {
				places[k] = append(places[k], e.Location)
			}
			if failed(e) {
				t.Fatalf("%+v", e)
			}
		}
	}
	if err := r.Submit(spool.LoadChunk{Reader: 4, ID: id(3), Index: 2, Location: places[3][2]}); err != nil {
		t.Fatal(err)
	}
	if e, ok := in.wait(t, 1)[0].(spool.ChunkLoaded); !ok || e.Reader != 4 || !bytes.Equal(e.Data, rows(3, 2)) {
		t.Errorf("read %+v", e)
	}
	before := fs.size()
	for _, k := range []int{0, 1, 2, 4, 5, 6, 7, 9} {
		_ = r.Submit(drop(k)[0])
		_ = r.Submit(spool.DiscardRecords{ID: id(k)})
	}
	in.wait(t, 8)
	if err := r.Close(); err != nil { // carries out all that was handed over
		t.Error(err)
	}
	s2, rec := open(t, fs)
	if len(rec.Results) != 2 || fs.size() > before/2 {
		t.Errorf("%d found, %d bytes of %d", len(rec.Results), fs.size(), before)
	}
	for _, f := range rec.Results {
		if err := check(s2, f, int(f.ID[0]), 5); err != nil {
			t.Error(err)
		}
	}
}
