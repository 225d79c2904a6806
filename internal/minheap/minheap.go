// Package minheap is a binary heap over a slice of values, the smallest first.
//
// It exists beside container/heap because that boxes every element in an interface, which costs an allocation for each timer
// or event. Elements are moved in the same order as container/heap moves them, so that elements that compare equal leave
// the two in the same order; callers that replay recorded runs depend on that.
package minheap

// Item is an element that can be compared with others of its type.
type Item[T any] interface {
	// Before reports whether the item comes out strictly ahead of other.
	Before(other T) bool
}

// Heap holds items, the first of them at index 0. The zero value is an empty heap.
type Heap[T Item[T]] []T

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	items := append(*h, item)
	child := len(items) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !items[child].Before(items[parent]) {
			break
		}
		items[child], items[parent] = items[parent], items[child]
		child = parent
	}
	*h = items
}

// Pop removes the first item and returns it. The heap must not be empty. The slot that the item leaves is cleared, so that the
// heap keeps nothing alive that has been taken out.
func (h *Heap[T]) Pop() T {
	items := *h
	first, last := items[0], len(items)-1
	var zero T
	items[0], items[last] = items[last], zero
	items = items[:last]
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= len(items) {
			break
		}
		if right := child + 1; right < len(items) && items[right].Before(items[child]) {
			child = right
		}
		if !items[child].Before(items[parent]) {
			break
		}
		items[parent], items[child] = items[child], items[parent]
		parent = child
	}
	*h = items
	return first
}
