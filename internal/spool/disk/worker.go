package disk

import (
	"errors"
	"sync"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Worker carries out effects of a spool on a goroutine of its own, so that a
// slow disk keeps nobody waiting. It never answers from the caller's goroutine.
type Worker struct {
	store        *Store
	queue        chan spool.Effect
	deliver      func([]spool.Event)
	onError      func(error)
	compactAbove int64
	stopped      sync.WaitGroup
}

// ErrQueueFull is returned where as many effects wait as may.
var ErrQueueFull = errors.New("disk: too much waits to be done")

// maxBatch is how many effects one commit takes: its sync is shared by all that came meanwhile.
const maxBatch = 256

// NewWorker starts a runner over a store, which is its own from then on. Of effects up to waiting may wait.
// Events are delivered on the runner's goroutine, in order; trouble hears each error for the log. Once the
// segments hold more than waste bytes that nobody wants, and half of what they take, they are compacted.
func NewWorker(store *Store, waiting int, waste int64, deliver func([]spool.Event), trouble func(error)) *Worker {
	r := &Worker{store: store, queue: make(chan spool.Effect, waiting), deliver: deliver, onError: trouble, compactAbove: waste}
	r.stopped.Add(1)
	go r.run()
	return r
}

// Submit hands over a Write, Load or Gone. The effect's Data must not change until it is answered.
func (r *Worker) Submit(f spool.Effect) error {
	select {
	case r.queue <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// Close carries out what was submitted and closes the store.
func (r *Worker) Close() error {
	close(r.queue)
	r.stopped.Wait()
	return r.store.Close()
}

func (r *Worker) run() {
	defer r.stopped.Done()
	batch := make([]spool.Effect, 0, maxBatch)
	for f := range r.queue {
		batch = append(batch[:0], f)
	more:
		for len(batch) < maxBatch {
			select {
			case f, ok := <-r.queue:
				if !ok {
					break more
				}
				batch = append(batch, f)
			default:
				break more
			}
		}
		r.execute(batch)
		clear(batch)
	}
}

// execute does a batch in order: writes that follow one another in one commit.
func (r *Worker) execute(batch []spool.Effect) {
	var events []spool.Event
	tell := func(done []Completion) {
		for _, d := range done {
			if d.Err != nil {
				r.onError(d.Err)
			}
			events = append(events, d.Event)
		}
	}
	gone := false
	for i := 0; i < len(batch); {
		j := i
		for j < len(batch) && batch[j].Kind == spool.WriteRecord {
			j++
		}
		if j > i {
			tell(r.store.Commit(batch[i:j]))
			i = j
			continue
		}
		switch f := &batch[i]; f.Kind {
		case spool.LoadChunk:
			data, err := r.store.Read(f.ID, f.Index, f.Location)
			if err != nil {
				r.onError(err)
			}
			events = append(events, spool.Event{Kind: spool.ChunkLoaded, Reader: f.Reader, ID: f.ID, Index: f.Index, Data: data, Failed: err != nil,
				Corrupt: errors.Is(err, ErrCorrupt)})
		case spool.DiscardRecords:
			gone = true
		}
		i++
	}
	if gone {
		if _, err := r.store.Sweep(); err != nil {
			r.onError(err)
		}
		if w := r.store.WastedBytes(); w > r.compactAbove && w > r.store.Bytes()/2 {
			done, err := r.store.Compact()
			tell(done)
			if err != nil {
				r.onError(err)
			}
		}
	}
	if len(events) > 0 {
		r.deliver(events)
	}
}

// DropEffects are the records that end results: what gc writes.
func DropEffects(ids []spool.ID) (out []spool.Effect) {
	for _, id := range ids {
		out = append(out, spool.Effect{Kind: spool.WriteRecord, ID: id, Record: segment.Drop})
	}
	return out
}
