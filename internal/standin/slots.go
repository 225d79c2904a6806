package standin

import (
	"sync"
	"time"
)

// Slots are an engine's cores: so many requests run, the others wait in line
// in the order in which they came.
type Slots struct {
	mu   sync.Mutex
	free []time.Time // when each is free
	part float64     // of the speed
}

// NewSlots returns so many, all free.
func NewSlots(n int) *Slots { return &Slots{free: make([]time.Time, n), part: 1} }

// Use returns how long a request takes that comes now, with its wait.
func (s *Slots) Use(work time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i := range s.free {
		if s.free[i].Before(s.free[first]) {
			first = i
		}
	}
	now := time.Now()
	start := s.free[first]
	if start.Before(now) {
		start = now
	}
	s.free[first] = start.Add(time.Duration(float64(work) / s.part))
	return s.free[first].Sub(now)
}

// Slow makes every request that comes from now on take longer: part is that of the full speed.
func (s *Slots) Slow(part float64) {
	s.mu.Lock()
	s.part = part
	s.mu.Unlock()
}
