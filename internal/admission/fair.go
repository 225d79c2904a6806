package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the order in which requests pass: start-time fair queueing
// over predicted work in two levels, tenants and the clients within each. It
// never holds a request back while the module has room for one of its class,
// and never turns round two requests of one key.
//
// A tenant's virtual time is the work that it was given over its weight, a
// client's the work within its tenant. Of those with something held in a class
// the least goes first. Classes are queued apart, since the class lottery is the
// module's and one class must not wait behind another, but work of any class
// moves the same virtual time.

const (
	none          = int32(-1)
	capacitySpan  = 1 * rules.Second
	staleLeast    = 50 * rules.Millisecond // requests in the module for longer than this and a run leave their place to others
	rememberFor   = 10 * rules.Second      // a client's debt within a tenant that others of it keep here
	toldLeast     = 0.125                  // part of its class's mean work that a request counts for at least
	doubtfulParts = 1.25                   // times its patience that a wait must be predicted to be refused for
)

type askState uint8

const (
	askNone    askState = iota
	askChained          // held, behind one of its key
	askQueued           // held
	askAhead            // passed, and counts as waiting in the module
	askPassed
)

// ask is a request.
type ask struct {
	slot       int32
	state      askState
	booked     bool // came back when it was told to
	class      int32
	conn       int32
	next, prev int32 // in its client's line, or among those ahead
	lateAt     int32 // in the heap of the held
	after      int32 // chained behind it by its key
	before     int32
	bytes      int32
	key        uint64 // 0: none
	name       uint64 // of the tenant that was told; 0: none
	seq        uint64
	client     *client
	at         rules.Time // when it came
	due        rules.Time
	latest     rules.Time // refused then, if still held
	passed     rules.Time
	work       float64 // predicted, and charged when it passed
	told       float64 // work as told; 0: not
	spent      float64 // engine time so far, all threads
	granted    rules.Time
	free       rules.Time // since when it need not have waited, as far as it was seen when it came
	promise    rules.Time // span that it was told when it was refused before
}

// line is what a client has queued of a class, oldest first; who came back as told stands ahead of the rest.
type line struct {
	head, tail int32
	lastBooked int32
	at         int32 // its place in the heap of its tenant's flow
}

// client is one client of a tenant that has a connection or a request.
type client struct {
	key    uint64
	name   uint64 // without its tenant
	tenant *tenant
	at     int // in its tenant's list
	v      float64
	conns  int
	asks   int // open
	held   int
	work   float64 // of the held
	lines  []line
}

// flow is what a tenant has queued of a class: its clients, by virtual time.
type flow struct {
	heap []*client
	at   int32 // its place in the heap of the class
}

// tenant is one that has a client.
type tenant struct {
	key      uint64
	epoch    uint64
	weight   float64
	at       int
	v        float64
	floor    float64 // virtual time of its clients
	clients  []*client
	flows    []flow
	conns    int
	held     int
	work     float64 // of the held
	bytes    int     // of statements
	input    int     // of unfinished packets
	got      flowRate
	promised rules.Time // until when its part is promised to clients that were refused
	clear    rules.Time // when it last came that nothing of it was held
	since    rules.Time // when it last came that something was
}

// classFlow is what is held of a class: its tenants, by virtual time.
type classFlow struct {
	heap        []*tenant
	ahead       int
	first, last int32 // of those ahead, oldest first
	stale       rules.Time
}

func (f *classFlow) waiting() bool { return len(f.heap) > 0 }

// ---- principals that come and go

func mix(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 29
	if h == 0 {
		return 1
	}
	return h
}

// enter finds a principal or makes it, with what is remembered of it.
func (d *Door) enter(p principal) *client {
	t := d.active[p.tenant]
	if t == nil {
		t = d.newTenant(p)
	}
	if t.held == 0 {
		t.weight = p.weight
	}
	for _, c := range t.clients { // most tenants have few; the newest ask most
		if c.name == p.client {
			return c
		}
	}
	var c *client
	if n := len(d.spares); n > 0 {
		c, d.spares = d.spares[n-1], d.spares[:n-1]
	} else {
		c = &client{lines: make([]line, len(d.classes))}
	}
	lines := c.lines
	*c = client{key: mix(t.key^t.epoch, p.client), name: p.client, tenant: t, at: len(t.clients), v: t.floor, lines: lines}
	for i := range lines {
		lines[i] = line{none, none, none, none}
	}
	if r, ok := d.inner.take(c.key); ok {
		c.v = max(c.v, r.value)
	}
	t.clients = append(t.clients, c)
	return c
}

