package gateway

import (
	"cmp"
	"slices"

	"foxlane/rules"
)

// This file owns the end of connections to engines, by us or by the other side, and what it proves of the attempts on them.

// closeIfDrained closes a retired connection that carries nothing.
func (g *Gateway) closeIfDrained(conn *engineConn) {
	if conn.retired && conn.load() == 0 && !conn.closed {
		g.closeEngineConn(conn, conn.retireReason)
		g.removeEngineConn(conn)
	}
}

// closeEngineConn closes a connection to an engine. Every such close by us goes through here.
func (g *Gateway) closeEngineConn(conn *engineConn, reason CloseReason) {
	g.checkEngineClose(conn, reason)
	g.countEngineClose(conn, reason, nil)
	g.closeAfterWrites(&conn.outputBuffer)
}

// countEngineClose counts the end of a connection to an engine by its reason.
func (g *Gateway) countEngineClose(conn *engineConn, reason CloseReason, err error) {
	g.closeCounts[reason]++
	if g.cfg.Trace {
		g.traceEngineClose(conn, reason, err)
	}
}

func (g *Gateway) removeEngineConn(conn *engineConn) {
	conn.closed = true
	delete(g.engineConns, conn.id)
	conn.engine.conns = slices.DeleteFunc(conn.engine.conns, func(other *engineConn) bool { return other == conn })
}

// engineConnEnded takes the end of a connection that broke or never came up. Of all that was written on it the system has accepted so
// many bytes. With blameless, the end says nothing of the engine; for a dial that means that a local resource was exhausted.
func (g *Gateway) engineConnEnded(conn *engineConn, err error, accepted int64, blameless bool) {
	localExhaustion := blameless && !conn.up
	if !conn.closed { // otherwise we closed it, and have counted it
		blameless = blameless || conn.aborted
		g.countEngineClose(conn, endReason(conn, localExhaustion), err)
	}
	g.removeEngineConn(conn)
	if conn.load() > 0 {
		g.log(Warn, "engine: connection lost", Attr{keyEngine, conn.engine.entry.ID}, Attr{"up", conn.up},
			Attr{keyRequests, conn.load()}, Attr{keyError, errorText(err)})
	}
	for _, attempt := range slices.Clone(conn.waiting) {
		attempt.blameless, attempt.localExhaustion = blameless, localExhaustion
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	}
	g.endInFlight(conn, accepted, blameless)
	if localExhaustion {
		conn.engine.undoRequest()
	}
	status := rules.StatusConnectFailed
	switch {
	case localExhaustion:
		status = rules.StatusSuperseded
	case conn.up:
		status = rules.StatusReset
	}
	for _, probe := range conn.probesInOrder() {
		probe.localExhaustion = localExhaustion
		g.finishProbe(probe, status, nil)
	}
}

// endReason is why a connection has ended that we did not close.
func endReason(conn *engineConn, localExhaustion bool) CloseReason {
	switch {
	case conn.aborted:
		return CloseEngineUnread
	case localExhaustion:
		return CloseLocalExhaustion
	case !conn.up:
		return CloseEngineUnreachable
	default:
		return CloseEngineLost
	}
}

// endInFlight ends the attempts that were written on a connection that has ended. One of which not all bytes were accepted by the
// system never came whole to the engine, so it did not run.
//
// Connections break for reasons that say nothing of their engines, and one may carry dozens of requests. So only the oldest of these
// counts against the engine, and only if that has answered nothing since another connection to it broke: a process that died breaks
// all of its connections at once.
func (g *Gateway) endInFlight(conn *engineConn, accepted int64, blameless bool) {
	eng := conn.engine
	if len(conn.inFlight) > 0 && !blameless {
		blameless = eng.lastRead > eng.lastBroken
		eng.lastBroken = g.now
	}
	lost := make([]*engineAttempt, 0, len(conn.inFlight))
	for _, attempt := range conn.inFlight {
		lost = append(lost, attempt)
	}
	slices.SortFunc(lost, func(attempt, other *engineAttempt) int {
		// Of those that the module asked for at one time, the first that was written: the order of a map must not decide.
		return cmp.Or(cmp.Compare(attempt.startedAt, other.startedAt), cmp.Compare(attempt.endOffset, other.endOffset))
	})
	for i, attempt := range lost {
		attempt.blameless = blameless || i > 0
		if attempt.endOffset > accepted {
			g.concludeAttempt(attempt, rules.StatusSuperseded)
		} else {
			g.terminateAttempt(attempt, rules.StatusReset)
		}
	}
}

// retireConns retires the connections to an engine whose process is another one now, or has gone. What waits for a dial to its old
// address must not be written there, since another process may have that address: it is returned, to be concluded once the module
// knows of the change.
func (g *Gateway) retireConns(eng *engineState) (stale []*engineAttempt) {
	for _, conn := range slices.Clone(eng.conns) {
		conn.retire(CloseEngineRetired)
		stale = append(stale, conn.waiting...)
		g.closeIfDrained(conn)
	}
	return stale
}

// graceMarginDivisor is the part of a drain's grace, as a divisor, that is left for resetting connections.
const graceMarginDivisor = 10

// armGrace sets a timer shortly before the end of the grace of an engine that drains or has gone: by then nothing may be on its way to it.
func (g *Gateway) armGrace(eng *engineState) {
	grace := g.cfg.Settings.Rules.Constraints.DrainGrace
	if grace > 0 && len(eng.conns) > 0 {
		g.timers.add(timer{at: g.now + grace - grace/graceMarginDivisor, kind: timerGrace, engine: eng})
	}
}

// enforceGrace resets connections whose engine has not read what was written before it began to drain or had gone. Requests in the
// system's buffers must not reach the engine after the grace, and a reset is the only way to take them back.
func (g *Gateway) enforceGrace(eng *engineState) {
	if eng.state == rules.EngineServing {
		return
	}
	for _, conn := range slices.Clone(eng.conns) {
		if conn.blockedSince == 0 || conn.blockedSince > eng.stateSince || conn.aborted {
			continue
		}
		g.log(Warn, "engine: connection reset with unread requests", Attr{keyEngine, eng.entry.ID}, Attr{keyRequests, conn.load()},
			Attr{"blocked_ms", milliseconds(g.now - conn.blockedSince)})
		conn.aborted = true
		conn.retire(CloseEngineUnread)
		g.emit(ResetConnection{Conn: conn.id})
	}
}

// closeIdleConns closes connections that carry nothing, as the module asks for an engine that it does not use.
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

// sweepEngineConns closes idle connections before their engines do: of a request that crosses an engine's close it could not be
// proven that it never ran.
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
