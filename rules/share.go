package rules

// Share: how much of the fleet this gateway uses, as a multiple of an even share (1/Gateways). The types
// are in api.go. It grows with good outcomes while it is used up, and slow attempts cut it. Invariant: it
// stays between minShare and maxShareFactor times the whole fleet, and bounds never fall below an even
// share.

import "math"

const (
	// shareGrowth is the growth of the share for good work that fills an even share of the fleet for one
	// second.
	shareGrowth = 0.2
	// startupGrowth is the additional growth after the start of this gateway, as a multiple of shareGrowth.
	// It decays with learningTimeConstant. A gateway that returns takes clients over from the others, but
	// starts with an even share of engines that the others leave half empty.
	startupGrowth = 4.0
	// shareCut is the fraction by which the share is cut for slow attempts that fill an even share of the
	// fleet for one second.
	shareCut = 0.13
	// maxShareCut is the largest fraction that one slow attempt cuts.
	maxShareCut = 0.3
	// minShare is the smallest share. A share below 1 reduces only the margin of fleetThreadBound.
	minShare = 0.05
	// maxShareFactor is the largest multiple of an engine's bound that this gateway uses by itself.
	maxShareFactor = 2.0
	// usedShareFraction is the fraction of a bound in use from which the share counts as used up.
	usedShareFraction = 0.7
)

// fleetFraction returns the fraction that this gateway may use of anything that all gateways share.
func (m *Module) fleetFraction() float64 { return max(m.share, 1) / float64(m.settings.Gateways) }

// growShare grows the share for good work, but only while the share is used up and a larger one would be
// used.
func (m *Module) growShare(work float64) {
	if !m.shareUsed() {
		return
	}
	age := float64(m.now - m.startedAt)
	growth := shareGrowth * (1 + startupGrowth*math.Exp(-age/float64(learningTimeConstant)))
	m.share = min(m.share+growth*m.evenShareSeconds(work), maxShareFactor*float64(m.settings.Gateways))
}

// shareUsed reports whether the load in flight is close to a bound of this gateway on the fleet.
func (m *Module) shareUsed() bool {
	return m.inFlightLoad.threads >= usedShareFraction*m.threadBound(m.fleetCapacity.Cores) ||
		m.inFlightLoad.memoryMB >= usedShareFraction*m.fleetCapacity.MemoryMB*m.fleetFraction()
}

// penalizeSlowAttempt cuts the share for a slow attempt, by the part of the fleet that the attempt has
// held. The time until it is found to be slow counts at once and the rest at its end: waiting for the
// outcome would cut the share too late.
func (m *Module) penalizeSlowAttempt(att *attempt, latency float64) {
	if latency > att.penalizedTime {
		m.cutShare(shareCut * m.evenShareSeconds(att.threads*(latency-att.penalizedTime)))
		att.penalizedTime = latency
	}
}

// cutShare reduces the share by a fraction, within its limits.
func (m *Module) cutShare(cut float64) { m.share = max(m.share*(1-min(cut, maxShareCut)), minShare) }

// evenShareSeconds returns for how many seconds the given thread time fills an even share of the fleet.
func (m *Module) evenShareSeconds(threadTime float64) float64 {
	return threadTime * float64(m.settings.Gateways) / (m.fleetCapacity.Cores*float64(Second) + 1)
}
