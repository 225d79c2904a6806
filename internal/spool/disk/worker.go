package disk

import (
	"errors"
	"sync"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Worker executes the disk effects of a result store on its own goroutine, so
// that a slow disk does not block the caller. It calls its callbacks only on that
// goroutine.
type Worker struct {
	store        *Store
	queue        chan spool.DiskEffect
	deliver      func([]spool.Event)
	onError      func(error)
	compactAbove int64
	stopped      sync.WaitGroup
}

// ErrQueueFull is returned by Submit if the queue is full.
var ErrQueueFull = errors.New("disk: queue is full")

// maxBatch is the maximum number of effects that are executed together. Consecutive records in a batch share one sync.
const maxBatch = 256

// NewWorker starts a Worker, which owns the store until Close. Up to queueLength effects are queued. The worker's
// goroutine calls deliver with events in order, and onError with each error. Segments are compacted when more than
// compactAbove bytes and more than half of all bytes are wasted.
func NewWorker(store *Store, queueLength int, compactAbove int64, deliver func([]spool.Event), onError func(error)) *Worker {
	w := &Worker{store: store, queue: make(chan spool.DiskEffect, queueLength), deliver: deliver, onError: onError, compactAbove: compactAbove}
	w.stopped.Add(1)
	go w.run()
	return w
}

// Submit queues an effect, or returns ErrQueueFull. It does not block. The Data of a WriteRecord must not change until
// its RecordWritten event.
func (w *Worker) Submit(effect spool.DiskEffect) error {
	select {
	case w.queue <- effect:
		return nil
	default:
		return ErrQueueFull
	}
}

// Close executes all submitted effects, stops the goroutine and closes the store. Submit must not be called after it.
func (w *Worker) Close() error {
	close(w.queue)
	w.stopped.Wait()
	return w.store.Close()
}

func (w *Worker) run() {
	defer w.stopped.Done()
	batch := make([]spool.DiskEffect, 0, maxBatch)
	for effect := range w.queue {
		batch = w.fillBatch(append(batch[:0], effect))
		w.execute(batch)
		clear(batch) // releases the Data of the effects before the next batch
	}
}

// fillBatch adds effects that are already queued, up to maxBatch.
func (w *Worker) fillBatch(batch []spool.DiskEffect) []spool.DiskEffect {
	for len(batch) < maxBatch {
		select {
		case effect, ok := <-w.queue:
			if !ok {
				return batch
			}
			batch = append(batch, effect)
		default:
			return batch
		}
	}
	return batch
}

// execute executes a batch in order, with one commit for each run of consecutive records.
func (w *Worker) execute(batch []spool.DiskEffect) {
	var events []spool.Event
	var writes []spool.WriteRecord // consecutive records that are not committed yet
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

// commit commits consecutive records, if there are any, and appends the resulting events.
func (w *Worker) commit(events []spool.Event, writes []spool.WriteRecord) []spool.Event {
	if len(writes) == 0 {
		return events
	}
	return w.report(events, w.store.Commit(writes))
}

// report appends the events of completions and passes their errors to onError.
func (w *Worker) report(events []spool.Event, completions []Completion) []spool.Event {
	for _, c := range completions {
		if c.Err != nil {
			w.onError(c.Err)
		}
		events = append(events, c.Event)
	}
	return events
}

// load reads a chunk and returns the event that answers the effect. A compaction may have moved the chunk since the effect
// was submitted, so the index has its location.
func (w *Worker) load(effect spool.LoadChunk) spool.Event {
	data, err := w.store.Read(effect.ID, effect.Index, w.store.locate(effect.ID, effect.Index, effect.Location))
	if err != nil {
		w.onError(err)
	}
	return spool.ChunkLoaded{Reader: effect.Reader, Index: effect.Index, Data: data, Failed: err != nil, Corrupt: errors.Is(err, ErrCorrupt)}
}

// freeSegments removes segments without live records, and compacts the oldest segment if too many bytes are wasted.
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

// DropEffects returns the effects that write the Drop records of results.
func DropEffects(ids []spool.ID) (writes []spool.WriteRecord) {
	for _, id := range ids {
		writes = append(writes, spool.WriteRecord{ID: id, Record: segment.Drop})
	}
	return writes
}
