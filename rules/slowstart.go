package rules

// Slow start: how much work a gateway sends to an engine that warms up. The types are in api.go. Invariant:
// all gateways together send such an engine no more within the overload window than the settings allow,
// whatever part of the traffic each has, whenever each started and however late it is notified of the
// engine's start.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slowStartSafety is the fraction of its quota that a gateway uses. The rest covers the variance of the
	// work: with a budget of 100 queries, two standard deviations are a fifth of it.
	slowStartSafety = 0.6
	// slowStartDeviations is the number of standard deviations by which the budget must exceed the work
	// that all gateways together are expected to send by sampling.
	slowStartDeviations = 5.5
	// minSpeedFraction keeps divisions by the speed finite if the settings give no initial speed.
	minSpeedFraction = 1e-3
	// samplingStep and samplingPhaseStep are the steps of the R2 low-discrepancy sequence: the inverse of
	// the plastic number, and its square.
	samplingStep, samplingPhaseStep = 0.7548776662466927, 0.5698402909980532
)

// slowStartBudgetLeft reports whether the slow-start budget of an engine allows sending it a request. Each
// gateway keeps to its quota, an even share of the budget, whatever part of the traffic it has. Work that
// peers report is checked against the whole budget. A gateway that has just started has no record of what
// it sent before, and waits for one window. With hundreds of gateways a quota is smaller than a heavy query,
// which would never run there. So in each window a sample of the gateways may exceed the quota with one
// such query; the sample is so small that together they use a safe part of the budget. A query of over
// slowStartSafety/2 of the whole budget is never sent this way, which keeps three gateways within the
// budget even if all of them are sampled.
func (m *Module) slowStartBudgetLeft(req *request, eng *engine) bool {
	c := &m.settings.Constraints
	if !m.warmingUp(eng) || c.OverloadWindow <= 0 || c.OverloadFactor <= 0 { // no budget applies
		return true
	}
	work := m.requiredSlowStartBudget(req)
	spent := m.slowStartUsed(eng)
	quota := m.slowStartQuota(eng)
	budget := quota * float64(m.settings.Gateways)
	if m.now < m.startedAt+c.OverloadWindow {
		return false
	}
	if eng.peerSlowStartWork > 0 && eng.peerSlowStartWork+spent+work > budget {
		return false
	}
	return m.withinSlowStartQuota(req, eng) ||
		spent+work <= slowStartSafety/2*budget &&
			spent+m.quasiRandom(eng)*work <= m.sampledQuota(eng, quota, work)
}

// requiredSlowStartBudget returns the work for which the budget must have room before a request is sent:
// its slowStartCharge, or the mean of its class if that is more, since a client's estimate may be wrong.
func (m *Module) requiredSlowStartBudget(req *request) float64 {
	return max(req.class.requestWork.valueOr(math.Inf(1)), m.slowStartCharge(req))
}

// slowStartCharge returns the work for which a request counts against the budget once it is sent: its
// predicted work, since a few heavy requests are most of the work. Without an estimate of the client the
// prediction is a guess that no outcome corrects, so the measured mean of the class counts if it is more.
func (m *Module) slowStartCharge(req *request) float64 {
	if req.HasEstimate {
		return m.predictedWork(req)
	}
	return max(m.predictedWork(req), req.class.measuredWork.valueOr(0))
}

// chargeSlowStartBudget records work that is sent to an engine, whether or not it is known to warm up: it
// may have restarted already, and the list reports that only later. Then the new process has received the
// work. Whether the old process received it instead cannot be derived from the start time in the list,
// which is of another machine's clock, so the work always counts.
func (m *Module) chargeSlowStartBudget(eng *engine, work float64) {
	c := &m.settings.Constraints
	if c.OverloadWindow <= 0 || c.OverloadFactor <= 0 { // the settings define no budget
		return
	}
	tick := max(m.settings.Tick, 1)
	endOfTick := (m.now + tick - 1) / tick * tick
	eng.recordSend(m.slowStartWindowStart(), endOfTick, work)
}

