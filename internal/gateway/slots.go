package gateway

// slotTable gives numbers to what is open.
type slotTable[T any] struct {
	entries []*T
	free    []int
}

func newSlotTable[T any](n int) slotTable[T] {
	s := slotTable[T]{entries: make([]*T, n), free: make([]int, n)}
	for i := range s.free {
		s.free[i] = n - 1 - i
	}
	return s
}

func (s *slotTable[T]) allocate(v *T) int {
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.entries[i] = v
	return i
}

func (s *slotTable[T]) release(i int) {
	s.entries[i] = nil
	s.free = append(s.free, i)
}
