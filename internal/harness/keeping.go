package harness

import "time"

// This file judges what classes and gateways keep to beyond single requests: order by key, placement, the ration of further
// attempts.

// turn is what ordered requests share: their gateway, the life of its process, and their key.
type turn struct {
	gateway *gateway
	life    int64
	key     string
}

// opened is when a try was sent to a gateway, and in which life.
type opened struct {
	at   time.Time
	life int64
}

// extra is a further attempt of a request.
type extra struct {
	at   time.Time
	life int64
}

const (
	freeResends  = 3
	lookBack     = 2 * time.Second
	rationSlack  = 300 * time.Millisecond // requests take so long from client to gateway, and from there to an engine, at most
	mostKeptTurn = 64                     // ordered requests of a key that are remembered
)

// judgeKeeping judges a request at an engine by its class. The books are locked.
func (b *Books) judgeKeeping(t *try, e *engine, now time.Time) {
	c := &b.rig.classes[t.request.class]
	if c.placed && e.zone != b.rig.Zones[0].Name {
		b.judgeLocked(Misplaced, "%s of class %s came to %s", t.id, c.name, e.name)
	}
	if c.inTurn {
		b.judgeTurn(t, now)
	}
	if b.rig.Ration > 0 && t.ran > 1 {
		b.judgeRation(t, now)
	}
}

// judgeTurn judges a request of an ordered class at an engine: no other one with its key may be under way.
func (b *Books) judgeTurn(t *try, now time.Time) {
	key := turn{t.gateway, t.life, t.request.key}
	for _, o := range b.byKey[key] {
		switch slack := sockSlack + rigSlack; {
		case o == t || o.ran == 0:
		case o.goneAt.IsZero() && o.endedAt.IsZero() && o.runEnd.After(now.Add(slack)):
			b.atOnce = append(b.atOnce, pair{t, o, now}) // its answer may be on its way
		case !o.goneAt.IsZero() && o.runEnd.After(o.goneAt.Add(slack)) && now.After(o.goneAt) && now.Before(o.goneAt.Add(keyRest-slack)):
			b.judgeLocked(OrderBroken, "%s came to an engine %v after the client of %s with the same key had gone", t.id, now.Sub(o.goneAt).Round(time.Millisecond), o.id)
		}
	}
	if t.ran == 1 {
		kept := append(b.byKey[key], t)
		b.byKey[key] = kept[max(0, len(kept)-mostKeptTurn):]
	}
}

// pair is a request of an ordered class that came to an engine while another one with its key ran.
type pair struct {
	late, first *try
	at          time.Time
}

// judgePairs judges in the end which of them ran at once: the answer of the first one had not been given by then.
func (b *Books) judgePairs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.atOnce {
		by := p.at.Add(sockSlack + rigSlack + b.rig.pauses.since(p.at.Add(-time.Second)))
		if o := p.first; (o.endedAt.IsZero() || o.endedAt.After(by)) && (o.goneAt.IsZero() || o.goneAt.After(by)) {
			b.judgeLocked(OrderBroken, "%s came to an engine while %s with the same key ran there or at another", p.late.id, o.id)
		}
	}
}

// judgeRation judges a further attempt by how many its gateway has made of late.
func (b *Books) judgeRation(t *try, now time.Time) {
	g := t.gateway
	b.extras[g] = append(b.extras[g], extra{now, t.life})
	further, taken := 0, 0
	for _, x := range b.extras[g] {
		if x.life == t.life && now.Sub(x.at) < lookBack-rationSlack {
			further++
		}
	}
	for _, o := range b.opened[g] {
		if o.life == t.life && now.Sub(o.at) < lookBack+rationSlack {
			taken++
		}
	}
	if float64(further) > freeResends+b.rig.Ration*float64(taken) {
		b.judgeLocked(RationBroken, "%s made %d further attempts, with %d requests taken", g.name, further, taken)
	}
}

// runs notes until when a request runs at an engine.
func (b *Books) runs(t *try, until time.Time) {
	b.mu.Lock()
	t.runEnd = until
	b.mu.Unlock()
}
