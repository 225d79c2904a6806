package spool

import "slices"

// This file owns leases. A completed result is kept until its lease expires, and as long again while nobody needs
// the capacity. leaseHeap holds all completed results and no others.

func (s *Store) renewLease(r *result) {
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.fix(r)
}

// expire removes the results whose lease expired a whole lease time ago.
func (s *Store) expire() {
	for len(s.leases) > 0 {
		r := s.leases[0]
		if r.readerCount > 0 && r.leaseEnd+s.budget.LeaseTime <= s.now {
			s.renewLease(r) // a reader that takes long for one chunk is still reading
			continue
		}
		if r.leaseEnd+s.budget.LeaseTime > s.now {
			return
		}
		s.stats.Expired++
		s.remove(r, ReasonLeaseExpired)
	}
}

// setTimer asks for the next TimerFired, if its time has changed.
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

// leaseHeap is a heap of completed results by the end of their lease. Each result knows its index.
type leaseHeap []*result

func (h *leaseHeap) push(r *result) {
	r.heapIndex = len(*h)
	*h = append(*h, r)
	h.sift(r.heapIndex)
}

// fix restores the order after the lease of a result changed.
func (h *leaseHeap) fix(r *result) {
	if r.heapIndex >= 0 {
		h.sift(r.heapIndex)
	}
}

func (h *leaseHeap) remove(r *result) {
	s, i, last := *h, r.heapIndex, len(*h)-1
	if i < 0 {
		return
	}
	r.heapIndex = -1
	s[i], s[last] = s[last], nil
	if *h = s[:last]; i < last {
		h.sift(i)
	}
}

func (h leaseHeap) sift(i int) {
	less := func(a, b int) bool { return h[a].leaseEnd < h[b].leaseEnd }
	swap := func(a, b int) { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
	h[i].heapIndex = i
	for ; i > 0 && less(i, (i-1)/2); i = (i - 1) / 2 {
		swap(i, (i-1)/2)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			return
		}
		if least+1 < len(h) && less(least+1, least) {
			least++
		}
		if !less(least, i) {
			return
		}
		swap(i, least)
		i = least
	}
}

func sortByID(results []*result) {
	slices.SortFunc(results, func(a, b *result) int { return slices.Compare(a.id[:], b.id[:]) })
}
