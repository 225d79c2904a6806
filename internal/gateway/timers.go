package gateway

import (
	"foxlane/rules"
)

// This file owns the reducer's timers: a heap by time, and what is done when one is due.

type timerKind int

const (
	timerAlarm timerKind = iota
	timerAttempt
	timerProbe
	timerSweep
	timerPoll
	timerStop
	timerStats
	timerWhole
	timerKept
	timerParted
	timerPeers
	timerOrders
	timerSettled
	timerGrace
)

type timer struct {
	at      rules.Time
	kind    timerKind
	token   string
	attempt *attempt
	verdict rules.Status
	probe   *probe
	link    *link
	request *request
	engine  *engineState
}

// timers is a heap by time. Timers are not taken back: one that has lost its
// meaning is passed over when it falls due.
type timers []timer

func (t timers) next() (rules.Time, bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}

func (t *timers) add(n timer) {
	h := append(*t, n)
	i := len(h) - 1
	for i > 0 && h[(i-1)/2].at > h[i].at {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		i = (i - 1) / 2
	}
	*t = h
}

func (t *timers) pop() timer {
	h := *t
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], timer{}
	h = h[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= len(h) {
			break
		}
		if c+1 < len(h) && h[c+1].at < h[c].at {
			c++
		}
		if h[i].at <= h[c].at {
			break
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
	*t = h
	return first
}

func (g *Gateway) ring() {
	g.armed = 0
	g.ringGate()
	g.ringShelf()
	for {
		at, ok := g.timers.next()
		if !ok || at > g.now {
			return
		}
		switch t := g.timers.pop(); t.kind {
		case timerAlarm:
			g.tell(rules.TimerFired{Token: t.token})
		case timerAttempt:
			if !t.attempt.done {
				g.giveUp(t.attempt, rules.StatusTimeout)
			}
		case timerParted:
			g.conclude(t.attempt, t.verdict)
		case timerProbe:
			g.endProbe(t.probe, rules.StatusTimeout, nil)
		case timerSweep:
			g.sweepClients()
			g.sweepLinks()
			g.sweepSites()
			g.timers.add(timer{at: g.now + g.lim.Sweep, kind: timerSweep})
		case timerPoll:
			g.poll()
		case timerPeers:
			g.tickPeers()
		case timerOrders:
			g.tickOrders()
		case timerStop:
			g.lingered = true
		case timerStats:
			g.logStats()
		case timerKept: // whole at the engine, and not yet on the disk
			g.fail(t.request, EndResultLost)
		case timerSettled:
			g.settled()
		case timerGrace:
			g.endGrace(t.engine)
		case timerWhole:
			g.checkWhole(t.link)
		}
	}
}