func (d *Door) newTenant(p principal) *tenant {
	var t *tenant
	if n := len(d.spare); n > 0 {
		t, d.spare = d.spare[n-1], d.spare[:n-1]
	} else {
		t = &tenant{flows: make([]flow, len(d.classes))}
	}
	d.epoch++
	flows, clients := t.flows, t.clients[:0]
	*t = tenant{key: p.tenant, epoch: mix(d.epoch, d.seed), weight: p.weight, at: len(d.tenants), flows: flows, clients: clients,
		got: flowRate{span: float64(capacitySpan)}, clear: d.now}
	for i := range flows {
		flows[i].heap, flows[i].at = flows[i].heap[:0], none
	}
	if r, ok := d.debts.take(p.tenant); ok {
		t.v, t.promised = r.value, r.promised
	} else {
		t.v = d.sketch.get(p.tenant)
	}
	d.active[p.tenant] = t
	d.tenants = append(d.tenants, t)
	return t
}

// leave lets a client go that has nothing open any more, and its tenant with the last one.
func (d *Door) leave(c *client) {
	if c.conns > 0 || c.asks > 0 {
		return
	}
	t := c.tenant
	last := t.clients[len(t.clients)-1]
	t.clients[c.at], last.at = last, c.at
	t.clients[len(t.clients)-1] = nil
	t.clients = t.clients[:len(t.clients)-1]
	if len(t.clients) > 0 {
		if c.v > t.floor {
			d.inner.put(record{c.key, c.v, d.now + rememberFor}, math.Inf(1), d.now)
		}
	} else {
		d.dismiss(t)
	}
	if c.tenant = nil; len(d.spares) < d.sizes.Conns {
		d.spares = append(d.spares, c)
	}
}

func (d *Door) dismiss(t *tenant) {
	if t.v > d.virtual || t.promised > d.now {
		if lost := d.debts.put(record{t.key, t.v, t.promised}, d.virtual, d.now); lost.key != 0 {
			d.sketch.put(lost.key, lost.value)
		}
	}
	delete(d.active, t.key)
	last := d.tenants[len(d.tenants)-1]
	d.tenants[t.at], last.at = last, t.at
	d.tenants[len(d.tenants)-1] = nil
	d.tenants = d.tenants[:len(d.tenants)-1]
	if len(d.spare) < d.sizes.Conns {
		d.spare = append(d.spare, t)
	}
}

// ---- requests that come

func (d *Door) asked(slot, connSlot int, q Ask) {
	k, a := &d.conns[connSlot], &d.asks[slot]
	d.enlist(k, connBusy)
	k.told = 0
	if q.Tenant != "" {
		k.told = d.who.hashName(spaceTenant, q.Tenant)
	}
	d.settle(k, d.who.of(k.from, k.told))
	c := k.home
	d.seq++
	*a = ask{slot: a.slot, seq: d.seq, name: k.told, class: int32(q.Class), conn: k.slot, next: none, prev: none, lateAt: none, after: none, before: none,
		client: c, at: d.now, due: min(q.Due, d.lastDue), bytes: int32(q.Bytes), told: float64(q.Work)}
	if q.Key != "" {
		a.key = d.who.hashName(spaceKey, q.Key)
	}
	a.work = d.predict(a.class, a.told)
	a.latest = d.latest(a)
	d.taken++
	d.bytes += q.Bytes
	c.asks++
	c.tenant.bytes += q.Bytes
	d.redeem(a)
	d.hold(a)
	if k.porch && d.open > d.sizes.Room {
		d.turnAway(a, ForConns)
		d.evict(k, ForConns)
		return
	}
	k.porch = false
	if d.heed(k) {
		d.turnAway(a, ForIgnoring)
		d.evict(k, ForIgnoring)
		return
	}
	if !d.makeRoom(a) {
		return
	}
	if !a.booked && d.hopeless(a) {
		d.turnAway(a, ForTime)
	}
}

// predict is the work that a request is expected to be, all threads together. What clients tell
// is taken in proportion to what such told proved to be, and not for less than a part of the mean:
// the account is settled by what it was, but only once it has run.
func (d *Door) predict(class int32, told float64) float64 {
	mean := d.weigher[class].value
	if told <= 0 {
		return max(mean, 1)
	}
	return max(told, toldLeast*mean, 1)
}

// latest is when a held request is given up: when it would end too late even if it went at once.
func (d *Door) latest(a *ask) rules.Time {
	c := &d.classes[a.class]
	run := a.work / d.threads(a.class)
	end := a.due
	if c.LateValue <= 0 {
		end = min(end, a.at+c.LatencyObjective+rules.Time(c.ObjectiveStretch*run))
	}
	return max(end-rules.Time(run), a.at)
}

