package rules

// Admission: how an arriving request is queued, and how many requests stay open. The types are in api.go.
// Invariant: every request that arrives stays open until its one final response, and a second arrival of an
// open request changes nothing.

import "container/heap"

// sheddingThreshold is the fraction of MaxOpenRequests above which queued requests are shed. The rest is
// reserved for requests that can run at once.
const sheddingThreshold = 0.85

// handleArrival opens a request and queues it, behind the earlier requests of its order key if it has one.
func (m *Module) handleArrival(arrived Request) {
	if m.requests[arrived.ID] != nil {
		return
	}
	cls := m.classes[arrived.Class]
	arrived.Deadline = min(arrived.Deadline, m.shutdownDeadline)
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

// countArrival records an arrival for the retry budget, for the mean work of requests and for the
// popularity of its data set.
func (m *Module) countArrival(req *request) {
	if c := &m.settings.Constraints; c.RetryBudgetEnabled {
		m.arrivals = insertSorted(dropBefore(m.arrivals, m.now-c.RetryBudgetWindow), req.arrivedAt)
	}
	req.class.requestWork.add(m.now, m.predictedWork(req), 1)
	m.requestWork.add(m.now, m.predictedWork(req), 1)
	m.dataSet(req.DataSet).requests.add(m.now, 1, 1)
}

// enqueue adds a request to its queue, unless it has ended or is queued already.
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

// shedExcess sheds queued requests while too many are open: from the longest queue, those that would be
// dispatched last first. Queued requests that cannot run, such as data loads that wait for each other's
// data sets, must not keep out requests that could run at once.
func (m *Module) shedExcess() {
	limit := m.settings.Limits.MaxOpenRequests
	for m.queuedCount > 0 && limit > 0 && float64(len(m.requests)) > sheddingThreshold*float64(limit) {
		m.rejectOrFail(m.longestQueue().last(), ReasonQueueFull)
	}
}
