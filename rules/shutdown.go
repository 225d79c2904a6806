package rules

// Graceful shutdown: how open requests end. The types are in api.go. Invariant: no request is open after
// the deadline of the shutdown.

import (
	"maps"
	"slices"
)

// handleShutdown brings all deadlines forward to that of the shutdown. Requests that cannot complete by
// then end at once, so that their clients can use another gateway; the others are served as before.
func (m *Module) handleShutdown(deadline Time) {
	m.shutdownDeadline = deadline
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		req := m.requests[id]
		if req == nil { // it ended in the review of an earlier request of its order key
			continue
		}
		req.Deadline = min(req.Deadline, deadline)
		m.setTimer(req.Deadline, timerRequest, string(req.ID))
		m.review(req)
	}
}
