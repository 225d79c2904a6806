package gateway

import "foxlane/rules"

// This file owns what happens after a stall: the process was stopped, or had so little processor time that timers run late. Clients
// may have gone or killed their queries meanwhile, and the list of engines may have changed, and word of that is still unread in
// sockets. So no attempt is written until that input was read.

// stall is a stall that is over.
type stall struct {
	resumedAt rules.Time // when the reducer ran again
	lateBy    rules.Time // how late its timers were then
	holdUntil rules.Time // no attempt is written before
}

// detectStall looks at each event whether the reducer runs again after a stall.
func (g *Gateway) detectStall() {
	lateBy := g.now - g.armedAt
	if g.armedAt == 0 || lateBy < g.limits.StallThreshold || g.now < g.lastStall.holdUntil {
		return
	}
	g.log(Info, "process stalled: pending input is read first", Attr{"late_ms", milliseconds(lateBy)})
	g.lastStall = stall{resumedAt: g.now, lateBy: lateBy, holdUntil: g.now + g.catchUpTime(lateBy)}
	g.timers.add(timer{at: g.lastStall.holdUntil, kind: timerCaughtUp})
}

// catchUpTime is for how long at least no attempt is written. After a long stall reading takes longer, since other processes may come out
// of it at the same time.
func (g *Gateway) catchUpTime(lateBy rules.Time) rules.Time {
	if lateBy >= g.limits.LongStallThreshold {
		return g.limits.LongSettleTime
	}
	return g.limits.SettleTime
}

// catchingUp reports whether input that came during a stall is still being read.
func (g *Gateway) catchingUp() bool { return g.now < g.lastStall.holdUntil }

// extendCatchUp notes input from a client: more of what came during the stall may follow. The extension is bounded, or a steady stream
// of requests would keep all attempts waiting.
func (g *Gateway) extendCatchUp() {
	if !g.catchingUp() {
		return
	}
	last := &g.lastStall
	least := g.catchUpTime(last.lateBy)
	last.holdUntil = max(last.holdUntil, min(g.now+least, last.resumedAt+least+g.limits.MaxSettleTime))
}

// inputDelay is for how long input that is read now may have waited in its socket.
func (g *Gateway) inputDelay() rules.Time {
	if g.catchingUp() {
		return g.lastStall.lateBy
	}
	return 0
}

// resumeSends writes the attempts that have waited since the stall, unless there is still input to read.
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
