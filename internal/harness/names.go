package harness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// This file owns what the name service tells: the list, its numbers, which begin anew with each start of a gateway as the
// operators' protocol has it, answers that bring something else, and when an event counts as told.

// lists is what one gateway is told.
type lists struct {
	mu      sync.Mutex
	version uint32 // of the list that the service has now
	base    uint32 // this less than a version is its number in the present life
	life    int
	hosts   []standin.Host
	past    []pastList
	told    []toldList // versions that the gateway was told of in this life
	rng     *rand.Rand
}

// pastList is one that the service had before, under the number it had then.
type pastList struct {
	life   int
	serial uint32
	hosts  []standin.Host
}

// toldList is when a gateway was first told of a version.
type toldList struct {
	version uint32
	at      time.Time
	times   int
}

const (
	pastMost = 32              // lists remembered
	toldMost = 7 * time.Second // an event counts as told so long after it happened, whether or not it arrived
)

// news puts the list as it is now before all gateways, after a while.
func (r *Rig) news(after time.Duration) {
	r.mu.Lock()
	r.version++
	version := r.version
	all := make([][]standin.Host, len(r.gateways))
	for i := range all {
		all[i] = r.hosts(i)
	}
	r.mu.Unlock()
	put := func() {
		r.mu.Lock()
		for len(r.changed) <= int(version) {
			r.changed = append(r.changed, time.Now())
		}
		r.mu.Unlock()
		for i, g := range r.gateways {
			g.publish(version, all[i])
		}
	}
	if after <= 0 {
		put()
		return
	}
	time.AfterFunc(after, put)
}

// hosts is the list as a gateway is to have it. The rig is locked.
func (r *Rig) hosts(gateway int) (out []standin.Host) {
	for _, e := range r.engines {
		draining, unlisted := e.listing(r.version)
		if !r.gone[e.index] && !unlisted {
			out = append(out, e.host(gateway, draining))
		}
	}
	return out
}

// publish has the service tell the gateway a version from now on.
func (g *gateway) publish(version uint32, hosts []standin.Host) {
	l := &g.lists
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.version {
		return
	}
	l.version, l.hosts = version, hosts
	l.put(g)
}

// put has the service tell the present version under its number. The lists are locked.
func (l *lists) put(g *gateway) {
	serial := l.version - l.base
	l.past = append(l.past, pastList{l.life, serial, l.hosts})
	if len(l.past) > pastMost {
		l.past = slices.Delete(l.past, 0, 1)
	}
	g.names.Set(serial, l.hosts)
}

// beginLists begins a life of the gateway: its numbers begin anew, and it knows what is told now.
func (g *gateway) beginLists() {
	r, l := g.rig, &g.lists
	r.mu.Lock()
	version, hosts := r.version, r.hosts(g.index)
	r.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng == nil {
		l.rng = rand.New(rand.NewPCG(r.Seed, uint64(g.index)+500))
	}
	l.life++
	l.version, l.base, l.hosts = version, version-1, hosts
	l.told = []toldList{{version: version, at: time.Now(), times: 1}}
	l.put(g)
}

// anew has the service begin its numbers anew in the middle of a life.
func (g *gateway) anew() {
	l := &g.lists
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life++
	l.base = l.version - 1
	l.put(g)
}

// known is the list for the gateway's configuration, with its number.
func (g *gateway) known() (serial uint32, hosts []standin.Host) {
	l := &g.lists
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version - l.base, l.hosts
}

// heard notes that a good answer of the name service was sent to the gateway.
func (g *gateway) heard(reply standin.ListReply) {
	c := g.asks.Back().Conditions()
	if c.Cut {
		return
	}
	l := &g.lists
	l.mu.Lock()
	defer l.mu.Unlock()
	version := l.versionOf(reply)
	if version > l.told[len(l.told)-1].version {
		l.told = append(l.told, toldList{version: version})
	}
	i := slices.IndexFunc(l.told, func(t toldList) bool { return t.version == version })
	if i < 0 {
		return // late: a later version was told meanwhile
	}
	t := &l.told[i]
	if t.times++; t.at.IsZero() && (c.Loss == 0 || t.times >= toldDespiteLoss) {
		t.at = time.Now().Add(c.Delay + c.Jitter)
	}
}

