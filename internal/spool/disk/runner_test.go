package disk

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"foxlane/internal/spool"
)

// slow is a folder whose writes take a while.
type slow struct {
	*memory
	each time.Duration
}

type slowFile struct {
	File
	each time.Duration
}

func (s slow) Open(name string, create bool) (File, error) {
	f, err := s.memory.Open(name, create)
	return slowFile{f, s.each}, err
}

func (f slowFile) WriteAt(p []byte, off int64) (int, error) {
	time.Sleep(f.each)
	return f.File.WriteAt(p, off)
}

// inbox gathers what a runner tells.
type inbox struct {
	mu     sync.Mutex
	events []spool.Event
	came   chan struct{}
}

func newInbox() *inbox { return &inbox{came: make(chan struct{}, 1000)} }

func (i *inbox) deliver(e []spool.Event) {
	i.mu.Lock()
	for _, e := range e {
		e.Data = bytes.Clone(e.Data)
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

// A slow disk keeps nobody waiting, and more than may wait is turned away at once.
func TestSlowDiskKeepsNobodyWaiting(t *testing.T) {
	s, _ := open(t, slow{newMemory(), 5 * time.Millisecond})
	in := newInbox()
	r := NewRunner(s, 8, 1<<20, in.deliver, func(err error) { t.Error(err) })
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

func TestRunnerWritesReadsAndCompacts(t *testing.T) {
	fs := newMemory()
	s, _ := open(t, fs)
	in := newInbox()
	r := NewRunner(s, 1000, 500, in.deliver, func(err error) { t.Error(err) })
	places := map[int][]spool.Place{}
	for k := range 10 {
		for _, f := range writes(k, 5) {
			if err := r.Submit(f); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range in.wait(t, 8) { // open, five chunks, seal, sync
			if e.Kind == spool.Written && e.Record == 2 {
				places[k] = append(places[k], e.Place)
			}
			if e.Err {
				t.Fatalf("%+v", e)
			}
		}
	}
	if err := r.Submit(spool.Effect{Kind: spool.Load, Reader: 4, ID: id(3), N: 2, Place: places[3][2]}); err != nil {
		t.Fatal(err)
	}
	if e := in.wait(t, 1)[0]; e.Kind != spool.Read || e.Reader != 4 || !bytes.Equal(e.Data, rows(3, 2)) {
		t.Errorf("read %+v", e)
	}
	before := fs.size()
	for _, k := range []int{0, 1, 2, 4, 5, 6, 7, 9} {
		_ = r.Submit(drop(k)[0])
		_ = r.Submit(spool.Effect{Kind: spool.Gone, ID: id(k)})
	}
	in.wait(t, 8)
	if err := r.Close(); err != nil { // carries out all that was handed over
		t.Error(err)
	}
	s2, rec := open(t, fs)
	if len(rec.Found) != 2 || fs.size() > before/2 {
		t.Errorf("%d found, %d bytes of %d", len(rec.Found), fs.size(), before)
	}
	for _, f := range rec.Found {
		if err := check(s2, f, int(f.ID[0]), 5); err != nil {
			t.Error(err)
		}
	}
}
