package minheap

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// timed is an item ordered by its time alone; id distinguishes items with equal times.
type timed struct{ at, id int }

func (t *timed) Before(other *timed) bool { return t.at < other.at }

// reference implements heap.Interface for the same items.
type reference []timed

func (r reference) Len() int           { return len(r) }
func (r reference) Less(i, j int) bool { return r[i].at < r[j].at }
func (r reference) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reference) Push(x any)        { *r = append(*r, x.(timed)) }
func (r *reference) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// For random sequences of pushes and pops, items are popped in the same order as by container/heap, also items with
// equal times.
func TestSameOrderAsContainerHeap(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var items Heap[timed, *timed]
		var want reference
		for id := range 500 {
			if len(items) > 0 && rng.IntN(5) < 2 {
				if got, expected := items.Pop(), heap.Pop(&want).(timed); got != expected {
					t.Fatalf("seed %d, step %d: popped %+v, want %+v", seed, id, got, expected)
				}
				continue
			}
			item := timed{rng.IntN(20), id} // a small range, so that many items have equal times
			items.Push(item)
			heap.Push(&want, item)
		}
		for len(items) > 0 {
			if got, expected := items.Pop(), heap.Pop(&want).(timed); got != expected {
				t.Fatalf("seed %d: popped %+v, want %+v", seed, got, expected)
			}
		}
		if len(want) != 0 {
			t.Fatalf("seed %d: %d items are missing", seed, len(want))
		}
	}
}

// The heap's array does not keep popped items alive.
func TestPopClearsItsSlot(t *testing.T) {
	var items Heap[timed, *timed]
	items.Push(timed{1, 1})
	items.Push(timed{2, 2})
	items.Pop()
	items.Pop()
	if left := items[:2]; left[0] != (timed{}) || left[1] != (timed{}) {
		t.Errorf("the array still holds %v", left)
	}
}

// Push within the capacity of the slice and Pop do not allocate.
func TestNoAllocation(t *testing.T) {
	items := make(Heap[timed, *timed], 0, 64)
	if n := testing.AllocsPerRun(100, func() {
		for i := range 64 {
			items.Push(timed{64 - i, i})
		}
		for range 64 {
			items.Pop()
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// sized is an item of the same size as the gateway's timers.
type sized struct {
	at    int
	words [10]uint64
}

func (s *sized) Before(other *sized) bool { return s.at < other.at }

// BenchmarkPushPop uses a heap as large as the gateway's timer heap under load.
func BenchmarkPushPop(b *testing.B) {
	var items Heap[sized, *sized]
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		items.Push(sized{at: rng.IntN(1 << 20)})
	}
	for b.Loop() {
		first := items.Pop()
		first.at += rng.IntN(1 << 20)
		first.words[0]++
		items.Push(first)
	}
}
