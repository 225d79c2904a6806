package rules

// Retries: whether a request may have its first or another attempt on an engine. The types are in api.go.
// Invariant: a request that is not idempotent has another attempt only if the earlier ones provably did not
// run, one with an idempotency key is retried only where and while its key is remembered, and retries stay
// within the retry budget.

// attemptAllowed reports whether the rules allow an attempt on an engine, the first or a retry. It is the
// only place that checks them all.
func (m *Module) attemptAllowed(req *request, eng *engine) bool {
	return eng.State == EngineServing &&
		isAllowed(req.class.AllowedZones, eng.Zone) &&
		isAllowed(req.class.AllowedKinds, eng.Kind) &&
		m.mayRetry(req, eng) &&
		m.zoneAdmits(req, eng) &&
		m.slowStartBudgetLeft(req, eng)
}

// mayRetry reports whether an attempt on an engine may follow the earlier attempts of the request, if any.
func (m *Module) mayRetry(req *request, eng *engine) bool {
	if len(req.attempts) == 0 {
		return true
	}
	if req.inFlight > 0 && !m.settings.Limits.HedgedRequests || m.triedAtOnce(req) ||
		!m.retryBudgetLeft() || !m.attemptsLeft(req) {
		return false
	}
	for i := range req.attempts {
		if !m.isSafeAfter(req, &req.attempts[i], eng) {
			return false
		}
	}
	return true
}

// isSafeAfter reports whether an attempt on an engine is safe after an earlier one. The new attempt may have
// to wait for a connection, and must still reach the engine within the dedup window.
func (m *Module) isSafeAfter(req *request, earlier *attempt, eng *engine) bool {
	if earlier.done && earlier.status.NeverExecuted() || req.class.Idempotency == Idempotent {
		return true
	}
	arrival := m.now + m.settings.Limits.ConnectTimeout
	return req.class.Idempotency != NotIdempotent &&
		arrival-earlier.startedAt < req.class.DedupWindow &&
		req.class.sameDedupScope(earlier, eng)
}

// sameDedupScope reports whether an engine drops duplicates of an earlier attempt.
func (c *class) sameDedupScope(earlier *attempt, eng *engine) bool {
	switch c.DedupScope {
	case DedupZone:
		return earlier.zone == eng.Zone
	case DedupCell:
		return earlier.cell == eng.Cell
	}
	return true
}

// attemptsLeft reports whether MaxAttempts permits another attempt.
func (m *Module) attemptsLeft(req *request) bool {
	return m.settings.Limits.MaxAttempts <= 0 || len(req.attempts) < m.settings.Limits.MaxAttempts
}

// maxAttemptsAtOnce is the number of attempts of a request that may start at one time. Sends can fail in the
// event that starts them, for lack of a local resource, and another one would do so as well.
const maxAttemptsAtOnce = 3

// triedAtOnce reports whether maxAttemptsAtOnce attempts of a request have started at this time.
func (m *Module) triedAtOnce(req *request) bool {
	count := len(req.attempts)
	return count >= maxAttemptsAtOnce && req.attempts[count-maxAttemptsAtOnce].startedAt == m.now
}

// retryBudgetLeft reports whether one more retry stays within the retry budget. The window is a tick
// shorter for arrivals and a tick longer for retries, so that the order of events within a tick does not
// matter.
func (m *Module) retryBudgetLeft() bool {
	c := &m.settings.Constraints
	if !c.RetryBudgetEnabled {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-c.RetryBudgetWindow+m.settings.Tick)
	m.retries = dropBefore(m.retries, m.now-c.RetryBudgetWindow-m.settings.Tick)
	return float64(len(m.retries)+1) <= c.RetryBudgetMin+c.RetryBudgetRatio*float64(len(m.arrivals))
}

// retryOrEnd queues a request for another attempt if one is allowed, and ends it otherwise.
func (m *Module) retryOrEnd(req *request) {
	if !m.attemptsLeft(req) || req.mayHaveExecuted() && req.class.Idempotency == NotIdempotent {
		m.rejectOrFail(req, ReasonAttemptsExhausted)
		return
	}
	m.enqueue(req)
}
