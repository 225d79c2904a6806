package rules

// Dispatch: which queued request is sent next; the types are in api.go. Classes, then tenants, then requests
// are drawn by lottery. Invariant: each class gets an equal part of the time, whatever its priority weight,
// and a request that can't be sent now does not block the others of its class.

import (
	"container/heap"
	"math/rand/v2"
)

const (
	// sweepInterval is how often queued requests are reconsidered without an event: engines that warm up
	// and backoffs that end bring no event of their own.
	sweepInterval = 50 * Millisecond
	// drawsPerQueue is how many requests of a queue are tried before another class is drawn.
	drawsPerQueue = 2
	// minLateOdds keeps late requests in the lottery where nothing else is queued.
	minLateOdds = 1e-6
)

func (m *Module) dispatch() {
	for m.queuedCount > 0 && m.hasCapacity() && m.dispatchOne() {
	}
	if m.queuedCount > 0 && !m.sweepPending {
		m.sweepPending = true
		m.emit(SetTimer{At: m.now + sweepInterval, Token: timerSweep})
	}
}

// hasCapacity reports whether any request could be sent: a cheap check ahead of the lottery.
func (m *Module) hasCapacity() bool {
	load := &m.inFlight
	if m.settings.AcceptsPriority {
		load = &m.highPriority // requests of a high priority could go at least
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

// dispatchOne draws classes, each at most once, until a request of one is sent.
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

// drawClass draws a class that was not drawn yet, -1 if none is left. Every class has the same part of the
// time; that over the mean predicted time of its queued requests is its odds.
func (m *Module) drawClass(drawn []bool) int {
	odds := make([]float64, len(m.classes))
	for i, cls := range m.classes {
		if count, work := cls.queued(); count > 0 && !drawn[i] {
			odds[i] = cls.dispatchValue() * float64(count) / max(work, 1)
		}
	}
	return draw(m.rng, odds)
}

// queued is the number of a class's queued requests, and their predicted work.
func (c *class) queued() (count int, work float64) {
	for _, q := range c.queues {
		count += q.Len()
		work += q.totalWork
	}
	return count, work
}

// dispatchValue is what a class's best request earns, as a fraction of the priority weight: those that are
// late count for what they still earn.
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

// drawTenant draws a tenant's queue with odds of one over its queued requests' mean predicted time.
func (c *class) drawTenant(rng *rand.Rand) *queue {
	odds := make([]float64, len(c.queues))
	for i, q := range c.queues {
		if q.Len() > 0 {
			odds[i] = float64(q.Len()) / max(q.totalWork, 1)
		}
	}
	return c.queues[max(draw(rng, odds), 0)]
}

// dispatchFrom sends the first request of a queue if an engine may take it. If none may it gets another
// place: a request that waits for a retry budget, an engine of its dedup scope or memory must not block
// the rest.
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

// Less orders a queue as a race: each request draws an exponential time with its predicted work as the
// mean, and the shortest goes first. The odds of being next are then one over the predicted work, at the
// cost of a heap step. Requests that are late go last.
func (q *queue) Less(i, j int) bool {
	a, b := q.requests[i], q.requests[j]
	if a.late != b.late {
		return b.late
	}
	return a.virtualFinish < b.virtualFinish
}
