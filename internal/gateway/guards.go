package gateway

import (
	"maps"
	"slices"

	"foxlane/internal/guard"
	"foxlane/internal/window"
	"foxlane/rules"
)

// This file checks invariants with package guard before each action: writing an attempt, answering, closing a
// connection, and starting a request. Violations are counted by invariant. The first of each is logged, or all of
// them with Config.Trace. The action is carried out in any case.

// reportViolations counts and logs violated invariants.
func (g *Gateway) reportViolations(findings guard.Findings, request rules.RequestID, engine string) {
	for _, invariant := range findings.All() {
		g.reportViolation(true, invariant, request, engine)
	}
}

// reportViolation counts and logs one invariant if it is violated.
func (g *Gateway) reportViolation(violated bool, invariant guard.Invariant, request rules.RequestID, engine string) {
	if !violated {
		return
	}
	if first := g.violations.Record(invariant); first || g.cfg.Trace {
		g.log(Warn, "invariant violated", Attr{keyInvariant, invariant.String()}, Attr{keyRequest, string(request)}, Attr{keyEngine, engine})
	}
}

// Violations returns the number of violations of each invariant.
func (g *Gateway) Violations() guard.Violations { return g.violations }

// priorAttempts lists the attempts of a request except one. The slice is valid until the next call.
func (g *Gateway) priorAttempts(req *queryRequest, except *engineAttempt) []guard.PriorAttempt {
	out := g.priorAttemptBuffer[:0]
	for _, attempt := range req.attempts {
		if attempt == except {
			continue
		}
		prior := guard.PriorAttempt{IssuedAt: attempt.startedAt, Sent: attempt.sent, Ended: attempt.done, NeverRan: attempt.done && attempt.status.NeverExecuted()}
		if attempt.engine != nil {
			prior.Zone, prior.Cell = attempt.engine.zone, attempt.engine.entry.Cell
		}
		out = append(out, prior)
	}
	g.priorAttemptBuffer = out
	return out
}

// checkSend checks an attempt that is about to be written.
func (g *Gateway) checkSend(attempt *engineAttempt) {
	req, eng, settings := attempt.request, attempt.engine, &g.cfg.Settings.Rules
	reported := g.moduleEngine(eng)
	send := guard.Send{Now: g.now, Answered: req.answered, Deadline: attempt.deadline, ClientDeadline: req.dueAt, State: reported.State, NotifiedAt: eng.stateSince,
		Zone: reported.Zone, Kind: reported.Kind, Cell: reported.Cell, Class: &settings.Classes[req.class], Constraints: &settings.Constraints, Limits: &settings.Limits}
	if len(req.attempts) > 1 {
		send.PriorAttempts = g.priorAttempts(req, attempt)
	}
	send.SlowStartSent, send.SlowStartBudget = g.recordSlowStartSend(req, eng)
	if findings := send.Check(); len(findings.All()) > 0 {
		g.reportViolations(findings, req.id, eng.entry.ID)
	}
	if send.State != rules.EngineServing {
		g.log(Warn, "engine: request sent to a draining or removed engine", Attr{keyRequest, string(req.id)}, Attr{keyEngine, eng.entry.ID},
			Attr{keyState, engineStateNames[send.State]}, Attr{"notified_ms", milliseconds(g.now - eng.stateSince)},
			Attr{keyWaited, milliseconds(g.now - attempt.startedAt)}, Attr{keyAttempt, attempt.index})
	}
}

// slowStartSends is the work that this gateway sent to an engine within the overload window.
type slowStartSends struct {
	total         window.Sum // whether or not the engine's slow start was known
	sinceNotified window.Sum // since the gateway was notified of the engine's start
}

// resetForNewProcess resets the work sent since the notification, which was the start of the previous process.
func (s *slowStartSends) resetForNewProcess() {
	if s != nil {
		s.sinceNotified = window.Sum{Span: s.sinceNotified.Span}
	}
}

