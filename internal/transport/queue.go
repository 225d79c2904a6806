package transport

import (
	"reflect"
	"runtime"
	"sync"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// queuedEvent is an event in the queue. A DataReceived event is held by value to avoid an allocation for each read.
type queuedEvent struct {
	event    gateway.Event // nil: the event is in received
	received gateway.DataReceived
}

// unwrap returns the event. It is valid until the queue's buffers are reused.
func (q *queuedEvent) unwrap() gateway.Event {
	if q.event == nil {
		return &q.received
	}
	return q.event
}

const (
	maxEventBytes = 64 << 10 // the most bytes that one event carries
	eventOverhead = 64       // what an event counts beside its bytes
)

// eventQueue holds events until the reducer's goroutine takes them. The bytes of events are stored in an arena.
// Events and arena are double buffered: the queue and the reducer's goroutine swap theirs in drain.
type eventQueue struct {
	mu          sync.Mutex
	notFull     sync.Cond
	events      []queuedEvent
	arena       []byte
	queuedBytes int
	peakBytes   int           // highest queuedBytes since takePeak
	arenaBytes  int           // capacity of the arena
	maxBytes    int           // if more bytes are queued, adding bytes blocks, which stops reading from sockets
	usualBytes  int           // maxBytes, unless the reducer has limited it
	ready       chan struct{} // signals that there may be events to take
	full        chan struct{} // signals that a goroutine waits for room, unless the reducer has limited maxBytes
	closed      bool
	oldestAt    time.Time // when the oldest event was added
}

func newEventQueue(l config.Limits) *eventQueue {
	q := &eventQueue{ready: make(chan struct{}, 1), full: make(chan struct{}, 1), maxBytes: l.EventQueueBytes, usualBytes: l.EventQueueBytes,
		arenaBytes: l.EventQueueBytes + maxEventBytes}
	q.notFull.L = &q.mu
	return q
}

// enqueue adds an event that carries no bytes. It never blocks.
func (q *eventQueue) enqueue(event gateway.Event) {
	q.mu.Lock()
	q.add(queuedEvent{event: event})
	q.mu.Unlock()
	q.wakeReducer()
}

// enqueueReceived adds bytes received on a connection. It blocks while the queue is full.
func (q *eventQueue) enqueueReceived(conn gateway.ConnID, data []byte) {
	q.mu.Lock()
	q.add(queuedEvent{received: gateway.DataReceived{Conn: conn, Data: q.copyToArena(data)}})
	q.mu.Unlock()
	q.wakeReducer()
}

// enqueueBytes adds the event that newEvent makes from a copy of data. It blocks while the queue is full.
func (q *eventQueue) enqueueBytes(data []byte, newEvent func(copied []byte) gateway.Event) {
	q.mu.Lock()
	q.add(queuedEvent{event: newEvent(q.copyToArena(data))})
	q.mu.Unlock()
	q.wakeReducer()
}

// copyToArena copies bytes into the arena. It blocks while more than maxBytes are queued. The caller holds q.mu.
func (q *eventQueue) copyToArena(data []byte) []byte {
	if len(data) == 0 {
		return data
	}
	for q.queuedBytes > q.maxBytes && !q.closed {
		if q.maxBytes >= q.usualBytes {
			notify(q.full)
		}
		q.notFull.Wait()
	}
	if q.arena == nil {
		q.arena = make([]byte, 0, q.arenaBytes)
	}
	start := len(q.arena)
	q.arena = append(q.arena, data...)
	q.queuedBytes += len(data)
	return q.arena[start:len(q.arena):len(q.arena)]
}

// add appends an event. The caller holds q.mu.
func (q *eventQueue) add(event queuedEvent) {
	if len(q.events) == 0 {
		q.oldestAt = time.Now()
	}
	q.events = append(q.events, event)
	q.queuedBytes += eventOverhead
	q.peakBytes = max(q.peakBytes, q.queuedBytes)
}

// wakeReducer signals the reducer's goroutine and yields the processor to it.
func (q *eventQueue) wakeReducer() {
	if q.signal() {
		runtime.Gosched() // otherwise the reducer would only run once the poller's next wait gives up its processor
	}
}

// signal makes the reducer's goroutine look at the queue. It returns false if a signal was already pending.
func (q *eventQueue) signal() bool { return notify(q.ready) }

// notify signals on a channel with room for one signal. It returns false if a signal was already pending.
func notify(signal chan<- struct{}) bool {
	select {
	case signal <- struct{}{}:
		return true
	default:
		return false
	}
}

// awaitFull waits for a duration, or until a goroutine waits for room in the queue.
func (q *eventQueue) awaitFull(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-q.full:
	}
}

// oldestAge returns how long the oldest event has waited, or 0 if the queue is empty.
func (q *eventQueue) oldestAge() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return 0
	}
	return time.Since(q.oldestAt)
}

// takePeak returns the highest number of queued bytes since its last call.
func (q *eventQueue) takePeak() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	peak := q.peakBytes
	q.peakBytes = q.queuedBytes
	return peak
}

// drain takes all events and their arena. The arguments are the buffers of the last call, which the queue reuses.
func (q *eventQueue) drain(events []queuedEvent, arena []byte) ([]queuedEvent, []byte) {
	clear(events)
	q.mu.Lock()
	defer q.mu.Unlock()
	takenEvents, takenArena := q.events, q.arena
	q.events, q.arena, q.queuedBytes = events[:0], arena[:0], 0
	select {
	case <-q.full: // there is room again
	default:
	}
	q.notFull.Broadcast()
	return takenEvents, takenArena
}

// setMaxBytes sets the number of queued bytes from which on adding bytes blocks.
func (q *eventQueue) setMaxBytes(n int) {
	q.mu.Lock()
	q.maxBytes = n
	q.notFull.Broadcast()
	q.mu.Unlock()
}

// memoryBytes returns what the queue and the buffers that it shares with the reducer's goroutine occupy.
func (q *eventQueue) memoryBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return 2 * (cap(q.arena) + cap(q.events)*int(reflect.TypeFor[queuedEvent]().Size()))
}

// close releases all goroutines that wait for room in the queue; later additions do not block.
func (q *eventQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.notFull.Broadcast()
	q.mu.Unlock()
}
