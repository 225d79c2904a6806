package gateway

import (
	"slices"

	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file handles stalls, in which the process was stopped or got so little processor time that timers fire late.
// In the meantime clients may have disconnected or killed their queries, and the endpoint list may have changed,
// while the corresponding input is still unread in the sockets. So no attempt is written, and nothing is closed for the
// lack of input, until that input has been read.

// stall describes the last stall, after its end.
type stall struct {
	resumedAt rules.Time // when the reducer resumed
	lateBy    rules.Time // delay of the timer that was pending
	holdUntil rules.Time // no attempt is written before this time
	since     rules.Time // resumedAt of the first one in a series of short stalls without a timely wake in between
}

// detectStall checks at each event whether the reducer resumes after a stall.
func (g *Gateway) detectStall() {
	lateBy := g.now - g.armedFor
	if g.armedFor == 0 || lateBy < g.limits.StallThreshold || g.now < g.lastStall.holdUntil {
		return
	}
	g.log(Info, "process stalled: pending input is read first", Attr{"late_ms", milliseconds(lateBy)})
	since := g.now
	if lateBy < g.limits.LongStallThreshold && g.armedFor <= g.lastStall.holdUntil {
		since = g.lastStall.since
	}
	g.lastStall = stall{resumedAt: g.now, lateBy: lateBy, holdUntil: g.now + g.catchUpTime(lateBy), since: since}
	g.timers.add(timer{at: g.lastStall.holdUntil, kind: timerCaughtUp})
	g.notifyAdmission(admission.Event{Kind: admission.InputPending})
}

// catchUpTime returns the minimum time for which attempts are held back after a stall. Reading the pending input
// takes longer after a long stall, since other processes may resume at the same time.
func (g *Gateway) catchUpTime(lateBy rules.Time) rules.Time {
	if lateBy >= g.limits.LongStallThreshold {
		return g.limits.LongSettleTime
	}
	return g.limits.SettleTime
}

// catchingUp reports whether input that arrived during a stall is still being read, so that attempts are held back.
func (g *Gateway) catchingUp() bool { return g.now < g.lastStall.holdUntil }

// inputPending reports whether input that arrived during a stall may still be unread, so that nothing is closed for the
// lack of it. Unlike catchingUp, it ends in a series of short stalls, which may last as long as the process has little
// processor time.
func (g *Gateway) inputPending() bool {
	return g.catchingUp() && g.now < g.lastStall.since+g.limits.LongSettleTime+g.limits.MaxSettleTime
}

// extendCatchUp extends the catch-up time on input from a client, since more input from the stall may follow. The
// extension is limited, so that a steady stream of requests does not hold back attempts forever.
func (g *Gateway) extendCatchUp() {
	if !g.catchingUp() {
		return
	}
	last := &g.lastStall
	minimum := g.catchUpTime(last.lateBy)
	last.holdUntil = max(last.holdUntil, min(g.now+minimum, last.resumedAt+minimum+g.limits.MaxSettleTime))
}

// inputDelay returns how long input that is read now may have waited in its socket.
func (g *Gateway) inputDelay() rules.Time {
	if g.catchingUp() {
		return g.lastStall.lateBy
	}
	return 0
}

// finishCatchUp closes the clients and writes the attempts that were spared or held back since the stall, unless the
// catch-up time was extended.
func (g *Gateway) finishCatchUp() {
	if !g.inputPending() {
		g.notifyAdmission(admission.Event{Kind: admission.InputRead})
		g.enforceClientLimits()
	}
	if g.catchingUp() {
		g.timers.add(timer{at: g.lastStall.holdUntil, kind: timerCaughtUp})
		return
	}
	g.resumeSends()
}

// resumeSends writes the attempts held back since the stall. An attempt that is
// concluded instead may close its connection, which removes it from the engine's list.
func (g *Gateway) resumeSends() {
	for _, eng := range g.engineOrder {
		for _, conn := range slices.Clone(eng.conns) {
			if conn.established && !conn.closed && len(conn.waiting) > 0 {
				g.writeWaiting(conn)
			}
		}
	}
}
