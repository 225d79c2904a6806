package rules

// Ordering: when the next request of an order key may run; the types are in api.go. Invariant: requests of
// one key run one at a time in the order of arrival, and after an attempt that may still run the key is
// quarantined.

// serveKeyQueue queues the first request of a key, and frees the queue of a key that is empty.
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
		m.setTimer(q.quarantinedUntil, timerKey, q.key)
		return
	}
	m.enqueue(first)
}

// quarantineKey keeps the key of a request idle after an attempt that may still run.
func (m *Module) quarantineKey(req *request, status Status) {
	if req.keyQueue == nil {
		return
	}
	if status == StatusTimeout || status == StatusReset || status == StatusCancelled {
		until := m.now + m.settings.Constraints.KeyQuarantine
		req.keyQueue.quarantinedUntil = max(req.keyQueue.quarantinedUntil, until)
	}
}
