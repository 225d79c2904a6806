// Package minheap is a binary heap over a slice of values, the smallest first.
//
// It exists beside container/heap because that boxes every element in an interface, which costs an allocation for each timer
// or event. Elements are moved in the same order as container/heap moves them, so that elements that compare equal leave
// the two in the same order; callers that replay recorded runs depend on that.
package minheap

// Item is the pointer to an element that can be compared with others of its type. Elements are compared by pointer, since
// copying two of them for each comparison took a seventh of the gateway's processor time.
type Item[T any] interface {
	*T
	// Before reports whether the item comes out strictly ahead of other.
	Before(other *T) bool
}

// Heap holds items, the first of them at index 0. The zero value is an empty heap.
type Heap[T any, P Item[T]] []T

// Push adds an item.
func (h *Heap[T, P]) Push(item T) {
	items := append(*h, item)
	child := len(items) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !P(&items[child]).Before(&items[parent]) {
			break
		}
		items[child], items[parent] = items[parent], items[child]
		child = parent
	}
	*h = items
}

// Pop removes the first item and returns it. The heap must not be empty. The slot that the last item leaves is cleared, so that
// the heap keeps nothing alive that has been taken out.
func (h *Heap[T, P]) Pop() T {
	items := *h
	first, last := items[0], len(items)-1
	// The last item takes the first one's place and sinks. It stays in its slot until its new place is found, so that each
	// item on the way is moved once; the result is that of swaps.
	sinking, hole := &items[last], 0
	for {
		child := 2*hole + 1
		if child >= last {
			break
		}
		if right := child + 1; right < last && P(&items[right]).Before(&items[child]) {
			child = right
		}
		if !P(&items[child]).Before(sinking) {
			break
		}
		items[hole] = items[child]
		hole = child
	}
	items[hole] = *sinking
	var zero T
	items[last] = zero
	*h = items[:last]
	return first
}
