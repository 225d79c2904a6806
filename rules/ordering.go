package rules

// Ordering: when the next request of an order key may run. The types are in api.go. Invariant: requests of
// one key run one at a time in order of arrival, and the key is quarantined after an attempt that may still
// run.

// serveKeyQueue queues the first request of a key for dispatch, or deletes the queue of a key that has no
// requests. It does neither while the key is quarantined.
func (m *Module) serveKeyQueue(q *keyQueue) {
	if len(q.waiting) == 0 {
		if m.now >= q.quarantinedUntil {
			delete(m.keyQueues, q.key)
		}
		return
	}
	first := q.waiting[0]
	if first.ended || len(first.attempts) > 0 {
		return
	}
	if m.now < q.quarantinedUntil {
		m.awaitQuarantineEnd(q)
		return
	}
	m.enqueue(first)
}

// quarantineKey keeps the order key of a request idle if its attempt may still run.
func (m *Module) quarantineKey(req *request, status Status) {
	if req.keyQueue == nil {
		return
	}
	if status == StatusTimeout || status == StatusReset || status == StatusCancelled {
		until := m.now + m.settings.Constraints.KeyQuarantine
		req.keyQueue.quarantinedUntil = max(req.keyQueue.quarantinedUntil, until)
	}
}
