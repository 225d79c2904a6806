package rules

// Outlier ejection: which engines are kept from traffic because they fail, reject or are slow; the types are
// in api.go. Invariant: an ejected engine gets at most one half-open probe at a time, of a short idempotent
// query, and no engine stays ejected for good: probes or the end of its backoff bring it back.

import "math"

const (
	// failureRateGain is the weight of the newest outcome in an engine's failure rate.
	failureRateGain = 0.25
	// ejectionThreshold is the failure rate from which an engine is ejected: two failures in a row.
	ejectionThreshold = 0.3
	// panicThreshold is the fraction of the engines above which ejection is suspended: where nearly all
	// fail the cause is shared, and leaving engines out would only load the others.
	panicThreshold = 0.8
	// minBackoff and maxBackoff bound the backoff from an engine, which doubles each time.
	minBackoff = 500 * Millisecond
	maxBackoff = 4 * Second
)

// routable reports whether an engine may get a request as far as its health goes. One that is ejected, or
// on which the request would be late, gets half-open probes only.
func (m *Module) routable(req *request, eng *engine) bool {
	if m.inTime(req, eng) && (!m.ejectedFor(req.class, eng) || m.inPanicMode(req.class)) {
		return true
	}
	return m.isHalfOpenProbe(req, eng)
}

// inTime reports whether a request would meet its objective on an engine, or is late anyway.
func (m *Module) inTime(req *request, eng *engine) bool {
	if req.late {
		return true
	}
	work := m.predictedWork(req)
	return m.now+req.runTime(work, m.slowdown(req, eng)) <= req.arrivedAt+req.latencyObjective(work)
}

// isHalfOpenProbe reports whether a request may probe an engine: a short one that may be retried freely,
// alone there, once the backoff is over.
func (m *Module) isHalfOpenProbe(req *request, eng *engine) bool {
	return req.class.Idempotency == Idempotent &&
		m.priority(req) == highPriority &&
		eng.attempts == 0 &&
		m.now >= max(eng.ejection.until, eng.rejections[req.class].until)
}

// ejected reports whether an engine fails too often, or is in the backoff after that.
func (m *Module) ejected(eng *engine) bool {
	return eng.failureRate >= ejectionThreshold || m.now < eng.ejection.until
}

// ejectedFor reports whether an engine is ejected, or in the backoff after it rejected a class.
func (m *Module) ejectedFor(cls *class, eng *engine) bool {
	return m.ejected(eng) || m.now < eng.rejections[cls].until
}

// inPanicMode reports whether so many engines are ejected for a class that ejection is suspended. A partition
// between zones leaves a part of the fleet, even a small one, which is better than none.
func (m *Module) inPanicMode(cls *class) bool {
	return float64(m.countEngines(cls, m.ejectedFor)) > panicThreshold*float64(len(m.engines))
}

// next is the backoff that follows another: twice as long, within bounds.
func (b backoff) next(now Time) backoff {
	duration := min(max(2*b.duration, minBackoff), maxBackoff)
	return backoff{duration, now + duration}
}

// recordFailure counts a failed attempt, and ejects an engine that fails too often. An attempt cancelled as
// overdue counts too: an engine behind a partition, or one that grows slower, gives no other sign.
func (m *Module) recordFailure(eng *engine) {
	eng.failureRate += failureRateGain * (1 - eng.failureRate)
	if eng.failureRate >= ejectionThreshold {
		eng.ejection = eng.ejection.next(m.now)
	}
}

// recordRejection puts a class into backoff from an engine that rejected it, and cuts the share by as much as
// the engine is slow: the engine may have reached a limit of its own that says nothing of its load.
func (m *Module) recordRejection(req *request, eng *engine) {
	slowdown := eng.slowdowns[m.priorityBand(req)].log
	m.cutShare(maxShareCut * min(1, slowdown/math.Log(slowFactor)))
	eng.rejections[req.class] = eng.rejections[req.class].next(m.now)
}

func (m *Module) recordSuccess(cls *class, eng *engine) {
	eng.failureRate -= failureRateGain * eng.failureRate
	eng.ejection.duration = 0
	delete(eng.rejections, cls)
}

// handleProbeResult brings an engine that answers back. Without an answer it counts as failed only where
// other gateways suspect it too: the probe of one gateway may fail for its own reasons.
func (m *Module) handleProbeResult(result ProbeResult) {
	eng := m.engineByID[result.Engine]
	switch {
	case eng == nil:
	case result.Status == StatusOK:
		eng.failureRate, eng.ejection = eng.failureRate/2, backoff{}
	case result.Suspected:
		m.recordFailure(eng)
	}
}
