package rules

// Slow start: how much a gateway sends to an engine that warms up; the types are in api.go. Invariant: all
// gateways together send such an engine no more within the overload window than the settings let it bear,
// whatever part of the traffic each has, whenever each started and however late it is notified of the start.

import "math"

const (
	// slowStartSafety is the fraction of its part of the budget that a gateway uses. The rest covers the
	// scatter of the work itself: with budgets of 100 queries two standard deviations are a fifth of it.
	slowStartSafety = 0.6
	// slowStartDeviations is by how many standard deviations the budget must exceed what all gateways
	// together ask for by sampling.
	slowStartDeviations = 5.5
	// minSpeedFraction keeps divisions by the speed finite where the settings name no initial speed.
	minSpeedFraction = 1e-3
	// samplingStep and samplingPhaseStep are the steps of the R2 sequence: one over the plastic number,
	// and its square.
	samplingStep, samplingPhaseStep = 0.7548776662466927, 0.5698402909980532
)

// slowStartBudgetLeft reports whether an engine that warms up may be sent a request. Each gateway keeps to
// its part of the budget, whatever part of the traffic it has. One that has just started doesn't know what
// it sent before, and waits for a window. With hundreds of gateways a part is smaller than a query, and
// heavy queries would never go there: then each window samples so many gateways to send one that together
// they ask for a safe part of the budget. A query of over slowStartSafety/2 of the whole budget is never sent
// so, which keeps the budget of three gateways even if all of them are sampled.
func (m *Module) slowStartBudgetLeft(req *request, eng *engine) bool {
	c := &m.settings.Constraints
	if !m.warmingUp(eng) || c.OverloadWindow <= 0 || c.OverloadFactor <= 0 { // no budget
		return true
	}
	work := m.slowStartCost(req)
	spent := m.slowStartWork(eng)
	quota := m.slowStartQuota(eng)
	budget := quota * float64(m.settings.Gateways)
	if m.now < m.startedAt+c.OverloadWindow {
		return false
	}
	if eng.peerSlowStartWork > 0 && eng.peerSlowStartWork+spent+work > budget {
		return false
	}
	return m.withinSlowStartQuota(req, eng) ||
		spent+work <= slowStartSafety/2*budget && spent+m.sample(eng)*work <= m.sampledQuota(eng, quota, work)
}

// slowStartCost is the work for which a budget must have room before a request is sent: its own, or the mean
// of its class where that is more, since what clients declare is an estimate.
func (m *Module) slowStartCost(req *request) float64 {
	return max(req.class.requestWork.valueOr(math.Inf(1)), m.knownWork(req))
}

// knownWork is the work with which a request counts against a budget once it is sent: as it is predicted,
// since a few heavy requests are most of the work. Where its client estimates nothing that is a guess, which
// no outcome corrects, so what requests of the class were measured to cost counts if it is more.
func (m *Module) knownWork(req *request) float64 {
	if req.HasEstimate {
		return m.predictedWork(req)
	}
	return max(m.predictedWork(req), req.class.measuredWork.valueOr(0))
}

// countAgainstSlowStart counts work that is sent to an engine, whether or not it is known to warm up: its
// process may be another one already, and the list says so only later. The new process has had that work
// then. Whether the old one got it instead can't be told by the clock of another machine, so it counts.
func (m *Module) countAgainstSlowStart(eng *engine, work float64) {
	c := &m.settings.Constraints
	if c.OverloadWindow <= 0 || c.OverloadFactor <= 0 { // no budget
		return
	}
	tick := max(m.settings.Tick, 1)
	endOfTick := (m.now + tick - 1) / tick * tick
	eng.recordSend(m.slowStartWindowStart(), endOfTick, work)
}

// slowStartWindowStart is when the overload window began, and a tick earlier for delays.
func (m *Module) slowStartWindowStart() Time {
	return m.now - m.settings.Constraints.OverloadWindow - m.settings.Tick
}

// slowStartWork is what was sent to an engine within the overload window.
func (m *Module) slowStartWork(eng *engine) float64 { return eng.sentSince(m.slowStartWindowStart()) }

// slowStartQuota is this gateway's even part of what a warming engine bears in an overload window.
func (m *Module) slowStartQuota(eng *engine) float64 {
	c := &m.settings.Constraints
	return c.OverloadFactor * m.speedFraction(eng) * m.kindOf(eng).Cores * float64(c.OverloadWindow) /
		float64(m.settings.Gateways)
}

// withinSlowStartQuota reports whether a request fits the part of the quota that is always used.
func (m *Module) withinSlowStartQuota(req *request, eng *engine) bool {
	spent := m.slowStartCost(req) + m.slowStartWork(eng)
	return spent <= slowStartSafety*m.slowStartQuota(eng)
}

// sampledQuota is the part of a quota that may be asked for by sampling. It grows from zero during an
// engine's first window.
func (m *Module) sampledQuota(eng *engine, quota, work float64) float64 {
	age := float64(m.now-eng.StartedAt) / float64(m.settings.Constraints.OverloadWindow)
	budget := quota * float64(m.settings.Gateways)
	return quota * sampledFraction(budget/work) * min(1, age)
}

// sampledFraction is the fraction of a budget of n queries that all gateways together may ask for by
// sampling: so that the budget lies slowStartDeviations standard deviations above that.
func sampledFraction(n float64) float64 {
	root := math.Sqrt(n+slowStartDeviations*slowStartDeviations/4) - slowStartDeviations/2
	return min(root*root/n, slowStartSafety)
}

// sample is a number from 0 to 1 that stays for an overload window and is drawn anew after it. The windows of
// the gateways begin at different times. Over all gateways the numbers of an engine and the beginnings lie
// evenly (the R2 sequence), so that in any window hardly more gateways are sampled than planned.
func (m *Module) sample(eng *engine) float64 {
	window, index := m.settings.Constraints.OverloadWindow, float64(m.settings.GatewayIndex)
	phase := fractionalPart(index*samplingPhaseStep + hashUnit(0, eng.ID))
	round := int((m.now - eng.StartedAt + Time(phase*float64(window))) / window)
	return fractionalPart(index*samplingStep + hashUnit(1+round, eng.ID))
}

// sampledWarmingEngine is the least busy of the warming engines for which this gateway is sampled, or nil.
func (m *Module) sampledWarmingEngine(req *request) (best *engine) {
	for _, eng := range m.engines {
		if !m.warmingUp(eng) || m.withinSlowStartQuota(req, eng) || !m.mayTake(eng, req) || req.triedOn(eng) {
			continue
		}
		if best == nil || m.predictedBusy(req, eng) < m.predictedBusy(req, best) {
			best = eng
		}
	}
	return best
}

// speedFraction is the fraction of its full speed that an engine has, along a linear warm-up.
func (m *Module) speedFraction(eng *engine) float64 {
	if !m.warmingUp(eng) {
		return 1
	}
	c := &m.settings.Constraints
	initial, age := c.SlowStartInitialSpeed, max(float64(m.now-eng.StartedAt), 0)
	return max(initial+(1-initial)*age/float64(c.SlowStartPeriod), minSpeedFraction)
}
