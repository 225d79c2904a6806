package transport

import (
	"runtime"
	"sync"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// This file has the queue of events on their way to the reducer.

// queuedEvent is an event in the queue. Received bytes lie in it by value, so that they cost no allocation each.
type queuedEvent struct {
	event    gateway.Event // nil: it is received
	received gateway.DataReceived
}

// get returns the event, valid until the queue's buffers are used again.
func (q *queuedEvent) get() gateway.Event {
	if q.event == nil {
		return &q.received
	}
	return q.event
}

// eventQueue holds events until the reducer's goroutine takes them. The bytes of events lie in an arena. Events and arena
// are used again, in turn with those that the reducer's goroutine has taken.
type eventQueue struct {
	mu          sync.Mutex
	notFull     sync.Cond
	events      []queuedEvent
	arena       []byte
	queuedBytes int
	maxBytes    int           // beyond which no more bytes are taken, and reading stops
	maxArena    int           // capacity of an arena that is used again
	ready       chan struct{} // holds a value once there is something to take
	closed      bool
	oldestAt    time.Time // when the oldest event came
}

func newEventQueue(l config.Limits) *eventQueue {
	q := &eventQueue{ready: make(chan struct{}, 1), maxBytes: l.EventQueueBytes, maxArena: l.EventBufferBytes}
	q.notFull.L = &q.mu
	return q
}

// enqueue adds an event that carries no bytes. It never waits.
func (q *eventQueue) enqueue(event gateway.Event) {
	q.mu.Lock()
	q.add(queuedEvent{event: event})
	q.mu.Unlock()
	q.wakeReducer()
}

// enqueueReceived adds bytes that came on a connection, once there is room.
func (q *eventQueue) enqueueReceived(conn gateway.ConnID, data []byte) {
	q.mu.Lock()
	q.add(queuedEvent{received: gateway.DataReceived{Conn: conn, Data: q.copyIn(data)}})
	q.mu.Unlock()
	q.wakeReducer()
}

// enqueueBytes adds an event that is made from a copy of bytes, once there is room.
func (q *eventQueue) enqueueBytes(data []byte, event func(copied []byte) gateway.Event) {
	q.mu.Lock()
	q.add(queuedEvent{event: event(q.copyIn(data))})
	q.mu.Unlock()
	q.wakeReducer()
}

// copyIn copies bytes into the arena. Where too many wait, it first waits for room. The caller holds the lock.
func (q *eventQueue) copyIn(data []byte) []byte {
	if len(data) == 0 {
		return data
	}
	for q.queuedBytes > q.maxBytes && !q.closed {
		q.notFull.Wait()
	}
	from := len(q.arena)
	q.arena = append(q.arena, data...)
	q.queuedBytes += len(data)
	return q.arena[from:len(q.arena):len(q.arena)]
}

// add appends an event. The caller holds the lock.
func (q *eventQueue) add(event queuedEvent) {
	if len(q.events) == 0 {
		q.oldestAt = time.Now()
	}
	q.events = append(q.events, event)
}

func (q *eventQueue) wakeReducer() {
	if q.signal() {
		runtime.Gosched() // the reducer may go at once, not when the poller's next wait has lost its processor
	}
}

// signal has the reducer's goroutine look at the queue. It answers whether no signal was under way.
func (q *eventQueue) signal() bool {
	select {
	case q.ready <- struct{}{}:
		return true
	default:
		return false
	}
}

// oldestAge is for how long the oldest event has waited; 0: there is none.
func (q *eventQueue) oldestAge() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return 0
	}
	return time.Since(q.oldestAt)
}

// drain takes all events, and gives the buffers of the last iteration back.
func (q *eventQueue) drain(events []queuedEvent, arena []byte) ([]queuedEvent, []byte) {
	clear(events)
	if cap(arena) > q.maxArena {
		arena = nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	outEvents, outArena := q.events, q.arena
	q.events, q.arena, q.queuedBytes = events[:0], arena[:0], 0
	q.notFull.Broadcast()
	return outEvents, outArena
}

// close ends all waits for room, now and later.
func (q *eventQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.notFull.Broadcast()
	q.mu.Unlock()
}
