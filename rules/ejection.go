package rules

// Outlier ejection: which engines get no requests because they fail, reject or are slow. The types are in
// api.go. Invariant: an ejected engine gets at most one half-open probe at a time, a short idempotent
// query, and no engine stays ejected forever: probes or the end of its backoff readmit it.

import "math"

const (
	// failureRateGain is the weight of the newest outcome in the failure rate of an engine.
	failureRateGain = 0.25
	// ejectionThreshold is the failure rate from which an engine is ejected: two failures in a row.
	ejectionThreshold = 0.3
	// panicThreshold is the fraction of ejected engines above which ejection is suspended: if nearly all
	// fail, they have a common cause, and excluding engines would only load the others.
	panicThreshold = 0.8
	// minBackoff and maxBackoff bound the backoff from an engine, which doubles with each ejection or
	// rejection.
	minBackoff = 500 * Millisecond
	maxBackoff = 4 * Second
)

// routable reports whether an engine's health permits sending it a request. An engine that is ejected, or
// on which the request would be late, gets half-open probes only.
func (m *Module) routable(req *request, eng *engine) bool {
	if m.meetsObjective(req, eng) && (!m.ejectedFor(req.class, eng) || m.inPanicMode(req.class)) {
		return true
	}
	return m.isHalfOpenProbe(req, eng)
}

// meetsObjective reports whether a request would meet its objective on an engine, or is late anyway.
func (m *Module) meetsObjective(req *request, eng *engine) bool {
	if req.late {
		return true
	}
	work := m.predictedWork(req)
	return m.now+req.runTime(work, m.slowdown(req, eng)) <= req.arrivedAt+req.latencyObjective(work)
}

// isHalfOpenProbe reports whether a request may be sent as a half-open probe of an engine: a short request
// that may be retried freely, the only one of this gateway on the engine, after the end of the backoff.
func (m *Module) isHalfOpenProbe(req *request, eng *engine) bool {
	return req.class.Idempotency == Idempotent &&
		m.priority(req) == highPriority &&
		eng.attempts == 0 &&
		m.now >= max(eng.ejection.until, eng.rejections[req.class].until)
}

// ejected reports whether an engine fails too often, or is still in the backoff that follows.
func (m *Module) ejected(eng *engine) bool {
	return eng.failureRate >= ejectionThreshold || m.now < eng.ejection.until
}

// ejectedFor reports whether an engine is ejected, or in the backoff after it rejected a request of the
// class.
func (m *Module) ejectedFor(cls *class, eng *engine) bool {
	return m.ejected(eng) || m.now < eng.rejections[cls].until
}

// inPanicMode reports whether so many engines are ejected for a class that ejection is suspended. The
// threshold is high because a partition between zones can leave a small part of the fleet reachable, which
// is better than none.
func (m *Module) inPanicMode(cls *class) bool {
	return float64(m.countEngines(cls, m.ejectedFor)) > panicThreshold*float64(len(m.engines))
}

// next returns the backoff that follows b: twice as long, within bounds.
func (b backoff) next(now Time) backoff {
	duration := min(max(2*b.duration, minBackoff), maxBackoff)
	return backoff{duration, now + duration}
}

// recordFailure counts a failed attempt, and ejects an engine that fails too often. An attempt cancelled as
// overdue counts as failed: an engine behind a partition, or one that becomes slower, gives no other sign.
func (m *Module) recordFailure(eng *engine) {
	eng.failureRate += failureRateGain * (1 - eng.failureRate)
	if eng.failureRate >= ejectionThreshold {
		eng.ejection = eng.ejection.next(m.now)
	}
}

// recordRejection starts a backoff for a class from an engine that rejected it, and cuts the share in
// proportion to the slowdown of the engine: one that is not slow may have reached a limit of its own, which
// says nothing about its load.
func (m *Module) recordRejection(req *request, eng *engine) {
	slowdown := eng.slowdowns[m.priorityBand(req)].log
	m.cutShare(maxShareCut * min(1, slowdown/math.Log(slowFactor)))
	eng.rejections[req.class] = eng.rejections[req.class].next(m.now)
}

// recordSuccess lowers the failure rate of an engine, and ends the backoff of a class from it.
func (m *Module) recordSuccess(cls *class, eng *engine) {
	eng.failureRate -= failureRateGain * eng.failureRate
	eng.ejection.duration = 0
	delete(eng.rejections, cls)
}

// handleProbeResult readmits an engine that answers. A failed probe counts as a failure only if other
// gateways suspect the engine too: the probe of one gateway may fail for reasons of its own.
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
