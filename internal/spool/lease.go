package spool

import "slices"

// This file handles leases. A completed result is kept until its lease expires, and for another lease time unless its
// capacity is needed. Store.leases holds exactly the completed results.

func (s *Store) renewLease(r *result) {
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.fix(r)
}

// expire removes the results whose lease expired at least one lease time ago. A result with a reader gets a new lease
// instead.
func (s *Store) expire() {
	for len(s.leases) > 0 {
		r := s.leases[0]
		if r.readerCount > 0 && r.leaseEnd+s.budget.LeaseTime <= s.now {
			s.renewLease(r) // a slow reader is still reading its chunk
			continue
		}
		if r.leaseEnd+s.budget.LeaseTime > s.now {
			return
		}
		s.stats.Expired++
		s.remove(r, ReasonLeaseExpired)
	}
}

// setTimer requests the next TimerFired event if its time has changed.
func (s *Store) setTimer() {
	if len(s.leases) == 0 {
		s.timerAt = 0
		return
	}
	if at := s.leases[0].leaseEnd + s.budget.LeaseTime; at != s.timerAt {
		s.timerAt = at
		s.emit(SetTimer{At: at})
	}
}

// leaseHeap is a min-heap of results, ordered by the end of their lease. Each result stores its index in the heap.
type leaseHeap []*result

func (h *leaseHeap) push(r *result) {
	r.heapIndex = len(*h)
	*h = append(*h, r)
	h.sift(r.heapIndex)
}

// fix restores the heap order after the lease of a result changed. A result outside the heap is ignored.
func (h *leaseHeap) fix(r *result) {
	if r.heapIndex >= 0 {
		h.sift(r.heapIndex)
	}
}

func (h *leaseHeap) remove(r *result) {
	heap, i, last := *h, r.heapIndex, len(*h)-1
	if i < 0 {
		return
	}
	r.heapIndex = -1
	heap[i], heap[last] = heap[last], nil
	if *h = heap[:last]; i < last {
		h.sift(i)
	}
}

// sift moves the result at index i up or down to its place in the heap.
func (h leaseHeap) sift(i int) {
	less := func(a, b int) bool { return h[a].leaseEnd < h[b].leaseEnd }
	swap := func(a, b int) { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
	h[i].heapIndex = i
	for ; i > 0 && less(i, (i-1)/2); i = (i - 1) / 2 {
		swap(i, (i-1)/2)
	}
	for {
		smallest := 2*i + 1
		if smallest >= len(h) {
			return
		}
		if smallest+1 < len(h) && less(smallest+1, smallest) {
			smallest++
		}
		if !less(smallest, i) {
			return
		}
		swap(i, smallest)
		i = smallest
	}
}

func sortByID(results []*result) {
	slices.SortFunc(results, func(a, b *result) int { return slices.Compare(a.id[:], b.id[:]) })
}
