package spool

import (
	"slices"

	"foxlane/internal/indexheap"
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// This file handles leases. A completed result is kept until its lease expires, and for another lease time unless its
// capacity is needed. Store.leases holds exactly the completed results. The disk has a lease that ends later than that of
// a durable result, so that most renewals need no write, and that a result is not dropped at a start while its lease runs.

const (
	leaseExtensionDivisor = 2 // the disk's lease ends 1/leaseExtensionDivisor of a lease time later
	leaseWriteInterval    = 100 * rules.Millisecond
	maxLeaseWrites        = 100 // records that are written together
)

func (s *Store) renewLease(r *result) {
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.fix(r)
	s.storeLease(r)
}

// leaseToStore returns the end of the lease to write to the disk for a result.
func (s *Store) leaseToStore(r *result) rules.Time {
	return r.leaseEnd + s.budget.LeaseTime/leaseExtensionDivisor
}

// storeLease queues a write of the result's lease if the disk's ends before it.
func (s *Store) storeLease(r *result) {
	if !r.durable || !r.openWritten || r.leaseQueued || r.leaseEnd <= r.leaseStored {
		return
	}
	r.leaseQueued = true
	s.leaseWrites = append(s.leaseWrites, r)
}

// leaseWritesDue returns the time from which on queued leases may be written; 0: there is nothing to write.
func (s *Store) leaseWritesDue() rules.Time {
	if len(s.leaseWrites) == 0 || s.diskLost {
		return 0
	}
	return max(s.leaseWriteAt, s.now)
}

// writeLeases writes queued leases, maxLeaseWrites in a leaseWriteInterval, in the order in which they were queued.
func (s *Store) writeLeases() {
	if due := s.leaseWritesDue(); due == 0 || due > s.now {
		return
	}
	s.leaseWriteAt = s.now + leaseWriteInterval
	batch := s.leaseWrites[:min(len(s.leaseWrites), maxLeaseWrites)]
	s.leaseWrites = s.leaseWrites[len(batch):]
	for _, r := range batch {
		r.leaseQueued = false
		if s.results[r.id] == r {
			r.leaseStored = s.leaseToStore(r)
			s.writeRecord(r, segment.Lease, 0, segment.AppendLease(nil, int64(r.leaseStored)))
		}
	}
}

// storeLeasesAgain writes the leases of all results again whose last records may be lost.
func (s *Store) storeLeasesAgain() {
	again := slices.Clone(s.leases)
	sortByID(again) // so that the order of effects is deterministic
	for _, r := range again {
		r.leaseStored = 0
		s.storeLease(r)
	}
}

// handleLeaseWritten writes a lease again that the disk has not taken. The result itself is unharmed.
func (s *Store) handleLeaseWritten(r *result, failed bool) {
	if failed {
		r.leaseStored = 0
		s.storeLease(r)
	}
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
	at := s.leaseWritesDue()
	if len(s.leases) > 0 {
		if expiry := s.leases[0].leaseEnd + s.budget.LeaseTime; at == 0 || expiry < at {
			at = expiry
		}
	}
	if at != 0 && at != s.timerAt {
		s.emit(SetTimer{At: at})
	}
	s.timerAt = at
}

// noHeapIndex is the heapIndex of a result outside of the heap.
const noHeapIndex = -1

// leaseHeap is a min-heap of results, ordered by the end of their lease.
type leaseHeap []*result

// Before reports whether the lease of the result ends before that of another.
func (r *result) Before(other *result) bool { return r.leaseEnd < other.leaseEnd }

// SetHeapIndex records the result's index in the leaseHeap.
func (r *result) SetHeapIndex(_, index int32) { r.heapIndex = index }

func (h *leaseHeap) push(r *result) { *h = indexheap.Push(*h, r, 0) }

// fix restores the heap order after the lease of a result changed. A result outside the heap is ignored.
func (h *leaseHeap) fix(r *result) {
	if r.heapIndex != noHeapIndex {
		indexheap.Fix(*h, int(r.heapIndex), 0)
	}
}

func (h *leaseHeap) remove(r *result) {
	if i := int(r.heapIndex); i != noHeapIndex {
		r.heapIndex = noHeapIndex
		*h = indexheap.Remove(*h, i, 0)
	}
}

func sortByID(results []*result) {
	slices.SortFunc(results, func(a, b *result) int { return slices.Compare(a.id[:], b.id[:]) })
}
