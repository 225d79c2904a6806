package gateway

import (
	"foxlane/rules"
)

// This file owns the reducer's timers: a heap by time, and what is done when one is due.

type timerKind int

const (
	timerModule timerKind = iota
	timerAttempt
	timerProbe
	timerSweep
	timerPoll
	timerStop
	timerStats
	timerAnswerComplete
	timerResultStored
	timerTerminated
	timerPeers
	timerDirectives
	timerCaughtUp
	timerGrace
)

type timer struct {
	at      rules.Time
	kind    timerKind
	token   string
	attempt *engineAttempt
	status  rules.Status
	probe   *healthProbe
	conn    *engineConn
	request *queryRequest
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

func (g *Gateway) runTimers() {
	g.armedAt = 0
	g.wakeAdmission()
	g.wakeSpool()
	for {
		at, ok := g.timers.next()
		if !ok || at > g.now {
			return
		}
		switch t := g.timers.pop(); t.kind {
		case timerModule:
			g.tellModule(rules.TimerFired{Token: t.token})
		case timerAttempt:
			if !t.attempt.done {
				g.abandonAttempt(t.attempt, rules.StatusTimeout)
			}
		case timerTerminated:
			g.concludeAttempt(t.attempt, t.status)
		case timerProbe:
			g.finishProbe(t.probe, rules.StatusTimeout, nil)
		case timerSweep:
			g.sweepClients()
			g.sweepEngineConns()
			g.sweepZones()
			g.timers.add(timer{at: g.now + g.limits.SweepInterval, kind: timerSweep})
		case timerPoll:
			g.poll()
		case timerPeers:
			g.tickPeers()
		case timerDirectives:
			g.tickDirectives()
		case timerStop:
			g.drainPeriodOver = true
		case timerStats:
			g.logStats()
		case timerResultStored: // whole at the engine, and not yet on the disk
			g.failRequest(t.request, EndResultLost)
		case timerCaughtUp:
			g.resumeSends()
		case timerGrace:
			g.enforceGrace(t.engine)
		case timerAnswerComplete:
			g.checkCompletion(t.conn)
		}
	}
}
