package gateway

// slotTable numbers things that are open at once, so that a state machine can name them by small integers. The number of slots is
// fixed; whoever allocates has made sure that one is free.
type slotTable[T any] struct {
	entries []*T // nil: free
	free    []int
}

func newSlotTable[T any](n int) slotTable[T] {
	s := slotTable[T]{entries: make([]*T, n), free: make([]int, n)}
	for i := range s.free {
		s.free[i] = n - 1 - i
	}
	return s
}

func (s *slotTable[T]) allocate(entry *T) int {
	slot := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.entries[slot] = entry
	return slot
}

func (s *slotTable[T]) release(slot int) {
	s.entries[slot] = nil
	s.free = append(s.free, slot)
}