// versionOf is the version that a reply holds; one that was sent late may be of an earlier life and tells nothing. The lists
// are locked.
func (l *lists) versionOf(reply standin.ListReply) uint32 {
	if version := l.base + reply.Serial; version <= l.version {
		return version
	}
	return 0
}

// toldDespiteLoss is how many answers are sent over a way that loses some until one has come.
const toldDespiteLoss = 8

// toldOf is when the gateway was told of a version or of a later one, as the operators' protocol counts; zero: not yet.
func (g *gateway) toldOf(version uint32) time.Time {
	g.rig.mu.Lock()
	first := time.Time{}
	if int(version) < len(g.rig.changed) {
		first = g.rig.changed[version].Add(toldMost)
	}
	g.rig.mu.Unlock()
	l := &g.lists
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.told {
		if t.version >= version && !t.at.IsZero() && (first.IsZero() || t.at.Before(first)) {
			first = t.at
		}
	}
	if time.Now().Before(first) {
		return time.Time{}
	}
	return first
}

// Troubles with answers of the name service.
const (
	listsStale   = "stale"   // a list from before, under the number it had then
	listsEarlier = "earlier" // the last list of the life before
	listsLost    = "lost"
	listsFailed  = "failed"
	listsShort   = "short"
	listsOtherID = "other-id"
	listsTwice   = "twice"
	listsLate    = "late"
	listsMixed   = "mixed" // any of these, but for the earlier list
	listsAnew    = "anew"  // the numbers begin anew, once
)

var listTroubles = []string{listsStale, listsLost, listsFailed, listsShort, listsOtherID, listsTwice, listsLate, listsMixed, listsEarlier, listsAnew}

// checkLists says what is wrong with a trouble of the lists.
func checkLists(f *Fault, at string) error {
	if !slices.Contains(listTroubles, f.Text) {
		return fmt.Errorf("%s: lists needs a text out of %s", at, strings.Join(listTroubles, ", "))
	}
	if f.Text != listsAnew && !(f.Factor > 0 && f.Factor <= 1) {
		return fmt.Errorf("%s: lists needs a factor, the part of answers, over 0 and at most 1", at)
	}
	return nil
}

// alter has troubles that hold meet an answer to the gateway.
func (g *gateway) alter(reply *standin.ListReply) {
	var on []Fault
	g.rig.mu.Lock()
	for _, f := range g.rig.faults {
		if f.Kind == "lists" && g.is(f.Of) {
			on = append(on, *f)
		}
	}
	g.rig.mu.Unlock()
	for i := range on {
		g.lists.meet(&on[i], reply)
	}
}

// meet has one trouble meet an answer.
func (l *lists) meet(f *Fault, reply *standin.ListReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Text == listsAnew || l.rng.Float64() >= f.Factor {
		return
	}
	kind := f.Text
	if kind == listsMixed {
		kind = listTroubles[l.rng.IntN(slices.Index(listTroubles, listsMixed))]
	}
	switch kind {
	case listsStale:
		l.recall(reply, l.past)
	case listsEarlier:
		var before []pastList
		for _, p := range l.past {
			if p.life == l.life-1 {
				before = append(before, p)
			}
		}
		if len(before) > 0 {
			l.recall(reply, before[len(before)-1:])
		}
	case listsLost:
		reply.Lost = true
	case listsFailed:
		reply.Failed = true
	case listsShort:
		reply.Short = true
	case listsOtherID:
		reply.OtherID = true
	case listsTwice:
		reply.Twice = true
	case listsLate:
		reply.After = time.Duration(l.rng.Int64N(int64(max(f.By, time.Millisecond))))
	}
}

// recall puts one of some earlier lists into an answer. The lists are locked.
func (l *lists) recall(reply *standin.ListReply, from []pastList) {
	p := from[l.rng.IntN(len(from))]
	reply.Stale = p.life != l.life || p.serial != l.version-l.base
	reply.Serial, reply.Hosts = p.serial, p.hosts
}
