package gateway

import (
	"cmp"
	"slices"

	"foxlane/rules"
)

// This file handles the end of engine connections, by either side, and derives from it which attempts may have run.

// closeIfDrained closes a retired connection that carries no attempts or probes.
func (g *Gateway) closeIfDrained(conn *engineConn) {
	if conn.retired && conn.load() == 0 && !conn.closed {
		g.closeEngineConn(conn, conn.retireReason)
		g.removeEngineConn(conn)
	}
}

// closeEngineConn closes a connection to an engine. Each orderly close by the gateway goes through it.
func (g *Gateway) closeEngineConn(conn *engineConn, reason CloseReason) {
	g.checkEngineClose(conn, reason)
	g.countEngineClose(conn, reason, nil)
	g.closeAfterWrites(&conn.outputBuffer)
}

// countEngineClose counts the end of an engine connection by reason.
func (g *Gateway) countEngineClose(conn *engineConn, reason CloseReason, err error) {
	g.closeCounts[reason]++
	if g.cfg.Trace {
		g.traceEngineClose(conn, reason, err)
	}
}

// removeEngineConn deletes an engine connection from the gateway's state.
func (g *Gateway) removeEngineConn(conn *engineConn) {
	conn.closed = true
	g.releaseUndelivered(&conn.outputBuffer)
	g.setEngineInput(conn, 0)
	delete(g.engineConns, conn.id)
	conn.engine.conns = slices.DeleteFunc(conn.engine.conns, func(other *engineConn) bool { return other == conn })
}

// handleEngineConnEnded handles the end of a connection that broke or was never established. accepted is the number of
// bytes written to it that the operating system accepted. With notEngineFault, the end does not count against the
// engine; for a dial this means that a local resource was exhausted.
func (g *Gateway) handleEngineConnEnded(conn *engineConn, err error, accepted int64, notEngineFault bool) {
	localExhaustion := notEngineFault && !conn.established
	if !conn.closed { // otherwise the gateway closed it and has counted it
		notEngineFault = notEngineFault || conn.aborted
		g.countEngineClose(conn, endReason(conn, localExhaustion), err)
	}
	g.removeEngineConn(conn)
	if conn.load() > 0 {
		g.log(Warn, "engine: connection lost", Attr{keyEngine, conn.engine.entry.ID}, Attr{"up", conn.established},
			Attr{keyRequests, conn.load()}, Attr{keyError, errorText(err)})
	}
	for _, attempt := range slices.Clone(conn.waiting) {
		attempt.notEngineFault, attempt.localExhaustion = notEngineFault, localExhaustion
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	}
	g.endInFlightAttempts(conn, accepted, notEngineFault)
	if localExhaustion {
		conn.engine.resetLastRequest()
	}
	status := rules.StatusConnectFailed
	switch {
	case localExhaustion:
		status = rules.StatusNotExecuted
	case conn.established:
		status = rules.StatusReset
	}
	for _, probe := range conn.probesInOrder() {
		probe.localExhaustion = localExhaustion
		g.finishProbe(probe, status, nil)
	}
}

// endReason returns the reason of a connection's end that was not an orderly close by the gateway.
func endReason(conn *engineConn, localExhaustion bool) CloseReason {
	switch {
	case conn.aborted:
		return CloseEngineUnread
	case localExhaustion:
		return CloseLocalExhaustion
	case !conn.established:
		return CloseEngineUnreachable
	default:
		return CloseEngineLost
	}
}

// endInFlightAttempts ends the attempts that were written to a connection that has ended. An attempt whose bytes
// were not all accepted by the operating system never reached the engine completely, so it did not run.
//
// Connections also break for reasons unrelated to their engines, and one connection may carry dozens of requests.
// Only the oldest attempt counts against the engine, and only if the engine has sent nothing since a previous
// connection to it broke: a process that dies breaks all of its connections at once.
func (g *Gateway) endInFlightAttempts(conn *engineConn, accepted int64, notEngineFault bool) {
	eng := conn.engine
	if len(conn.inFlight) > 0 && !notEngineFault {
		notEngineFault = eng.lastRead > eng.lastConnectionLoss
		eng.lastConnectionLoss = g.now
	}
	lost := make([]*engineAttempt, 0, len(conn.inFlight))
	for _, attempt := range conn.inFlight {
		lost = append(lost, attempt)
	}
	slices.SortFunc(lost, func(attempt, other *engineAttempt) int {
		// Attempts requested at the same time are ordered by when they were written, not by map iteration.
		return cmp.Or(cmp.Compare(attempt.startedAt, other.startedAt), cmp.Compare(attempt.endOffset, other.endOffset))
	})
	for i, attempt := range lost {
		attempt.notEngineFault = notEngineFault || i > 0
		if attempt.endOffset > accepted {
			g.concludeAttempt(attempt, rules.StatusNotExecuted)
		} else {
			g.terminateAttempt(attempt, rules.StatusReset)
		}
	}
}

// retireConns retires the connections to an engine whose process was replaced or removed. Attempts that wait for a
// dial to the old address must not be written there, since another process may use that address. They are returned,
// to be concluded after the module is notified of the change.
func (g *Gateway) retireConns(eng *engineState) (stale []*engineAttempt) {
	for _, conn := range slices.Clone(eng.conns) {
		conn.retire(CloseEngineRetired)
		stale = append(stale, conn.waiting...)
		g.closeIfDrained(conn)
	}
	return stale
}

// drainGraceMarginDivisor divides the drain grace period: the quotient is the time at its end that is reserved for
// resetting connections.
const drainGraceMarginDivisor = 10

// armDrainGrace sets a timer for shortly before the end of the grace period of a draining or removed engine, when no
// request may be in transit to it any more.
func (g *Gateway) armDrainGrace(eng *engineState) {
	grace := g.cfg.Settings.Rules.Constraints.DrainGrace
	if grace > 0 && len(eng.conns) > 0 {
		g.timers.add(timer{at: g.now + grace - grace/drainGraceMarginDivisor, kind: timerDrainGrace, engine: eng})
	}
}

// enforceDrainGrace resets connections on which the engine left requests unread that were written before it began to
// drain or was removed. Requests in the operating system's buffers must not reach the engine after the grace
// period, and only a reset discards them.
func (g *Gateway) enforceDrainGrace(eng *engineState) {
	if eng.state == rules.EngineServing {
		return
	}
	for _, conn := range slices.Clone(eng.conns) {
		if !conn.blocked() || conn.blockedSince > eng.stateSince || conn.aborted {
			continue
		}
		g.log(Warn, "engine: connection reset with unread requests", Attr{keyEngine, eng.entry.ID}, Attr{keyRequests, conn.load()},
			Attr{"blocked_ms", milliseconds(g.now - conn.blockedSince)})
		conn.aborted = true
		conn.retire(CloseEngineUnread)
		g.emit(ResetConnection{Conn: conn.id})
	}
}

// closeIdleConns closes the idle connections to an engine. The module requests this for engines that it does not use.
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

// sweepEngineConns closes idle connections before their engines do: a request that crosses an engine's close could
// not be proven to have never run.
func (g *Gateway) sweepEngineConns() {
	for _, eng := range g.engineOrder {
		for _, conn := range slices.Clone(eng.conns) {
			if conn.established && conn.load() == 0 && g.now-conn.lastUsed >= g.limits.EngineIdleTimeout {
				conn.retire(CloseEngineIdle)
				g.closeIfDrained(conn)
			}
		}
	}
}
