package standin

import (
	"sync"
	"time"
)

// Slots are an engine's cores: so many requests run, the others wait in line
// in the order in which they came.
type Slots struct {
	mu     sync.Mutex
	freeAt []time.Time // when each is free
	speed  float64     // of the speed
}

// NewSlots returns so many, all free.
func NewSlots(n int) *Slots { return &Slots{freeAt: make([]time.Time, n), speed: 1} }

// Reserve returns how long a request takes that comes now, with its wait.
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
	s.freeAt[first] = start.Add(time.Duration(float64(work) / s.speed))
	return s.freeAt[first].Sub(now)
}

// SetSpeed makes every request that comes from now on take longer: part is that of the full speed.
func (s *Slots) SetSpeed(part float64) {
	s.mu.Lock()
	s.speed = part
	s.mu.Unlock()
}
