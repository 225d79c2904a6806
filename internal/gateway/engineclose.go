package gateway

import (
	"foxlane/rules"
	"slices"
)

// This file owns the end of connections to engines, by us or by the other side, and what that proves of the attempts on them.

// closeIfDrained closes a retired connection once nothing is left on it.
func (g *Gateway) closeIfDrained(conn *engineConn) {
	if conn.retired && conn.load() == 0 && !conn.closed {
		g.closeEngineConn(conn, conn.retireReason)
		g.removeEngineConn(conn)
	}
}

// closeEngineConn is the one way in which we close a connection to an engine.
func (g *Gateway) closeEngineConn(conn *engineConn, why CloseReason) {
	g.checkEngineClose(conn, why)
	g.countEngineClose(conn, why, nil)
	g.closeAfterWrites(&conn.outputBuffer)
}

// countEngineClose counts the end of a connection to an engine by its reason.
func (g *Gateway) countEngineClose(conn *engineConn, why CloseReason, err error) {
	g.closeCounts[why]++
	if g.cfg.Trace {
		g.traceEngineClose(conn, why, err)
	}
}

func (g *Gateway) removeEngineConn(conn *engineConn) {
	conn.closed = true
	delete(g.engineConns, conn.id)
	conn.engine.conns = slices.DeleteFunc(conn.engine.conns, func(other *engineConn) bool { return other == conn })
}

// engineConnEnded: the connection broke, or never came up. Connections break for reasons that say nothing of
// their engine, and one may carry dozens of requests: only the oldest of these tells of the engine, and
// only if that has answered nothing since another connection to it broke. A process that died breaks
// all of its connections at once, and refuses the next. With spoilt, nothing tells of the engine.
// What was written beyond the bytes that the system has taken never came whole to the engine: it did not run.
func (g *Gateway) engineConnEnded(conn *engineConn, err error, taken int64, spoilt bool) {
	ours := spoilt && !conn.up // it was never made, for want of something here
	switch {
	case conn.closed: // by us, who have said why
	case conn.aborted:
		spoilt = true
		g.countEngineClose(conn, CloseEngineUnread, err)
	case ours:
		g.countEngineClose(conn, CloseLocalExhaustion, err)
	case !conn.up:
		g.countEngineClose(conn, CloseEngineUnreachable, err)
	default:
		g.countEngineClose(conn, CloseEngineLost, err)
	}
	g.removeEngineConn(conn)
	if conn.load() > 0 {
		text := ""
		if err != nil {
			text = err.Error()
		}
		g.log(Warn, "engine: connection lost", Attr{"engine", conn.engine.entry.ID}, Attr{"up", conn.up},
			Attr{"requests", conn.load()}, Attr{"error", text})
	}
	status := rules.StatusConnectFailed
	if conn.up {
		status = rules.StatusReset
	}
	for _, attempt := range slices.Clone(conn.waiting) {
		attempt.blameless, attempt.localExhaustion = spoilt, ours
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	}
	eng := conn.engine
	if len(conn.inFlight) > 0 && !spoilt {
		spoilt = eng.lastRead > eng.lastBroken
		eng.lastBroken = g.now
	}
	lost := make([]*engineAttempt, 0, len(conn.inFlight))
	for _, attempt := range conn.inFlight {
		lost = append(lost, attempt)
	}
	slices.SortFunc(lost, func(attempt, other *engineAttempt) int { return int(attempt.startedAt - other.startedAt) })
	for i, attempt := range lost {
		attempt.blameless = spoilt || i > 0
		if attempt.endOffset > taken {
			g.concludeAttempt(attempt, rules.StatusSuperseded)
		} else {
			g.terminateAttempt(attempt, rules.StatusReset)
		}
	}
	if ours {
		conn.engine.undoRequest()
	}
	for _, probe := range conn.probes {
		if probe.localExhaustion = ours; ours {
			status = rules.StatusSuperseded
		}
		g.finishProbe(probe, status, nil)
	}
}

// retireConns: the process behind them is another one now, or has gone. What waits for a dial to where it was must
// not be written there, since somebody else may have the address: it is returned, to be concluded once the module
// knows of the list.
func (g *Gateway) retireConns(eng *engineState) (stale []*engineAttempt) {
	for _, conn := range slices.Clone(eng.conns) {
		conn.retire(CloseEngineRetired)
		stale = append(stale, conn.waiting...)
		g.closeIfDrained(conn)
	}
	return stale
}

// armGrace looks, ahead of the end of the grace of an engine that drains or has gone, whether something for it still waits here.
func (g *Gateway) armGrace(eng *engineState) {
	grace := g.cfg.Settings.Rules.Constraints.DrainGrace
	if grace > 0 && len(eng.conns) > 0 {
		g.timers.add(timer{at: g.now + grace - grace/graceMarginDivisor, kind: timerGrace, engine: eng})
	}
}

// graceMarginDivisor is the part of a grace, as a divisor, that is left for the end of a connection.
const graceMarginDivisor = 10

// enforceGrace resets connections whose engine has not taken what was written to them before it was told to drain or to be gone: it
// must not leave any more, and there is no other way to take it back.
func (g *Gateway) enforceGrace(eng *engineState) {
	if eng.state == rules.EngineServing {
		return
	}
	for _, conn := range slices.Clone(eng.conns) {
		if conn.blockedSince == 0 || conn.blockedSince > eng.stateSince || conn.aborted {
			continue
		}
		g.log(Warn, "engine: connection reset, requests on it were not read", Attr{"engine", eng.entry.ID}, Attr{"requests", conn.load()},
			Attr{"blocked_ms", milliseconds(g.now - conn.blockedSince)})
		conn.aborted = true
		conn.retire(CloseEngineUnread)
		g.emit(ResetConnection{Conn: conn.id})
	}
}

func (g *Gateway) closeIdleConns(eng *engineState) {
	if eng == nil {
		return
	}
	for _, conn := range slices.Clone(eng.conns) {
		if conn.load() == 0 {
			conn.retire(CloseEngineIdle)
			g.closeIfDrained(conn)
		}
	}
}

// sweepEngineConns closes idle connections before their engines do: a request that
// crosses such a close could not be proven never to have run.
func (g *Gateway) sweepEngineConns() {
	for _, eng := range g.engineOrder {
		for _, conn := range slices.Clone(eng.conns) {
			if conn.up && conn.load() == 0 && g.now-conn.lastUsed >= g.limits.EngineIdleTimeout {
				conn.retire(CloseEngineIdle)
				g.closeIfDrained(conn)
			}
		}
	}
}
