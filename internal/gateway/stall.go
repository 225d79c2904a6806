package gateway

// This file owns what happens behind a stall: a stop of the process, or so little processor time that timers fall due
// long ahead of being seen. Clients may have left or killed their queries meanwhile, and the list may have changed, with
// word of that unread in sockets. What is to be sent waits until those were read.

// noteStall looks whether the reducer runs again after a stall.
func (g *Gateway) noteStall() {
	if g.armed == 0 || g.now-g.armed < g.lim.StallFrom || g.now < g.settled {
		return
	}
	g.log(Info, "stalled: what came meanwhile is read first", Attr{"late_ms", int64((g.now - g.armed) / 1000)})
	g.resumed = g.now
	g.settled = g.now + g.lim.SettleFor
	g.timers.add(timer{at: g.settled, kind: timerSettled})
}

// askWaiting writes what has waited since the stall.
func (g *Gateway) askWaiting() {
	for _, e := range g.order {
		for _, l := range e.links {
			if l.up && !l.ended && len(l.waiting) > 0 {
				g.askAll(l)
			}
		}
	}
}
