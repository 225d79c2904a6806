package net

import (
	"runtime"
	"sync"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// This file owns the queue of events on their way to the reducer.

// eventQueue holds what has happened until the reducer takes it. Its bytes lie in
// an arena that is used again once the reducer is done with them.
type eventQueue struct {
	mu          sync.Mutex
	notFull     sync.Cond
	events      []gateway.Event
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

// enqueue adds an event with a copy of its bytes. Only those that carry bytes wait for room.
func (m *eventQueue) enqueue(e gateway.Event) {
	m.mu.Lock()
	for len(e.Data) > 0 && m.queuedBytes > m.maxBytes && !m.closed {
		m.notFull.Wait()
	}
	if len(e.Data) > 0 {
		from := len(m.arena)
		m.arena = append(m.arena, e.Data...)
		m.queuedBytes += len(e.Data)
		e.Data = m.arena[from:len(m.arena):len(m.arena)]
	}
	if len(m.events) == 0 {
		m.oldestAt = time.Now()
	}
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
		runtime.Gosched() // the reducer may go at once, not when the poller's next wait has lost its processor
	default:
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
func (m *eventQueue) drain(events []gateway.Event, arena []byte) ([]gateway.Event, []byte) {
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
