package rules

// Attempts: what is sent to an engine, and what follows from its outcome. The types are in api.go.
// Invariant: each attempt has one outcome, and from then on nothing counts it as in flight.

import "math"

// send starts an attempt of a request on an engine.
func (m *Module) send(req *request, eng *engine) {
	grant := m.memoryGrant(req, eng)
	m.setOptions(req, grant)
	m.emit(Send{ID: req.ID, Engine: eng.ID})
	isRetry := len(req.attempts) > 0
	if isRetry {
		m.retries = append(m.retries, m.now)
	}
	work := m.predictedWork(req)
	if m.followsZonePlan(req) {
		m.zonePlan.RecordSend(m.now, eng.Zone, work, isRetry)
	}
	att := m.newAttempt(req, eng, grant, work)
	m.startAttempt(req, att)
	if att.reportedToPeers {
		m.emit(Broadcast{Payload: eng.encodePeerReport()})
	}
	m.chargeSlowStartBudget(eng, m.slowStartCharge(req))
	m.scheduleReview(req, m.slowAt(req, &att))
}

// setOptions sets memory grant and priority of the next attempt, if engines respect them and they have
// changed.
func (m *Module) setOptions(req *request, grant float64) {
	options := SetAttemptOptions{ID: req.ID, MemoryMB: math.Ceil(grant), Priority: m.priority(req)}
	if options != req.options && (m.settings.AcceptsGrants || m.settings.AcceptsPriority) {
		req.options = options
		m.emit(options)
	}
}

// newAttempt returns the record of an attempt that starts now.
func (m *Module) newAttempt(req *request, eng *engine, grant, work float64) attempt {
	att := attempt{
		engine: eng, incarnation: eng.incarnation, zone: eng.Zone, cell: eng.Cell, startedAt: m.now,
		threads: req.class.threadCount(), memoryMB: grant, highPriority: m.priorityBand(req) > 0,
		expectedTime: float64(req.runTime(work, m.slowdown(req, eng))),
	}
	att.work = att.expectedTime * att.threads
	att.reportedToPeers = m.reportsToPeers(&att)
	return att
}

// handleOutcome ends an attempt. A second outcome of the same attempt, or an outcome of a request that is
// over, changes nothing.
func (m *Module) handleOutcome(outcome Outcome) {
	req := m.requests[outcome.ID]
	if req == nil || outcome.Attempt >= len(req.attempts) || req.attempts[outcome.Attempt].done {
		return
	}
	att := &req.attempts[outcome.Attempt]
	m.learnFromOutcome(req, att, outcome)
	m.endAttempt(req, att, outcome.Status)
	if att.reportedToPeers {
		m.emit(Broadcast{Payload: att.engine.encodePeerReport()})
	}
	if att.engine.State == EngineGone {
		m.removeGoneEngines()
	}
	m.quarantineKey(req, outcome.Status)
	if outcome.RequestEnded && !req.ended {
		m.endRequest(req)
	}
	switch {
	case req.ended:
		m.removeIfDone(req)
	case req.inFlight == 0:
		m.retryOrEnd(req)
	}
}
