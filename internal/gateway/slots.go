package gateway

// slotID names one assignment of a slot: its index, which is used again, and its generation, which is not. An answer
// that arrives after the slot was freed names the former assignment, and so never the next entry of the slot.
type slotID uint64

const slotIndexBits = 32

// index returns the index of the slot.
func (id slotID) index() int { return int(id & (1<<slotIndexBits - 1)) }

// slotTable assigns slots to open connections or requests, so that a state machine can refer to them by number. The
// number of slots is fixed. The caller of allocate must make sure that a slot is free.
type slotTable[T any] struct {
	slots []slot[T]
	free  []int // indexes of the free slots
}

// slot is a place for one entry at a time.
type slot[T any] struct {
	entry      *T     // nil: free
	generation uint32 // number of entries so far; it wraps around, which takes longer than any answer is late
}

// newSlotTable returns a table with n free slots.
func newSlotTable[T any](n int) slotTable[T] {
	t := slotTable[T]{slots: make([]slot[T], n), free: make([]int, n)}
	for i := range t.free {
		t.free[i] = n - 1 - i
	}
	return t
}

// allocate assigns a free slot to an entry.
func (t *slotTable[T]) allocate(entry *T) slotID {
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := &t.slots[index]
	s.entry = entry
	s.generation++
	return slotID(s.generation)<<slotIndexBits | slotID(index)
}

// lookup returns the entry that a slot was assigned to, or nil if the slot has been freed since.
func (t *slotTable[T]) lookup(id slotID) *T {
	if s := &t.slots[id.index()]; slotID(s.generation) == id>>slotIndexBits {
		return s.entry
	}
	return nil
}

// release frees a slot.
func (t *slotTable[T]) release(id slotID) { t.releaseIndex(id.index()) }

// at returns the entry of the slot with an index, or nil if the slot is free. It is for answers that come at once, ahead
// of any other use of the slot.
func (t *slotTable[T]) at(index int) *T { return t.slots[index].entry }

// releaseIndex frees the slot with an index.
func (t *slotTable[T]) releaseIndex(index int) {
	t.slots[index].entry = nil
	t.free = append(t.free, index)
}
