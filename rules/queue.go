package rules

import (
	"container/heap"
	"slices"
)

// The state of the queues: of requests that wait to be dispatched, and of requests that share an order key.
// It decides nothing.

// queue holds the waiting requests of one class and tenant, as a heap ordered by Less.
type queue struct {
	requests    []*request
	totalWork   float64 // predicted work of all
	virtualTime float64 // virtual finish of the last one dispatched
}

// Len is the number of waiting requests.
func (q *queue) Len() int { return len(q.requests) }

// Swap swaps two requests and keeps their indexes.
func (q *queue) Swap(i, j int) {
	q.requests[i], q.requests[j] = q.requests[j], q.requests[i]
	q.requests[i].heapIndex, q.requests[j].heapIndex = i, j
}

// Push adds a request at the end, for container/heap.
func (q *queue) Push(x any) {
	req := x.(*request)
	req.heapIndex = len(q.requests)
	q.requests = append(q.requests, req)
}

// Pop removes the request at the end, for container/heap.
func (q *queue) Pop() any {
	last := len(q.requests) - 1
	req := q.requests[last]
	q.requests[last], q.requests = nil, q.requests[:last]
	req.heapIndex = -1
	return req
}

// last is the request that would be dispatched last.
func (q *queue) last() *request {
	last := 0
	for i := range q.requests {
		if q.Less(last, i) {
			last = i
		}
	}
	return q.requests[last]
}

// longestQueue is the queue with the most requests.
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

// queuedWork sums up the predicted work of all queued requests.
func (m *Module) queuedWork() (sum float64) {
	for _, cls := range m.classes {
		for _, q := range cls.queues {
			sum += q.totalWork
		}
	}
	return sum
}

// dequeue takes a request off its queue, if it is on one.
func (m *Module) dequeue(req *request) {
	if req.heapIndex < 0 {
		return
	}
	heap.Remove(req.queue, req.heapIndex)
	req.queue.totalWork -= req.queuedWork
	m.queuedCount--
}

// keyQueue lists the requests of one order key: the first may run, the others wait until it is over.
type keyQueue struct {
	key              string
	waiting          []*request
	quarantinedUntil Time // no request of the key is sent before
}

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

func (m *Module) leaveKeyQueue(req *request) {
	queue := req.keyQueue
	queue.remove(req)
	if len(queue.waiting) == 0 && m.now < queue.quarantinedUntil {
		m.setTimer(queue.quarantinedUntil, timerKey, queue.key)
	}
	m.serveKeyQueue(queue)
}

func (q *keyQueue) remove(req *request) {
	if i := slices.Index(q.waiting, req); i >= 0 {
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	}
}