// chargeForPredecessors charges an engine that is listed at an address for the work that was sent to other
// engines at that address. They have gone, and the list reports that only later: the new process may have
// received the work, as in chargeSlowStartBudget.
func (m *Module) chargeForPredecessors(eng *engine, host uint64) {
	if host == 0 || m.now == m.startedAt { // unknown, or nothing was sent yet
		return
	}
	for _, other := range m.engines {
		if other != eng && other.Host == host {
			eng.recentSends = append(eng.recentSends, other.recentSends...)
		}
	}
	slices.SortFunc(eng.recentSends, func(a, b sentWork) int { return cmp.Compare(a.tickEnd, b.tickEnd) })
}

// slowStartWindowStart returns the start of the overload window, minus a tick that allows for delays.
func (m *Module) slowStartWindowStart() Time {
	return m.now - m.settings.Constraints.OverloadWindow - m.settings.Tick
}

// slowStartUsed returns the work that this gateway has sent to an engine within the overload window.
func (m *Module) slowStartUsed(eng *engine) float64 { return eng.sentSince(m.slowStartWindowStart()) }

// slowStartQuota returns this gateway's even share of the slow-start budget, which is the work that all
// gateways together may send to a warming engine within the overload window.
func (m *Module) slowStartQuota(eng *engine) float64 {
	c := &m.settings.Constraints
	return c.OverloadFactor * m.speedFraction(eng) * m.kindOf(eng).Cores * float64(c.OverloadWindow) /
		float64(m.settings.Gateways)
}

// withinSlowStartQuota reports whether a request fits the part of the quota that may be used without
// sampling.
func (m *Module) withinSlowStartQuota(req *request, eng *engine) bool {
	spent := m.requiredSlowStartBudget(req) + m.slowStartUsed(eng)
	return spent <= slowStartSafety*m.slowStartQuota(eng)
}

// sampledQuota returns the part of a quota that may be used by sampling. It grows from zero during the
// first overload window of an engine.
func (m *Module) sampledQuota(eng *engine, quota, work float64) float64 {
	age := float64(m.now-eng.StartedAt) / float64(m.settings.Constraints.OverloadWindow)
	budget := quota * float64(m.settings.Gateways)
	return quota * sampledFraction(budget/work) * min(1, age)
}

// sampledFraction returns the fraction of a budget for that many queries that all gateways together may be
// expected to send by sampling, such that the budget is slowStartDeviations standard deviations higher.
func sampledFraction(queries float64) float64 {
	root := math.Sqrt(queries+slowStartDeviations*slowStartDeviations/4) - slowStartDeviations/2
	return min(root*root/queries, slowStartSafety)
}

// quasiRandom returns a number in [0, 1) that is constant for an overload window and then changes. The
// windows of the gateways start at different times. Over all gateways, the numbers for an engine and the
// starts of the windows are evenly distributed (R2 sequence), so that hardly more gateways are sampled in
// any window than planned.
func (m *Module) quasiRandom(eng *engine) float64 {
	window, index := m.settings.Constraints.OverloadWindow, float64(m.settings.GatewayIndex)
	phase := fractionalPart(index*samplingPhaseStep + hashUnit(0, eng.ID))
	round := int((m.now - eng.StartedAt + Time(phase*float64(window))) / window)
	return fractionalPart(index*samplingStep + hashUnit(1+round, eng.ID))
}

// sampledWarmingEngine returns the least busy of the warming engines to which this gateway may send the
// request only because it is sampled. It returns nil if there is none.
func (m *Module) sampledWarmingEngine(req *request) (best *engine) {
	for _, eng := range m.engines {
		if !m.warmingUp(eng) || m.withinSlowStartQuota(req, eng) || !m.isCandidate(eng, req) ||
			req.triedOn(eng) {
			continue
		}
		if best == nil || m.predictedBusy(req, eng) < m.predictedBusy(req, best) {
			best = eng
		}
	}
	return best
}

// speedFraction returns the fraction of its full speed that an engine has. It grows linearly during the
// warm-up.
func (m *Module) speedFraction(eng *engine) float64 {
	if !m.warmingUp(eng) {
		return 1
	}
	c := &m.settings.Constraints
	initial, age := c.SlowStartInitialSpeed, max(float64(m.now-eng.StartedAt), 0)
	return max(initial+(1-initial)*age/float64(c.SlowStartPeriod), minSpeedFraction)
}
