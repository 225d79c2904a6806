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

const ways = 8 // entries among which the lightest gives way

// record is what is kept of a principal: 24 bytes.
type record struct {
	key      uint64 // 0: free
	value    float64
	promised rules.Time
}

// table is a set-associative table. In a full set the lightest record gives
// way, as in a space-saving sketch, so that what stays is the heaviest.
type table struct {
	sets []record
	mask uint64
}

// newTable returns a table of at most so many bytes, and of one set at least.
func newTable(bytes int) table {
	n := 1
	for 2*n*ways*int(unsafe.Sizeof(record{})) <= bytes {
		n *= 2
	}
	return table{make([]record, n*ways), uint64(n - 1)}
}

func (t *table) bytes() int { return len(t.sets) * int(unsafe.Sizeof(record{})) }

func (t *table) set(key uint64) []record {
	i := (key & t.mask) * ways
	return t.sets[i : i+ways]
}

// take returns what is kept of a principal and forgets it.
func (t *table) take(key uint64) (r record, ok bool) {
	set := t.set(key)
	for i := range set {
		if set[i].key == key {
			r, set[i] = set[i], record{}
			return r, true
		}
	}
	return record{}, false
}

// put keeps a record and returns the one that gave way to it, if any did that is still worth something:
// above the floor, or with a promise that is not over.
func (t *table) put(r record, floor float64, now rules.Time) (lost record) {
	set := t.set(r.key)
	least := 0
	for i := range set {
		if set[i].key == 0 || set[i].key == r.key || set[i].value <= floor && set[i].promised <= now {
			set[i] = r
			return record{}
		}
		if set[i].value < set[least].value {
			least = i
		}
	}
	if set[least].value >= r.value {
		return r
	}
	lost, set[least] = set[least], r
	return lost
}

// sketch remembers the light ones together: two rows of places, in each the
// greatest value that was put there. The lesser of a principal's two places is
// never under what it owes, and seldom over: count-min with maxima. What it
// owes is a virtual time, which the clock that all share overtakes, so that
// the sketch needs no sweeping.
type sketch struct {
	rows [2][]float64
	mask uint64
}

func newSketch(bytes int) sketch {
	n := 1
	for 2*2*n*8 <= bytes {
		n *= 2
	}
	return sketch{[2][]float64{make([]float64, n), make([]float64, n)}, uint64(n - 1)}
}

func (s *sketch) bytes() int { return 16 * len(s.rows[0]) }

// The halves of one 64-bit hash serve as two hashes.
func (s *sketch) places(key uint64) (a, b *float64) {
	return &s.rows[0][key>>32&s.mask], &s.rows[1][(key^key>>29*0x9e3779b97f4a7c15)&s.mask]
}

func (s *sketch) put(key uint64, value float64) {
	a, b := s.places(key)
	*a, *b = max(*a, value), max(*b, value)
}

func (s *sketch) get(key uint64) float64 {
	a, b := s.places(key)
	return min(*a, *b)
}

// StateBytes is what the door's state takes, but for strings of the settings.
func (d *Door) StateBytes() int {
	n := d.debts.bytes() + d.inner.bytes() + d.sketch.bytes() + d.pledges.bytes()
	n += len(d.asks)*int(unsafe.Sizeof(ask{})) + len(d.conns)*int(unsafe.Sizeof(conn{})) + cap(d.late)*8
	n += len(d.chains) * mapEntry
	n += (len(d.tenants) + len(d.spare)) * d.tenantBytes()
	n += d.clientCount() * d.clientBytes()
	for i := range d.flows {
		n += cap(d.flows[i].heap) * 8
	}
	return n + cap(d.out)*int(unsafe.Sizeof(Effect{}))
}

// StateBound is what the state never passes. It follows from the sizes alone.
func (d *Door) StateBound() int {
	n := d.debts.bytes() + d.inner.bytes() + d.sketch.bytes() + d.pledges.bytes()
	n += d.sizes.Asks * (int(unsafe.Sizeof(ask{})) + 2*8 + mapEntry)
	n += d.sizes.Conns * (int(unsafe.Sizeof(conn{})) + 2*d.tenantBytes() + 4*d.clientBytes() + 4*8*len(d.classes))
	return n + 4*(d.sizes.Asks+d.sizes.Conns+8)*int(unsafe.Sizeof(Effect{}))
}

const mapEntry = 48 // bytes of a place in one of Go's maps with small keys and values, about

func (d *Door) tenantBytes() int {
	return int(unsafe.Sizeof(tenant{})) + len(d.classes)*int(unsafe.Sizeof(flow{})) + mapEntry + 2*8
}

func (d *Door) clientBytes() int {
	return int(unsafe.Sizeof(client{})) + len(d.classes)*int(unsafe.Sizeof(line{})) + 3*8
}

func (d *Door) clientCount() int {
	n := len(d.spares)
	for _, t := range d.tenants {
		n += len(t.clients)
	}
	return n
}

const estimateSpan = 32 // samples

// estimate is a mean that forgets: a sample's weight halves as others follow.
type estimate struct {
	value, weight float64
}

func (e *estimate) start(v float64) { e.value, e.weight = v, 1 }

func (e *estimate) add(v float64) {
	e.weight = min(e.weight+1, estimateSpan)
	e.value += (v - e.value) / e.weight
}

// flowRate is an amount per time that forgets over a span.
type flowRate struct {
	sum  float64
	at   rules.Time
	from rules.Time // since when it counts
	span float64
}

func (r *flowRate) decay(now rules.Time) {
	if r.from == 0 {
		r.from, r.at = now, now
	}
	if now > r.at {
		r.sum *= math.Exp(-float64(now-r.at) / r.span)
		r.at = now
	}
}

func (r *flowRate) add(now rules.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// rate is amount per microsecond. Until the span has passed once, what was seen counts for the time that it took.
func (r *flowRate) rate(now rules.Time) float64 {
	r.decay(now)
	seen := 1 - math.Exp(-float64(now-r.from)/r.span)
	if seen < 0.02 {
		return 0
	}
	return r.sum / (r.span * seen)
}
