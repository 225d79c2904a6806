package disk

import (
	"errors"
	"sync"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Worker executes effects of a result store on a goroutine of its own, so that
// a slow disk blocks nobody. It never calls back on the caller's goroutine.
type Worker struct {
	store        *Store
	queue        chan spool.DiskEffect
	deliver      func([]spool.Event)
	onError      func(error)
	compactAbove int64
	stopped      sync.WaitGroup
}

// ErrQueueFull is returned if as many effects are queued as may be.
var ErrQueueFull = errors.New("disk: too much waits to be done")

// maxBatch is how many effects are executed together. All records of a batch share one sync.
const maxBatch = 256

// NewWorker starts a worker, which owns the store from then on until Close. Up to queueLength effects are queued.
// deliver gets events in order, and onError each error for the log, both on the worker's goroutine. Segments are
// compacted once more than compactAbove bytes, and more than half of all, are wasted.
func NewWorker(store *Store, queueLength int, compactAbove int64, deliver func([]spool.Event), onError func(error)) *Worker {
	w := &Worker{store: store, queue: make(chan spool.DiskEffect, queueLength), deliver: deliver, onError: onError, compactAbove: compactAbove}
	w.stopped.Add(1)
	go w.run()
	return w
}

// Submit queues an effect. The Data of a WriteRecord must not change until it is answered.
func (w *Worker) Submit(f spool.DiskEffect) error {
	select {
	case w.queue <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// Close executes what was submitted, stops the goroutine and closes the store. Submit must not be called after it.
func (w *Worker) Close() error {
	close(w.queue)
	w.stopped.Wait()
	return w.store.Close()
}

func (w *Worker) run() {
	defer w.stopped.Done()
	batch := make([]spool.DiskEffect, 0, maxBatch)
	for f := range w.queue {
		batch = w.fillBatch(append(batch[:0], f))
		w.execute(batch)
		clear(batch) // so that no Data is held until the next batch
	}
}

// fillBatch adds the effects that are queued already.
func (w *Worker) fillBatch(batch []spool.DiskEffect) []spool.DiskEffect {
	for len(batch) < maxBatch {
		select {
		case f, ok := <-w.queue:
			if !ok {
				return batch
			}
			batch = append(batch, f)
		default:
			return batch
		}
	}
	return batch
}

// execute executes a batch in order, with one commit for records that follow one another.
func (w *Worker) execute(batch []spool.DiskEffect) {
	var events []spool.Event
	var writes []spool.WriteRecord // that follow one another and are not committed yet
	discarded := false
	for _, effect := range batch {
		if write, ok := effect.(spool.WriteRecord); ok {
			writes = append(writes, write)
			continue
		}
		events, writes = w.commit(events, writes), writes[:0]
		switch effect := effect.(type) {
		case spool.LoadChunk:
			events = append(events, w.load(effect))
		case spool.DiscardRecords:
			discarded = true
		}
	}
	events = w.commit(events, writes)
	if discarded {
		events = w.freeSegments(events)
	}
	if len(events) > 0 {
		w.deliver(events)
	}
}

// commit writes records that follow one another, if there are any, and appends the events that answer them.
func (w *Worker) commit(events []spool.Event, writes []spool.WriteRecord) []spool.Event {
	if len(writes) == 0 {
		return events
	}
	return w.report(events, w.store.Commit(writes))
}

// report appends the events of completions, and passes their errors on.
func (w *Worker) report(events []spool.Event, completions []Completion) []spool.Event {
	for _, c := range completions {
		if c.Err != nil {
			w.onError(c.Err)
		}
		events = append(events, c.Event)
	}
	return events
}

func (w *Worker) load(f spool.LoadChunk) spool.Event {
	data, err := w.store.Read(f.ID, f.Index, f.Location)
	if err != nil {
		w.onError(err)
	}
	return spool.ChunkLoaded{Reader: f.Reader, Index: f.Index, Data: data, Failed: err != nil, Corrupt: errors.Is(err, ErrCorrupt)}
}

// freeSegments removes segments without live records, and compacts if too much is wasted.
func (w *Worker) freeSegments(events []spool.Event) []spool.Event {
	if _, err := w.store.Sweep(); err != nil {
		w.onError(err)
	}
	if wasted := w.store.WastedBytes(); wasted > w.compactAbove && wasted > w.store.Bytes()/2 {
		completions, err := w.store.Compact()
		events = w.report(events, completions)
		if err != nil {
			w.onError(err)
		}
	}
	return events
}

// DropEffects returns the effects that write the records which end results.
func DropEffects(ids []spool.ID) (out []spool.WriteRecord) {
	for _, id := range ids {
		out = append(out, spool.WriteRecord{ID: id, Record: segment.Drop})
	}
	return out
}