// notifiedShare is the share of the work sent to an engine that must have been sent since the notification for all of
// it to count. The operators use the same share to define when a cold engine fails under load.
const notifiedShare = 2.0 / 3

// recordSlowStartSend adds an attempt to the work sent to an engine, and returns that work and the engine's
// slow-start budget. A process may have been replaced some time before the endpoint list shows it, so work sent
// before the notification counts as well, unless it is more than a third of all work. Both results are 0 if the
// engine is warm or the settings define no budget.
func (g *Gateway) recordSlowStartSend(req *queryRequest, eng *engineState) (sent, budget float64) {
	constraints := &g.cfg.Settings.Rules.Constraints
	if constraints.SlowStartPeriod <= 0 || constraints.OverloadWindow <= 0 || constraints.OverloadFactor <= 0 {
		return 0, 0
	}
	if eng.slowStart == nil {
		eng.slowStart = &slowStartSends{window.Sum{Span: constraints.OverloadWindow}, window.Sum{Span: constraints.OverloadWindow}}
	}
	eng.slowStart.total.Add(g.now, float64(req.work))
	age := g.now - eng.startedAt
	if eng.startedAt == 0 || age >= constraints.SlowStartPeriod {
		return 0, 0
	}
	eng.slowStart.sinceNotified.Add(g.now, float64(req.work))
	if eng.kind >= len(g.cfg.Settings.Rules.Kinds) {
		return 0, 0
	}
	speedFraction := constraints.SlowStartInitialSpeed + (1-constraints.SlowStartInitialSpeed)*max(float64(age), 0)/float64(constraints.SlowStartPeriod)
	budget = constraints.OverloadFactor * speedFraction * g.cfg.Settings.Rules.Kinds[eng.kind].Cores * float64(constraints.OverloadWindow)
	sent = eng.slowStart.sinceNotified.Total(g.now)
	if total := eng.slowStart.total.Total(g.now); sent >= notifiedShare*total {
		sent = total
	}
	return sent, budget
}

// checkAnswer checks a final answer before it is sent.
func (g *Gateway) checkAnswer(req *queryRequest, outcome requestOutcome) {
	if outcome == outcomeAbandoned {
		return
	}
	due := req.dueAt
	// No answer is possible during a stall.
	if req.arrivedAt <= g.lastStall.resumedAt+g.limits.LongSettleTime+g.limits.MaxSettleTime {
		due = max(due, g.lastStall.resumedAt)
	}
	answer := guard.Answer{Now: g.now, ClientDeadline: due, Answered: req.answered, Rejection: outcome == outcomeRejected,
		Class: &g.cfg.Settings.Rules.Classes[req.class]}
	if answer.Rejection && len(req.attempts) > 0 {
		answer.PriorAttempts = g.priorAttempts(req, nil)
	}
	if findings := answer.Check(); len(findings.All()) > 0 {
		g.reportViolations(findings, req.id, "")
	}
}

// checkClose checks a client connection before the gateway closes it.
func (g *Gateway) checkClose(client *clientConn, reason CloseReason) {
	if req := client.request; req != nil && !req.answered {
		g.reportViolation(!reason.allowsUnanswered(), guard.CloseUnanswered, req.id, "")
	}
}

// checkEngineClose checks an engine connection before the gateway closes it.
func (g *Gateway) checkEngineClose(conn *engineConn, reason CloseReason) {
	if reason == CloseEngineMalformed || reason == CloseEngineUnread {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		g.reportViolation(true, guard.CloseInFlight, rules.RequestID(id), conn.engine.entry.ID)
	}
}

// checkStart checks a request before it starts.
func (g *Gateway) checkStart(req *queryRequest) {
	g.reportViolation(g.requests[req.id] != nil || req.client.request != nil, guard.StartTwice, req.id, "")
	g.reportViolation(req.client.closed, guard.StartAfterEnd, req.id, "")
}

// logViolations logs the number of violations by invariant since the start, if there are any.
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
