package rules

// Retries: whether a request may have an attempt, or a further one, on an engine; the types are in api.go.
// Invariant: a request that is not idempotent never has a second attempt unless the first is proven not to
// have run, one with an idempotency key is retried only where and while its key is remembered, and retries
// stay within the retry budget.

// maySend is the only place that says whether the rules allow an attempt on an engine.
func (m *Module) maySend(req *request, eng *engine) bool {
	return eng.State == EngineServing &&
		allowed(req.class.AllowedZones, eng.Zone) &&
		allowed(req.class.AllowedKinds, eng.Kind) &&
		m.mayRetry(req, eng) &&
		m.zoneAdmits(req, eng) &&
		m.slowStartBudgetLeft(req, eng)
}

// mayRetry reports whether an attempt on an engine may follow those that the request had.
func (m *Module) mayRetry(req *request, eng *engine) bool {
	if len(req.attempts) == 0 {
		return true
	}
	if req.inFlight > 0 && !m.settings.Limits.HedgedRequests || !m.retryBudgetLeft() || !m.attemptsLeft(req) {
		return false
	}
	for i := range req.attempts {
		if !m.mayFollow(req, &req.attempts[i], eng) {
			return false
		}
	}
	return true
}

// mayFollow reports whether an attempt on an engine is safe after an earlier one. The new attempt may have
// to wait for a connection, and must still reach the engine within the dedup window.
func (m *Module) mayFollow(req *request, earlier *attempt, eng *engine) bool {
	if earlier.done && earlier.status.NeverExecuted() || req.class.Idempotency == Idempotent {
		return true
	}
	arrival := m.now + m.settings.Limits.ConnectTimeout
	return req.class.Idempotency != NotIdempotent &&
		arrival-earlier.startedAt < req.class.DedupWindow &&
		req.class.sameDedupScope(earlier, eng)
}

func (c *class) sameDedupScope(earlier *attempt, eng *engine) bool {
	switch c.DedupScope {
	case DedupZone:
		return earlier.zone == eng.Zone
	case DedupCell:
		return earlier.cell == eng.Cell
	}
	return true
}

func (m *Module) attemptsLeft(req *request) bool {
	return m.settings.Limits.MaxAttempts <= 0 || len(req.attempts) < m.settings.Limits.MaxAttempts
}

// retryBudgetLeft reports whether one more retry stays within the retry budget. The windows are a tick
// narrower for arrivals and a tick wider for retries, so that the order of events within a tick is harmless.
func (m *Module) retryBudgetLeft() bool {
	c := &m.settings.Constraints
	if !c.RetryBudgetEnabled {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-c.RetryBudgetWindow+m.settings.Tick)
	m.retries = dropBefore(m.retries, m.now-c.RetryBudgetWindow-m.settings.Tick)
	return float64(len(m.retries)+1) <= c.RetryBudgetMin+c.RetryBudgetRatio*float64(len(m.arrivals))
}

// retryOrFinish queues a request for a further attempt where one may still help, else ends it.
func (m *Module) retryOrFinish(req *request) {
	if !m.attemptsLeft(req) || req.mayHaveExecuted() && req.class.Idempotency == NotIdempotent {
		m.finish(req, ReasonAttemptsExhausted)
		return
	}
	m.enqueue(req)
}
