package admission

import (
	"cmp"
	"slices"
)

// This file owns the change to other settings while requests are held. It never
// answers a request for it, and never lets two of one key change places.

// Retune goes over to other settings. What is held is queued anew, under the
// principals that hold from now on; what tenants owe stays with their names.
func (d *Door) retune(set Settings, declared []string) {
	var held []*ask
	for i := range d.asks {
		if a := &d.asks[i]; a.state == askChained || a.state == askQueued {
			held = append(held, a)
		}
	}
	slices.SortFunc(held, func(a, b *ask) int { return cmp.Compare(b.seq, a.seq) })
	for _, a := range held { // the last of a key first, so that none gets its turn by it
		d.unhold(a)
	}
	d.set = set
	d.who = newDirectory(set, declared, d.seed)
	for i := range d.conns {
		if k := &d.conns[i]; k.state != connNone {
			k.from = d.who.from(k.addr)
			d.settle(k, d.who.of(k.from, k.told))
		}
	}
	slices.Reverse(held)
	for _, a := range held {
		d.move(a, d.enter(d.who.of(d.conns[a.conn].from, a.name)))
		a.latest = d.latest(a)
		d.hold(a)
	}
}

// move hands a request that is not in any line to another principal. One that has passed stays with whom it was charged to.
func (d *Door) move(a *ask, c *client) {
	old := a.client
	if old == c {
		return
	}
	old.asks--
	old.tenant.bytes -= int(a.bytes)
	c.asks++
	c.tenant.bytes += int(a.bytes)
	a.client = c
	d.leave(old)
}
