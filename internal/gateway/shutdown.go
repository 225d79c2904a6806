package gateway

import (
	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file owns the end of the process: all that was taken is answered, then the process is asked to end.

// stop begins the end: the module is told by when all must be answered.
func (g *Gateway) stop() {
	if g.stopping {
		return
	}
	g.stopping = true
	g.log(Info, "stopping", Attr{"open", g.unanswered})
	g.timers.add(timer{at: g.now + g.lim.StopLinger, kind: timerStop})
	g.hurryKept()
	g.atGate(admission.Event{Kind: admission.Stopping, By: g.now + g.lim.StopWithin})
	g.tell(rules.ShutdownStarted{Deadline: g.now + g.lim.StopWithin})
}

// maybeExit ends the process once all is answered. It asks for that again and again: what is read while the end is
// under way is answered too, and the end comes behind that. Who has asked for nothing yet hears that it is refused.
func (g *Gateway) maybeExit() {
	if !g.lingered || g.unanswered > 0 {
		return
	}
	if !g.stopped {
		g.stopped = true
		for e := g.fresh.Front(); e != nil; e = g.fresh.Front() {
			g.turnOut(e.Value.(*client), CloseStopping, "this gateway ends")
		}
		g.log(Info, "stopped", Attr{"invariants_broken", g.broken.Sum()})
	}
	g.do(Effect{Kind: Exit})
}
