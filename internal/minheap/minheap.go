// Package minheap implements a binary min-heap over a slice of values.
//
// It replaces container/heap, which boxes every element in an interface and so costs an allocation for each timer or
// event. Elements are moved in the same order as by container/heap, so that both return equal elements in the same
// order; callers that replay recorded runs depend on that.
package minheap

// Item is a pointer to an element of type T that can be compared with other elements. Elements are passed by pointer,
// since copying two of them for each comparison took a seventh of the gateway's processor time.
type Item[T any] interface {
	*T
	// Before reports whether the item is strictly less than other, and so is popped first.
	Before(other *T) bool
}

// Heap is a min-heap of items. The smallest item is at index 0. The zero value is an empty heap.
type Heap[T any, P Item[T]] []T

// Push adds an item to the heap.
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

// Pop removes and returns the smallest item. The heap must not be empty. The slot freed at the end of the slice is
// cleared, so that the heap does not keep removed items alive.
func (h *Heap[T, P]) Pop() T {
	items := *h
	first, last := items[0], len(items)-1
	// The last item replaces the first and is sifted down. It stays in its slot until its final position is found, so
	// that each item on the path is moved only once; the result is the same as with swaps.
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
