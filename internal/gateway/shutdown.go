package gateway

import (
	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file owns the end of the process: all that was taken is answered, then the process is asked to end.

// beginShutdown begins the end: the module is told by when all must be answered.
func (g *Gateway) beginShutdown() {
	if g.stopping {
		return
	}
	g.stopping = true
	g.log(Info, "stopping", Attr{"open", g.unanswered})
	g.timers.add(timer{at: g.now + g.limits.MinDrainPeriod, kind: timerStop})
	g.shortenStoreDeadlines()
	g.handleAdmission(admission.Event{Kind: admission.Stopping, Deadline: g.now + g.limits.ShutdownTimeout})
	g.tellModule(rules.ShutdownStarted{Deadline: g.now + g.limits.ShutdownTimeout})
}

// exitWhenDone ends the process once all is answered. It asks for that again and again: what is read while the end is
// under way is answered too, and the end comes behind that. Who has asked for nothing yet hears that it is refused.
func (g *Gateway) exitWhenDone() {
	if !g.drainPeriodOver || g.unanswered > 0 {
		return
	}
	if !g.stopped {
		g.stopped = true
		for element := g.newClients.Front(); element != nil; element = g.newClients.Front() {
			g.evictWithError(element.Value.(*clientConn), CloseShutdown, "this gateway ends")
		}
		g.log(Info, "stopped", Attr{"invariants_broken", g.violations.Sum()})
	}
	g.emit(Exit{})
}
