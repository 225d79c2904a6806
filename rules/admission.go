package rules

// Admission: what becomes of a request when it arrives, and how many stay open; the types are in api.go.
// Invariant: every request that arrives is open until it has had one final response, and a second arrival
// of an open request changes nothing.

import "container/heap"

// openRequestsFraction is the fraction of the requests that may be open above which queued ones are shed:
// the rest is left to requests that could run at once.
const openRequestsFraction = 0.85

func (m *Module) handleArrival(arrived Request) {
	if m.requests[arrived.ID] != nil {
		return
	}
	cls := m.classes[arrived.Class]
	arrived.Deadline = min(arrived.Deadline, m.lastDeadline)
	req := &request{Request: arrived, class: cls, arrivedAt: m.now - arrived.QueuedFor, heapIndex: -1}
	req.queue = cls.queues[min(arrived.Tenant, len(cls.queues)-1)]
	m.requests[arrived.ID] = req
	m.countArrival(req)
	m.setTimer(arrived.Deadline, timerRequest, string(arrived.ID))
	if cls.Ordered && arrived.OrderKey != "" {
		m.joinKeyQueue(req)
		return
	}
	m.enqueue(req)
}

// countArrival adds an arrival to the retry budget and the mean work of requests.
func (m *Module) countArrival(req *request) {
	if c := &m.settings.Constraints; c.RetryBudgetEnabled {
		m.arrivals = insertSorted(dropBefore(m.arrivals, m.now-c.RetryBudgetWindow), req.arrivedAt)
	}
	req.class.requestWork.add(m.now, m.predictedWork(req), 1)
	m.requestWork.add(m.now, m.predictedWork(req), 1)
	m.dataSet(req.DataSet).requests.add(m.now, 1, 1)
}

// enqueue queues a request by its predicted work, unless it has ended or is queued already.
func (m *Module) enqueue(req *request) {
	if req.ended || req.heapIndex >= 0 {
		return
	}
	work := m.predictedWork(req)
	req.late = m.now+req.runTime(work, 1) > req.arrivedAt+req.latencyObjective(work)
	req.virtualFinish = req.queue.virtualTime + m.rng.ExpFloat64()*work
	req.queue.totalWork, req.queuedWork = req.queue.totalWork+work, work
	heap.Push(req.queue, req)
	m.queuedCount++
	m.review(req)
}

// shedExcess sheds requests of the longest queue, those that would be dispatched last first, while too many
// are open. Queued requests that can't run, as data loads that wait for each other's data sets, must not
// keep out requests that could run at once.
func (m *Module) shedExcess() {
	limit := m.settings.Limits.MaxOpenRequests
	for m.queuedCount > 0 && limit > 0 && float64(len(m.requests)) > openRequestsFraction*float64(limit) {
		m.finish(m.longestQueue().last(), ReasonQueueFull)
	}
}
