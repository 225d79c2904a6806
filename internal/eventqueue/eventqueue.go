// Package eventqueue implements the event queue of a simulation in virtual time. Events run in order of time, and
// events with equal times in the order in which they were scheduled. It must never read a clock: its caller supplies
// the time.
package eventqueue

import "foxlane/rules"

// Queue holds the events of one simulation. The zero value is an empty queue. A Queue is not safe for concurrent use.
//
// It implements the heap itself instead of using container/heap, which would box an event in an interface each time
// the event is scheduled or run.
type Queue struct {
	heap         []event // a binary heap ordered by event.before
	lastSequence uint64
}

type event struct {
	at       rules.Time
	sequence uint64 // orders events with equal times
	run      func()
}

// before reports whether e runs before other.
func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// Schedule adds an event that calls run at a time. A time in the past is allowed; such an event is the next to run.
func (q *Queue) Schedule(at rules.Time, run func()) {
	q.lastSequence++
	q.heap = append(q.heap, event{at, q.lastSequence, run})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].before(q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// Len returns the number of scheduled events.
func (q *Queue) Len() int { return len(q.heap) }

// NextAt returns the time of the next event; ok is false if there is none.
func (q *Queue) NextAt() (at rules.Time, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// PopUntil removes and returns the next event if its time is at most until; ok is false if there is none.
func (q *Queue) PopUntil(until rules.Time) (at rules.Time, run func(), ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return 0, nil, false
	}
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{} // releases the memory that its function refers to
	q.heap = q.heap[:last]
	q.siftDown()
	return first.at, first.run, true
}

// siftDown restores the heap after its root was replaced.
func (q *Queue) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if right := child + 1; right < len(q.heap) && q.heap[right].before(q.heap[child]) {
			child = right
		}
		if !q.heap[child].before(q.heap[i]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}

// RunUntil runs all events with times up to and including until, also those scheduled by other events meanwhile. It
// sets *now to the time of each event before the event runs, and to until at the end.
func (q *Queue) RunUntil(until rules.Time, now *rules.Time) {
	for {
		at, run, ok := q.PopUntil(until)
		if !ok {
			break
		}
		*now = at
		run()
	}
	*now = until
}
