package net

import (
	"runtime"
	"sync"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// This file owns the queue of events on their way to the reducer.

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

// eventQueue holds what has happened until the reducer takes it. Its bytes lie in
// an arena that is used again once the reducer is done with them.
type eventQueue struct {
	mu          sync.Mutex
	notFull     sync.Cond
	events      []queuedEvent
	arena       []byte
	queuedBytes int
	maxBytes    int // bytes that wait before reading stops
	maxArena    int // room of an arena that is used again
	ready       chan struct{}
	closed      bool
	oldestAt    time.Time // when the oldest event came
}

func newEventQueue(l config.Limits) *eventQueue {
	m := &eventQueue{ready: make(chan struct{}, 1), maxBytes: l.EventQueueBytes, maxArena: l.EventBufferBytes}
	m.notFull.L = &m.mu
	return m
}

// enqueue adds an event that carries no bytes. It never waits.
func (m *eventQueue) enqueue(event gateway.Event) {
	m.mu.Lock()
	m.add(queuedEvent{event: event})
	m.mu.Unlock()
	m.wakeReducer()
}

// enqueueReceived adds bytes that came on a connection, once there is room.
func (m *eventQueue) enqueueReceived(conn gateway.ConnID, data []byte) {
	m.mu.Lock()
	m.add(queuedEvent{received: gateway.DataReceived{Conn: conn, Data: m.copyIn(data)}})
	m.mu.Unlock()
	m.wakeReducer()
}

// enqueueBytes adds an event that is made from a copy of bytes, once there is room.
func (m *eventQueue) enqueueBytes(data []byte, event func(copied []byte) gateway.Event) {
	m.mu.Lock()
	m.add(queuedEvent{event: event(m.copyIn(data))})
	m.mu.Unlock()
	m.wakeReducer()
}

// copyIn copies bytes into the arena. Where too many wait, it first waits for room. The caller holds the lock.
func (m *eventQueue) copyIn(data []byte) []byte {
	if len(data) == 0 {
		return data
	}
	for m.queuedBytes > m.maxBytes && !m.closed {
		m.notFull.Wait()
	}
	from := len(m.arena)
	m.arena = append(m.arena, data...)
	m.queuedBytes += len(data)
	return m.arena[from:len(m.arena):len(m.arena)]
}

// add appends an event. The caller holds the lock.
func (m *eventQueue) add(event queuedEvent) {
	if len(m.events) == 0 {
		m.oldestAt = time.Now()
	}
	m.events = append(m.events, event)
}

func (m *eventQueue) wakeReducer() {
	if m.signal() {
		runtime.Gosched() // the reducer may go at once, not when the poller's next wait has lost its processor
	}
}

// signal has the reducer's goroutine look at the queue. It answers whether no signal was under way.
func (m *eventQueue) signal() bool {
	select {
	case m.ready <- struct{}{}:
		return true
	default:
		return false
	}
}

// oldestAge is for how long the oldest event has waited.
func (m *eventQueue) oldestAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.events) == 0 {
		return 0
	}
	return time.Since(m.oldestAt)
}

// drain swaps what has come for the buffers of the last turn.
func (m *eventQueue) drain(events []queuedEvent, arena []byte) ([]queuedEvent, []byte) {
	clear(events)
	if cap(arena) > m.maxArena {
		arena = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	outEvents, outArena := m.events, m.arena
	m.events, m.arena, m.queuedBytes = events[:0], arena[:0], 0
	m.notFull.Broadcast()
	return outEvents, outArena
}

func (m *eventQueue) close() {
	m.mu.Lock()
	m.closed = true
	m.notFull.Broadcast()
	m.mu.Unlock()
}
