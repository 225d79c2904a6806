package rules

import (
	"container/heap"
	"slices"
)

// State of the queues: of requests that wait for their dispatch, and of requests with the same order key.
// This file makes no decisions.

// queue holds the queued requests of one class and tenant, as a heap ordered by Less.
type queue struct {
	requests    []*request
	totalWork   float64 // predicted work of all requests
	virtualTime float64 // highest virtual finish of the dispatched requests that were not late
}

// Len returns the number of queued requests.
func (q *queue) Len() int { return len(q.requests) }

// Swap swaps two requests and updates their indexes.
func (q *queue) Swap(i, j int) {
	q.requests[i], q.requests[j] = q.requests[j], q.requests[i]
	q.requests[i].heapIndex, q.requests[j].heapIndex = i, j
}

// Push appends a request, for container/heap.
func (q *queue) Push(x any) {
	req := x.(*request)
	req.heapIndex = len(q.requests)
	q.requests = append(q.requests, req)
}

// Pop removes the last element, for container/heap.
func (q *queue) Pop() any {
	last := len(q.requests) - 1
	req := q.requests[last]
	q.requests[last], q.requests = nil, q.requests[:last]
	req.heapIndex = -1
	return req
}

// last returns the request that would be dispatched last.
func (q *queue) last() *request {
	last := 0
	for i := range q.requests {
		if q.Less(last, i) {
			last = i
		}
	}
	return q.requests[last]
}

// longestQueue returns the queue with the most requests.
func (m *Module) longestQueue() *queue {
	longest := m.classes[0].queues[0]
	for _, cls := range m.classes {
		for _, q := range cls.queues {
			if q.Len() > longest.Len() {
				longest = q
			}
		}
	}
	return longest
}

// queuedWork returns the predicted work of all queued requests.
func (m *Module) queuedWork() (sum float64) {
	for _, cls := range m.classes {
		for _, q := range cls.queues {
			sum += q.totalWork
		}
	}
	return sum
}

// dequeue removes a request from its queue, if it is queued.
func (m *Module) dequeue(req *request) {
	if req.heapIndex < 0 {
		return
	}
	heap.Remove(req.queue, req.heapIndex)
	req.queue.totalWork -= req.queuedWork
	m.queuedCount--
}

// keyQueue holds the open requests of one order key: the first may run, the others wait until it is over.
type keyQueue struct {
	key              string
	waiting          []*request // in order of arrival, including the first
	quarantinedUntil Time       // no request of the key is sent before this time
	timerAt          Time       // time of the latest timer that was set for the key
}

// joinKeyQueue appends a request to the queue of its order key.
func (m *Module) joinKeyQueue(req *request) {
	queue := m.keyQueues[req.OrderKey]
	if queue == nil {
		queue = &keyQueue{key: req.OrderKey}
		m.keyQueues[req.OrderKey] = queue
	}
	req.keyQueue = queue
	queue.waiting = append(queue.waiting, req)
	m.serveKeyQueue(queue)
}

// leaveKeyQueue removes a request that is over from the queue of its order key, and serves the next one.
func (m *Module) leaveKeyQueue(req *request) {
	queue := req.keyQueue
	queue.remove(req)
	if len(queue.waiting) == 0 && m.now < queue.quarantinedUntil {
		m.awaitQuarantineEnd(queue)
	}
	m.serveKeyQueue(queue)
}

// awaitQuarantineEnd sets a timer for the end of a key's quarantine, once.
func (m *Module) awaitQuarantineEnd(queue *keyQueue) {
	if queue.timerAt != queue.quarantinedUntil {
		queue.timerAt = queue.quarantinedUntil
		m.setTimer(queue.timerAt, timerKey, queue.key)
	}
}

func (q *keyQueue) remove(req *request) {
	if i := slices.Index(q.waiting, req); i >= 0 {
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	}
}
