package gateway

import "foxlane/internal/engine"

// This file writes the life of each request and connection to the log, at debug level. Where that is off, nothing here
// is called: callers look at Config.Trace first, which costs no allocation.

func (g *Gateway) traceRequest(req *queryRequest) {
	g.log(Debug, "request: begins", Attr{"request", string(req.id)}, Attr{"session", req.client.session},
		Attr{"class", g.cfg.Settings.ClassNames[req.class]}, Attr{"due_us", int64(req.dueAt)}, Attr{"left_ms", int64((req.dueAt - g.now) / 1000)})
}

func (g *Gateway) traceQueued(req *queryRequest, where string) {
	g.log(Debug, "request: queued", Attr{"request", string(req.id)}, Attr{"where", where}, Attr{"held_ms", int64(req.heldFor / 1000)})
}

// traceAttempt says why an attempt begins: it is the first, a copy, or follows how the one before has ended.
func (g *Gateway) traceAttempt(attempt *engineAttempt) {
	why, req := "first", attempt.request
	if attempt.index > 0 {
		if last := req.attempts[attempt.index-1]; last.done {
			why = "after_" + statusNames[last.status]
		} else {
			why = "copy"
		}
	}
	name := ""
	if attempt.engine != nil {
		name = attempt.engine.entry.ID
	}
	g.log(Debug, "attempt: begins", Attr{"request", string(req.id)}, Attr{"attempt", attempt.index}, Attr{"engine", name}, Attr{"why", why},
		Attr{"left_ms", int64((attempt.deadline - g.now) / 1000)})
}

func (g *Gateway) traceAttemptSent(attempt *engineAttempt, ask *engine.Request) {
	g.log(Debug, "attempt: sent", Attr{"request", string(attempt.request.id)}, Attr{"attempt", attempt.index}, Attr{"engine", attempt.engine.entry.ID},
		Attr{"connection", uint64(attempt.conn.id &^ dialledBit)}, Attr{"ttl_ms", ask.TimeoutMS}, Attr{"waited_us", int64(g.now - attempt.startedAt)})
}

func (g *Gateway) traceAttemptEnd(attempt *engineAttempt) {
	name := ""
	if attempt.engine != nil {
		name = attempt.engine.entry.ID
	}
	g.log(Debug, "attempt: ended", Attr{"request", string(attempt.request.id)}, Attr{"attempt", attempt.index}, Attr{"engine", name},
		Attr{"verdict", statusNames[attempt.status]}, Attr{"sent", attempt.sent}, Attr{"took_us", int64(attempt.latency)}, Attr{"blames_engine", !attempt.blameless && !attempt.localExhaustion})
}

func (g *Gateway) traceAnswer(req *queryRequest, how outcome) {
	g.log(Debug, "request: ends", Attr{"request", string(req.id)}, Attr{"how", how.String()}, Attr{"why", req.endReason.String()},
		Attr{"attempts", len(req.attempts)}, Attr{"took_us", int64(g.now - req.arrivedAt)}, Attr{"left_ms", int64((req.dueAt - g.now) / 1000)})
}

func (g *Gateway) traceClose(client *clientConn, why CloseReason) {
	id := ""
	if client.request != nil {
		id = string(client.request.id)
	}
	g.log(Debug, "client: closed", Attr{"session", client.session}, Attr{"why", why.String()}, Attr{"request", id}, Attr{"commands", client.commands})
}

func (g *Gateway) traceEngineClose(conn *engineConn, why CloseReason, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.log(Debug, "engine: connection closed", Attr{"connection", uint64(conn.id &^ dialledBit)}, Attr{"engine", conn.engine.entry.ID},
		Attr{"why", why.String()}, Attr{"in_flight", len(conn.inFlight)}, Attr{"waiting", len(conn.waiting)}, Attr{"error", text})
}
