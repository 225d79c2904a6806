package gateway

import (
	"maps"
	"slices"

	"foxlane/internal/guard"
	"foxlane/internal/window"
	"foxlane/rules"
)

// This file shows package guard what is about to be done: each send, repeat, answer and close, and the start of each
// request, goes through one of these functions. What they find is counted by name and logged once; nothing is stopped.

// broken notes invariants that something breaks.
func (g *Gateway) reportViolations(findings guard.Findings, request rules.RequestID, engine string) {
	for _, invariant := range findings.All() {
		first := g.violations.Record(invariant)
		if first || g.cfg.Trace {
			g.log(Warn, "invariant broken", Attr{"invariant", invariant.String()}, Attr{"request", string(request)}, Attr{"engine", engine})
		}
	}
}

// reportViolation notes one invariant, if it is broken.
func (g *Gateway) reportViolation(broken bool, invariant guard.Invariant, request rules.RequestID, engine string) {
	if !broken {
		return
	}
	if first := g.violations.Record(invariant); first || g.cfg.Trace {
		g.log(Warn, "invariant broken", Attr{"invariant", invariant.String()}, Attr{"request", string(request)}, Attr{"engine", engine})
	}
}

// Violations is how often each invariant was broken.
func (g *Gateway) Violations() guard.Violations { return g.violations }

// pastAttempts lists the attempts of a request but one. It is valid until the next call.
func (g *Gateway) pastAttempts(req *queryRequest, but *engineAttempt) []guard.PriorAttempt {
	out := g.pastBuffer[:0]
	for _, attempt := range req.attempts {
		if attempt == but {
			continue
		}
		past := guard.PriorAttempt{At: attempt.startedAt, Sent: attempt.sent, Ended: attempt.done, NeverRan: attempt.done && attempt.status.NeverExecuted()}
		if attempt.engine != nil {
			past.Zone, past.Cell = attempt.engine.zone, attempt.engine.entry.Cell
		}
		out = append(out, past)
	}
	g.pastBuffer = out
	return out
}

// checkSend checks an attempt that is about to be written, a repeat among them.
func (g *Gateway) checkSend(attempt *engineAttempt) {
	req, eng, settings := attempt.request, attempt.engine, &g.cfg.Settings.Rules
	seen := g.moduleEngine(eng)
	send := guard.Send{Now: g.now, Answered: req.answered, Deadline: attempt.deadline, ClientDeadline: req.dueAt, State: seen.State, NotifiedAt: eng.stateSince,
		Zone: seen.Zone, Kind: seen.Kind, Cell: seen.Cell, Class: &settings.Classes[req.class], Duties: &settings.Constraints, Limits: &settings.Limits}
	if len(req.attempts) > 1 {
		send.PriorAttempts = g.pastAttempts(req, attempt)
	}
	send.SlowStartSent, send.SlowStartBudget = g.slowStartSend(req, eng)
	if findings := send.Check(); len(findings.All()) > 0 {
		g.reportViolations(findings, req.id, eng.entry.ID)
	}
	if send.State != rules.EngineServing {
		g.log(Warn, "engine: request sent to one that drains or has gone", Attr{"request", string(req.id)}, Attr{"engine", eng.entry.ID},
			Attr{"state", stateNames[send.State]}, Attr{"told_ms", milliseconds(g.now - eng.stateSince)}, Attr{"waited_ms", milliseconds(g.now - attempt.startedAt)},
			Attr{"attempt", attempt.index})
	}
}

// slowStartSend adds a send to what an engine in slow start got from us, and returns that beside all that it bears. Both are 0
// for a warm engine, or where nothing names a budget.
func (g *Gateway) slowStartSend(req *queryRequest, eng *engineState) (sent, budget float64) {
	duties := &g.cfg.Settings.Rules.Constraints
	age := g.now - eng.startedAt
	if eng.startedAt == 0 || age >= duties.SlowStartPeriod || duties.SlowStartPeriod <= 0 || duties.OverloadWindow <= 0 || duties.OverloadFactor <= 0 {
		eng.slowStartSent = nil
		return 0, 0
	}
	if eng.kind >= len(g.cfg.Settings.Rules.Kinds) {
		return 0, 0
	}
	if eng.slowStartSent == nil {
		eng.slowStartSent = &window.Sum{Span: duties.OverloadWindow}
	}
	eng.slowStartSent.Add(g.now, float64(req.work))
	warmth := duties.SlowStartInitialSpeed + (1-duties.SlowStartInitialSpeed)*max(float64(age), 0)/float64(duties.SlowStartPeriod)
	return eng.slowStartSent.Total(g.now), duties.OverloadFactor * warmth * g.cfg.Settings.Rules.Kinds[eng.kind].Cores * float64(duties.OverloadWindow)
}

// checkAnswer checks a final answer that is about to be given.
func (g *Gateway) checkAnswer(req *queryRequest, how outcome) {
	if how == outcomeAbandoned {
		return
	}
	due := req.dueAt
	if req.arrivedAt <= g.lastStall.resumedAt+g.limits.LongSettleTime+g.limits.MaxSettleTime { // a process that does not run can't answer
		due = max(due, g.lastStall.resumedAt)
	}
	answer := guard.Answer{Now: g.now, ClientDeadline: due, Answered: req.answered, Rejection: how == outcomeRejected,
		Class: &g.cfg.Settings.Rules.Classes[req.class]}
	if answer.Rejection && len(req.attempts) > 0 {
		answer.PriorAttempts = g.pastAttempts(req, nil)
	}
	if findings := answer.Check(); len(findings.All()) > 0 {
		g.reportViolations(findings, req.id, "")
	}
}

// checkClose checks a connection of a client that is about to be closed by us.
func (g *Gateway) checkClose(client *clientConn, why CloseReason) {
	if req := client.request; req != nil && !req.answered {
		g.reportViolation(!why.allowsUnanswered(), guard.CloseUnanswered, req.id, "")
	}
}

// checkEngineClose checks a connection to an engine that is about to be closed by us.
func (g *Gateway) checkEngineClose(conn *engineConn, why CloseReason) {
	if why == CloseEngineMalformed || why == CloseEngineUnread {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		g.reportViolation(true, guard.CloseInFlight, rules.RequestID(id), conn.engine.entry.ID)
	}
}

// checkStart checks a request that is about to begin.
func (g *Gateway) checkStart(req *queryRequest) {
	g.reportViolation(g.requests[req.id] != nil || req.client.request != nil, guard.StartTwice, req.id, "")
	g.reportViolation(req.client.closed, guard.StartAfterEnd, req.id, "")
}

// logViolations notes what was broken so far, if anything was.
func (g *Gateway) logViolations() {
	if g.violations.Sum() == 0 {
		return
	}
	var attrs []Attr
	for i, n := range g.violations {
		if n > 0 {
			attrs = append(attrs, Attr{guard.Invariant(i).String(), n})
		}
	}
	g.log(Warn, "invariants broken", attrs...)
}
