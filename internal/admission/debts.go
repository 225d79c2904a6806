package admission

import (
	"unsafe"

	"foxlane/rules"
)

// This file owns what is remembered of tenants and clients that have nothing open, in memory of fixed size. The
// heaviest are remembered exactly; the others share cells, which nobody can choose, since the hash is seeded. A debt
// is never remembered as less than it is.

const tableWays = 8 // entries of a set

// debt is what is remembered of a tenant or client that has nothing open: 24 bytes.
type debt struct {
	key         uint64 // 0: free
	virtualTime float64
	bookedUntil rules.Time
}

// debtTable is a set-associative table. In a full set the entry with the least virtual time is evicted, as
// in a space-saving sketch, so that the heaviest stay.
type debtTable struct {
	sets []debt
	mask uint64
}

// newDebtTable returns a table of at most so many bytes, and of one set at least.
func newDebtTable(bytes int) debtTable {
	n := 1
	for 2*n*tableWays*int(unsafe.Sizeof(debt{})) <= bytes {
		n *= 2
	}
	return debtTable{make([]debt, n*tableWays), uint64(n - 1)}
}

func (t *debtTable) bytes() int { return len(t.sets) * int(unsafe.Sizeof(debt{})) }

func (t *debtTable) set(key uint64) []debt {
	i := (key & t.mask) * tableWays
	return t.sets[i : i+tableWays]
}

// take returns the debt of a key and removes it.
func (t *debtTable) take(key uint64) (r debt, ok bool) {
	set := t.set(key)
	for i := range set {
		if set[i].key == key {
			r, set[i] = set[i], debt{}
			return r, true
		}
	}
	return debt{}, false
}

// put stores a debt and returns the one that was evicted for it (or the debt itself), if that still counts: its virtual time
// is over the floor, or its bookings are not over. A key of 0 means none.
func (t *debtTable) put(r debt, floor float64, now rules.Time) (lost debt) {
	set := t.set(r.key)
	least := 0
	for i := range set {
		if set[i].key == 0 || set[i].key == r.key || set[i].virtualTime <= floor && set[i].bookedUntil <= now {
			set[i] = r
			return debt{}
		}
		if set[i].virtualTime < set[least].virtualTime {
			least = i
		}
	}
	if set[least].virtualTime >= r.virtualTime {
		return r
	}
	lost, set[least] = set[least], r
	return lost
}

// debtSketch holds the debts that were evicted from the table: two rows of cells, in each the greatest virtual time
// that was put there. The lesser of a key's two cells is never under its debt, and seldom over: a count-min sketch
// of maxima. Debts are virtual times, which the virtual time of all overtakes, so that the sketch needs no sweep.
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

// cells returns the two cells of a key. The halves of one 64-bit hash serve as two hashes.
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
