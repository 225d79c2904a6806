package rules

// Deadlines: when a request ends unserved, and when a waiting or running request is reviewed. The types are
// in api.go. Invariant: a request that cannot be served by its deadline, or that is late and earns nothing
// then, gets its final response without waiting for the deadline.

import "container/heap"

// latencyObjective returns how long after its arrival a response to a request with that much work earns the
// full priority weight.
func (r *request) latencyObjective(work float64) Time {
	return r.class.LatencyObjective + Time(r.class.ObjectiveStretch*work/r.class.threadCount())
}

// review reconsiders a request whose state changes with time: it can no longer be served by its deadline,
// its attempt is slow or overdue, or it has become late.
func (m *Module) review(req *request) {
	if req.ended || req.streaming {
		return
	}
	work := m.predictedWork(req)
	run := req.runTime(work, 1)
	if m.now >= req.Deadline || req.inFlight == 0 && m.now+run >= req.Deadline {
		m.rejectOrFail(req, ReasonDeadline)
		return
	}
	if req.inFlight > 0 {
		m.checkSlow(req)
		m.checkOverdue(req)
		return
	}
	if lateAt := req.arrivedAt + req.latencyObjective(work) - run; m.now < lateAt {
		m.scheduleReview(req, lateAt)
		return
	}
	m.reviewLate(req, run)
}

// reviewLate ends a waiting request that is late if a late response earns nothing, and moves it to the end
// of its queue otherwise. A request that has just arrived stays queued for another tick, so that an idle
// engine can take it: its predicted work may be a guess.
func (m *Module) reviewLate(req *request, run Time) {
	if req.class.LateValue <= 0 {
		if m.now == req.arrivedAt+req.QueuedFor {
			m.scheduleReview(req, m.now+m.settings.Tick)
		} else {
			m.rejectOrFail(req, ReasonTooLate)
		}
		return
	}
	if !req.late && req.heapIndex >= 0 {
		req.late = true
		heap.Fix(req.queue, req.heapIndex)
	}
	m.scheduleReview(req, req.Deadline-run)
}
