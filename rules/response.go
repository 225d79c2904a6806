package rules

// Final responses: what the module itself answers, and when a client is to come back; the types are in
// api.go. Invariant: a request gets at most one final response of the module, and a rejection only where a
// retry is proven to be safe.

import "math"

// finish ends a request with a rejection where that promise can be kept, else with a failure.
func (m *Module) finish(req *request, reason FailureReason) {
	if req.mayReject() {
		m.emit(Reject{ID: req.ID, RetryAfter: m.retryAfter(req), Reason: reason})
	} else {
		m.emit(Fail{ID: req.ID, Reason: reason})
	}
	m.endRequest(req)
}

// mayReject reports whether a rejection can promise that a retry is safe.
func (r *request) mayReject() bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet:
		return true
	}
	return !r.mayHaveExecuted()
}

// retryAfter is how long a rejected client should wait: until what is queued should have run, but no longer
// than its own query runs. During a shutdown it should go elsewhere at once.
func (m *Module) retryAfter(req *request) Time {
	if !m.settings.Limits.RetryAfter || m.lastDeadline != math.MaxInt64 {
		return 0
	}
	wait := Time(m.queuedWork() / max(m.threadBound(m.fleetCapacity.Cores), 1))
	return min(wait, req.runTime(m.predictedWork(req), 1), m.settings.Limits.MaxRetryAfter)
}

// endRequest closes a request and cancels its attempts in flight. A streamed response is the client's.
func (m *Module) endRequest(req *request) {
	m.dequeue(req)
	req.ended = true
	for i := range req.attempts {
		if !req.attempts[i].done && m.settings.Limits.Cancel && !req.streaming {
			m.emit(Cancel{ID: req.ID, Attempt: i})
		}
	}
	m.removeIfDone(req)
}
