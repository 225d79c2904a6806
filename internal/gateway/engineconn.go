package gateway

import (
	"slices"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file owns the connections to engines, few of them with many requests each: which one an attempt takes, and what is written
// on it. It never claims more of an attempt than is known: what was written to a connection that then broke may have run, what was
// not written never did.

// engineConn is a connection to an engine, or the dial of one.
type engineConn struct {
	outputBuffer
	engine             *engineState
	decoder            engine.Decoder
	up                 bool
	retired            bool             // it takes nothing new, and is closed once it carries nothing
	retireReason       CloseReason      // once retired
	class              int              // of the requests that it is for
	waiting            []*engineAttempt // to be written once it is up
	inFlight           map[string]*engineAttempt
	probes             map[string]*healthProbe
	lastUsed           rules.Time // when something was last written or read
	lastRead           rules.Time // when something was last read
	completionTimerSet bool       // a timer will check whether the answer that has begun is complete
	dialledAt          rules.Time // when its dial began
	dialTime           rules.Time // how long that took

	blockedSince rules.Time // since when its engine does not read what was written; 0: it does
	aborted      bool       // reset by us, because its engine had not read what was written
}

// load is how many attempts and probes the connection carries.
func (c *engineConn) load() int { return len(c.waiting) + len(c.inFlight) + len(c.probes) }

// hadAttemptOf reports whether a request had an attempt on the connection. It must not have another there: answers name the request
// alone, so a late answer to the first could pass for an answer to the second.
func (c *engineConn) hadAttemptOf(req *queryRequest) bool {
	return req != nil && slices.ContainsFunc(req.attempts, func(attempt *engineAttempt) bool { return attempt.conn == c })
}

// connUsable reports whether a connection may take a request now: it is being dialled, or it is up, read by its engine, and not idle for
// so long that its engine may be about to close it.
func (g *Gateway) connUsable(conn *engineConn, req *queryRequest) bool {
	return !conn.retired && conn.blockedSince == 0 && conn.load() < g.limits.Multiplex && !conn.hadAttemptOf(req) &&
		(!conn.up || conn.load() > 0 || g.now-conn.lastUsed < g.limits.EngineIdleTimeout)
}

// connFor finds a connection for an attempt or a probe (of which req is nil), or dials one. It returns nil if the limits of
// connections are reached and all are full.
//
// Each class has connections of its own: whatever breaks a connection ends all that it carries, and malformed answers come as often as
// answers do, so the many short requests of light classes would end the few long ones of heavy classes. Within a class, few
// connections are kept busy, since new and idle ones are reset most. One that carries nothing may change its class: where hundreds
// of gateways have little traffic each, every connection that is not made spares an engine a handshake.
func (g *Gateway) connFor(eng *engineState, req *queryRequest) *engineConn {
	class := 0
	if req != nil {
		class = req.class
	}
	var dialling, idle, other *engineConn
	open := 0
	for _, conn := range eng.conns {
		if !conn.retired {
			open++
		}
		switch {
		case !g.connUsable(conn, req):
		case conn.class != class:
			if other = conn; conn.up && conn.load() == 0 {
				idle = conn
			}
		case conn.up:
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
	if open >= g.limits.MaxEngineConns || len(g.engineConns) >= g.limits.MaxConns {
		return other
	}
	return g.dialEngine(eng, class)
}

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

// assignConn puts an attempt on a connection. It is written at once if that is up, or else waits for it.
func (g *Gateway) assignConn(attempt *engineAttempt) {
	if attempt.engine.state == rules.EngineGone {
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
		return
	}
	attempt.engine.lastRequest = g.now
	attempt.conn = g.connFor(attempt.engine, attempt.request)
	switch {
	case attempt.conn == nil:
		g.log(Warn, "engine: connection limit reached", Attr{keyEngine, attempt.engine.entry.ID})
		attempt.blameless, attempt.localExhaustion = true, true
		attempt.engine.undoRequest()
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	case attempt.conn.up && !g.catchingUp():
		g.writeAttempt(attempt)
	default:
		attempt.conn.waiting = append(attempt.conn.waiting, attempt)
	}
}

// writeAttempt writes an attempt to its connection, which is up. Every attempt, and so every retry, goes through here.
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
	attempt.sent, attempt.endOffset = true, conn.handedOut+int64(len(conn.output))
	conn.inFlight[string(req.id)] = attempt
	conn.lastUsed = g.now
	g.markDirty(&conn.outputBuffer)
}

// engineConnected writes what has waited for a connection that has come up.
func (g *Gateway) engineConnected(conn *engineConn) {
	conn.up, conn.lastUsed, conn.dialTime = true, g.now, g.now-conn.dialledAt
	g.writeWaiting(conn)
	for _, probe := range conn.probesInOrder() {
		conn.output = engine.AppendProbe(conn.output, probe.tag)
		g.markDirty(&conn.outputBuffer)
	}
	g.closeIfDrained(conn)
}

// writeWaiting writes what has waited for a connection that is up, unless the engine does not serve any more. An attempt that has
// waited for longer than a dial may take isn't written either: the module does not expect it to start so late, and the window in which
// engines recognise its idempotency key may be over.
func (g *Gateway) writeWaiting(conn *engineConn) {
	waiting := conn.waiting
	conn.waiting = nil
	for _, attempt := range waiting {
		switch {
		case attempt.done:
		case attempt.request.answered || conn.engine.state != rules.EngineServing || g.now-attempt.startedAt > g.limits.ConnectTimeout:
			g.concludeAttempt(attempt, rules.StatusSuperseded)
		case g.catchingUp():
			conn.waiting = append(conn.waiting, attempt)
		default:
			g.writeAttempt(attempt)
		}
	}
}

// detachAttempt takes an attempt off its connection.
func (g *Gateway) detachAttempt(conn *engineConn, attempt *engineAttempt) {
	if attempt.sent {
		if conn.inFlight[string(attempt.request.id)] == attempt {
			delete(conn.inFlight, string(attempt.request.id))
		}
	} else {
		conn.waiting = slices.DeleteFunc(conn.waiting, func(other *engineAttempt) bool { return other == attempt })
	}
	g.closeIfDrained(conn)
}

// retireIfSilent retires a connection on which an attempt was abandoned and nothing was read since the attempt began: its machine
// may have vanished without closing it. The next attempt dials anew; if the machine is gone, that dial fails soon and proves that
// nothing ran.
func (g *Gateway) retireIfSilent(attempt *engineAttempt) {
	if conn := attempt.conn; attempt.sent && conn.lastRead <= attempt.startedAt && g.now-attempt.startedAt > g.limits.ConnectTimeout {
		conn.retire(CloseEngineRetired)
	}
}

// retire has a connection take nothing new. closeIfDrained closes it once it carries nothing.
func (c *engineConn) retire(reason CloseReason) { c.retired, c.retireReason = true, reason }

// undoRequest takes back that a request was sent to an engine: it was not, so the engine's silence says nothing.
func (s *engineState) undoRequest() { s.lastRequest = min(s.lastRequest, s.lastRead) }
