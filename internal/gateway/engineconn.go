package gateway

import (
	"slices"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file owns the connections to engines: few, each with many requests. It
// never claims more of an attempt than is known: what was written to a
// connection that then broke may have run, what was not never did.

type engineConn struct {
	outputBuffer
	engine             *engineState
	decoder            engine.Decoder
	up                 bool
	retired            bool        // takes nothing new
	retireReason       CloseReason // once retired: LinkRetired or LinkIdle
	class              int         // of the requests it is for
	waiting            []*engineAttempt
	inFlight           map[string]*engineAttempt
	probes             map[string]*healthProbe
	lastUsed           rules.Time // when something was last written or read
	lastRead           rules.Time // when something was last read
	completionTimerSet bool       // a timer looks whether an answer is whole by then
	dialledAt          rules.Time // when its dial began
	dialTime           rules.Time // how long that took

	blockedSince rules.Time // since when its engine does not take what was written; 0: it does
	aborted      bool       // by us, over what its engine had not taken
}

func (c *engineConn) load() int { return len(c.waiting) + len(c.inFlight) + len(c.probes) }

// hadAttemptOf answers whether a request had an attempt on the link: a late answer to
// that one could pass for an answer to the next.
func (c *engineConn) hadAttemptOf(req *queryRequest) bool {
	return req != nil && slices.ContainsFunc(req.attempts, func(attempt *engineAttempt) bool { return attempt.conn == c })
}

// connUsable answers whether the link may take a request now: it is on its way, or up, read by its engine and not so long idle
// that that may be about to close it.
func (g *Gateway) connUsable(conn *engineConn, req *queryRequest) bool {
	return !conn.retired && conn.blockedSince == 0 && conn.load() < g.limits.Multiplex && !conn.hadAttemptOf(req) &&
		(!conn.up || conn.load() > 0 || g.now-conn.lastUsed < g.limits.EngineIdleTimeout)
}

// connFor finds the connection for an attempt, or dials one. Each class has connections of its own:
// whatever breaks one ends all that it carries, so that spoilt answers, which are as frequent as
// answers, would end the few long requests of heavy classes along with the many short ones. Within a
// class few connections are kept busy: they are reset mostly when new or idle. One that carries nothing may
// change its class, since nothing on it can be broken: where hundreds of gateways have little traffic each,
// every connection spared is a handshake that some engine need not pay for. It returns nil if there may be
// no more connections and all are full.
func (g *Gateway) connFor(eng *engineState, req *queryRequest) *engineConn {
	class := 0
	if req != nil {
		class = req.class
	}
	var coming, idle, other *engineConn
	n := 0
	for _, conn := range eng.conns {
		if !conn.retired {
			n++
		}
		switch {
		case !g.connUsable(conn, req):
		case conn.class != class:
			if other = conn; conn.up && conn.load() == 0 {
				idle = conn
			}
		case conn.up:
			return conn
		case coming == nil:
			coming = conn
		}
	}
	if coming != nil {
		return coming
	}
	if idle != nil {
		idle.class = class
		return idle
	}
	if n >= g.limits.MaxEngineConns || len(g.engineConns) >= g.limits.MaxConns {
		return other
	}
	g.lastConn++
	conn := &engineConn{outputBuffer: outputBuffer{id: dialledBit | g.lastConn}, engine: eng, class: class, inFlight: map[string]*engineAttempt{}, probes: map[string]*healthProbe{},
		decoder: engine.Decoder{MaxLineBytes: g.limits.MaxLineBytes, MaxBodyBytes: g.limits.MaxPageBytes}, lastUsed: g.now, dialledAt: g.now}
	eng.conns = append(eng.conns, conn)
	g.engineConns[conn.id] = conn
	g.emit(Dial{Conn: conn.id, Addr: eng.entry.Addr, Timeout: g.limits.ConnectTimeout})
	return conn
}

// assignConn puts an attempt on a connection.
func (g *Gateway) assignConn(attempt *engineAttempt) {
	if attempt.engine.state == rules.EngineGone {
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
		return
	}
	attempt.engine.lastRequest = g.now
	attempt.conn = g.connFor(attempt.engine, attempt.request)
	switch {
	case attempt.conn == nil:
		g.log(Warn, "engine: no connection left", Attr{"engine", attempt.engine.entry.ID})
		attempt.blameless, attempt.localExhaustion = true, true
		attempt.engine.undoRequest()
		g.concludeAttempt(attempt, rules.StatusConnectFailed)
	case attempt.conn.up && !g.catchingUp():
		g.writeAttempt(attempt)
	default:
		attempt.conn.waiting = append(attempt.conn.waiting, attempt)
	}
}

// writeAttempt writes an attempt to its connection, which is up. Every send, and so every repeat, goes through here.
func (g *Gateway) writeAttempt(attempt *engineAttempt) {
	req, conn := attempt.request, attempt.conn
	g.checkSend(attempt)
	ask := engine.Request{
		ID: string(req.id), Class: g.cfg.Settings.ClassNames[req.class], TimeoutMS: max(int64((attempt.deadline-g.now)/rules.Millisecond), 1),
		MemoryMB: req.memoryMB, Priority: attempt.priority, IdempotencyKey: req.idempotencyKey, Statement: req.statement,
	}
	if g.cfg.Trace {
		g.traceAttemptSent(attempt, &ask)
	}
	conn.output = engine.AppendRequest(conn.output, ask)
	attempt.sent, attempt.endOffset = true, conn.handedOut+int64(len(conn.output))
	conn.inFlight[string(req.id)] = attempt
	conn.lastUsed = g.now
	g.markDirty(&conn.outputBuffer)
}

// engineConnected writes what has waited for the connection.
func (g *Gateway) engineConnected(conn *engineConn) {
	conn.up, conn.lastUsed, conn.dialTime = true, g.now, g.now-conn.dialledAt
	g.writeWaiting(conn)
	for _, probe := range conn.probes {
		conn.output = engine.AppendProbe(conn.output, probe.tag)
		g.markDirty(&conn.outputBuffer)
	}
	g.closeIfDrained(conn)
}

// writeWaiting writes what has waited on a connection that is up. The list may have changed meanwhile, and what has waited for
// longer than a dial may take is older than the module reckons with: the window for its repeat may be over.
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

// retireIfSilent retires a connection on which an attempt was given up in vain, with not a byte of anything
// since: its machine may have vanished without a word. What comes next dials anew, and if the machine
// is gone, that fails soon and proves that nothing ran.
func (g *Gateway) retireIfSilent(attempt *engineAttempt) {
	if conn := attempt.conn; attempt.sent && conn.lastRead <= attempt.startedAt && g.now-attempt.startedAt > g.limits.ConnectTimeout {
		conn.retire(CloseEngineRetired)
	}
}

// retire lets a connection take nothing new; it ends once it carries nothing.
func (c *engineConn) retire(why CloseReason) { c.retired, c.retireReason = true, why }

// undoRequest takes back that an engine was asked for something: it never heard of it, so that its silence tells nothing.
func (s *engineState) undoRequest() { s.lastRequest = min(s.lastRequest, s.lastRead) }
