package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the times of return: what they are computed from, that they
// are booked, and how wrong they proved. It never names a time to keep a
// client away longer than its tenant's part of the capacity needs.

const (
	biasGain   = 0.1
	biasKept   = 0.99                   // of the correction, at each return
	biasMost   = 4.0                    // times that a prediction is corrected by, either way
	earlyPart  = 0.1                    // of the span told that a client may come early, and
	earlyMost  = 50 * rules.Millisecond // at most
	lateFor    = rules.Second           // and this late, or as late again as it was told
	spreadPart = 0.2                    // of the longest time, over which those told that are spread
)

// pledge is a time of return that was told.
type pledge struct {
	client  uint64 // 0: free
	granted rules.Time
	due     rules.Time
	next    int32
}

// hopeless answers whether a request that has just come could not be in time, by far. While the door
// has held requests for less than the span over which it knows the capacity, it does not.
func (d *Door) hopeless(a *ask) bool {
	t := a.client.tenant
	if a.state != askQueued && a.state != askChained || t.held < 2 || d.now-t.since < 2*capacitySpan {
		return false
	}
	wait := d.wait(a.client, a.work)
	return wait*math.Exp(d.bias) > doubtfulParts*float64(a.latest-d.now)
}

// rate is the work per microsecond that a tenant gets: its part of the capacity among those that have
// something held, or what it did get, if others left it more.
func (d *Door) rate(t *tenant) float64 {
	all := d.capacity.rate(d.now)
	if all <= 0 {
		return 1 // nothing has run yet: as one thread would
	}
	weights := d.weights
	if t.held == 0 {
		weights += t.weight
	}
	part := all * t.weight / max(weights, t.weight)
	return max(part, min(t.got.rate(d.now), all), 1e-3)
}

// wait is how long it takes until what a client has held is run, in microseconds.
func (d *Door) wait(c *client, less float64) float64 {
	t := c.tenant
	held := t.work - less
	if n := len(t.clients); n > 1 {
		held = min(held, (c.work-less)*float64(n))
	}
	return max(held, 0) / d.rate(t)
}

// tell is the time of return that a refusal of a request of so much work names: when the backlog of its
// tenant and all that was promised to it before have run. Promises follow one another at the rate at
// which the tenant is served, so that not all come at once and there is room for each.
func (d *Door) tell(c *client, work float64, k *conn) rules.Time {
	if d.set.Longest <= 0 || d.ending {
		return 0
	}
	t := c.tenant
	wrong := math.Exp(d.bias) // of what is added only: what was promised holds the correction already
	after := rules.Time(max(d.wait(c, 0)*wrong, float64(t.promised-d.now)) + work/d.rate(t)*wrong)
	if most := d.set.Longest; after > most { // no promise: more is asked for than there will be room for
		after = most - rules.Time(spreadPart*d.rng.Float64()*float64(most))
	} else {
		t.promised = d.now + after
		d.book(c.key, after)
	}
	after = max(after, rules.Millisecond)
	if k != nil {
		k.until = d.now + after - min(rules.Time(earlyPart*float64(after)), earlyMost)
	}
	d.stats.Told++
	return after
}

// turnAway gives up a held request, with the time of return.
func (d *Door) turnAway(a *ask, why Why) {
	c, work := a.client, a.work
	d.unhold(a)
	d.stats.Refused[why]++
	if a.booked {
		d.stats.Lost++
	}
	after := d.tell(c, work, &d.conns[a.conn])
	d.do(Effect{Kind: Refuse, Slot: int(a.slot), After: after, Why: why})
	d.release(a)
}

// refused names a time of return for a request that the module turns down. The slot stays until Done.
func (d *Door) refused(a *ask, why Why) {
	d.stats.Refused[why]++
	d.do(Effect{Kind: Refuse, Slot: int(a.slot), After: d.tell(a.client, a.work, &d.conns[a.conn]), Why: why})
}

