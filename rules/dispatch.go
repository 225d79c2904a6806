package rules

// Dispatch: which queued request is sent next. The types are in api.go. Classes, then tenants, then
// requests are drawn by lottery. Invariant: each class gets an equal part of the engine time, whatever its
// priority weight, and a request that cannot be sent now does not block the others of its class.

import (
	"container/heap"
	"math/rand/v2"
)

const (
	// sweepInterval is how often queued requests are reconsidered without an event: neither the progress of
	// a warm-up nor the end of a backoff causes an event.
	sweepInterval = 50 * Millisecond
	// drawsPerQueue is how many requests of a queue are tried before another class is drawn.
	drawsPerQueue = 2
	// minLateOdds is the minimum value of a late request in the lottery, so that it is drawn if nothing
	// else is queued.
	minLateOdds = 1e-6
)

// dispatch sends queued requests until none can be sent, and sets the sweep timer for those that remain.
func (m *Module) dispatch() {
	for m.queuedCount > 0 && m.hasCapacity() && m.dispatchOne() {
	}
	if m.queuedCount > 0 && !m.sweepPending {
		m.sweepPending = true
		m.emit(SetTimer{At: m.now + sweepInterval, Token: timerSweep})
	}
}

// hasCapacity reports whether any request could be sent. It is a cheap check before the lottery.
func (m *Module) hasCapacity() bool {
	load := &m.inFlightLoad
	if m.settings.AcceptsPriority {
		load = &m.highPriorityLoad // a request of a high priority might be sent
	}
	if load.attempts > 0 && load.threads >= m.fleetThreadBound(false) {
		return false
	}
	for _, eng := range m.engines {
		free := eng.attempts == 0 || m.settings.AcceptsPriority ||
			eng.threads < m.threadBound(m.kindOf(eng).Cores)
		if free && eng.State == EngineServing {
			return true
		}
	}
	return false
}

// dispatchOne draws classes, each at most once, until it has sent a request of one.
func (m *Module) dispatchOne() bool {
	drawn := make([]bool, len(m.classes))
	for range m.classes {
		i := m.drawClass(drawn)
		if i < 0 {
			return false
		}
		drawn[i] = true
		queue := m.classes[i].drawTenant(m.rng)
		for range drawsPerQueue {
			if m.dispatchFrom(queue) {
				return true
			}
		}
	}
	return false
}

// drawClass draws one of the classes that were not drawn yet, -1 if there is none. All classes are entitled
// to the same engine time, so the odds of a class are inverse to the mean predicted work of its queued
// requests, times its dispatchValue.
func (m *Module) drawClass(drawn []bool) int {
	odds := make([]float64, len(m.classes))
	for i, cls := range m.classes {
		if count, work := cls.queueTotals(); count > 0 && !drawn[i] {
			odds[i] = cls.dispatchValue() * float64(count) / max(work, 1)
		}
	}
	return weightedDraw(m.rng, odds)
}

// queueTotals returns the number of queued requests of a class, and their total predicted work.
func (c *class) queueTotals() (count int, work float64) {
	for _, q := range c.queues {
		count += q.Len()
		work += q.totalWork
	}
	return count, work
}

// dispatchValue returns the fraction of the priority weight that the best queued request of a class can
// earn: less than 1 only if all queues start with a late request.
func (c *class) dispatchValue() float64 {
	value := 0.0
	for _, q := range c.queues {
		switch {
		case q.Len() == 0:
		case !q.requests[0].late:
			value = 1
		default:
			value = max(value, c.LateValue, minLateOdds)
		}
	}
	return value
}

// drawTenant draws the queue of a tenant, with odds inverse to the mean predicted work of its requests.
func (c *class) drawTenant(rng *rand.Rand) *queue {
	odds := make([]float64, len(c.queues))
	for i, q := range c.queues {
		if q.Len() > 0 {
			odds[i] = float64(q.Len()) / max(q.totalWork, 1)
		}
	}
	return c.queues[max(weightedDraw(rng, odds), 0)]
}

// dispatchFrom sends the first request of a queue if there is an engine for it. Otherwise the request draws a
// new place in the queue: one that waits for the retry budget, for an engine of its dedup scope or for
// memory must not block the rest.
func (m *Module) dispatchFrom(q *queue) bool {
	req := q.requests[0]
	eng := m.chooseEngine(req)
	if eng == nil {
		req.virtualFinish = q.virtualTime + m.rng.ExpFloat64()*req.queuedWork
		heap.Fix(q, 0)
		return false
	}
	if !req.late {
		q.virtualTime = max(q.virtualTime, req.virtualFinish)
	}
	m.dequeue(req)
	m.send(req, eng)
	return true
}

// Less orders a queue as a random race: each request draws an exponentially distributed time with its
// predicted work as the mean, and the shortest time goes first. So the odds of being next are inverse to
// the predicted work, at the cost of one heap operation. Late requests go last.
func (q *queue) Less(i, j int) bool {
	a, b := q.requests[i], q.requests[j]
	if a.late != b.late {
		return b.late
	}
	return a.virtualFinish < b.virtualFinish
}
