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
func (g *Gateway) broke(f guard.Findings, request rules.RequestID, engine string) {
	for _, i := range f.All() {
		first := g.broken.Record(i)
		if first || g.cfg.Trace {
			g.log(Warn, "invariant broken", Attr{"invariant", i.String()}, Attr{"request", string(request)}, Attr{"engine", engine})
		}
	}
}

// brokeOne notes one invariant, if it is broken.
func (g *Gateway) brokeOne(broken bool, i guard.Invariant, request rules.RequestID, engine string) {
	if !broken {
		return
	}
	if first := g.broken.Record(i); first || g.cfg.Trace {
		g.log(Warn, "invariant broken", Attr{"invariant", i.String()}, Attr{"request", string(request)}, Attr{"engine", engine})
	}
}

// Broken is how often each invariant was broken.
func (g *Gateway) Broken() guard.Violations { return g.broken }

// past lists the attempts of a request but one. It is valid until the next call.
func (g *Gateway) past(r *request, but *attempt) []guard.PriorAttempt {
	out := g.pastList[:0]
	for _, a := range r.attempts {
		if a == but {
			continue
		}
		p := guard.PriorAttempt{At: a.at, Sent: a.sent, Ended: a.done, NeverRan: a.done && a.verdict.NeverExecuted()}
		if a.engine != nil {
			p.Zone, p.Cell = a.engine.zone, a.engine.entry.Cell
		}
		out = append(out, p)
	}
	g.pastList = out
	return out
}

// guardSend checks an attempt that is about to be written, a repeat among them.
func (g *Gateway) guardSend(a *attempt) {
	r, e, s := a.request, a.engine, &g.cfg.Settings.Rules
	seen := g.translate(e)
	send := guard.Send{Now: g.now, Answered: r.answered, Deadline: a.deadline, ClientDeadline: r.due, State: seen.State, NotifiedAt: e.told,
		Zone: seen.Zone, Kind: seen.Kind, Cell: seen.Cell, Class: &s.Classes[r.class], Duties: &s.Constraints, Limits: &s.Limits}
	if len(r.attempts) > 1 {
		send.PriorAttempts = g.past(r, a)
	}
	send.SlowStartSent, send.SlowStartBudget = g.coldSend(r, e)
	if f := send.Check(); len(f.All()) > 0 {
		g.broke(f, r.id, e.entry.ID)
	}
	if send.State != rules.EngineServing {
		g.log(Warn, "engine: request sent to one that drains or has gone", Attr{"request", string(r.id)}, Attr{"engine", e.entry.ID},
			Attr{"state", stateNames[send.State]}, Attr{"told_ms", milliseconds(g.now - e.told)}, Attr{"waited_ms", milliseconds(g.now - a.at)},
			Attr{"attempt", a.index})
	}
}

// coldSend adds a send to what an engine in slow start got from us, and returns that beside all that it bears. Both are 0
// for a warm engine, or where nothing names a budget.
func (g *Gateway) coldSend(r *request, e *engineState) (sent, budget float64) {
	d := &g.cfg.Settings.Rules.Constraints
	age := g.now - e.began
	if e.began == 0 || age >= d.SlowStartPeriod || d.SlowStartPeriod <= 0 || d.OverloadWindow <= 0 || d.OverloadFactor <= 0 {
		e.coldSent = nil
		return 0, 0
	}
	if e.kind >= len(g.cfg.Settings.Rules.Kinds) {
		return 0, 0
	}
	if e.coldSent == nil {
		e.coldSent = &window.Sum{Span: d.OverloadWindow}
	}
	e.coldSent.Add(g.now, float64(r.work))
	warmth := d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*max(float64(age), 0)/float64(d.SlowStartPeriod)
	return e.coldSent.Total(g.now), d.OverloadFactor * warmth * g.cfg.Settings.Rules.Kinds[e.kind].Cores * float64(d.OverloadWindow)
}

// guardAnswer checks a final answer that is about to be given.
func (g *Gateway) guardAnswer(r *request, how ending) {
	if how == endedLeft {
		return
	}
	due := r.due
	if r.at <= g.lastStall.seen+g.lim.SettleLong+g.lim.SettleMost { // a process that does not run can't answer
		due = max(due, g.lastStall.seen)
	}
	a := guard.Answer{Now: g.now, ClientDeadline: due, Answered: r.answered, Rejection: how == endedRefused,
		Class: &g.cfg.Settings.Rules.Classes[r.class]}
	if a.Rejection && len(r.attempts) > 0 {
		a.PriorAttempts = g.past(r, nil)
	}
	if f := a.Check(); len(f.All()) > 0 {
		g.broke(f, r.id, "")
	}
}

// guardClose checks a connection of a client that is about to be closed by us.
func (g *Gateway) guardClose(c *client, why CloseReason) {
	if r := c.request; r != nil && !r.answered {
		g.brokeOne(!why.unanswered(), guard.CloseUnanswered, r.id, "")
	}
}

// guardLinkClose checks a connection to an engine that is about to be closed by us.
func (g *Gateway) guardLinkClose(l *link, why CloseReason) {
	if why == LinkMalformed || why == LinkUnread {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		g.brokeOne(true, guard.CloseInFlight, rules.RequestID(id), l.engine.entry.ID)
	}
}

// guardStart checks a request that is about to begin.
func (g *Gateway) guardStart(r *request) {
	g.brokeOne(g.requests[r.id] != nil || r.client.request != nil, guard.StartTwice, r.id, "")
	g.brokeOne(r.client.ended, guard.StartAfterEnd, r.id, "")
}

// logBroken notes what was broken so far, if anything was.
func (g *Gateway) logBroken() {
	if g.broken.Sum() == 0 {
		return
	}
	var attrs []Attr
	for i, n := range g.broken {
		if n > 0 {
			attrs = append(attrs, Attr{guard.Invariant(i).String(), n})
		}
	}
	g.log(Warn, "invariants broken", attrs...)
}