// hold puts a request into its line, behind those of its key.
func (d *Door) hold(a *ask) {
	c, t := a.client, a.client.tenant
	if t.held == 0 {
		t.since = d.now
		t.v = max(t.v, d.virtual-float64(d.set.Burst)/t.weight)
		d.weights += t.weight
	}
	if c.held == 0 {
		c.v = max(c.v, t.floor-float64(d.set.Burst))
	}
	t.held++
	c.held++
	d.held++
	t.work += a.work
	c.work += a.work
	d.late.push(a)
	if a.key != 0 {
		if tail, ok := d.chains[a.key]; ok {
			d.asks[tail].after, a.before = a.slot, tail
			d.chains[a.key] = a.slot
			a.state = askChained
			return
		}
		d.chains[a.key] = a.slot
	}
	d.queue(a)
}

// queue puts a request into its client's line.
func (d *Door) queue(a *ask) {
	a.state = askQueued
	l := &a.client.lines[a.class]
	at := l.tail
	if a.booked {
		at = l.lastBooked
		l.lastBooked = a.slot
	}
	d.insert(l, a, at)
	if l.at != none {
		return
	}
	t, k := a.client.tenant, a.class
	f := &t.flows[k]
	f.heap = append(f.heap, a.client)
	l.at = int32(len(f.heap) - 1)
	siftClient(f.heap, int(l.at), k)
	if f.at == none {
		g := &d.flows[k]
		g.heap = append(g.heap, t)
		f.at = int32(len(g.heap) - 1)
		siftTenant(g.heap, int(f.at), k)
	}
}

// insert puts a request behind another of a line, or at its head.
func (d *Door) insert(l *line, a *ask, behind int32) {
	a.prev = behind
	if behind == none {
		a.next, l.head = l.head, a.slot
	} else {
		a.next = d.asks[behind].next
		d.asks[behind].next = a.slot
	}
	if a.next == none {
		l.tail = a.slot
	} else {
		d.asks[a.next].prev = a.slot
	}
}

// unhold takes a held request out of the door's order. The next of its key may have its turn then.
func (d *Door) unhold(a *ask) {
	c, t, k := a.client, a.client.tenant, a.class
	if a.state == askQueued {
		l := &c.lines[k]
		if l.lastBooked == a.slot {
			l.lastBooked = a.prev // those ahead of it came back as well
		}
		if a.prev == none {
			l.head = a.next
		} else {
			d.asks[a.prev].next = a.next
		}
		if a.next == none {
			l.tail = a.prev
		} else {
			d.asks[a.next].prev = a.prev
		}
		if l.head == none {
			f := &t.flows[k]
			f.heap = dropClient(f.heap, int(l.at), k)
			l.at = none
			if len(f.heap) == 0 {
				d.flows[k].heap = dropTenant(d.flows[k].heap, int(f.at), k)
				f.at = none
			}
		}
	}
	a.next, a.prev = none, none
	d.late.drop(a)
	t.held--
	c.held--
	d.held--
	t.work -= a.work
	c.work -= a.work
	if t.held == 0 {
		t.work, t.clear = 0, d.now
		if d.weights -= t.weight; len(d.late) == 0 {
			d.weights = 0
		}
	}
	a.state = askPassed
	if a.key != 0 {
		d.unchain(a)
	}
}

func (d *Door) unchain(a *ask) {
	if a.after == none {
		if a.before == none {
			delete(d.chains, a.key)
		} else {
			d.chains[a.key] = a.before
		}
	} else {
		d.asks[a.after].before = a.before
	}
	if a.before != none {
		d.asks[a.before].after = a.after
	} else if a.after != none {
		d.queue(&d.asks[a.after])
	}
	a.after, a.before = none, none
}

// ---- requests that pass

// pass hands requests to the module while it has fewer of their class waiting than a choice needs.
func (d *Door) pass() {
	for k := range d.flows {
		f := &d.flows[k]
		for f.waiting() && f.ahead < d.set.Ahead {
			d.passOne(f)
		}
	}
}

func (d *Door) passOne(f *classFlow) {
	t := f.heap[0]
	least := t.v
	for k := range d.flows {
		if o := &d.flows[k]; o.waiting() {
			least = min(least, o.heap[0].v)
		}
	}
	d.virtual = max(d.virtual, least)
	k := int32(0)
	for ; &d.flows[k] != f; k++ {
	}
	c := t.flows[k].heap[0]
	t.floor = max(t.floor, c.v)
	a := &d.asks[c.lines[k].head]
	t.got.add(d.now, a.work)
	d.unhold(a)
	d.charge(c, a.work)
	a.passed, a.state = d.now, askAhead
	if a.prev = f.last; f.last == none || f.ahead == 0 {
		a.prev, f.first = none, a.slot
	} else {
		d.asks[f.last].next = a.slot
	}
	f.last = a.slot
	f.ahead++
	d.setStale(f)
	d.stats.Passed++
	if d.now > a.at {
		d.stats.Waited++
	}
	d.do(Effect{Kind: Pass, Slot: int(a.slot), After: d.now - a.at})
}

