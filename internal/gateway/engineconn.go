package gateway

import (
	"errors"
	"maps"
	"slices"
	"strconv"

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

type healthProbe struct {
	engine          *engineState
	link            *engineConn
	tag             string
	sentAt          rules.Time
	suspected       bool // others say that the engine fails
	localExhaustion bool // it could not be made, for want of something here
	done            bool
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

// undoRequest takes back that an engine was asked for something: it never heard of it, so that its silence tells nothing.
func (s *engineState) undoRequest() { s.lastRequest = min(s.lastRequest, s.lastRead) }

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

// engineData takes what came from an engine. Breaking the protocol ends the connection.
func (g *Gateway) engineData(conn *engineConn, data []byte) {
	conn.lastUsed, conn.lastRead, conn.engine.lastRead = g.now, g.now, g.now
	conn.decoder.Feed(data)
	for !conn.closed {
		answer, ok, err := conn.decoder.Next()
		if err != nil {
			g.breakEngineConn(conn, err)
			return
		}
		if !ok {
			g.awaitCompletion(conn)
			return
		}
		if attempt := conn.inFlight[string(answer.ID)]; attempt != nil {
			g.receiveAnswer(attempt, &answer)
		} else if probe := conn.probes[string(answer.ID)]; probe != nil {
			status := rules.StatusError
			if answer.Kind == engine.Healthy {
				status = rules.StatusOK
			}
			g.finishProbe(probe, status, answer.Report)
		}
		// Anything else answers what was given up meanwhile.
	}
}

// breakEngineConn ends a connection on which an answer came that can't be read or is not whole: nothing behind it
// can be told apart any more. That happens to answers of any engine alike.
func (g *Gateway) breakEngineConn(conn *engineConn, err error) {
	g.log(Warn, "engine: broken protocol", Attr{"engine", conn.engine.entry.ID}, Attr{"requests", conn.load()},
		Attr{"error", err.Error()})
	conn.output = nil // with what was not written yet nothing has run
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		if conn.inFlight[id].endOffset <= conn.handedOut { // given up here, whatever becomes of the close
			conn.output = engine.AppendCancel(conn.output, id)
		}
	}
	given := conn.handedOut
	g.closeEngineConn(conn, CloseEngineMalformed)
	g.engineConnEnded(conn, err, given, true)
}

var errAnswerIncomplete = errors.New("engine: an answer never ends")

// awaitCompletion looks later whether an answer that has begun is whole: one that stops short would leave all
// requests on its connection waiting, and swallow what comes behind it.
func (g *Gateway) awaitCompletion(conn *engineConn) {
	if conn.decoder.Buffered() > 0 && !conn.completionTimerSet {
		conn.completionTimerSet = true
		g.timers.add(timer{at: conn.lastRead + g.limits.AnswerStallTimeout, kind: timerAnswerComplete, conn: conn})
	}
}

func (g *Gateway) checkCompletion(conn *engineConn) {
	conn.completionTimerSet = false
	switch {
	case conn.closed || conn.decoder.Buffered() == 0:
	case g.now-conn.lastRead < g.limits.AnswerStallTimeout:
		g.awaitCompletion(conn)
	default:
		g.breakEngineConn(conn, errAnswerIncomplete)
	}
}

// ---- probes

func (g *Gateway) startProbe(id rules.EngineID) { g.probeEngine(id, false) }

// probeEngine asks an engine for its health, with doubt because others say that it fails.
func (g *Gateway) probeEngine(id rules.EngineID, doubt bool) {
	eng := g.engines[id]
	if eng == nil {
		return
	}
	g.lastProbeTag++
	probe := &healthProbe{engine: eng, suspected: doubt, tag: "p" + strconv.FormatUint(g.lastProbeTag, 10), sentAt: g.now, link: g.connFor(eng, nil)}
	if probe.link == nil || eng.state == rules.EngineGone {
		probe.localExhaustion = probe.link == nil
		g.finishProbe(probe, rules.StatusConnectFailed, nil)
		return
	}
	probe.link.probes[probe.tag] = probe
	g.timers.add(timer{at: g.now + g.limits.ProbeTimeout, kind: timerProbe, probe: probe})
	if probe.link.up {
		probe.link.output = engine.AppendProbe(probe.link.output, probe.tag)
		probe.link.lastUsed = g.now
		g.markDirty(&probe.link.outputBuffer)
	}
}

func (g *Gateway) finishProbe(probe *healthProbe, status rules.Status, report []byte) {
	if probe.done {
		return
	}
	probe.done = true
	if !probe.localExhaustion {
		g.zoneProbed(probe.engine, status == rules.StatusOK)
	}
	if probe.link != nil {
		delete(probe.link.probes, probe.tag)
		g.closeIfDrained(probe.link)
	}
	g.tellModule(rules.ProbeResult{Engine: probe.engine.id, Suspected: probe.suspected && !probe.localExhaustion, Status: status, Latency: g.now - probe.sentAt, Load: engine.ParseReport(report)})
}
