package rules

// Estimates: how much work a request takes and how slow an engine is, learned from outcomes. The types are
// in api.go. Invariant: each outcome that is evidence about its class or engine counts, not only successes,
// and an outcome that is no fault of the engine changes no estimate.

import "math"

const (
	// learningTimeConstant is the time constant with which everything learned decays.
	learningTimeConstant = 10 * Second
	// slowdownGain is the minimum weight of the newest outcome in the slowdown of an engine.
	slowdownGain = 0.2
	// initialPredictionError is the standard deviation of predictions that is assumed before any outcome.
	initialPredictionError = 0.5
	// priorSamples is the weight, in samples, of assumed values and of those reported by peers.
	priorSamples = 4
)

// newClass returns the state of a class before any outcome.
func newClass(settings Class, tenants int) *class {
	cls := &class{Class: settings}
	cls.setTimeConstant(learningTimeConstant)
	cls.predictionError.setPrior(0, initialPredictionError, priorSamples)
	cls.memoryNeed.setPrior(1, initialPredictionError/2, priorSamples)
	for range max(1, tenants) {
		cls.queues = append(cls.queues, &queue{})
	}
	return cls
}

// predictedWork returns the expected work of a request over all threads, in microseconds.
func (m *Module) predictedWork(req *request) float64 {
	if req.HasEstimate {
		return float64(req.EstimatedWork) * req.class.costRatio.valueOr(1)
	}
	return req.class.requestWork.valueOr(float64(req.class.LatencyObjective))
}

// slowdown returns how many times longer a request runs on an engine than alone. For a warming engine
// without an outcome it is derived from the speed of the engine.
func (m *Module) slowdown(req *request, eng *engine) float64 {
	if learned := eng.slowdowns[m.priorityBand(req)]; learned.updatedAt != 0 || !m.warmingUp(eng) {
		return math.Exp(learned.log)
	}
	return 1 / m.speedFraction(eng)
}

// learnFromOutcome updates the estimates of a class and an engine. Time-outs and cancelled attempts count
// too: estimates from successes alone would be too optimistic. An attempt that was sent before the list
// named the present process of the engine says nothing about that process, only about the cost of its
// class.
func (m *Module) learnFromOutcome(req *request, att *attempt, outcome Outcome) {
	if outcome.NotEngineFault {
		return
	}
	if att.ofFormerIncarnation() {
		m.learnCost(req, outcome)
		return
	}
	switch outcome.Status {
	case StatusNotExecuted:
		return
	case StatusError, StatusReset, StatusConnectFailed:
		m.recordFailure(att.engine)
		return
	case StatusRejected:
		m.recordRejection(req, att.engine)
		return
	case StatusTimeout:
		m.recordFailure(att.engine)
	case StatusCancelled:
		if att.cancelledOverdue {
			m.recordFailure(att.engine)
		}
	case StatusOK:
		m.recordSuccess(req.class, att.engine)
	}
	work := m.learnCost(req, outcome)
	m.learnSlowdown(req, att.engine, work, float64(outcome.Latency))
	m.adjustShare(req, att, outcome, work)
}

// learnCost updates the estimates of a class with the measured cost, and returns the work of the attempt:
// measured, or predicted if nothing was measured.
func (m *Module) learnCost(req *request, outcome Outcome) float64 {
	predicted := m.predictedWork(req)
	if outcome.Status != StatusOK || outcome.MeasuredWork <= 0 {
		return predicted
	}
	cls, work := req.class, float64(outcome.MeasuredWork)
	cls.predictionError.add(m.now, math.Log(work/max(predicted, 1)))
	cls.measuredWork.add(m.now, work, 1)
	if req.HasEstimate {
		cls.costRatio.add(m.now, work, float64(req.EstimatedWork))
	}
	if req.EstimatedMemoryMB > 0 && outcome.MeasuredMemoryMB > 0 {
		cls.memoryNeed.add(m.now, outcome.MeasuredMemoryMB/req.EstimatedMemoryMB)
	}
	return work
}

// learnSlowdown updates the slowdown of an engine in the priority band of the request: high priorities
// hardly notice other load. The weight of the newest outcome grows with the time since the one before.
func (m *Module) learnSlowdown(req *request, eng *engine, work, latency float64) {
	learned := &eng.slowdowns[m.priorityBand(req)]
	runTimeAlone := float64(req.runTime(work, 1) + 2*m.settings.Tick)
	newest := math.Log(max(latency/runTimeAlone, 1))
	gain := max(slowdownGain, 1-math.Exp(-float64(m.now-learned.updatedAt)/float64(learningTimeConstant)))
	learned.log += gain * (newest - learned.log)
	learned.updatedAt = m.now
}

// adjustShare cuts the share after a slow attempt, and grows it after a successful one.
func (m *Module) adjustShare(req *request, att *attempt, outcome Outcome, work float64) {
	if att.cancelledOverdue || req.blocksOnDataLoad() {
		return
	}
	latency := float64(outcome.Latency)
	runTimeAlone := float64(req.runTime(work, 1)) + float64(2*m.settings.Tick)
	queuedForMemory := outcome.Load[loadQueued] >= 1 // memory of the engine is overcommitted
	switch {
	case queuedForMemory || latency > req.slowAfter(runTimeAlone, work):
		m.penalizeSlowAttempt(att, latency)
	case outcome.Status == StatusOK:
		m.growShare(work)
	}
}

// loadQueued is the field of a load report with the number of queries that wait for memory.
const loadQueued = "queue"

// apply gives the estimates of peers for a class the weight of a few samples, unless this gateway has as
// many of its own.
func (e PeerEstimate) apply(m *Module) {
	if e.Class < 0 || e.Class >= len(m.classes) || !(e.CostRatio > 0) || !(e.MeanWork > 0) {
		return
	}
	cls := m.classes[e.Class]
	estimated := priorSamples * e.MeanWork / e.CostRatio // the weight of a cost ratio is estimated work
	if cls.costRatio.weight < estimated {
		cls.costRatio.sum += estimated * e.CostRatio
		cls.costRatio.weight += estimated
	}
	if cls.requestWork.weight < priorSamples {
		cls.requestWork.sum += priorSamples * e.MeanWork
		cls.requestWork.weight += priorSamples
	}
}
