package gateway

// slotTable assigns small integers to open connections or requests, so that a state machine can refer to them by
// number. The number of slots is fixed. The caller of allocate must make sure that a slot is free.
type slotTable[T any] struct {
	entries []*T // nil: free
	free    []int
}

// newSlotTable returns a table with n free slots.
func newSlotTable[T any](n int) slotTable[T] {
	s := slotTable[T]{entries: make([]*T, n), free: make([]int, n)}
	for i := range s.free {
		s.free[i] = n - 1 - i
	}
	return s
}

// allocate assigns a free slot to an entry.
func (s *slotTable[T]) allocate(entry *T) int {
	slot := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.entries[slot] = entry
	return slot
}

// release frees a slot.
func (s *slotTable[T]) release(slot int) {
	s.entries[slot] = nil
	s.free = append(s.free, slot)
}
