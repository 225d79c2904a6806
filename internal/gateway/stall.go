package gateway

import "foxlane/rules"

// This file owns what happens behind a stall: a stop of the process, or so little processor time that timers fall due
// long ahead of being seen. Clients may have left or killed their queries meanwhile, and the list may have changed, with
// word of that unread in sockets. What is to be sent waits until those were read.

// stall is one that the reducer has come out of.
type stall struct {
	seen  rules.Time // when the reducer ran again
	late  rules.Time // how late its timers were then
	until rules.Time // nothing is sent before
}

// noteStall looks whether the reducer runs again after a stall.
func (g *Gateway) noteStall() {
	late := g.now - g.armed
	if g.armed == 0 || late < g.lim.StallFrom || g.now < g.lastStall.until {
		return
	}
	g.log(Info, "stalled: what came meanwhile is read first", Attr{"late_ms", int64(late / rules.Millisecond)})
	g.lastStall = stall{seen: g.now, late: late, until: g.now + g.settleFor(late)}
	g.timers.add(timer{at: g.lastStall.until, kind: timerSettled})
}

// settleFor is how long nothing is sent at least. Behind a long stall reading takes longer, since others may come out of it at
// the same time, and who has left meanwhile has left for longer than may be in any case.
func (g *Gateway) settleFor(late rules.Time) rules.Time {
	if late >= g.lim.StallLong {
		return g.lim.SettleLong
	}
	return g.lim.SettleFor
}

// settling answers whether what came during a stall is still being read.
func (g *Gateway) settling() bool { return g.now < g.lastStall.until }

// stillReading notes that a client's connection said something: more of what came during the stall may lie behind it.
func (g *Gateway) stillReading() {
	if g.settling() {
		g.lastStall.until = max(g.lastStall.until, min(g.now+g.settleFor(g.lastStall.late), g.lastStall.seen+g.settleFor(g.lastStall.late)+g.lim.SettleMost))
	}
}

// waitedFor is for how long what is read now may have waited in its socket.
func (g *Gateway) waitedFor() rules.Time {
	if g.settling() {
		return g.lastStall.late
	}
	return 0
}

// settled sends what has waited since the stall, unless there was still something to read.
func (g *Gateway) settled() {
	if g.settling() {
		g.timers.add(timer{at: g.lastStall.until, kind: timerSettled})
		return
	}
	for _, e := range g.order {
		for _, l := range e.links {
			if l.up && !l.ended && len(l.waiting) > 0 {
				g.askAll(l)
			}
		}
	}
}
