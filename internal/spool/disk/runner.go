package disk

import (
	"errors"
	"sync"

	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
)

// Runner carries out effects of a spool on a goroutine of its own, so that a
// slow disk keeps nobody waiting. It never answers from the caller's goroutine.
type Runner struct {
	store   *Store
	ops     chan spool.Effect
	deliver func([]spool.Event)
	trouble func(error)
	waste   int64
	done    sync.WaitGroup
}

// ErrBusy is returned where as many effects wait as may.
var ErrBusy = errors.New("disk: too much waits to be done")

// batchMost is how many effects one commit takes: its sync is shared by all that came meanwhile.
const batchMost = 256

// NewRunner starts a runner over a store, which is its own from then on. Of effects up to waiting may wait.
// Events are delivered on the runner's goroutine, in order; trouble hears each error for the log. Once the
// segments hold more than waste bytes that nobody wants, and half of what they take, they are compacted.
func NewRunner(store *Store, waiting int, waste int64, deliver func([]spool.Event), trouble func(error)) *Runner {
	r := &Runner{store: store, ops: make(chan spool.Effect, waiting), deliver: deliver, trouble: trouble, waste: waste}
	r.done.Add(1)
	go r.run()
	return r
}

// Submit hands over a Write, Load or Gone. The effect's Data must not change until it is answered.
func (r *Runner) Submit(f spool.Effect) error {
	select {
	case r.ops <- f:
		return nil
	default:
		return ErrBusy
	}
}

// Close carries out what was submitted and closes the store.
func (r *Runner) Close() error {
	close(r.ops)
	r.done.Wait()
	return r.store.Close()
}

func (r *Runner) run() {
	defer r.done.Done()
	batch := make([]spool.Effect, 0, batchMost)
	for f := range r.ops {
		batch = append(batch[:0], f)
	more:
		for len(batch) < batchMost {
			select {
			case f, ok := <-r.ops:
				if !ok {
					break more
				}
				batch = append(batch, f)
			default:
				break more
			}
		}
		r.carryOut(batch)
		clear(batch)
	}
}

// carryOut does a batch in order: writes that follow one another in one commit.
func (r *Runner) carryOut(batch []spool.Effect) {
	var events []spool.Event
	tell := func(done []Done) {
		for _, d := range done {
			if d.Err != nil {
				r.trouble(d.Err)
			}
			events = append(events, d.Event)
		}
	}
	gone := false
	for i := 0; i < len(batch); {
		j := i
		for j < len(batch) && batch[j].Kind == spool.Write {
			j++
		}
		if j > i {
			tell(r.store.Commit(batch[i:j]))
			i = j
			continue
		}
		switch f := &batch[i]; f.Kind {
		case spool.Load:
			data, err := r.store.Read(f.ID, f.N, f.Place)
			if err != nil {
				r.trouble(err)
			}
			events = append(events, spool.Event{Kind: spool.Read, Reader: f.Reader, ID: f.ID, N: f.N, Data: data, Err: err != nil,
				Changed: errors.Is(err, ErrChanged)})
		case spool.Gone:
			gone = true
		}
		i++
	}
	if gone {
		if _, err := r.store.Sweep(); err != nil {
			r.trouble(err)
		}
		if w := r.store.Waste(); w > r.waste && w > r.store.Bytes()/2 {
			done, err := r.store.Compact()
			tell(done)
			if err != nil {
				r.trouble(err)
			}
		}
	}
	if len(events) > 0 {
		r.deliver(events)
	}
}

// Drops are the records that end results: what gc writes.
func Drops(ids []spool.ID) (out []spool.Effect) {
	for _, id := range ids {
		out = append(out, spool.Effect{Kind: spool.Write, ID: id, Record: segment.Drop})
	}
	return out
}
