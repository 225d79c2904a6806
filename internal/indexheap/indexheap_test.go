package indexheap

import (
	"math/rand/v2"
	"testing"
)

// job is in two heaps by the same time.
type job struct {
	at    int
	index [2]int32
}

func (j *job) Before(other *job) bool         { return j.at < other.at }
func (j *job) SetHeapIndex(heap, index int32) { j.index[heap] = index }

// After each push, change and removal, both heaps are in order, and each item knows its index in both.
func TestItemsKnowTheirIndex(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var heaps [2][]*job
		for step := range 300 {
			first := heaps[0]
			switch op := rng.IntN(4); {
			case op <= 1 || len(first) == 0:
				item := &job{at: rng.IntN(50)}
				for heap := range heaps {
					heaps[heap] = Push(heaps[heap], item, int32(heap))
				}
			case op == 2:
				item := first[rng.IntN(len(first))]
				item.at = rng.IntN(50)
				for heap := range heaps {
					Fix(heaps[heap], int(item.index[heap]), int32(heap))
				}
			default:
				item := first[rng.IntN(len(first))]
				for heap := range heaps {
					heaps[heap] = Remove(heaps[heap], int(item.index[heap]), int32(heap))
				}
			}
			for heap, items := range heaps {
				checkHeap(t, items, heap, step)
			}
		}
	}
}

func checkHeap(t *testing.T, items []*job, heap, step int) {
	t.Helper()
	for i, item := range items {
		if int(item.index[heap]) != i {
			t.Fatalf("step %d: the item at %d of heap %d has index %d", step, i, heap, item.index[heap])
		}
		if parent := items[(i-1)/2]; i > 0 && item.Before(parent) {
			t.Fatalf("step %d: heap %d is out of order at %d", step, heap, i)
		}
	}
	if spare := items[len(items):cap(items)]; len(spare) > 0 && spare[0] != nil {
		t.Fatalf("step %d: heap %d keeps a removed item alive", step, heap)
	}
}
