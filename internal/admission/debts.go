package admission

import (
	"math"
	"unsafe"

	"foxlane/rules"
)

// This file owns what is remembered of principals that have nothing open, in
// a room that does not grow. It never hands out more than it was given: the
// heaviest are followed exactly, the others share places that nobody can aim
// at, since the hash is seeded.

const tableWays = 8 // entries among which the lightest gives way

// debt is what is kept of a principal: 24 bytes.
type debt struct {
	key         uint64 // 0: free
	virtualTime float64
	bookedUntil rules.Time
}

// debtTable is a set-associative table. In a full set the lightest record gives
// way, as in a space-saving sketch, so that what stays is the heaviest.
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

// take returns what is kept of a principal and forgets it.
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

// put keeps a record and returns the one that gave way to it, if any did that is still worth something:
// above the floor, or with a promise that is not over.
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

// debtSketch remembers the light ones together: two rows of places, in each the
// greatest value that was put there. The lesser of a principal's two places is
// never under what it owes, and seldom over: count-min with maxima. What it
// owes is a virtual time, which the clock that all share overtakes, so that
// the sketch needs no sweeping.
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

// The halves of one 64-bit hash serve as two hashes.
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

// StateBytes is what the door's state takes, but for strings of the settings.
func (c *Controller) StateBytes() int {
	n := c.tenantDebts.bytes() + c.clientDebts.bytes() + c.lightDebts.bytes() + c.bookings.bytes()
	n += len(c.requests)*int(unsafe.Sizeof(openRequest{})) + len(c.connections)*int(unsafe.Sizeof(connection{})) + cap(c.expiry)*8
	n += len(c.lastOfKey) * mapEntryBytes
	n += (len(c.tenants) + len(c.freeTenants)) * c.tenantBytes()
	n += c.clientCount() * c.clientBytes()
	for i := range c.flows {
		n += cap(c.flows[i].heap) * 8
	}
	return n + cap(c.effects)*int(unsafe.Sizeof(Effect{}))
}

// StateBound is what the state never passes. It follows from the sizes alone.
func (c *Controller) StateBound() int {
	n := c.tenantDebts.bytes() + c.clientDebts.bytes() + c.lightDebts.bytes() + c.bookings.bytes()
	n += c.limits.Requests * (int(unsafe.Sizeof(openRequest{})) + 2*8 + mapEntryBytes)
	n += c.limits.ConnectionSlots * (int(unsafe.Sizeof(connection{})) + 2*c.tenantBytes() + 4*c.clientBytes() + 4*8*len(c.classes))
	return n + 4*(c.limits.Requests+c.limits.ConnectionSlots+8)*int(unsafe.Sizeof(Effect{}))
}

const mapEntryBytes = 48 // bytes of a place in one of Go's maps with small keys and values, about

func (c *Controller) tenantBytes() int {
	return int(unsafe.Sizeof(tenantAccount{})) + len(c.classes)*int(unsafe.Sizeof(tenantFlow{})) + mapEntryBytes + 2*8
}

func (c *Controller) clientBytes() int {
	return int(unsafe.Sizeof(clientAccount{})) + len(c.classes)*int(unsafe.Sizeof(clientQueue{})) + 3*8
}

func (c *Controller) clientCount() int {
	n := len(c.freeClients)
	for _, tenant := range c.tenants {
		n += len(tenant.clients)
	}
	return n
}

const maxMeanWeight = 32 // samples

// decayingMean is a mean that forgets: a sample's weight halves as others follow.
type decayingMean struct {
	value, weight float64
}

func (e *decayingMean) start(v float64) { e.value, e.weight = v, 1 }

func (e *decayingMean) add(v float64) {
	e.weight = min(e.weight+1, maxMeanWeight)
	e.value += (v - e.value) / e.weight
}

// decayingRate is an amount per time that forgets over a span.
type decayingRate struct {
	sum       float64
	updatedAt rules.Time
	startedAt rules.Time // since when it counts
	span      float64
}

func (r *decayingRate) decay(now rules.Time) {
	if r.startedAt == 0 {
		r.startedAt, r.updatedAt = now, now
	}
	if now > r.updatedAt {
		r.sum *= math.Exp(-float64(now-r.updatedAt) / r.span)
		r.updatedAt = now
	}
}

func (r *decayingRate) add(now rules.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// rate is amount per microsecond. Until the span has passed once, what was seen counts for the time that it took.
func (r *decayingRate) rate(now rules.Time) float64 {
	r.decay(now)
	seen := 1 - math.Exp(-float64(now-r.startedAt)/r.span)
	if seen < 0.02 {
		return 0
	}
	return r.sum / (r.span * seen)
}
