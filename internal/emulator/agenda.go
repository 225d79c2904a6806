package emulator

import (
	"container/heap"

	"foxlane/rules"
)

// agenda is what is still to happen, by time and then in the order in which it was put down.
type agenda struct {
	items itemHeap
	order uint64
}

type item struct {
	at    rules.Time
	order uint64
	do    func()
}

type itemHeap []item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)   { *h = append(*h, x.(item)) }
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = item{}
	*h = (*h)[:last]
	return x
}

func (a *agenda) add(at rules.Time, do func()) {
	a.order++
	heap.Push(&a.items, item{at, a.order, do})
}

// next takes out what happens first, up to and including until.
func (a *agenda) next(until rules.Time) (item, bool) {
	if len(a.items) == 0 || a.items[0].at > until {
		return item{}, false
	}
	return heap.Pop(&a.items).(item), true
}
