package rules

// Slow and overdue attempts: when an attempt counts as slow, and when it is cancelled to be retried
// elsewhere; the types are in api.go. Invariant: only attempts of idempotent requests are cancelled, and
// only while a retry, or the end of the request, can follow.

import "math"

const (
	// slowFactor is how many times its run time alone an attempt takes to count as slow: by then more runs
	// on the engine than it runs well.
	slowFactor = 1.35
	// slowObjectiveFraction is the fraction of the latency objective that a slow attempt takes at least.
	slowObjectiveFraction = 0.1
	// overdueRunTimeFactor is how many times its expected time, at predictions overdueDeviations standard
	// deviations off, an attempt takes to be overdue.
	overdueRunTimeFactor = 1.2
	overdueDeviations    = 2
	// overdueObjectiveFraction is the fraction of the latency objective that an overdue attempt takes at
	// least.
	overdueObjectiveFraction = 0.4
)

// slowAfter is the latency at which an attempt of that work counts as slow, by its run time alone.
func (r *request) slowAfter(alone, work float64) float64 {
	return max(slowFactor*alone, slowObjectiveFraction*float64(r.latencyObjective(work)))
}

// slowAt is when an attempt in flight counts as slow: later than at its end, by a standard deviation of the
// predictions.
func (m *Module) slowAt(req *request, att *attempt) Time {
	work := m.predictedWork(req) * math.Exp(req.class.predictionError.deviation())
	return att.startedAt + Time(req.slowAfter(float64(req.runTime(work, 1)), work)) + 1
}

// overdueAfter is for how long an attempt runs before it is overdue.
func (m *Module) overdueAfter(req *request, att *attempt) Time {
	margin := math.Exp(overdueDeviations * req.class.predictionError.deviation())
	objective := float64(req.latencyObjective(m.predictedWork(req)))
	return Time(max(overdueRunTimeFactor*att.expectedTime*margin, overdueObjectiveFraction*objective))
}

// checkSlow counts attempts in flight that are slow against the share.
func (m *Module) checkSlow(req *request) {
	if req.blocksOnDataLoad() {
		return
	}
	for i := range req.attempts {
		att := &req.attempts[i]
		if att.done {
			continue
		}
		if at := m.slowAt(req, att); m.now >= at && att.countedSlow == 0 {
			m.countSlow(att, float64(m.now-att.startedAt))
		} else {
			m.reviewAt(req, at)
		}
	}
}

// checkOverdue cancels an attempt that takes far longer than such attempts do, to retry it elsewhere: the
// query's plan is bad, or the engine is stalled or unreachable. A second one, or one that no retry can
// follow, has half as long again, and in the latter case the request ends.
func (m *Module) checkOverdue(req *request) {
	last := len(req.attempts) - 1
	att := &req.attempts[last]
	if req.inFlight != 1 || att.done || att.cancelledOverdue || !m.mayCancelOverdue(req) {
		return
	}
	after := m.overdueAfter(req, att)
	canRetry := m.canRetryInTime(req, att)
	if !canRetry || req.hadOverdue {
		after += after / 2
	}
	if m.now < att.startedAt+after {
		m.reviewAt(req, att.startedAt+after)
		return
	}
	att.cancelledOverdue = true
	if !canRetry {
		m.finish(req, ReasonOverdue)
		return
	}
	req.hadOverdue = true
	m.emit(Cancel{ID: req.ID, Attempt: last})
}

func (m *Module) mayCancelOverdue(req *request) bool {
	return req.class.Idempotency == Idempotent && m.settings.Limits.Cancel
}

// canRetryInTime reports whether a retry that takes as long as expected could end by the deadline.
func (m *Module) canRetryInTime(req *request, att *attempt) bool {
	return m.attemptsLeft(req) && m.retryBudgetLeft() && m.now+Time(att.expectedTime) < req.Deadline
}
