package admission

import "foxlane/rules"

// This file owns what each principal may have open: connections, requests,
// bytes of statements and of unfinished packets. It takes from nobody while
// there is room, and then from whoever holds the most beyond its share. It never
// gives up a request that has passed.

type connState uint8

const (
	connNone  connState = iota
	connFresh           // has asked for nothing yet
	connIdle
	connBusy // has a request
)

// conn is a client's connection.
type conn struct {
	slot    int32
	state   connState
	porch   bool  // came when there was no room for it
	ignored uint8 // times that it came too early, one after the other
	input   int32
	addr    Address
	from    origin
	told    uint64 // hash of the tenant that was told last
	home    *client
	since   rules.Time // when its state began
	until   rules.Time // it was told not to come earlier
}

// silence is for how long a connection may say nothing before it is the first to go where there is no
// room: a login and a command follow at once.
const silence = 500 * rules.Millisecond

func (d *Door) opened(slot int, from Address) {
	k := &d.conns[slot]
	*k = conn{slot: k.slot, addr: from, from: d.who.from(from), since: d.now, state: connFresh}
	k.home = d.enter(k.from.principal)
	k.home.conns++
	k.home.tenant.conns++
	if d.open++; d.open > d.sizes.Room {
		d.displace(k)
	}
}

func (d *Door) closed(k *conn) {
	if k.state == connNone {
		return
	}
	d.open--
	k.state = connNone
	d.unfinished(k, 0)
	c := k.home
	k.home = nil
	c.conns--
	c.tenant.conns--
	d.leave(c)
}

func (d *Door) enlist(k *conn, s connState) { k.state, k.since = s, d.now }

// settle moves a connection to the principal that its requests are of.
func (d *Door) settle(k *conn, p principal) {
	if c := k.home; c.name == p.client && c.tenant.key == p.tenant {
		if c.tenant.held == 0 {
			c.tenant.weight = p.weight
		}
		return
	}
	old := k.home
	k.home = d.enter(p)
	k.home.conns++
	k.home.tenant.conns++
	k.home.tenant.input += int(k.input)
	old.conns--
	old.tenant.conns--
	old.tenant.input -= int(k.input)
	d.leave(old)
}

// heaviest is the tenant that holds the most beyond its share of something, and by how much.
func (d *Door) heaviest(of int, holds func(*tenant) int) (most *tenant, beyond float64) {
	sum := 0.0
	for _, t := range d.tenants {
		sum += t.weight
	}
	for _, t := range d.tenants {
		if b := float64(holds(t)) - float64(of)*t.weight/sum; holds(t) > 0 && (most == nil || b > beyond) {
			most, beyond = t, b
		}
	}
	return most, beyond
}

func connsOf(t *tenant) int { return t.conns }
func bytesOf(t *tenant) int { return t.bytes }
func inputOf(t *tenant) int { return t.input }

func heldOf(t *tenant) int { return t.held }

// displace makes room for a connection that came over the limit: of those that had time to say
// something and did not, the longest silent; else from the tenant with the most beyond its share the
// longest silent or idle one, else the newest of its requests that is held. A newcomer for whom
// nothing may give way stays in the porch, if that has room: it may have a KILL to say, but it may
// not ask.
func (d *Door) displace(k *conn) {
	if v := d.quietest(connFresh, nil, k, d.now-silence); v != nil {
		d.evict(v, ForSilence)
		return
	}
	t, _ := d.heaviest(d.sizes.Room, connsOf)
	v := d.quietest(connFresh, t, k, d.now)
	if v == nil {
		v = d.quietest(connIdle, t, k, d.now)
	}
	if v != nil {
		d.evict(v, ForConns)
		return
	}
	if k.home.tenant != t {
		if a := d.newest(t, nil); a != nil {
			v := &d.conns[a.conn]
			d.turnAway(a, ForConns)
			d.evict(v, ForConns)
			return
		}
		if v := d.quietest(connIdle, nil, k, d.now); v != nil {
			d.evict(v, ForConns)
			return
		}
	}
	if k.porch = true; d.open >= len(d.conns) {
		d.evict(k, ForConns)
	}
}

// quietest is the connection that has been longest in a state, since a time or before, of a tenant or of all, but for one.
func (d *Door) quietest(s connState, of *tenant, not *conn, before rules.Time) (v *conn) {
	for i := range d.conns {
		k := &d.conns[i]
		if k.state == s && k != not && k.since <= before && (of == nil || k.home.tenant == of) && (v == nil || k.since < v.since) {
			v = k
		}
	}
	return v
}

func (d *Door) evict(k *conn, why Why) {
	after := rules.Time(0)
	if why == ForConns {
		after = d.tell(k.home, d.predict(0, 0), k)
	}
	d.stats.Evicted[why]++
	d.do(Effect{Kind: Evict, Conn: int(k.slot), Why: why, After: after})
	k.state = connBusy // not again
	k.since = d.now
}

// newest is the request that a tenant can best do without: of its client with the most of them held, the
// one that came last. One that came back when it was told to is spared while there is another.
func (d *Door) newest(t *tenant, spare *ask) (v *ask) {
	better := func(a, b *ask) bool {
		if a.booked != b.booked {
			return !a.booked
		}
		if a.client != b.client && a.client.held != b.client.held {
			return a.client.held > b.client.held
		}
		return a.at > b.at || a.at == b.at && a.slot > b.slot
	}
	for _, a := range d.late {
		if a.client.tenant == t && a != spare && (v == nil || better(a, v)) {
			v = a
		}
	}
	return v
}

// makeRoom gives up a held request where there are more than may be, or more bytes of statements. It
// answers whether the newcomer is still there.
func (d *Door) makeRoom(a *ask) bool {
	for d.taken >= d.sizes.Asks || d.bytes > d.sizes.Statements {
		holds, of := heldOf, d.sizes.Asks
		if d.bytes > d.sizes.Statements {
			holds, of = bytesOf, d.sizes.Statements
		}
		t, _ := d.heaviest(of, holds)
		v := a
		if t != nil && t != a.client.tenant {
			v = d.newest(t, nil)
		} else if o := d.newest(a.client.tenant, nil); o != nil {
			v = o
		}
		if v == nil {
			v = a
		}
		d.turnAway(v, ForRoom)
		if v == a {
			return false
		}
	}
	return true
}

// unfinished notes how much of a packet that is not whole a connection has. Where all have too much, the
// tenant with the most beyond its share loses its largest.
func (d *Door) unfinished(k *conn, bytes int) {
	if k.home == nil {
		return
	}
	more := bytes - int(k.input)
	k.input = int32(bytes)
	d.input += more
	k.home.tenant.input += more
	for d.input > d.sizes.Input {
		t, _ := d.heaviest(d.sizes.Input, inputOf)
		var v *conn
		for i := range d.conns {
			if o := &d.conns[i]; o.state != connNone && o.home.tenant == t && o.input > 0 && (v == nil || o.input > v.input) {
				v = o
			}
		}
		if v == nil {
			return
		}
		d.stats.Evicted[ForInput]++
		d.do(Effect{Kind: Breach, Conn: int(v.slot), Why: ForInput})
		d.input -= int(v.input)
		t.input -= int(v.input)
		v.input = 0
	}
}

// heed notes that a connection came before it was told to. Whoever goes on like that is not listened to
// any more: each of its refusals costs as much as a query.
func (d *Door) heed(k *conn) (enough bool) {
	if k.until <= d.now {
		k.ignored = 0
		return false
	}
	k.ignored++
	return int(k.ignored) > min(d.set.Ignored, 255-1) && d.held > d.set.Ahead
}