// pledges are the times of return that may still be kept, in a room that does not grow: each client's in
// the order in which they were told.
type pledges struct {
	all  []pledge
	free int32
	of   map[uint64]pledgeList
	next int // looked at next, for one that nobody came for
}

type pledgeList struct{ first, last, n int32 }

const pledgeBytes = 32 + mapEntry

func newPledges(bytes int) pledges {
	n := max(bytes/pledgeBytes, 16)
	p := pledges{all: make([]pledge, n), of: make(map[uint64]pledgeList, n)}
	for i := range p.all {
		p.all[i].next = int32(i) + 1
	}
	p.all[n-1].next = none
	return p
}

func (p *pledges) bytes() int { return len(p.all) * pledgeBytes }

// drop forgets the first of a client.
func (p *pledges) drop(client uint64, l pledgeList) pledgeList {
	i := l.first
	l.first, l.n = p.all[i].next, l.n-1
	if l.n == 0 {
		delete(p.of, client)
	} else {
		p.of[client] = l
	}
	p.all[i] = pledge{next: p.free}
	p.free = i
	return l
}

// over answers whether nobody need come for it any more.
func (p *pledge) over(now rules.Time) bool { return now > p.due+max(lateFor, p.due-p.granted) }

// tidy drops what is over of two clients. One that holds nothing is passed over.
func (p *pledges) tidy(now rules.Time) {
	for range 2 {
		p.next = (p.next + 1) % len(p.all)
		if c := p.all[p.next].client; c != 0 {
			for l := p.of[c]; l.n > 0 && p.all[l.first].over(now); {
				l = p.drop(c, l)
			}
		}
	}
}

// book keeps a time of return, so that who comes then is put ahead. Of a client not more than a part of
// the room is kept: what goes beyond is told all the same, but not booked.
func (d *Door) book(client uint64, after rules.Time) {
	p := &d.pledges
	p.tidy(d.now)
	l := p.of[client]
	if p.free == none || int(l.n) >= max(len(p.all)/4, 1) {
		return
	}
	i := p.free
	p.free = p.all[i].next
	p.all[i] = pledge{client, d.now, d.now + after, none}
	if l.n == 0 {
		l.first = i
	} else {
		p.all[l.last].next = i
	}
	l.last = i
	l.n++
	p.of[client] = l
}

// redeem puts a request ahead whose client was told to come now.
func (d *Door) redeem(a *ask) {
	p, key := &d.pledges, a.client.key
	l := p.of[key]
	for l.n > 0 && p.all[l.first].over(d.now) {
		l = p.drop(key, l)
	}
	if l.n == 0 {
		return
	}
	g := p.all[l.first]
	span := g.due - g.granted
	if d.now < g.due-min(rules.Time(earlyPart*float64(span)), earlyMost) {
		return
	}
	p.drop(key, l)
	a.booked, a.granted, a.promise = true, g.granted, max(span, 1)
	a.free = d.now
	if t := a.client.tenant; t.held == 0 {
		a.free = max(t.clear, g.granted)
	}
}

// judge learns from a request that came back as told: how long it would have had to wait, over what it
// was told. One that passed at once could have come as soon as nothing of its tenant was held; a wait of
// no more than its run is the queue that keeps engines busy, and no error. The correction fades unless it
// is confirmed.
func (d *Door) judge(a *ask, served bool) {
	if !a.booked {
		return
	}
	if !served {
		d.stats.Lost++
		return
	}
	d.stats.Kept++
	needed := a.promise
	switch {
	case a.passed == a.at:
		needed = min(a.free-a.granted, a.promise)
	case a.passed-a.at > rules.Time(a.work/d.threads(a.class)):
		needed = a.passed - a.granted
	}
	ratio := min(max(float64(needed)/float64(a.promise), 1/biasMost), biasMost)
	d.bias = min(max(biasKept*d.bias+biasGain*math.Log(ratio), -math.Log(biasMost)), math.Log(biasMost))
}
