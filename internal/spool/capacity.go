package spool

import (
	"foxlane/rules"
)

// This file handles reservations, quotas and eviction. Invariant: diskBytes equals the sum of tenantBytes, and the sum
// of reserved and bytes of all results.

// reserve reserves capacity before a query is sent, so that a full store rejects a query before it has run.
func (s *Store) reserve(e Reserve) {
	need := min(s.sizes.estimate(e.Class, e.Shape), s.budget.MaxResultBytes)
	reason, retryAfter := s.ensureResultCount()
	if reason == ReasonNone {
		reason, retryAfter = s.ensureCapacity(e.Tenant, need)
	}
	if reason == ReasonNone && e.Durable && s.diskLost {
		reason = ReasonDiskFailed
	}
	if reason == ReasonNone && s.results[e.ID] != nil {
		reason = ReasonTooMany // the same random ID was drawn twice
	}
	if reason != ReasonNone {
		s.stats.Rejected++
		s.emit(Rejected{ID: e.ID, Reason: reason, RetryAfter: retryAfter})
		return
	}
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, shape: e.Shape, durable: e.Durable, state: filling,
		created: s.now, leaseEnd: s.now + s.budget.LeaseTime, heapIndex: noHeapIndex, requested: 1, onDisk: e.Durable && s.budget.DiskBytes > 0}
	s.results[e.ID] = r
	s.addReservation(r, need)
	s.stats.Reserved++
	s.emit(Granted{ID: e.ID})
}

func anyResult(*result) bool { return true }

// ensureResultCount ensures that one more result can be stored, evicting results with an expired lease if necessary. It returns
// the same as ensureCapacity.
func (s *Store) ensureResultCount() (Reason, rules.Time) {
	for len(s.results) >= s.budget.MaxResults {
		if !s.evictOne(anyResult) {
			return ReasonTooMany, s.timeToNextEviction(anyResult)
		}
	}
	return ReasonNone, 0
}

// ensureCapacity ensures that need more bytes of a tenant can be stored, evicting results with an expired lease if
// necessary. If the tenant's quota is exhausted, only results of that tenant are evicted. On failure it returns the
// reason, and the time after which a retry may succeed (0: unknown).
func (s *Store) ensureCapacity(tenant uint64, need int64) (Reason, rules.Time) {
	if need > s.budget.MaxResultBytes {
		return ReasonTooLarge, 0
	}
	ofTenant := func(r *result) bool { return r.tenant == tenant }
	for s.tenantBytes[tenant]+need > s.budget.MaxTenantBytes {
		if !s.evictOne(ofTenant) {
			return ReasonQuota, s.timeToNextEviction(ofTenant)
		}
	}
	for s.diskBytes+need > s.capacity() {
		if !s.evictOne(anyResult) {
			return ReasonCapacity, s.timeToNextEviction(anyResult)
		}
	}
	return ReasonNone, 0
}

// capacity returns the total number of bytes that may be stored: on the disk, or in memory if no disk is available.
func (s *Store) capacity() int64 {
	if s.diskLost || s.budget.DiskBytes == 0 {
		return s.budget.MemoryBytes
	}
	return s.budget.DiskBytes
}

// evictOne removes the result whose lease expired first among the matching results without readers. It returns false
// if there is none.
func (s *Store) evictOne(matches func(*result) bool) bool {
	var victim *result
	for _, r := range s.leases {
		if r.leaseEnd <= s.now && r.readerCount == 0 && matches(r) && (victim == nil || r.leaseEnd < victim.leaseEnd) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	s.stats.Evicted++
	s.remove(victim, ReasonLeaseExpired)
	return true
}

// timeToNextEviction returns the time until a matching result may be evicted, or 0 if there is none.
func (s *Store) timeToNextEviction(matches func(*result) bool) rules.Time {
	wait := rules.Time(0)
	for _, r := range s.leases {
		if remaining := max(r.leaseEnd-s.now, rules.Millisecond); matches(r) && (wait == 0 || remaining < wait) {
			wait = remaining
		}
	}
	return wait
}

// evictToBudget evicts results after the budget was reduced. Results with a running lease are kept until it expires;
// until then no capacity is reserved.
func (s *Store) evictToBudget() {
	for (s.diskBytes > s.capacity() || len(s.results) > s.budget.MaxResults) && s.evictOne(anyResult) {
	}
}

// OverBudget reports whether more is stored than the budget allows, since it was reduced or the disk is lost. Until the
// leases of enough results have expired, no capacity is reserved.
func (s *Store) OverBudget() bool {
	return s.diskBytes > s.capacity() || len(s.results) > s.budget.MaxResults
}

func (s *Store) addReservation(r *result, n int64) {
	r.reserved += n
	s.tenantBytes[r.tenant] += n
	s.diskBytes += n
}

// consumeReservation moves n bytes of a page from a result's reservation to its stored bytes. If the reservation is too
// small, it grows by half of the bytes that have arrived, or by the missing bytes if there is no capacity for more. It
// returns the reason if it can't grow, or ReasonNone.
func (s *Store) consumeReservation(r *result, n int64) Reason {
	if r.bytes+n > s.budget.MaxResultBytes {
		return ReasonTooLarge
	}
	if missing := n - r.reserved; missing > 0 {
		grow := max(missing, min(r.bytes/2, s.budget.MaxResultBytes-r.bytes-r.reserved))
		if reason, _ := s.ensureCapacity(r.tenant, grow); reason != ReasonNone {
			grow = missing
			if reason, _ := s.ensureCapacity(r.tenant, grow); reason != ReasonNone {
				return reason
			}
		}
		s.addReservation(r, grow)
	}
	r.reserved -= n
	r.bytes += n
	return ReasonNone
}

func (s *Store) releaseReservation(r *result, n int64) {
	r.reserved -= n
	s.diskBytes -= n
	s.chargeTenant(r.tenant, -n)
}

// chargeTenant adds n to a tenant's bytes. It deletes the entry of a tenant that has none left, so that the map does
// not grow without bound.
func (s *Store) chargeTenant(tenant uint64, n int64) {
	if s.tenantBytes[tenant] += n; s.tenantBytes[tenant] == 0 {
		delete(s.tenantBytes, tenant)
	}
}
