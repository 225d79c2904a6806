package gateway

import (
	"slices"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file manages engine connections, each of which multiplexes many requests: which connection an attempt uses,
// and what is written to it. An attempt that was written to a connection that later broke may have run; one that
// was not written has not.

// engineConn is a connection to an engine, or the dial of one.
type engineConn struct {
	outputBuffer
	engine             *engineState
	decoder            engine.Decoder
	established        bool
	retired            bool             // accepts no new requests; closed once it carries nothing
	retireReason       CloseReason      // valid once retired
	class              int              // class whose requests it is kept for; see connFor
	waiting            []*engineAttempt // to be written once the connection is up
	inFlight           map[string]*engineAttempt
	probes             map[string]*healthProbe
	lastUsed           rules.Time // time of the last write or read
	lastRead           rules.Time // time of the last read
	completionTimerSet bool       // a timerAnswerComplete is pending
	dialledAt          rules.Time // when the dial began
	dialTime           rules.Time // duration of the dial
	aborted            bool       // reset by the gateway because the engine left writes unread
	inputBytes         int64      // memory of an incomplete answer
}

// load returns the number of attempts and probes that the connection carries.
func (c *engineConn) load() int { return len(c.waiting) + len(c.inFlight) + len(c.probes) }

// hadAttemptOf reports whether a request, or an earlier one with its ID, had an attempt on the connection. It must not
// have another one there: answers identify only the request, so a late answer to the first attempt could be mistaken for
// an answer to the second.
func (c *engineConn) hadAttemptOf(req *queryRequest) bool {
	return req != nil && (req.formerConns.contain(c.id) ||
		slices.ContainsFunc(req.attempts, func(attempt *engineAttempt) bool { return attempt.conn == c }))
}

// connUsable reports whether a connection may carry a request, or a probe if req is nil. The connection may still be
// dialling, but must have capacity and no earlier attempt of the request, its engine must be reading from it, and it
// must not have been idle for so long that its engine may be about to close it.
func (g *Gateway) connUsable(conn *engineConn, req *queryRequest) bool {
	return !conn.retired && !conn.blocked() && conn.load() < g.limits.Multiplex && !conn.hadAttemptOf(req) &&
		(!conn.established || conn.load() > 0 || g.now-conn.lastUsed < g.limits.EngineIdleTimeout)
}

// connFor returns a connection for a request, or for a probe if req is nil. It dials a new one if needed. If
// the connection limits are reached, it returns a usable connection of another class, or nil if there is none.
//
// Each class has its own connections. A connection that breaks ends everything it carries, and malformed answers
// grow with the number of answers, so the many short requests of light classes would end the few long requests of
// heavy classes. Within a class, few connections are kept busy, since new and idle ones are reset most often. An
// idle connection may change its class: with hundreds of gateways of little traffic each, every connection that is
// reused saves an engine a handshake.
func (g *Gateway) connFor(eng *engineState, req *queryRequest) *engineConn {
	class := 0
	if req != nil {
		class = req.class
	}
	var dialling, idle, other *engineConn
	openConns := 0
	for _, conn := range eng.conns {
		if !conn.retired {
			openConns++
		}
		switch {
		case !g.connUsable(conn, req):
		case conn.class != class:
			if other = conn; conn.established && conn.load() == 0 {
				idle = conn
			}
		case conn.established:
			return conn
		case dialling == nil:
			dialling = conn
		}
	}
	if dialling != nil {
		return dialling
	}
	if idle != nil {
		idle.class = class
		return idle
	}
	if openConns >= g.limits.MaxEngineConns || len(g.engineConns) >= g.limits.MaxConns {
		return other
	}
	return g.dialEngine(eng, class)
}

// dialEngine dials a new connection to an engine for a class.
func (g *Gateway) dialEngine(eng *engineState, class int) *engineConn {
	g.lastConn++
	conn := &engineConn{
		outputBuffer: outputBuffer{id: dialledBit | g.lastConn},
		engine:       eng,
		class:        class,
		inFlight:     map[string]*engineAttempt{},
		probes:       map[string]*healthProbe{},
		decoder:      engine.Decoder{MaxLineBytes: g.limits.MaxLineBytes, MaxBodyBytes: g.limits.MaxPageBytes},
		lastUsed:     g.now,
		dialledAt:    g.now,
	}
	eng.conns = append(eng.conns, conn)
	g.engineConns[conn.id] = conn
	g.emit(Dial{Conn: conn.id, Addr: eng.entry.Addr, Timeout: g.limits.ConnectTimeout})
	return conn
}

// assignConn assigns an attempt to a connection. It is written at once if the connection is up and no sends are
// held back, else it waits.
func (g *Gateway) assignConn(attempt *engineAttempt) {
	if attempt.engine.state == rules.EngineGone {
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
		return
	}
	if !g.engineOutputFits(attempt.request) {
		g.log(Warn, "engine: too much is unread, attempt not sent", Attr{keyEngine, attempt.engine.entry.ID})
		attempt.notEngineFault, attempt.localExhaustion = true, true
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
		return
	}
	attempt.engine.lastRequest = g.now
	attempt.conn = g.connFor(attempt.engine, attempt.request)
	switch {
	case attempt.conn == nil:
		g.log(Warn, "engine: connection limit reached", Attr{keyEngine, attempt.engine.entry.ID})
		attempt.notEngineFault, attempt.localExhaustion = true, true
		attempt.engine.resetLastRequest()
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	case attempt.conn.established && !g.catchingUp():
		g.writeAttempt(attempt)
	default:
		attempt.conn.waiting = append(attempt.conn.waiting, attempt)
	}
}

// writeAttempt writes an attempt to its connection, which must be up. It is the only place where attempts,
// including retries, are written.
func (g *Gateway) writeAttempt(attempt *engineAttempt) {
	req, conn := attempt.request, attempt.conn
	g.checkSend(attempt)
	request := engine.Request{
		ID: string(req.id), Class: g.cfg.Settings.ClassNames[req.class], TimeoutMS: max(int64((attempt.deadline-g.now)/rules.Millisecond), 1),
		MemoryMB: req.memoryMB, Priority: attempt.priority, IdempotencyKey: req.idempotencyKey, Statement: req.statement,
	}
	if g.cfg.Trace {
		g.traceAttemptSent(attempt, &request)
	}
	conn.output = engine.AppendRequest(conn.output, request)
	attempt.sent, attempt.endOffset = true, conn.emittedBytes+int64(len(conn.output))
	conn.inFlight[string(req.id)] = attempt
	conn.lastUsed = g.now
	g.markDirty(&conn.outputBuffer)
}

// handleEngineConnected handles an established connection and writes the attempts and probes waiting for it.
func (g *Gateway) handleEngineConnected(conn *engineConn) {
	conn.established, conn.lastUsed, conn.dialTime = true, g.now, g.now-conn.dialledAt
	g.writeWaiting(conn)
	for _, probe := range conn.probesInOrder() {
		conn.output = engine.AppendProbe(conn.output, probe.tag)
		g.markDirty(&conn.outputBuffer)
	}
	g.closeIfDrained(conn)
}

// writeWaiting writes the attempts waiting on an established connection, unless the engine has stopped serving.
// Attempts that have waited longer than the dial timeout are not written either: the module does not expect them to
// start that late, and the dedup window in which engines recognise their idempotency keys may be over. Those that are
// still to be handled stay on the connection, which would be closed as drained without them.
func (g *Gateway) writeWaiting(conn *engineConn) {
	for _, attempt := range slices.Clone(conn.waiting) {
		switch {
		case attempt.done:
		case attempt.request.answered || conn.engine.state != rules.EngineServing || g.now-attempt.startedAt > g.limits.ConnectTimeout:
			g.concludeAttempt(attempt, rules.StatusNotExecuted)
		case g.catchingUp(): // it stays
		default:
			conn.removeWaiting(attempt)
			g.writeAttempt(attempt)
		}
	}
}

// removeWaiting removes an attempt from those that wait to be written.
func (c *engineConn) removeWaiting(attempt *engineAttempt) {
	c.waiting = slices.DeleteFunc(c.waiting, func(other *engineAttempt) bool { return other == attempt })
}

// detachAttempt removes an attempt from its connection.
func (g *Gateway) detachAttempt(conn *engineConn, attempt *engineAttempt) {
	if attempt.sent {
		if conn.inFlight[string(attempt.request.id)] == attempt {
			delete(conn.inFlight, string(attempt.request.id))
		}
	} else {
		conn.removeWaiting(attempt)
	}
	g.closeIfDrained(conn)
}

// retireIfSilent retires the connection of an abandoned attempt if nothing was read on it since the attempt
// started: the machine may have vanished without closing it. The next attempt dials a new connection. If the
// machine has vanished, that dial fails soon, which proves that the next attempt did not run.
func (g *Gateway) retireIfSilent(attempt *engineAttempt) {
	if conn := attempt.conn; attempt.sent && conn.lastRead <= attempt.startedAt && g.now-attempt.startedAt > g.limits.ConnectTimeout {
		conn.retire(CloseEngineRetired)
	}
}

// retire stops a connection from accepting new requests. closeIfDrained closes it once it carries nothing.
func (c *engineConn) retire(reason CloseReason) { c.retired, c.retireReason = true, reason }

// resetLastRequest resets lastRequest after a request that did not reach the engine, so that the missing answer is not
// mistaken for silence.
func (s *engineState) resetLastRequest() { s.lastRequest = min(s.lastRequest, s.lastRead) }
