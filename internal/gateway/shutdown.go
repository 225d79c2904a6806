package gateway

import (
	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file owns the graceful shutdown: all requests that were accepted are answered, then the process is asked to exit.

// beginShutdown tells the module, admission control and the spool by when all requests must be answered. New requests are still
// accepted, since clients don't know yet.
func (g *Gateway) beginShutdown() {
	if g.stopping {
		return
	}
	g.stopping = true
	g.log(Info, "stopping", Attr{keyInFlight, g.unanswered})
	g.timers.add(timer{at: g.now + g.limits.MinDrainPeriod, kind: timerStop})
	g.shortenStoreDeadlines()
	g.handleAdmission(admission.Event{Kind: admission.Stopping, Deadline: g.now + g.limits.ShutdownTimeout})
	g.tellModule(rules.ShutdownStarted{Deadline: g.now + g.limits.ShutdownTimeout})
}

// exitWhenDone asks for the exit of the process once the drain period is over and all requests are answered. It does so in each batch,
// since requests that are read while the process exits are answered first. Clients that have sent no command get an error.
func (g *Gateway) exitWhenDone() {
	if !g.drainPeriodOver || g.unanswered > 0 {
		return
	}
	if !g.stopped {
		g.stopped = true
		for element := g.newClients.Front(); element != nil; element = g.newClients.Front() {
			g.evictWithError(element.Value.(*clientConn), CloseShutdown, "this gateway ends")
		}
		g.log(Info, "stopped", Attr{"invariants_violated", g.violations.Sum()})
	}
	g.emit(Exit{})
}
