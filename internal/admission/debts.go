package admission

import (
	"unsafe"

	"foxlane/rules"
)

// This file stores the debts of tenants and clients that have nothing open, in a fixed amount of memory. The largest
// debts are stored exactly. The others share cells of a sketch; clients can't choose their cell, since the hash is
// seeded. A stored debt is never less than the actual one.

const debtTableWays = 8 // entries per set

// debt is the stored state of a tenant or client that has nothing open. It takes 24 bytes.
type debt struct {
	key         uint64     // of the principal; 0: the entry is free
	virtualTime float64    // at which the principal resumes
	bookedUntil rules.Time // of a tenant: see tenantAccount; of a client: when the debt expires
}

// debtTable is a set-associative table. A full set evicts the entry with the least virtual time, as a space-saving
// sketch does, so that the largest debts remain.
type debtTable struct {
	sets []debt
	mask uint64
}

// newDebtTable returns a table of at most the given size in bytes, but with at least one set.
func newDebtTable(bytes int) debtTable {
	n := 1
	for 2*n*debtTableWays*int(unsafe.Sizeof(debt{})) <= bytes {
		n *= 2
	}
	return debtTable{make([]debt, n*debtTableWays), uint64(n - 1)}
}

func (t *debtTable) bytes() int { return len(t.sets) * int(unsafe.Sizeof(debt{})) }

func (t *debtTable) setOf(key uint64) []debt {
	i := (key & t.mask) * debtTableWays
	return t.sets[i : i+debtTableWays]
}

// remove deletes the debt of a key and returns it.
func (t *debtTable) remove(key uint64) (found debt, ok bool) {
	set := t.setOf(key)
	for i := range set {
		if set[i].key == key {
			found, set[i] = set[i], debt{}
			return found, true
		}
	}
	return debt{}, false
}

// put stores a debt. It replaces a free entry, the entry of the same key, or an obsolete one, whose virtual time is
// at most floor and whose bookedUntil has passed. If there is none, it returns the debt that did not fit: the one
// with the least virtual time, which may be entry itself. Otherwise the key of the result is 0.
func (t *debtTable) put(entry debt, floor float64, now rules.Time) (evicted debt) {
	set := t.setOf(entry.key)
	least := 0
	for i := range set {
		if set[i].key == 0 || set[i].key == entry.key || set[i].virtualTime <= floor && set[i].bookedUntil <= now {
			set[i] = entry
			return debt{}
		}
		if set[i].virtualTime < set[least].virtualTime {
			least = i
		}
	}
	if set[least].virtualTime >= entry.virtualTime {
		return entry
	}
	evicted, set[least] = set[least], entry
	return evicted
}

// debtSketch holds the debts that were evicted from the table. It is a count-min sketch of maxima: each of two rows
// maps a key to a cell, and a cell holds the greatest virtual time put there. The lesser of a key's two cells is
// never less than its debt, and seldom greater. Entries need no removal, since the virtual time of the controller
// overtakes them.
type debtSketch struct {
	rows [2][]float64
	mask uint64
}

func newDebtSketch(bytes int) debtSketch {
	n := 1
	for 2*2*n*8 <= bytes {
		n *= 2
	}
	return debtSketch{[2][]float64{make([]float64, n), make([]float64, n)}, uint64(n - 1)}
}

func (s *debtSketch) bytes() int { return 16 * len(s.rows[0]) }

// cells returns the two cells of a key. The two halves of a 64-bit hash serve as independent hashes.
func (s *debtSketch) cells(key uint64) (a, b *float64) {
	return &s.rows[0][key>>32&s.mask], &s.rows[1][(key^key>>29*0x9e3779b97f4a7c15)&s.mask]
}

func (s *debtSketch) put(key uint64, value float64) {
	a, b := s.cells(key)
	*a, *b = max(*a, value), max(*b, value)
}

func (s *debtSketch) get(key uint64) float64 {
	a, b := s.cells(key)
	return min(*a, *b)
}
