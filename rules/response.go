package rules

// Final responses: how the module itself ends a request, and when its client should retry. The types are in
// api.go. Invariant: a request gets at most one final response from the module, and a rejection only if a
// retry is provably safe.

import "math"

// rejectOrFail ends a request, with a rejection if that can promise that a retry is safe, with a failure
// otherwise.
func (m *Module) rejectOrFail(req *request, reason FailureReason) {
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

// retryAfter returns how long a rejected client should wait: until the queued work should be done, but no
// longer than its own query runs. During a shutdown it should retry at once, on another gateway.
func (m *Module) retryAfter(req *request) Time {
	if !m.settings.Limits.RetryAfter || m.shutdownDeadline != math.MaxInt64 {
		return 0
	}
	wait := Time(m.queuedWork() / max(m.threadBound(m.fleetCapacity.Cores), 1))
	return min(wait, req.runTime(m.predictedWork(req), 1), m.settings.Limits.MaxRetryAfter)
}

// endRequest ends a request and cancels its attempts in flight, except while a response is being streamed
// to the client.
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
