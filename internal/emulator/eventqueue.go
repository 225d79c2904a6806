package emulator

import (
	"container/heap"

	"foxlane/rules"
)

// eventQueue is what is still to happen, by time and then in the order in which it was put down.
type eventQueue struct {
	heap         eventHeap
	lastSequence uint64
}

type event struct {
	at       rules.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

func (a *eventQueue) schedule(at rules.Time, do func()) {
	a.lastSequence++
	heap.Push(&a.heap, event{at, a.lastSequence, do})
}

// popUntil takes out what happens first, up to and including until.
func (a *eventQueue) popUntil(until rules.Time) (event, bool) {
	if len(a.heap) == 0 || a.heap[0].at > until {
		return event{}, false
	}
	return heap.Pop(&a.heap).(event), true
}
