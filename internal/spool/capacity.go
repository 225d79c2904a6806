package spool

import (
	"foxlane/rules"
)

// This file decides what may be stored: reservations, quotas and eviction. Invariant: diskBytes is the sum of
// tenantBytes, and that of reserved and bytes over all results.

// reserve reserves capacity before a query is sent, so that a full store rejects only queries that never ran.
func (s *Store) reserve(e Reserve) {
	need := min(s.sizes.estimate(e.Class, e.Shape), s.budget.MaxResultBytes)
	reason, after := s.makeRoom(e.Tenant, need)
	if reason == ReasonNone && e.Durable && s.diskLost {
		reason = ReasonDiskFailed
	}
	if reason == ReasonNone && s.results[e.ID] != nil {
		reason = ReasonTooMany // the same random ID was drawn twice
	}
	if reason != ReasonNone {
		s.stats.Rejected++
		s.emit(Rejected{ID: e.ID, Reason: reason, RetryAfter: after})
		return
	}
	r := &result{id: e.ID, secret: e.Secret, tenant: e.Tenant, class: e.Class, shape: e.Shape, durable: e.Durable, state: filling,
		created: s.now, leaseEnd: s.now + s.budget.LeaseTime, heapIndex: -1, requested: 1, onDisk: e.Durable && s.budget.DiskBytes > 0}
	s.results[e.ID] = r
	s.addReservation(r, need)
	s.stats.Reserved++
	s.emit(Granted{ID: e.ID})
}

func anyResult(*result) bool { return true }

// makeRoom says whether this much more may be stored; if not, why, and after what time it may be possible. Results
// whose lease has expired are evicted for it, only the tenant's own where its quota is what is used up.
func (s *Store) makeRoom(tenant uint64, need int64) (Reason, rules.Time) {
	if need > s.budget.MaxResultBytes {
		return ReasonTooLarge, 0
	}
	if len(s.results) >= s.budget.MaxResults && !s.evict(anyResult) {
		return ReasonTooMany, s.nextEviction(anyResult)
	}
	ofTenant := func(r *result) bool { return r.tenant == tenant }
	for s.tenantBytes[tenant]+need > s.budget.MaxTenantBytes {
		if !s.evict(ofTenant) {
			return ReasonQuota, s.nextEviction(ofTenant)
		}
	}
	for s.diskBytes+need > s.capacity() {
		if !s.evict(anyResult) {
			return ReasonCapacity, s.nextEviction(anyResult)
		}
	}
	return ReasonNone, 0
}

// capacity is how many bytes may be stored in all: on the disk, or in memory where there is no disk.
func (s *Store) capacity() int64 {
	if s.diskLost || s.budget.DiskBytes == 0 {
		return s.budget.MemoryBytes
	}
	return s.budget.DiskBytes
}

// evict removes the result of the longest expired lease among those that match and have no reader, if there is one.
func (s *Store) evict(matches func(*result) bool) bool {
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

// nextEviction is the time until a matching result may be evicted; 0: there is none.
func (s *Store) nextEviction(matches func(*result) bool) rules.Time {
	after := rules.Time(0)
	for _, r := range s.leases {
		if left := max(r.leaseEnd-s.now, rules.Millisecond); matches(r) && (after == 0 || left < after) {
			after = left
		}
	}
	return after
}

// evictToBudget evicts after the budget became smaller. Results whose lease still runs stay until it expires;
// meanwhile nothing new is reserved.
func (s *Store) evictToBudget() {
	for s.diskBytes > s.capacity() && s.evict(anyResult) {
	}
}

func (s *Store) addReservation(r *result, n int64) {
	r.reserved += n
	s.tenantBytes[r.tenant] += n
	s.diskBytes += n
}

// useReservation takes the bytes of a page out of a result's reservation, which grows if need be: by half of what has
// arrived, else by what is missing. It returns why it can't grow, or ReasonNone.
func (s *Store) useReservation(r *result, n int64) Reason {
	if r.bytes+n > s.budget.MaxResultBytes {
		return ReasonTooLarge
	}
	if missing := n - r.reserved; missing > 0 {
		grow := max(missing, min(r.bytes/2, s.budget.MaxResultBytes-r.bytes-r.reserved))
		if reason, _ := s.makeRoom(r.tenant, grow); reason != ReasonNone {
			grow = missing
			if reason, _ := s.makeRoom(r.tenant, grow); reason != ReasonNone {
				return reason
			}
		}
		s.addReservation(r, grow)
	}
	r.reserved -= n
	r.bytes += n
	return ReasonNone
}

func (s *Store) returnReservation(r *result, n int64) {
	r.reserved -= n
	s.diskBytes -= n
	s.chargeTenant(r.tenant, -n)
}

// chargeTenant adds to a tenant's bytes. A tenant without any has no entry, so that the map does not grow for ever.
func (s *Store) chargeTenant(tenant uint64, n int64) {
	if s.tenantBytes[tenant] += n; s.tenantBytes[tenant] == 0 {
		delete(s.tenantBytes, tenant)
	}
}
