package gateway

import "foxlane/internal/engine"

// This file writes the life of each request and connection to the log, at debug level. Where that is off, nothing here
// is called: callers look at Config.Trace first, which costs no allocation.

func (g *Gateway) traceStart(r *request) {
	g.log(Debug, "request: begins", Attr{"request", string(r.id)}, Attr{"session", r.client.session},
		Attr{"class", g.cfg.Settings.ClassNames[r.class]}, Attr{"due_us", int64(r.due)}, Attr{"left_ms", int64((r.due - g.now) / 1000)})
}

func (g *Gateway) traceQueued(r *request, where string) {
	g.log(Debug, "request: queued", Attr{"request", string(r.id)}, Attr{"where", where}, Attr{"held_ms", int64(r.held / 1000)})
}

// traceAttempt says why an attempt begins: it is the first, a copy, or follows how the one before has ended.
func (g *Gateway) traceAttempt(a *attempt) {
	why, r := "first", a.request
	if a.index > 0 {
		if last := r.attempts[a.index-1]; last.done {
			why = "after_" + verdictNames[last.verdict]
		} else {
			why = "copy"
		}
	}
	name := ""
	if a.engine != nil {
		name = a.engine.entry.ID
	}
	g.log(Debug, "attempt: begins", Attr{"request", string(r.id)}, Attr{"attempt", a.index}, Attr{"engine", name}, Attr{"why", why},
		Attr{"left_ms", int64((a.deadline - g.now) / 1000)})
}

func (g *Gateway) traceSent(a *attempt, ask *engine.Ask) {
	g.log(Debug, "attempt: sent", Attr{"request", string(a.request.id)}, Attr{"attempt", a.index}, Attr{"engine", a.engine.entry.ID},
		Attr{"connection", uint64(a.link.id &^ dialled)}, Attr{"ttl_ms", ask.TTL}, Attr{"waited_us", int64(g.now - a.at)})
}

func (g *Gateway) traceEnded(a *attempt) {
	name := ""
	if a.engine != nil {
		name = a.engine.entry.ID
	}
	g.log(Debug, "attempt: ended", Attr{"request", string(a.request.id)}, Attr{"attempt", a.index}, Attr{"engine", name},
		Attr{"verdict", verdictNames[a.verdict]}, Attr{"sent", a.sent}, Attr{"took_us", int64(a.took)}, Attr{"blames_engine", !a.spoilt && !a.ours})
}

func (g *Gateway) traceAnswer(r *request, how ending) {
	g.log(Debug, "request: ends", Attr{"request", string(r.id)}, Attr{"how", how.String()}, Attr{"why", r.why.String()},
		Attr{"attempts", len(r.attempts)}, Attr{"took_us", int64(g.now - r.at)}, Attr{"left_ms", int64((r.due - g.now) / 1000)})
}

func (g *Gateway) traceClose(c *client, why CloseReason) {
	id := ""
	if c.request != nil {
		id = string(c.request.id)
	}
	g.log(Debug, "client: closed", Attr{"session", c.session}, Attr{"why", why.String()}, Attr{"request", id}, Attr{"commands", c.asked})
}

func (g *Gateway) traceLinkClose(l *link, why CloseReason, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.log(Debug, "engine: connection closed", Attr{"connection", uint64(l.id &^ dialled)}, Attr{"engine", l.engine.entry.ID},
		Attr{"why", why.String()}, Attr{"in_flight", len(l.open)}, Attr{"waiting", len(l.waiting)}, Attr{"error", text})
}
