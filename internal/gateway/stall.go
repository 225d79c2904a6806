package gateway

import "foxlane/rules"

// This file owns what happens behind a stall: a stop of the process, or so little processor time that timers fall due
// long ahead of being seen. Clients may have left or killed their queries meanwhile, and the list may have changed, with
// word of that unread in sockets. What is to be sent waits until those were read.

// stall is one that the reducer has come out of.
type stall struct {
	resumedAt rules.Time // when the reducer ran again
	lateBy    rules.Time // how late its timers were then
	holdUntil rules.Time // nothing is sent before
}

// detectStall looks whether the reducer runs again after a stall.
func (g *Gateway) detectStall() {
	late := g.now - g.armedAt
	if g.armedAt == 0 || late < g.limits.StallThreshold || g.now < g.lastStall.holdUntil {
		return
	}
	g.log(Info, "stalled: what came meanwhile is read first", Attr{"late_ms", int64(late / rules.Millisecond)})
	g.lastStall = stall{resumedAt: g.now, lateBy: late, holdUntil: g.now + g.catchUpTime(late)}
	g.timers.add(timer{at: g.lastStall.holdUntil, kind: timerCaughtUp})
}

// catchUpTime is how long nothing is sent at least. Behind a long stall reading takes longer, since others may come out of it at
// the same time, and who has left meanwhile has left for longer than may be in any case.
func (g *Gateway) catchUpTime(late rules.Time) rules.Time {
	if late >= g.limits.LongStallThreshold {
		return g.limits.LongSettleTime
	}
	return g.limits.SettleTime
}

// catchingUp answers whether what came during a stall is still being read.
func (g *Gateway) catchingUp() bool { return g.now < g.lastStall.holdUntil }

// extendCatchUp notes that a client's connection said something: more of what came during the stall may lie behind it.
func (g *Gateway) extendCatchUp() {
	if g.catchingUp() {
		g.lastStall.holdUntil = max(g.lastStall.holdUntil, min(g.now+g.catchUpTime(g.lastStall.lateBy), g.lastStall.resumedAt+g.catchUpTime(g.lastStall.lateBy)+g.limits.MaxSettleTime))
	}
}

// inputDelay is for how long what is read now may have waited in its socket.
func (g *Gateway) inputDelay() rules.Time {
	if g.catchingUp() {
		return g.lastStall.lateBy
	}
	return 0
}

// resumeSends sends what has waited since the stall, unless there was still something to read.
func (g *Gateway) resumeSends() {
	if g.catchingUp() {
		g.timers.add(timer{at: g.lastStall.holdUntil, kind: timerCaughtUp})
		return
	}
	for _, eng := range g.engineOrder {
		for _, conn := range eng.conns {
			if conn.up && !conn.closed && len(conn.waiting) > 0 {
				g.writeWaiting(conn)
			}
		}
	}
}
