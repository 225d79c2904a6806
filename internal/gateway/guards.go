package gateway

import (
	"maps"
	"slices"

	"foxlane/internal/guard"
	"foxlane/internal/window"
	"foxlane/rules"
)

// This file has package guard check what is about to be done: each attempt that is written, each answer and close, and the start of
// each request. Violations are counted by name and the first of each is logged; nothing is prevented.

// reportViolations counts and logs invariants that are violated.
func (g *Gateway) reportViolations(findings guard.Findings, request rules.RequestID, engine string) {
	for _, invariant := range findings.All() {
		g.reportViolation(true, invariant, request, engine)
	}
}

// reportViolation counts and logs one invariant, if it is violated.
func (g *Gateway) reportViolation(violated bool, invariant guard.Invariant, request rules.RequestID, engine string) {
	if !violated {
		return
	}
	if first := g.violations.Record(invariant); first || g.cfg.Trace {
		g.log(Warn, "invariant violated", Attr{keyInvariant, invariant.String()}, Attr{keyRequest, string(request)}, Attr{keyEngine, engine})
	}
}

// Violations is how often each invariant was violated.
func (g *Gateway) Violations() guard.Violations { return g.violations }

// pastAttempts lists the attempts of a request except one. It is valid until the next call.
func (g *Gateway) pastAttempts(req *queryRequest, except *engineAttempt) []guard.PriorAttempt {
	out := g.pastBuffer[:0]
	for _, attempt := range req.attempts {
		if attempt == except {
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

// checkSend checks an attempt that is about to be written.
func (g *Gateway) checkSend(attempt *engineAttempt) {
	req, eng, settings := attempt.request, attempt.engine, &g.cfg.Settings.Rules
	told := g.moduleEngine(eng)
	send := guard.Send{Now: g.now, Answered: req.answered, Deadline: attempt.deadline, ClientDeadline: req.dueAt, State: told.State, NotifiedAt: eng.stateSince,
		Zone: told.Zone, Kind: told.Kind, Cell: told.Cell, Class: &settings.Classes[req.class], Duties: &settings.Constraints, Limits: &settings.Limits}
	if len(req.attempts) > 1 {
		send.PriorAttempts = g.pastAttempts(req, attempt)
	}
	send.SlowStartSent, send.SlowStartBudget = g.slowStartSend(req, eng)
	if findings := send.Check(); len(findings.All()) > 0 {
		g.reportViolations(findings, req.id, eng.entry.ID)
	}
	if send.State != rules.EngineServing {
		g.log(Warn, "engine: request sent to a draining or removed engine", Attr{keyRequest, string(req.id)}, Attr{keyEngine, eng.entry.ID},
			Attr{keyState, stateNames[send.State]}, Attr{"notified_ms", milliseconds(g.now - eng.stateSince)},
			Attr{keyWaited, milliseconds(g.now - attempt.startedAt)}, Attr{keyAttempt, attempt.index})
	}
}

// slowStartSends is the work that this gateway has sent an engine within the overload window.
type slowStartSends struct {
	all      window.Sum // whether or not the engine was known to be in slow start
	notified window.Sum // since the gateway was notified of the start
}

// processChanged has nothing count as sent since the notification: that was of another process.
func (s *slowStartSends) processChanged() {
	if s != nil {
		s.notified = window.Sum{Span: s.notified.Span}
	}
}

// notifiedPart is the part of an engine's work from which all of it counts: so the operators have it of a cold engine that falls.
const notifiedPart = 2.0 / 3

// slowStartSend adds an attempt to the work that an engine got from us, and returns that beside the slow-start budget of the engine.
// Its process may be another one for a while before the list says so, so what was sent before the notification counts, too, unless
// it is over a third of all. Both are 0 for an engine that is warm, or where the settings give no budget.
func (g *Gateway) slowStartSend(req *queryRequest, eng *engineState) (sent, budget float64) {
	duties := &g.cfg.Settings.Rules.Constraints
	if duties.SlowStartPeriod <= 0 || duties.OverloadWindow <= 0 || duties.OverloadFactor <= 0 {
		return 0, 0
	}
	if eng.slowStart == nil {
		eng.slowStart = &slowStartSends{window.Sum{Span: duties.OverloadWindow}, window.Sum{Span: duties.OverloadWindow}}
	}
	eng.slowStart.all.Add(g.now, float64(req.work))
	age := g.now - eng.startedAt
	if eng.startedAt == 0 || age >= duties.SlowStartPeriod {
		return 0, 0
	}
	eng.slowStart.notified.Add(g.now, float64(req.work))
	if eng.kind >= len(g.cfg.Settings.Rules.Kinds) {
		return 0, 0
	}
	warmth := duties.SlowStartInitialSpeed + (1-duties.SlowStartInitialSpeed)*max(float64(age), 0)/float64(duties.SlowStartPeriod)
	budget = duties.OverloadFactor * warmth * g.cfg.Settings.Rules.Kinds[eng.kind].Cores * float64(duties.OverloadWindow)
	sent = eng.slowStart.notified.Total(g.now)
	if all := eng.slowStart.all.Total(g.now); sent >= notifiedPart*all {
		sent = all
	}
	return sent, budget
}

// checkAnswer checks a final answer that is about to be given.
func (g *Gateway) checkAnswer(req *queryRequest, how outcome) {
	if how == outcomeAbandoned {
		return
	}
	due := req.dueAt
	if req.arrivedAt <= g.lastStall.resumedAt+g.limits.LongSettleTime+g.limits.MaxSettleTime { // a stalled process can't answer
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

// checkClose checks a client's connection that we are about to close.
func (g *Gateway) checkClose(client *clientConn, reason CloseReason) {
	if req := client.request; req != nil && !req.answered {
		g.reportViolation(!reason.allowsUnanswered(), guard.CloseUnanswered, req.id, "")
	}
}

// checkEngineClose checks a connection to an engine that we are about to close.
func (g *Gateway) checkEngineClose(conn *engineConn, reason CloseReason) {
	if reason == CloseEngineMalformed || reason == CloseEngineUnread {
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

// logViolations logs how often which invariant was violated since the start, if any was.
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
	g.log(Warn, "invariants violated", attrs...)
}
