package net

import (
	"runtime"
	"sync"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// This file owns the queue of events on their way to the reducer.

// mailbox holds what has happened until the reducer takes it. Its bytes lie in
// an arena that is used again once the reducer is done with them.
type mailbox struct {
	mu     sync.Mutex
	room   sync.Cond
	events []gateway.Event
	arena  []byte
	bytes  int
	most   int // bytes that wait before reading stops
	keep   int // room of an arena that is used again
	ready  chan struct{}
	closed bool
	since  time.Time // when the oldest event came
}

func newMailbox(l config.Limits) *mailbox {
	m := &mailbox{ready: make(chan struct{}, 1), most: l.Mailbox, keep: l.Arena}
	m.room.L = &m.mu
	return m
}

// put adds an event with a copy of its bytes. Only those that carry bytes wait for room.
func (m *mailbox) put(e gateway.Event) {
	m.mu.Lock()
	for len(e.Data) > 0 && m.bytes > m.most && !m.closed {
		m.room.Wait()
	}
	if len(e.Data) > 0 {
		from := len(m.arena)
		m.arena = append(m.arena, e.Data...)
		m.bytes += len(e.Data)
		e.Data = m.arena[from:len(m.arena):len(m.arena)]
	}
	if len(m.events) == 0 {
		m.since = time.Now()
	}
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
		runtime.Gosched() // the reducer may go at once, not when the poller's next wait has lost its processor
	default:
	}
}

// waited is for how long the oldest event has waited.
func (m *mailbox) waited() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.events) == 0 {
		return 0
	}
	return time.Since(m.since)
}

// take swaps what has come for the buffers of the last turn.
func (m *mailbox) take(events []gateway.Event, arena []byte) ([]gateway.Event, []byte) {
	clear(events)
	if cap(arena) > m.keep {
		arena = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	outEvents, outArena := m.events, m.arena
	m.events, m.arena, m.bytes = events[:0], arena[:0], 0
	m.room.Broadcast()
	return outEvents, outArena
}

func (m *mailbox) close() {
	m.mu.Lock()
	m.closed = true
	m.room.Broadcast()
	m.mu.Unlock()
}
