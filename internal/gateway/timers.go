package gateway

import (
	"foxlane/internal/minheap"
	"foxlane/rules"
)

// This file owns the reducer's timers and what is done when one is due.

type timerKind int

const (
	timerModule         timerKind = iota // the decision module asked for it
	timerAttempt                         // an attempt's deadline
	timerProbe                           // a probe's deadline
	timerSweep                           // idle connections and zones are looked at
	timerPoll                            // the name service is asked
	timerStop                            // the minimum drain period of a shutdown is over
	timerStats                           // figures are logged
	timerAnswerComplete                  // an answer that has begun must be complete
	timerResultStored                    // a result that the engine has given must be stored
	timerTerminated                      // the engine knows of an attempt's end
	timerPeers                           // the replicated state of peers is exchanged
	timerDirectives                      // the directives' consensus group gets its tick
	timerCaughtUp                        // input that came during a stall was read
	timerGrace                           // the grace of a draining engine is nearly over
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

// Before orders timers by their time.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timers is a heap by time. Timers are never cancelled: one that has lost its meaning does nothing when it is due, which is
// cheaper than finding it in the heap, and all of them are due within seconds.
type timers struct{ heap minheap.Heap[timer, *timer] }

func (t *timers) add(added timer) { t.heap.Push(added) }

func (t *timers) len() int { return len(t.heap) }

// next is when the first timer is due; ok is false if there is none.
func (t *timers) next() (at rules.Time, ok bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// nextWake is when the reducer is to be woken next: by its own timers, or because the admission controller or the spool asks for it.
func (g *Gateway) nextWake() (at rules.Time, ok bool) {
	at, ok = g.timers.next()
	earlier := func(alarm alarm) {
		if wake := rules.Time(alarm); wake != 0 && (!ok || wake < at) {
			at, ok = max(wake, g.now+1), true
		}
	}
	if g.admission != nil {
		earlier(g.admission.alarm)
	}
	if g.results != nil {
		earlier(g.results.alarm)
	}
	return at, ok
}

// runTimers does what is due.
func (g *Gateway) runTimers() {
	g.armedAt = 0
	g.wakeAdmission()
	g.wakeSpool()
	for {
		at, ok := g.timers.next()
		if !ok || at > g.now {
			return
		}
		g.runTimer(g.timers.heap.Pop())
	}
}

func (g *Gateway) runTimer(due timer) {
	switch due.kind {
	case timerModule:
		g.tellModule(rules.TimerFired{Token: due.token})
	case timerAttempt:
		if !due.attempt.done {
			g.abandonAttempt(due.attempt, rules.StatusTimeout)
		}
	case timerTerminated:
		g.concludeAttempt(due.attempt, due.status)
	case timerProbe:
		g.finishProbe(due.probe, rules.StatusTimeout, nil)
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
	case timerResultStored:
		g.failRequest(due.request, EndResultLost)
	case timerCaughtUp:
		g.resumeSends()
	case timerGrace:
		g.enforceGrace(due.engine)
	case timerAnswerComplete:
		g.checkCompletion(due.conn)
	}
}
