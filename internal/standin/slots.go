package standin

import (
	"sync"
	"time"
)

// Slots models the slots of an engine, each of which runs one request at a time. Requests beyond that wait in the
// order of their arrival.
type Slots struct {
	mu     sync.Mutex
	freeAt []time.Time // when each slot is free
}

// NewSlots returns n free slots.
func NewSlots(n int) *Slots { return &Slots{freeAt: make([]time.Time, n)} }

// Reserve reserves the slot that is free first, and returns how long a request that arrives now takes, wait included.
func (s *Slots) Reserve(work time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[first]) {
			first = i
		}
	}
	now := time.Now()
	start := s.freeAt[first]
	if start.Before(now) {
		start = now
	}
	s.freeAt[first] = start.Add(work)
	return s.freeAt[first].Sub(now)
}
