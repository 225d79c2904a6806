package minheap

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// timed is an item whose order is decided by its time alone; id tells equal ones apart.
type timed struct{ at, id int }

func (t *timed) Before(other *timed) bool { return t.at < other.at }

// reference is the same heap on container/heap.
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

// Items leave in the order in which container/heap gives them, those with equal keys too, for random sequences of pushes
// and pops.
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
			item := timed{rng.IntN(20), id} // few keys: many are equal
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

// What was taken out isn't kept alive by the heap's array.
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

// A push into an array that is large enough and a pop allocate nothing.
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

// sized is an item as large as the gateway's timers.
type sized struct {
	at    int
	words [10]uint64
}

func (s *sized) Before(other *sized) bool { return s.at < other.at }

// BenchmarkPushPop has the size of the gateway's heap of timers under load.
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
