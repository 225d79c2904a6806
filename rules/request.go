package rules

import "slices"

// The state kept of each class, request and attempt. It decides nothing.

type class struct {
	Class
	queues          []*queue     // by tenant
	requestWork     decayingMean // predicted
	measuredWork    decayingMean
	costRatio       decayingMean      // measured over estimated work
	memoryNeed      decayingDeviation // measured over estimated memory
	predictionError decayingDeviation // logarithm of measured over predicted work
}

// setSpan sets the span over which all learned figures of a class decay.
func (c *class) setSpan(span Time) {
	for _, mean := range []*decayingMean{&c.costRatio, &c.requestWork, &c.measuredWork, &c.memoryNeed.mean, &c.memoryNeed.square,
		&c.predictionError.mean, &c.predictionError.square} {
		mean.span = span
	}
}

// threadCount is the number of threads that a request of the class runs on.
func (c *class) threadCount() float64 { return float64(max(1, c.Threads)) }

type request struct {
	Request
	class     *class
	arrivedAt Time
	attempts  []attempt
	inFlight  int // attempts without an outcome
	ended     bool
	streaming bool
	options   SetAttemptOptions // as last set
	keyQueue  *keyQueue         // nil: not ordered

	late          bool // it can't meet its objective any more
	queue         *queue
	heapIndex     int     // in the queue; -1: not queued
	virtualFinish float64 // its place in the queue
	queuedWork    float64 // predicted work while it is queued
	hadOverdue    bool    // an attempt was cancelled as overdue
}

type attempt struct {
	engine           *engine
	process          int // of the engine, by the list as it was then
	zone             int
	cell             int
	startedAt        Time
	threads          float64
	memoryMB         float64
	work             float64 // predicted engine time
	expectedTime     float64
	highPriority     bool // it has a high priority there
	reportedToPeers  bool
	done             bool
	status           Status  // once it is done
	countedSlow      float64 // the time of it that has already counted as slow
	cancelledOverdue bool
}

// startAttempt adds an attempt to its request, its engine and the totals.
func (m *Module) startAttempt(req *request, att attempt) {
	req.attempts = append(req.attempts, att)
	req.inFlight++
	eng := att.engine
	eng.add(&att)
	m.inFlight.add(&att)
	if att.highPriority {
		eng.highPriority.add(&att)
		m.highPriority.add(&att)
	}
	if att.reportedToPeers {
		eng.reportedToPeers.add(&att)
	}
	if req.class.IsDataLoad {
		eng.dataLoads[req.DataSet]++
	}
}

// endAttempt takes an attempt off its engine and the totals.
func (m *Module) endAttempt(req *request, att *attempt, status Status) {
	att.done, att.status = true, status
	req.inFlight--
	eng := att.engine
	eng.remove(att)
	m.inFlight.remove(att)
	if att.highPriority {
		eng.highPriority.remove(att)
		m.highPriority.remove(att)
	}
	if att.reportedToPeers {
		eng.reportedToPeers.remove(att)
	}
	if req.class.IsDataLoad {
		if eng.dataLoads[req.DataSet]--; eng.dataLoads[req.DataSet] <= 0 {
			delete(eng.dataLoads, req.DataSet)
		}
	}
}

// ofFormerProcess reports whether the engine's process is another one by now, as far as the list tells.
func (a *attempt) ofFormerProcess() bool { return a.process != a.engine.process }

// runTime is how long work takes at a slowdown.
func (r *request) runTime(work, slowdown float64) Time {
	return Time(work / r.class.threadCount() * slowdown)
}

// triedOn reports whether the request had an attempt on an engine.
func (r *request) triedOn(eng *engine) bool {
	return slices.ContainsFunc(r.attempts, func(att attempt) bool { return att.engine == eng })
}

// triedZones are the zones that had an attempt of the request.
func (r *request) triedZones() (zones []int) {
	for i := range r.attempts {
		zones = append(zones, r.attempts[i].zone)
	}
	return zones
}

func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if att := &r.attempts[i]; !att.done || !att.status.NeverExecuted() {
			return true
		}
	}
	return false
}

// reviewAt sets a timer to review the request, unless that is past or after its deadline.
func (m *Module) reviewAt(req *request, at Time) {
	if at > m.now && at < req.Deadline {
		m.setTimer(at, timerRequest, string(req.ID))
	}
}

func (m *Module) handleStreamOpened(id RequestID) {
	if req := m.requests[id]; req != nil {
		req.streaming = true
	}
}

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
