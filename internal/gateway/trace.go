package gateway

import "foxlane/internal/engine"

// This file logs each step of requests and connections at debug level. Callers check Config.Trace first, so that
// nothing is allocated if tracing is off.

func (g *Gateway) traceRequest(req *queryRequest) {
	g.log(Debug, "request: started", Attr{keyRequest, string(req.id)}, Attr{keySession, req.client.session},
		Attr{keyClass, g.cfg.Settings.ClassNames[req.class]}, Attr{"due_us", int64(req.dueAt)}, Attr{keyRemaining, milliseconds(req.dueAt - g.now)})
}

func (g *Gateway) traceQueued(req *queryRequest, where string) {
	g.log(Debug, "request: queued", Attr{keyRequest, string(req.id)}, Attr{"where", where}, Attr{"held_ms", milliseconds(req.queuedFor)})
}

// traceAttempt logs the start of an attempt with its reason: first, hedge, or retry after the status of the
// previous attempt.
func (g *Gateway) traceAttempt(attempt *engineAttempt) {
	reason, req := "first", attempt.request
	if attempt.index > 0 {
		if last := req.attempts[attempt.index-1]; last.done {
			reason = "after_" + statusNames[last.status]
		} else {
			reason = "hedge"
		}
	}
	g.log(Debug, "attempt: started", Attr{keyRequest, string(req.id)}, Attr{keyAttempt, attempt.index}, Attr{keyEngine, attempt.engineName()},
		Attr{keyReason, reason}, Attr{keyRemaining, milliseconds(attempt.deadline - g.now)})
}

func (g *Gateway) traceAttemptSent(attempt *engineAttempt, request *engine.Request) {
	g.log(Debug, "attempt: sent", Attr{keyRequest, string(attempt.request.id)}, Attr{keyAttempt, attempt.index}, Attr{keyEngine, attempt.engineName()},
		Attr{keyConnection, attempt.conn.number()}, Attr{"timeout_ms", request.TimeoutMS}, Attr{"waited_us", int64(g.now - attempt.startedAt)})
}

func (g *Gateway) traceAttemptEnd(attempt *engineAttempt) {
	g.log(Debug, "attempt: ended", Attr{keyRequest, string(attempt.request.id)}, Attr{keyAttempt, attempt.index}, Attr{keyEngine, attempt.engineName()},
		Attr{keyStatus, statusNames[attempt.status]}, Attr{"sent", attempt.sent}, Attr{keyTook, int64(attempt.latency)},
		Attr{"blames_engine", !attempt.notEngineFault && !attempt.localExhaustion})
}

func (g *Gateway) traceAnswer(req *queryRequest, outcome requestOutcome) {
	g.log(Debug, "request: ended", Attr{keyRequest, string(req.id)}, Attr{"outcome", outcome.String()}, Attr{keyReason, req.endReason.String()},
		Attr{keyAttempts, len(req.attempts)}, Attr{keyTook, int64(g.now - req.arrivedAt)}, Attr{keyRemaining, milliseconds(req.dueAt - g.now)})
}

func (g *Gateway) traceClose(client *clientConn, reason CloseReason) {
	id := ""
	if client.request != nil {
		id = string(client.request.id)
	}
	g.log(Debug, "client: closed", Attr{keySession, client.session}, Attr{keyReason, reason.String()}, Attr{keyRequest, id},
		Attr{"commands", client.commands})
}

func (g *Gateway) traceEngineClose(conn *engineConn, reason CloseReason, err error) {
	g.log(Debug, "engine: connection closed", Attr{keyConnection, conn.number()}, Attr{keyEngine, conn.engine.entry.ID},
		Attr{keyReason, reason.String()}, Attr{keyInFlight, len(conn.inFlight)}, Attr{keyWaiting, len(conn.waiting)}, Attr{keyError, errorText(err)})
}

// engineName returns the name of an attempt's engine, or "" if the engine is unknown.
func (a *engineAttempt) engineName() string {
	if a.engine == nil {
		return ""
	}
	return a.engine.entry.ID
}

// number returns the number of a connection as logged.
func (c *engineConn) number() uint64 { return uint64(c.id &^ dialledBit) }

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
