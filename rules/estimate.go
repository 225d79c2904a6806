package rules

// Estimates: how much work a request is, and how slow an engine is, learned from outcomes; the types are in
// api.go. Invariant: every outcome that says something of its class or engine counts, not of successes only,
// and an outcome that is no fault of the engine teaches nothing.

import "math"

const (
	// learningWindow is the span over which everything learned decays.
	learningWindow = 10 * Second
	// slowdownGain is the least weight of the newest outcome in an engine's slowdown.
	slowdownGain = 0.2
	// initialPredictionError is the deviation of predictions assumed before any outcome.
	initialPredictionError = 0.5
	// priorSamples is the weight, in samples, of what is assumed or reported by peers.
	priorSamples = 4
)

// newClass is the state of a class before any outcome.
func newClass(settings Class, tenants int) *class {
	cls := &class{Class: settings}
	cls.setSpan(learningWindow)
	cls.predictionError.assume(0, initialPredictionError, priorSamples)
	cls.memoryNeed.assume(1, initialPredictionError/2, priorSamples)
	for range max(1, tenants) {
		cls.queues = append(cls.queues, &queue{})
	}
	return cls
}

// predictedWork is the work expected of a request, all threads together.
func (m *Module) predictedWork(req *request) float64 {
	if req.HasEstimate {
		return float64(req.EstimatedWork) * req.class.costRatio.valueOr(1)
	}
	return req.class.requestWork.valueOr(float64(req.class.LatencyObjective))
}

// slowdown is how many times longer a request runs on an engine than alone. For a warming engine without an
// outcome it follows from its speed.
func (m *Module) slowdown(req *request, eng *engine) float64 {
	if learned := eng.slowdowns[m.priorityBand(req)]; learned.updatedAt != 0 || !m.warmingUp(eng) {
		return math.Exp(learned.log)
	}
	return 1 / m.speedFraction(eng)
}

// learn updates what is known of a class and an engine by an outcome. Time-outs and cancelled attempts count
// too: successes alone would make things look better than they are. An attempt that was sent before the list
// named the engine's present process tells nothing of that process, only what its class costs.
func (m *Module) learn(req *request, att *attempt, outcome Outcome) {
	if outcome.NotEngineFault {
		return
	}
	if att.ofFormerProcess() {
		m.learnCost(req, outcome)
		return
	}
	switch outcome.Status {
	case StatusSuperseded:
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
	m.learnShare(req, att, outcome, work)
}

// learnCost updates a class by the measured cost, and returns the work of the attempt: measured, or predicted
// where nothing was measured.
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

// learnSlowdown updates an engine's slowdown in one priority band: high priorities hardly notice others. The
// older the last outcome, the more the newest counts.
func (m *Module) learnSlowdown(req *request, eng *engine, work, latency float64) {
	learned := &eng.slowdowns[m.priorityBand(req)]
	alone := float64(req.runTime(work, 1) + 2*m.settings.Tick)
	newest := math.Log(max(latency/alone, 1))
	gain := max(slowdownGain, 1-math.Exp(-float64(m.now-learned.updatedAt)/float64(learningWindow)))
	learned.log += gain * (newest - learned.log)
	learned.updatedAt = m.now
}

// learnShare cuts the share for a slow attempt, or grows it for a good one.
func (m *Module) learnShare(req *request, att *attempt, outcome Outcome, work float64) {
	if att.cancelledOverdue || req.blocksOnDataLoad() {
		return
	}
	latency := float64(outcome.Latency)
	alone := float64(req.runTime(work, 1)) + float64(2*m.settings.Tick)
	queuedForMemory := outcome.Load[loadQueued] >= 1 // more memory is granted than there is
	switch {
	case queuedForMemory || latency > req.slowAfter(alone, work):
		m.countSlow(att, latency)
	case outcome.Status == StatusOK:
		m.growShare(work)
	}
}

// loadQueued is the field of a load report that counts the queries that wait for memory.
const loadQueued = "queue"

// apply gives what peers have learned of a class the weight of a few samples, beneath this gateway's own.
func (e PeerEstimate) apply(m *Module) {
	if e.Class < 0 || e.Class >= len(m.classes) || !(e.CostRatio > 0) || !(e.MeanWork > 0) {
		return
	}
	cls := m.classes[e.Class]
	estimated := priorSamples * e.MeanWork / e.CostRatio // the cost ratio is weighted by estimated work
	if cls.costRatio.weight < estimated {
		cls.costRatio.sum += estimated * e.CostRatio
		cls.costRatio.weight += estimated
	}
	if cls.requestWork.weight < priorSamples {
		cls.requestWork.sum += priorSamples * e.MeanWork
		cls.requestWork.weight += priorSamples
	}
}
