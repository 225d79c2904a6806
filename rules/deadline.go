package rules

// Deadlines: when a request has to end unserved, and what a request that waits or runs is to be reviewed
// for; the types are in api.go. Invariant: a request that can't be served by its deadline, or that is late
// and earns nothing late, gets its final response without waiting for the deadline.

import "container/heap"

// latencyObjective is how long after its arrival a response still earns the full priority weight.
func (r *request) latencyObjective(work float64) Time {
	return r.class.LatencyObjective + Time(r.class.ObjectiveStretch*work/r.class.threadCount())
}

// review applies what time has changed for a request: it can't be served in time, its attempt is slow or
// overdue, or it has become late.
func (m *Module) review(req *request) {
	if req.ended || req.streaming {
		return
	}
	work := m.predictedWork(req)
	run := req.runTime(work, 1)
	if m.now >= req.Deadline || req.inFlight == 0 && m.now+run >= req.Deadline {
		m.finish(req, ReasonDeadline)
		return
	}
	if req.inFlight > 0 {
		m.checkSlow(req)
		m.checkOverdue(req)
		return
	}
	if lateAt := req.arrivedAt + req.latencyObjective(work) - run; m.now < lateAt {
		m.reviewAt(req, lateAt)
		return
	}
	m.reviewLate(req, run)
}

// reviewLate ends a waiting request that is late if it earns nothing late, else moves it to the end of its
// queue. One that has just arrived is tried on idle engines first: its predicted work may be a guess.
func (m *Module) reviewLate(req *request, run Time) {
	if req.class.LateValue <= 0 {
		if m.now == req.arrivedAt+req.QueuedFor {
			m.reviewAt(req, m.now+m.settings.Tick)
		} else {
			m.finish(req, ReasonTooLate)
		}
		return
	}
	if !req.late && req.heapIndex >= 0 {
		req.late = true
		heap.Fix(req.queue, req.heapIndex)
	}
	m.reviewAt(req, req.Deadline-run)
}
