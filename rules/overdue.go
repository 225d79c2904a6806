package rules

// Slow and overdue attempts: when an attempt counts as slow, and when it is cancelled to be retried on
// another engine. The types are in api.go. Invariant: only attempts of idempotent requests are cancelled,
// and only if a retry, or the end of the request, can follow.

import "math"

const (
	// slowFactor is the multiple of its run time alone from which an attempt counts as slow: by then the
	// engine runs more queries than it can run well.
	slowFactor = 1.35
	// slowObjectiveFraction is the fraction of the latency objective below which no attempt counts as slow.
	slowObjectiveFraction = 0.1
	// overdueRunTimeFactor and overdueDeviations define when an attempt is overdue: after that multiple of
	// the time expected for work that exceeds the prediction by that many standard deviations.
	overdueRunTimeFactor = 1.2
	overdueDeviations    = 2
	// overdueObjectiveFraction is the fraction of the latency objective below which no attempt is overdue.
	overdueObjectiveFraction = 0.4
)

// slowAfter returns the latency above which an attempt with that work counts as slow. Alone on the engine,
// it would take runTimeAlone.
func (r *request) slowAfter(runTimeAlone, work float64) float64 {
	return max(slowFactor*runTimeAlone, slowObjectiveFraction*float64(r.latencyObjective(work)))
}

// slowAt returns when an attempt in flight counts as slow. Until its end its work is only predicted, so
// this allows for one standard deviation of the predictions.
func (m *Module) slowAt(req *request, att *attempt) Time {
	work := m.predictedWork(req) * math.Exp(req.class.predictionError.deviation())
	return att.startedAt + Time(req.slowAfter(float64(req.runTime(work, 1)), work)) + 1
}

// overdueAfter returns how long an attempt may run before it is overdue.
func (m *Module) overdueAfter(req *request, att *attempt) Time {
	margin := math.Exp(overdueDeviations * req.class.predictionError.deviation())
	objective := float64(req.latencyObjective(m.predictedWork(req)))
	return Time(max(overdueRunTimeFactor*att.expectedTime*margin, overdueObjectiveFraction*objective))
}

// checkSlow penalizes slow attempts in flight, and schedules a review of the others.
func (m *Module) checkSlow(req *request) {
	if req.blocksOnDataLoad() {
		return
	}
	for i := range req.attempts {
		att := &req.attempts[i]
		if att.done {
			continue
		}
		if at := m.slowAt(req, att); m.now >= at && att.penalizedTime == 0 {
			m.penalizeSlowAttempt(att, float64(m.now-att.startedAt))
		} else {
			m.scheduleReview(req, at)
		}
	}
}

// checkOverdue cancels an attempt that takes far longer than expected, to retry it on another engine: the
// plan of the query is bad, or the engine is stalled or unreachable. The second overdue attempt of a
// request, and one that no retry can follow, may take 1.5 times as long. If no retry can follow, the
// request ends.
func (m *Module) checkOverdue(req *request) {
	last := len(req.attempts) - 1
	att := &req.attempts[last]
	if req.inFlight != 1 || att.done || att.cancelledOverdue || !m.mayCancelOverdue(req) {
		return
	}
	after := m.overdueAfter(req, att)
	canRetry := m.canRetryInTime(req, att)
	if !canRetry || req.hadOverdueAttempt {
		after += after / 2
	}
	if m.now < att.startedAt+after {
		m.scheduleReview(req, att.startedAt+after)
		return
	}
	att.cancelledOverdue = true
	if !canRetry {
		m.rejectOrFail(req, ReasonOverdue)
		return
	}
	req.hadOverdueAttempt = true
	m.emit(Cancel{ID: req.ID, Attempt: last})
}

// mayCancelOverdue reports whether attempts of a request may be cancelled when they are overdue.
func (m *Module) mayCancelOverdue(req *request) bool {
	return req.class.Idempotency == Idempotent && m.settings.Limits.Cancel
}

// canRetryInTime reports whether a retry is allowed and, if it takes the expected time, ends by the
// deadline.
func (m *Module) canRetryInTime(req *request, att *attempt) bool {
	return m.attemptsLeft(req) && m.retryBudgetLeft() && m.now+Time(att.expectedTime) < req.Deadline
}
