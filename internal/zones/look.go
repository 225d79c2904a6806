package zones

import (
	"math"

	"foxlane/rules"
)

// This file takes what a gateway holds of its engines for what it sees of zones, and decides which engines are asked:
// a lost zone gets nothing by which it could be seen to be well again.

// EngineSight is what a gateway holds of one engine that the list has as serving.
type EngineSight struct {
	Engine  rules.EngineID
	Zone    int
	Cores   float64    // warm
	Warm    float64    // part of its speed that it has
	Slow    float64    // times that queries take there of what they take alone
	LeftOut bool       // it fails or is silent
	Late    bool       // something of ours has been out there for longer than it should
	Asked   rules.Time // when it was last asked for something
	Heard   rules.Time // when it last said something
	Fault   rules.Time // when an attempt there last ended otherwise than well
}

// look is what probes say: of a lost zone, whose engines the module leaves out and hears of no more; and of one in which everything is
// late, whether it is still there.
type look struct {
	next   int // engine to ask, by the order of the list
	asked  rules.Time
	said   [lookBack]bool // the newest last
	doubt  rules.Time     // since when the zone is doubted; 0: it is not
	failed int            // probes since then without an answer
}

const (
	lookBack   = 4                // probes by which a lost zone is judged
	lookEvery  = rules.Second     // between two of them: hundreds of gateways ask as well
	askedSince = 4 * rules.Second // engines that were asked for something within it tell whether a zone is silent
	doubtEvery = lookEvery / 4    // between two probes of a zone that is doubted
	doubtFails = 2                // probes in a row without an answer that make it silent
)

// Looked is what a look led to.
type Looked struct {
	Changes []Change
	Ask     []rules.EngineID // engines to be probed now; Answered takes what comes of it
}

// Look takes what a gateway holds of all engines that serve, and where it stands itself. Without probes a lost zone is
// tried after as long as they would have taken, on its ramp: what fails there makes it lost again, and damped.
func (z *Zones) Look(now rules.Time, engines []EngineSight, standing rules.LoadSummary, probes bool) (out Looked) {
	z.now = max(z.now, now)
	out.Changes = z.see(z.now, z.sights(engines))
	for _, c := range out.Changes {
		if c.From != c.To {
			z.all[c.Zone].look = look{}
		}
	}
	for i := range z.all {
		if e := &z.all[i]; e.state == Lost || e.state == Returning || e.look.doubt != 0 {
			if id, ok := z.ask(i, e, engines, probes); ok {
				out.Ask = append(out.Ask, id)
			}
		}
	}
	z.split = z.Split(z.now)
	z.allot()
	z.press(standing)
	return out
}

// Doubt has a zone looked at because others say that it is lost. What its engines answer us counts, and nothing else.
func (z *Zones) Doubt(zone int) {
	if zone < 0 || zone >= len(z.all) {
		return
	}
	if e := &z.all[zone]; e.look.doubt == 0 && (e.state == Present || e.state == Returning) {
		e.look.doubt = z.now
	}
}

// Answered takes what a probe of an engine in a zone said.
func (z *Zones) Answered(zone int, ok bool) {
	if zone < 0 || zone >= len(z.all) {
		return
	}
	l := &z.all[zone].look
	switch {
	case z.all[zone].state == Lost:
		copy(l.said[:], l.said[1:])
		l.said[lookBack-1] = ok
	case l.doubt != 0 && ok:
		l.doubt, l.failed = 0, 0
	case l.doubt != 0:
		l.failed++
	}
}

// ask chooses the engine of a lost zone that is asked whether it is there again, one after the other, and of one that
// returns, more often, those that the module still leaves out: it hears of what they say. In a zone that is doubted any is asked.
func (z *Zones) ask(zone int, e *zone, engines []EngineSight, probes bool) (id rules.EngineID, ok bool) {
	l, all := &e.look, e.state == Lost || e.look.doubt != 0
	every := lookEvery
	if e.state != Lost {
		every = doubtEvery
	}
	if !probes {
		for i := range l.said {
			l.said[i] = z.now-e.since >= lookBack*lookEvery
		}
		return 0, false
	}
	if z.now-l.asked < every {
		return 0, false
	}
	there := 0
	for _, s := range engines {
		if s.Zone == zone && (all || s.LeftOut) {
			there++
		}
	}
	if there == 0 {
		return 0, false
	}
	l.asked = z.now
	l.next++
	n := l.next % there
	for _, s := range engines {
		if s.Zone == zone && (all || s.LeftOut) {
			if n == 0 {
				return s.Engine, true
			}
			n--
		}
	}
	return 0, false
}

// sights adds up what is held of all engines. Those of no zone are let pass. What is left out for faults from before a
// return is well until it faults again: the module hears that by its trickle, and a zone whose engines all wait for
// theirs is not lost once more.
func (z *Zones) sights(engines []EngineSight) []Sight {
	out, slow := make([]Sight, len(z.all)), make([]float64, len(z.all))
	heard := make([]rules.Time, len(z.all)) // the last word of any engine there
	for _, e := range engines {
		if e.Zone >= 0 && e.Zone < len(out) {
			heard[e.Zone] = max(heard[e.Zone], e.Heard)
		}
	}
	owing := make([]int, len(z.all))
	for _, e := range engines {
		if e.Zone < 0 || e.Zone >= len(out) {
			continue
		}
		s, in := &out[e.Zone], &z.all[e.Zone]
		left := e.LeftOut && !(in.state == Returning && e.Fault < in.since)
		s.Listed += e.Cores
		if !left {
			s.Well += e.Cores
			s.Warm += e.Cores * e.Warm
		}
		if z.now-e.Asked < askedSince {
			s.Engines++
			if left && e.Heard < e.Asked {
				s.Silent++
			}
			if heard[e.Zone] < e.Asked && (e.Late || e.Fault > heard[e.Zone]) {
				owing[e.Zone]++
			}
		}
		slow[e.Zone] += e.Cores * math.Log(max(e.Slow, 1))
	}
	for i := range out {
		s := &out[i]
		if s.Listed > 0 {
			s.Slow = math.Exp(slow[i] / s.Listed)
		}
		e := &z.all[i]
		if z.doubt(e, owing[i], heard[i]); e.look.failed >= doubtFails {
			s.Engines = max(s.Engines, 2)
			s.Silent = s.Engines
		}
		if e.state == Lost {
			good := 0
			for _, ok := range e.look.said {
				if ok {
					good++
				}
			}
			s.Well = s.Listed * float64(good) / lookBack
			s.Warm, s.Silent, s.Dead = s.Well, 0, s.Listed-s.Well
		}
	}
	return out
}

// doubt begins when more than one engine of a zone owes us something that is late, or has ended badly, and none has said anything
// since it was asked: a loss is seen by it long before what is there is given up. It ends with a word from any of them.
func (z *Zones) doubt(e *zone, owing int, heard rules.Time) {
	l := &e.look
	switch {
	case e.state == Lost || l.doubt != 0 && heard > l.doubt:
		l.doubt, l.failed = 0, 0
	case l.doubt == 0 && owing > 1:
		l.doubt = z.now
	}
}
