package emulator

import "foxlane/rules"

// This file models attempts: delivery to an engine, and delivery of the outcome to the decision module.

// attempt is one execution attempt of a request on an engine.
type attempt struct {
	request  *request
	index    int
	engine   *engine
	sentAt   rules.Time
	job      *job // nil until the engine has accepted it
	notified bool // when sending it, the gateway had been notified of the engine's current incarnation
	done     bool // the gateway has reported its outcome to the module
	answered bool // the engine has sent a response, received or not
}

// connectionIdleTimeout is how long an idle connection to an engine stays open.
const connectionIdleTimeout = 13 * rules.Second

// forward sends a new attempt of a request to an engine, and opens a connection if none is open.
func (g *gateway) forward(r *request, id rules.EngineID) {
	f := g.fleet
	a := &attempt{request: r, index: len(r.attempts), engine: f.engineByID(id), sentAt: f.now}
	a.notified = g.startedAt[id] == a.engine.startedAt
	r.attempts = append(r.attempts, a)
	f.Metrics.recordAttempt(g, a)
	g.observationOf(id).lastAttempt = f.now
	usedAt, open := g.lastUsed[id]
	dials := !open || f.now-usedAt > connectionIdleTimeout
	if dials {
		f.Metrics.Dials++
	}
	g.lastUsed[id] = f.now
	if dials && (a.engine.silent || f.isCut(g.zone, a.engine.zone) || f.isCut(a.engine.zone, g.zone)) {
		delete(g.lastUsed, id)
		g.after(f.scenario.Settings.Limits.ConnectTimeout, func() { g.finishAttempt(a, rules.StatusConnectFailed) })
	} else {
		f.after(f.delay(g, a.engine), func() { // not g.after: the engine receives it even if the gateway crashes first
			if !a.done && !f.isCut(g.zone, a.engine.zone) {
				a.engine.receive(a)
			}
		})
	}
	g.after(r.deadline-f.now, func() { g.finishAttempt(a, rules.StatusTimeout) })
}

// answerGateway sends an engine's response to the gateway of the attempt. A silent engine or a cut link loses it.
func (f *Fleet) answerGateway(a *attempt, status rules.Status) {
	a.answered = true
	g := a.request.gateway
	if a.engine.silent || f.isCut(a.engine.zone, g.zone) {
		return
	}
	g.afterIn(a.request.incarnation, f.delay(g, a.engine), func() { g.finishAttempt(a, status) })
}

// cancel cancels an attempt whose outcome the module no longer needs.
func (g *gateway) cancel(a *attempt) {
	if a.done {
		return
	}
	if j := a.job; j != nil {
		g.fleet.after(g.fleet.delay(g, a.engine), func() { a.engine.cancel(j) })
	}
	g.finishAttempt(a, rules.StatusCancelled)
}

// finishAttempt reports the outcome of an attempt to the module, once. The first successful response serves the
// client's request.
func (g *gateway) finishAttempt(a *attempt, status rules.Status) {
	if a.done {
		return
	}
	a.done = true
	f, r := g.fleet, a.request
	if status != rules.StatusOK && status != rules.StatusNotExecuted {
		g.observationOf(a.engine.id).lastFault = f.now
	}
	if a.answered {
		g.observationOf(a.engine.id).lastAnswer = f.now
	}
	if status == rules.StatusTimeout && a.job != nil {
		a.engine.cancel(a.job)
	}
	if status == rules.StatusOK && !r.finished {
		f.Metrics.recordServed(r)
		r.finished = true
	} else if !a.answered || status != rules.StatusOK {
		f.Metrics.LostAttempts[status]++
	}
	outcome := rules.Outcome{ID: r.id, Attempt: a.index, Engine: a.engine.id, Status: status, Latency: f.now - a.sentAt, RequestEnded: r.finished}
	if status == rules.StatusOK && f.scenario.Settings.ReportsCost {
		outcome.MeasuredWork = rules.Time(r.work)
	}
	if r.finished {
		g.finish(r)
	}
	g.handle(outcome)
}
