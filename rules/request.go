package rules

import "slices"

// State of classes, requests and attempts. This file makes no decisions.

// class is the state of a class.
type class struct {
	Class
	queues          []*queue          // by tenant
	requestWork     decayingMean      // predicted work of a request
	measuredWork    decayingMean      // measured work of a request
	costRatio       decayingMean      // measured over estimated work
	memoryNeed      decayingDeviation // measured over estimated memory
	predictionError decayingDeviation // logarithm of measured over predicted work
}

// setTimeConstant sets the time constant of all learned values of a class.
func (c *class) setTimeConstant(timeConstant Time) {
	for _, mean := range []*decayingMean{&c.costRatio, &c.requestWork, &c.measuredWork,
		&c.memoryNeed.mean, &c.memoryNeed.meanSquare, &c.predictionError.mean, &c.predictionError.meanSquare} {
		mean.timeConstant = timeConstant
	}
}

// threadCount returns the number of threads that a request of the class uses, at least 1.
func (c *class) threadCount() float64 { return float64(max(1, c.Threads)) }

// request is the state of an open request.
type request struct {
	Request
	class     *class
	arrivedAt Time // at the gateway: QueuedFor before its Arrival event
	attempts  []attempt
	inFlight  int // number of attempts without an outcome yet
	ended     bool
	streaming bool
	options   SetAttemptOptions // as last sent to the host
	keyQueue  *keyQueue         // nil: not ordered
	reviewAt  Time              // earliest time of a review that is scheduled; past: none is

	late              bool // it can no longer meet its objective
	queue             *queue
	heapIndex         int     // position in the queue; -1: not queued
	virtualFinish     float64 // determines its place in the queue
	queuedWork        float64 // its part of totalWork of the queue
	hadOverdueAttempt bool    // an attempt was cancelled as overdue
}

// attempt is the state of an attempt.
type attempt struct {
	engine           *engine
	incarnation      int // of the engine when the attempt started
	zone             int
	cell             int
	startedAt        Time
	threads          float64
	memoryMB         float64
	work             float64 // predicted engine time
	expectedTime     float64
	highPriority     bool // it has a high priority on the engine
	reportedToPeers  bool
	done             bool
	status           Status  // valid if done
	penalizedTime    float64 // part of its run time for which the share was already cut; 0: not slow so far
	cancelledOverdue bool
}

// startAttempt adds an attempt to its request and to the loads of its engine and the gateway.
func (m *Module) startAttempt(req *request, att attempt) {
	req.attempts = append(req.attempts, att)
	req.inFlight++
	eng := att.engine
	eng.add(&att)
	m.inFlightLoad.add(&att)
	if att.highPriority {
		eng.highPriorityLoad.add(&att)
		m.highPriorityLoad.add(&att)
	}
	if att.reportedToPeers {
		eng.reportedLoad.add(&att)
	}
	if req.class.IsDataLoad {
		eng.dataLoads[req.DataSet]++
	}
}

// endAttempt marks an attempt as done, and removes it from the loads of its engine and the gateway.
func (m *Module) endAttempt(req *request, att *attempt, status Status) {
	att.done, att.status = true, status
	req.inFlight--
	eng := att.engine
	eng.remove(att)
	m.inFlightLoad.remove(att)
	if att.highPriority {
		eng.highPriorityLoad.remove(att)
		m.highPriorityLoad.remove(att)
	}
	if att.reportedToPeers {
		eng.reportedLoad.remove(att)
	}
	if req.class.IsDataLoad {
		if eng.dataLoads[req.DataSet]--; eng.dataLoads[req.DataSet] <= 0 {
			delete(eng.dataLoads, req.DataSet)
		}
	}
}

// ofFormerIncarnation reports whether the list has named another process of the engine since the attempt
// started.
func (a *attempt) ofFormerIncarnation() bool { return a.incarnation != a.engine.incarnation }

// runTime returns how long the given work of the request takes at a slowdown.
func (r *request) runTime(work, slowdown float64) Time {
	return Time(work / r.class.threadCount() * slowdown)
}

// triedOn reports whether the request has had an attempt on an engine.
func (r *request) triedOn(eng *engine) bool {
	return slices.ContainsFunc(r.attempts, func(att attempt) bool { return att.engine == eng })
}

// triedZones returns the zones in which the request has had an attempt.
func (r *request) triedZones() (zones []int) {
	for i := range r.attempts {
		zones = append(zones, r.attempts[i].zone)
	}
	return zones
}

// mayHaveExecuted reports whether any attempt may have been executed, or may be running.
func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if att := &r.attempts[i]; !att.done || !att.status.NeverExecuted() {
			return true
		}
	}
	return false
}

// scheduleReview sets a timer to review the request, unless the time is past or not before the deadline, or an earlier
// review is scheduled, which schedules the next one: otherwise reviews would multiply while estimates change.
func (m *Module) scheduleReview(req *request, at Time) {
	if at <= m.now || at >= req.Deadline || req.reviewAt > m.now && req.reviewAt <= at {
		return
	}
	req.reviewAt = at
	m.setTimer(at, timerRequest, string(req.ID))
}

// handleStreamOpened exempts a request from reviews: its response is being streamed to the client.
func (m *Module) handleStreamOpened(id RequestID) {
	if req := m.requests[id]; req != nil {
		req.streaming = true
	}
}

// handleClientGone ends a request whose client has disconnected.
func (m *Module) handleClientGone(id RequestID) {
	if req := m.requests[id]; req != nil && !req.ended {
		m.endRequest(req)
	}
}

// removeIfDone frees a request that has ended and has no attempt in flight.
func (m *Module) removeIfDone(req *request) {
	if !req.ended || req.inFlight > 0 {
		return
	}
	delete(m.requests, req.ID)
	if req.keyQueue != nil {
		m.leaveKeyQueue(req)
	}
}
