package rules

// Graceful shutdown: what becomes of open requests; the types are in api.go. Invariant: no request is open
// after the deadline of the shutdown.

import (
	"maps"
	"slices"
)

// handleShutdown brings all deadlines forward to that of the shutdown. What can't end by then is ended at
// once, so that its client goes elsewhere; the rest is served as before.
func (m *Module) handleShutdown(deadline Time) {
	m.lastDeadline = deadline
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		req := m.requests[id]
		if req == nil { // it ended together with the one before it in its key's queue
			continue
		}
		req.Deadline = min(req.Deadline, deadline)
		m.setTimer(req.Deadline, timerRequest, string(req.ID))
		m.review(req)
	}
}
