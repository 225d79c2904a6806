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
	queue        chan spool.Effect
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
	w := &Worker{store: store, queue: make(chan spool.Effect, queueLength), deliver: deliver, onError: onError, compactAbove: compactAbove}
	w.stopped.Add(1)
	go w.run()
	return w
}

// Submit queues a WriteRecord, LoadChunk or DiscardRecords. The effect's Data must not change until it is answered.
func (w *Worker) Submit(f spool.Effect) error {
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
	batch := make([]spool.Effect, 0, maxBatch)
	for f := range w.queue {
		batch = w.fillBatch(append(batch[:0], f))
		w.execute(batch)
		clear(batch) // so that no Data is held until the next batch
	}
}

// fillBatch adds the effects that are queued already.
func (w *Worker) fillBatch(batch []spool.Effect) []spool.Effect {
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
func (w *Worker) execute(batch []spool.Effect) {
	var events []spool.Event
	discarded := false
	for i := 0; i < len(batch); {
		end := i
		for end < len(batch) && batch[end].Kind == spool.WriteRecord {
			end++
		}
		if end > i {
			events = w.report(events, w.store.Commit(batch[i:end]))
			i = end
			continue
		}
		switch f := &batch[i]; f.Kind {
		case spool.LoadChunk:
			events = append(events, w.load(f))
		case spool.DiscardRecords:
			discarded = true
		}
		i++
	}
	if discarded {
		events = w.freeSegments(events)
	}
	if len(events) > 0 {
		w.deliver(events)
	}
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

func (w *Worker) load(f *spool.Effect) spool.Event {
	data, err := w.store.Read(f.ID, f.Index, f.Location)
	if err != nil {
		w.onError(err)
	}
	return spool.Event{Kind: spool.ChunkLoaded, Reader: f.Reader, ID: f.ID, Index: f.Index, Data: data, Failed: err != nil,
		Corrupt: errors.Is(err, ErrCorrupt)}
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
func DropEffects(ids []spool.ID) (out []spool.Effect) {
	for _, id := range ids {
		out = append(out, spool.Effect{Kind: spool.WriteRecord, ID: id, Record: segment.Drop})
	}
	return out
}
