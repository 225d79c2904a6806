package gateway

import (
	"foxlane/internal/minheap"
	"foxlane/rules"
)

// This file manages the reducer's timers.

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerModule         timerKind = iota // requested by the decision module
	timerAttempt                         // an attempt's deadline
	timerProbe                           // a probe's deadline
	timerSweep                           // idle connections and zones are swept
	timerPoll                            // the name service is polled
	timerStop                            // the minimum drain period of a shutdown ends
	timerAnswersDue                      // every answer must be complete, since the gateway shuts down
	timerStats                           // statistics are logged
	timerAnswerComplete                  // a partially received answer is checked for progress
	timerResultStored                    // deadline for storing a received result
	timerTerminated                      // the engine has been notified of an attempt's end
	timerPeers                           // tick of the replicated state
	timerDirectives                      // tick of the directives' consensus group
	timerCaughtUp                        // input that arrived during a stall has been read
	timerDrainGrace                      // the grace period of a draining engine is nearly over
)

// timer is a pending timer. The fields after kind are its arguments, depending on the kind.
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

// Before reports whether a timer is due before another.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timers is a heap of timers, ordered by time. Timers are not cancelled one by one: an obsolete one has no effect when
// it fires, and finding it in the heap is expensive. Since clients choose deadlines, and requests may end at any rate
// long before theirs, obsolete timers are removed together whenever their number may have doubled.
type timers struct {
	heap    minheap.Heap[timer, *timer]
	sweepAt int // length of the heap at which obsolete timers are removed
}

// minTimerSweep is the number of timers below which obsolete ones are not removed.
const minTimerSweep = 64

func (t *timers) len() int { return len(t.heap) }

// add adds a timer.
func (t *timers) add(added timer) { t.heap.Push(added) }

// sweep removes the obsolete timers if the heap has doubled since they were last removed.
func (t *timers) sweep(obsolete func(*timer) bool) {
	if len(t.heap) < max(t.sweepAt, minTimerSweep) {
		return
	}
	kept := make(minheap.Heap[timer, *timer], 0, minTimerSweep)
	for i := range t.heap {
		if !obsolete(&t.heap[i]) {
			kept.Push(t.heap[i])
		}
	}
	t.heap, t.sweepAt = kept, 2*len(kept)
}

// timerObsolete reports whether a timer would have no effect.
func (g *Gateway) timerObsolete(pending *timer) bool {
	switch pending.kind {
	case timerModule:
		return !g.module.AwaitsTimer(pending.token)
	case timerAttempt, timerTerminated:
		return pending.attempt.done
	case timerProbe:
		return pending.probe.done
	case timerAnswerComplete:
		return pending.conn.closed
	case timerResultStored:
		return pending.request.answered
	default:
		return false
	}
}

// next returns the time of the first timer. ok is false if there is none.
func (t *timers) next() (at rules.Time, ok bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// nextWake returns the time of the next TimerFired event: the earliest of the reducer's own timers and those of the
// admission controller and the spool.
func (g *Gateway) nextWake() (at rules.Time, ok bool) {
	at, ok = g.timers.next()
	earlier := func(wakeAt wakeTime) {
		if wake := rules.Time(wakeAt); wake != 0 && (!ok || wake < at) {
			at, ok = max(wake, g.now+1), true
		}
	}
	if g.admission != nil {
		earlier(g.admission.wakeAt)
	}
	if g.results != nil {
		earlier(g.results.wakeAt)
		earlier(g.results.turns.wakeAt(g.now))
	}
	return at, ok
}

// awaitsInput reports whether timers of this kind act on the absence of input, such as by closing a connection on which
// nothing has arrived for some time.
func (k timerKind) awaitsInput() bool {
	return k == timerSweep || k == timerAnswerComplete || k == timerProbe
}

// runTimers runs all timers that are due. While input that arrived during a stall is still to be read, timers that act on
// the absence of input are postponed.
func (g *Gateway) runTimers() {
	g.armedFor = 0
	g.wakeAdmission()
	g.wakeSpool()
	g.serveTurns()
	for {
		at, ok := g.timers.next()
		if !ok || at > g.now {
			return
		}
		due := g.timers.heap.Pop()
		if g.inputPending() && due.kind.awaitsInput() {
			due.at = g.lastStall.holdUntil
			g.timers.add(due)
			continue
		}
		g.runTimer(due)
	}
}

func (g *Gateway) runTimer(due timer) {
	switch due.kind {
	case timerModule:
		g.notifyModule(rules.TimerFired{Token: due.token})
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
		g.pollNameService()
	case timerPeers:
		g.tickPeers()
	case timerDirectives:
		g.tickDirectives()
	case timerStop:
		g.drainPeriodOver = true
	case timerAnswersDue:
		g.endReads()
		g.endProposals()
	case timerStats:
		g.logStats()
	case timerResultStored:
		g.failRequest(due.request, EndResultLost)
	case timerCaughtUp:
		g.finishCatchUp()
	case timerDrainGrace:
		g.enforceDrainGrace(due.engine)
	case timerAnswerComplete:
		g.checkCompletion(due.conn)
	}
}