// charge moves virtual times by work that was given, or given back if under 0.
func (d *Door) charge(c *client, work float64) {
	t := c.tenant
	t.v += work / t.weight
	c.v += work
	for k := range t.flows {
		f := &t.flows[k]
		if f.at != none {
			siftTenant(d.flows[k].heap, int(f.at), int32(k))
		}
		if l := &c.lines[k]; l.at != none {
			siftClient(f.heap, int(l.at), int32(k))
		}
	}
}

// sent: the module has an engine for it.
func (d *Door) sent(a *ask) {
	if a.state == askAhead {
		d.dropAhead(a)
	}
}

func (d *Door) dropAhead(a *ask) {
	f := &d.flows[a.class]
	if a.prev == none {
		f.first = a.next
	} else {
		d.asks[a.prev].next = a.next
	}
	if a.next == none {
		f.last = a.prev
	} else {
		d.asks[a.next].prev = a.prev
	}
	a.next, a.prev = none, none
	a.state = askPassed
	f.ahead--
	d.setStale(f)
}

// setStale notes when the oldest that waits in the module stops keeping others from it. What fits
// nowhere, for its memory or for a load that holds its data set, must not stop what would.
func (d *Door) setStale(f *classFlow) {
	if f.ahead > 0 {
		a := &d.asks[f.first]
		f.stale = a.passed + max(staleLeast, rules.Time(d.weigher[a.class].value/d.threads(a.class)))
	}
}

// expire gives up what can't be in time any more, and lets go of what has waited long in the module.
func (d *Door) expire() {
	for len(d.late) > 0 && d.late[0].latest <= d.now {
		d.turnAway(d.late[0], ForTime)
	}
	for k := range d.flows {
		for f := &d.flows[k]; f.ahead > 0 && f.waiting() && f.stale <= d.now; {
			d.dropAhead(&d.asks[f.first])
		}
	}
}

// done: a request is over. What it took is settled against what it was charged.
func (d *Door) done(a *ask, served bool) {
	if a.state == askNone {
		return
	}
	c := a.client
	switch a.state {
	case askChained, askQueued:
		d.unhold(a)
	case askAhead:
		d.dropAhead(a)
		fallthrough
	default:
		d.charge(c, a.spent-a.work)
		if a.spent > 0 {
			d.capacity.add(d.now, a.spent)
			if served {
				d.weigher[a.class].add(a.spent)
			}
		}
		d.judge(a, served)
	}
	d.release(a)
}

// release frees a request's slot.
func (d *Door) release(a *ask) {
	c := a.client
	a.state = askNone
	d.taken--
	d.bytes -= int(a.bytes)
	c.tenant.bytes -= int(a.bytes)
	c.asks--
	a.client = nil
	d.leave(c)
}

// ---- heaps

// siftTenant moves a tenant to its place in a heap by virtual time.
func siftTenant(h []*tenant, i int, k int32) {
	for ; i > 0 && h[i].v < h[(i-1)/2].v; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].flows[k].at = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].v < h[least].v {
			least++
		}
		if h[i].v <= h[least].v {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].flows[k].at = int32(i)
		i = least
	}
	h[i].flows[k].at = int32(i)
}

func dropTenant(h []*tenant, i int, k int32) []*tenant {
	last := len(h) - 1
	h[i], h[last] = h[last], nil
	if h = h[:last]; i < last {
		siftTenant(h, i, k)
	}
	return h
}

// siftClient does the same for clients.
func siftClient(h []*client, i int, k int32) {
	for ; i > 0 && h[i].v < h[(i-1)/2].v; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].lines[k].at = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].v < h[least].v {
			least++
		}
		if h[i].v <= h[least].v {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].lines[k].at = int32(i)
		i = least
	}
	h[i].lines[k].at = int32(i)
}

func dropClient(h []*client, i int, k int32) []*client {
	last := len(h) - 1
	h[i], h[last] = h[last], nil
	if h = h[:last]; i < last {
		siftClient(h, i, k)
	}
	return h
}

// lateHeap holds all held requests by when they are given up.
type lateHeap []*ask

func (h *lateHeap) push(a *ask) {
	a.lateAt = int32(len(*h))
	*h = append(*h, a)
	h.sift(int(a.lateAt))
}

func (h *lateHeap) fix(a *ask) { h.sift(int(a.lateAt)) }

func (h *lateHeap) drop(a *ask) {
	s, i, last := *h, int(a.lateAt), len(*h)-1
	a.lateAt = none
	s[i], s[last] = s[last], nil
	if *h = s[:last]; i < last {
		h.sift(i)
	}
}

func (h lateHeap) sift(i int) {
	for ; i > 0 && h[i].latest < h[(i-1)/2].latest; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].lateAt = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].latest < h[least].latest {
			least++
		}
		if h[i].latest <= h[least].latest {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].lateAt = int32(i)
		i = least
	}
	h[i].lateAt = int32(i)
}
