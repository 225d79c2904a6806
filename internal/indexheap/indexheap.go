// Package indexheap implements binary min-heaps over slices of items that record their own index, so that an item can be
// moved or removed from any position. An item may be in several heaps, each of which has a number that the item knows
// its index by.
//
// Package minheap is for items that are only pushed and popped, and don't need an index.
package indexheap

// Item is an element of one or several heaps.
type Item[T any] interface {
	// Before reports whether the item is strictly less than other, and so is nearer to the front of a heap.
	Before(other T) bool
	// SetHeapIndex records the item's index in the heap with this number. A removed item keeps its last index.
	SetHeapIndex(heap, index int32)
}

// Push adds an item to the heap with this number and returns the heap. The smallest item is at index 0.
func Push[T Item[T]](items []T, item T, heap int32) []T {
	items = append(items, item)
	Fix(items, len(items)-1, heap)
	return items
}

// Fix restores the order of the heap with this number after the item at index has changed.
func Fix[T Item[T]](items []T, index int, heap int32) {
	item := items[index]
	for ; index > 0 && item.Before(items[(index-1)/2]); index = (index - 1) / 2 {
		items[index] = items[(index-1)/2]
		items[index].SetHeapIndex(heap, int32(index))
	}
	for {
		least := 2*index + 1
		if least >= len(items) {
			break
		}
		if least+1 < len(items) && items[least+1].Before(items[least]) {
			least++
		}
		if !items[least].Before(item) {
			break
		}
		items[index] = items[least]
		items[index].SetHeapIndex(heap, int32(index))
		index = least
	}
	items[index] = item
	item.SetHeapIndex(heap, int32(index))
}

// Remove removes the item at index from the heap with this number and returns the heap. The slot freed at the end of the
// slice is cleared, so that the heap does not keep the item alive.
func Remove[T Item[T]](items []T, index int, heap int32) []T {
	var none T
	last := len(items) - 1
	items[index], items[last] = items[last], none
	if items = items[:last]; index < last {
		Fix(items, index, heap)
	}
	return items
}
